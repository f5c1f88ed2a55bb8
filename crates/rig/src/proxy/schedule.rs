//! Delay queue for the datagrams of one direction of a link.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Instant;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::proxy::pacer::millis;
use crate::proxy::{Cut, DirectionFaults, Pacer};

/// Queue length above which further datagrams are dropped.
const CAPACITY: usize = 16_384;

/// Applies loss, duplication, reordering and latency to datagrams and orders them by due time.
#[derive(Debug)]
pub struct Schedule {
    rng: StdRng,
    pacer: Pacer,
    sequence: u64,
    pending: BinaryHeap<Reverse<Pending>>,
}

#[derive(Debug)]
struct Pending {
    due: Instant,
    sequence: u64,
    datagram: Bytes,
}

impl Schedule {
    /// Creates an empty schedule whose random decisions are determined by the seed.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            pacer: Pacer::default(),
            sequence: 0,
            pending: BinaryHeap::new(),
        }
    }

    /// Queues a datagram that arrived at `now`; returns `false` if it is dropped.
    pub fn push(&mut self, datagram: Bytes, now: Instant, faults: &DirectionFaults) -> bool {
        let is_lost = self.draw(faults.loss);
        let is_duplicated = self.draw(faults.duplicate);
        let is_reordered = self.draw(faults.reorder);
        if faults.cut != Cut::None || is_lost || self.pending.len() >= CAPACITY {
            return false;
        }
        let due = match is_reordered {
            // Bypasses the pacer so that later datagrams can overtake this one.
            true => now + millis(faults.latency_ms + faults.reorder_ms),
            false => self.pacer.due(now, faults, &mut self.rng),
        };
        if is_duplicated {
            self.enqueue(due, datagram.clone());
        }
        self.enqueue(due, datagram);
        true
    }

    /// Removes and returns the next datagram that is due at `now`.
    pub fn pop(&mut self, now: Instant) -> Option<Bytes> {
        let Reverse(first) = self.pending.peek()?;
        if first.due > now {
            return None;
        }
        self.pending.pop().map(|Reverse(first)| first.datagram)
    }

    /// Returns the due time of the next datagram.
    pub fn next_due(&self) -> Option<Instant> {
        self.pending.peek().map(|Reverse(first)| first.due)
    }

    fn draw(&mut self, share: f64) -> bool {
        self.rng.random::<f64>() < share
    }

    fn enqueue(&mut self, due: Instant, datagram: Bytes) {
        self.sequence += 1;
        self.pending.push(Reverse(Pending {
            due,
            sequence: self.sequence,
            datagram,
        }));
    }
}

impl Ord for Pending {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.due, self.sequence).cmp(&(other.due, other.sequence))
    }
}

impl PartialOrd for Pending {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Pending {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Pending {}
