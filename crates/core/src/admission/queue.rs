//! Bounded queue of calls that wait for a slot.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use super::{CallKey, Offer};
use crate::class::Class;

/// A queued call.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedCall {
    pub(super) key: CallKey,
    pub(super) offer: Offer,
    /// Sequence number of the arrival.
    pub(super) arrival: u64,
}

/// Order in which queued calls of the same class start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Order {
    /// First in, first out; fair as long as the queue empties regularly.
    Oldest,
    /// Last in, first out; in a standing queue, the oldest calls are likely to miss their deadlines anyway.
    Newest,
}

/// Priority queue by class, short enough for linear scans.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    calls: Vec<QueuedCall>,
    arrivals: u64,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    pub(super) fn iter(&self) -> std::slice::Iter<'_, QueuedCall> {
        self.calls.iter()
    }

    /// Adds a call. If the queue then exceeds `bound`, removes and returns the call to shed, possibly the new one.
    pub(super) fn push(&mut self, key: CallKey, offer: Offer, bound: usize) -> Option<QueuedCall> {
        self.arrivals += 1;
        self.calls.push(QueuedCall {
            key,
            offer,
            arrival: self.arrivals,
        });
        if self.calls.len() <= bound {
            return None;
        }
        let (index, _) = self
            .calls
            .iter()
            .enumerate()
            .max_by_key(|(_, call)| shed_rank(call))?;
        Some(self.calls.swap_remove(index))
    }

    /// Removes the call to start next.
    pub(super) fn pop(&mut self, order: Order) -> Option<QueuedCall> {
        let (index, _) = self
            .calls
            .iter()
            .enumerate()
            .min_by_key(|(_, call)| start_rank(call, order))?;
        Some(self.calls.swap_remove(index))
    }

    /// Removes a call by its key.
    pub(super) fn remove(&mut self, key: CallKey) -> Option<QueuedCall> {
        let index = self.calls.iter().position(|call| call.key == key)?;
        Some(self.calls.swap_remove(index))
    }

    /// Removes and returns the calls that satisfy the predicate.
    pub(super) fn extract_if<F>(&mut self, mut matches: F) -> Vec<QueuedCall>
    where
        F: FnMut(&QueuedCall) -> bool,
    {
        let (taken, kept) = self.calls.drain(..).partition(|call| matches(call));
        self.calls = kept;
        taken
    }

    /// Returns the number of queued calls that would start before a new call of this class.
    pub(super) fn ahead(&self, class: Class, order: Order) -> usize {
        let before = |call: &&QueuedCall| match order {
            Order::Oldest => call.offer.class <= class,
            Order::Newest => call.offer.class < class,
        };
        self.calls.iter().filter(before).count()
    }
}

/// Sort key for shedding; the greatest is shed first: the lowest class, then the highest bucket, then the oldest.
fn shed_rank(call: &QueuedCall) -> (Class, u8, Reverse<u64>) {
    (call.offer.class, call.offer.bucket, Reverse(call.arrival))
}

/// Sort key for starting; the least starts first.
fn start_rank(call: &QueuedCall, order: Order) -> (Class, u64) {
    match order {
        Order::Oldest => (call.offer.class, call.arrival),
        Order::Newest => (call.offer.class, u64::MAX - call.arrival),
    }
}

/// Returns the latest time at which a queued call with this service time can start and still meet its deadline.
pub(super) fn latest_start(call: &QueuedCall, service: Duration) -> Instant {
    call.offer
        .deadline
        .checked_sub(service)
        .unwrap_or(call.offer.deadline)
}
