//! Datagrams on their way through one direction of a link.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Instant;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::proxy::pacer::millis;
use crate::proxy::{Cut, DirectionFaults, Pacer};

/// Datagrams on their way at most; further ones are lost.
const CAPACITY: usize = 16_384;

/// Decides for each datagram whether, when and how often it is passed on.
#[derive(Debug)]
pub struct Schedule {
    rng: StdRng,
    pacer: Pacer,
    serial: u64,
    pending: BinaryHeap<Reverse<Pending>>,
}

#[derive(Debug)]
struct Pending {
    due: Instant,
    serial: u64,
    datagram: Bytes,
}

impl Schedule {
    /// An empty schedule whose draws follow from the seed.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            pacer: Pacer::default(),
            serial: 0,
            pending: BinaryHeap::new(),
        }
    }

    /// Takes a datagram that arrived at `now`; `false` where it is lost.
    pub fn push(&mut self, datagram: Bytes, now: Instant, faults: &DirectionFaults) -> bool {
        let is_lost = self.draw(faults.loss);
        let is_twice = self.draw(faults.duplicate);
        let is_late = self.draw(faults.reorder);
        if faults.cut != Cut::None || is_lost || self.pending.len() >= CAPACITY {
            return false;
        }
        let due = match is_late {
            // Outside the pacer, so that those behind it overtake.
            true => now + millis(faults.latency_ms + faults.reorder_ms),
            false => self.pacer.due(now, faults, &mut self.rng),
        };
        if is_twice {
            self.add(due, datagram.clone());
        }
        self.add(due, datagram);
        true
    }

    /// The next datagram that is due at `now`.
    pub fn pop(&mut self, now: Instant) -> Option<Bytes> {
        let Reverse(first) = self.pending.peek()?;
        if first.due > now {
            return None;
        }
        self.pending.pop().map(|Reverse(first)| first.datagram)
    }

    /// When the next datagram is due.
    pub fn next_due(&self) -> Option<Instant> {
        self.pending.peek().map(|Reverse(first)| first.due)
    }

    fn draw(&mut self, share: f64) -> bool {
        self.rng.random::<f64>() < share
    }

    fn add(&mut self, due: Instant, datagram: Bytes) {
        self.serial += 1;
        self.pending.push(Reverse(Pending {
            due,
            serial: self.serial,
            datagram,
        }));
    }
}

impl Ord for Pending {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.due, self.serial).cmp(&(other.due, other.serial))
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
