//! The short queue before the target.

use std::cmp::Reverse;
use std::time::Instant;

use super::{CallKey, Offer};
use crate::class::Class;

/// A call that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) key: CallKey,
    pub(super) offer: Offer,
    /// Number of the arrival; grows.
    pub(super) arrival: u64,
}

/// Which of the waiting calls of one class starts first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Order {
    /// First in, first out: fair while the queue empties now and then.
    Oldest,
    /// Last in, first out: under a standing queue the oldest calls are likely to miss their deadlines anyway.
    Newest,
}

/// A bounded queue that orders by class; small enough to be scanned.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    waiting: Vec<Waiting>,
    arrivals: u64,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn iter(&self) -> std::slice::Iter<'_, Waiting> {
        self.waiting.iter()
    }

    /// Adds a call; where the queue is above `bound`, takes out and returns the call to shed, maybe the added one.
    pub(super) fn push(&mut self, key: CallKey, offer: Offer, bound: usize) -> Option<Waiting> {
        self.arrivals += 1;
        self.waiting.push(Waiting {
            key,
            offer,
            arrival: self.arrivals,
        });
        if self.waiting.len() <= bound {
            return None;
        }
        let (index, _) = self
            .waiting
            .iter()
            .enumerate()
            .max_by_key(|(_, call)| shed_rank(call))?;
        Some(self.waiting.swap_remove(index))
    }

    /// Takes out the call to start next.
    pub(super) fn pop(&mut self, order: Order) -> Option<Waiting> {
        let (index, _) = self
            .waiting
            .iter()
            .enumerate()
            .min_by_key(|(_, call)| start_rank(call, order))?;
        Some(self.waiting.swap_remove(index))
    }

    /// Takes out one call by its key.
    pub(super) fn remove(&mut self, key: CallKey) -> Option<Waiting> {
        let index = self.waiting.iter().position(|call| call.key == key)?;
        Some(self.waiting.swap_remove(index))
    }

    /// Takes out the calls for which `refuse` holds.
    pub(super) fn take_if<F>(&mut self, mut refuse: F) -> Vec<Waiting>
    where
        F: FnMut(&Waiting) -> bool,
    {
        let (taken, kept) = self.waiting.drain(..).partition(|call| refuse(call));
        self.waiting = kept;
        taken
    }

    /// Calls that would start before a new one of this class.
    pub(super) fn ahead(&self, class: Class, order: Order) -> usize {
        let before = |call: &&Waiting| match order {
            Order::Oldest => call.offer.class <= class,
            Order::Newest => call.offer.class < class,
        };
        self.waiting.iter().filter(before).count()
    }
}

/// The highest rank is shed first: the lowest class, then the highest bucket, then the oldest.
fn shed_rank(call: &Waiting) -> (Class, u8, Reverse<u64>) {
    (call.offer.class, call.offer.bucket, Reverse(call.arrival))
}

fn start_rank(call: &Waiting, order: Order) -> (Class, u64) {
    match order {
        Order::Oldest => (call.offer.class, call.arrival),
        Order::Newest => (call.offer.class, u64::MAX - call.arrival),
    }
}

/// The time at which a waiting call can no longer finish, given its service time.
pub(super) fn doomed_at(call: &Waiting, service: std::time::Duration) -> Instant {
    call.offer
        .deadline
        .checked_sub(service)
        .unwrap_or(call.offer.deadline)
}
