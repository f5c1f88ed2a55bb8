//! Slots of a target and the queue of calls that wait for one.

use std::collections::VecDeque;

use tokio::sync::oneshot;

use crate::target::run::{CallId, Run};
use crate::target::{Settings, WhenFull};

/// A call that requests a slot.
#[derive(Debug)]
pub struct Waiter {
    /// Key and class of the call.
    pub id: CallId,
    /// Receives the slot, or `None` if the call is refused.
    pub reply: oneshot::Sender<Option<Run>>,
}

/// Admission decision for an arriving call.
#[derive(Debug)]
pub enum Admission {
    /// The call runs immediately.
    Run(Waiter),
    /// The call waits for a slot.
    Queued,
    /// The call is refused because the queue is full.
    Refused(Waiter),
}

/// Slots in use and calls waiting for one.
#[derive(Debug, Default)]
pub struct Slots {
    taken: usize,
    waiting: VecDeque<Waiter>,
}

impl Slots {
    /// Returns the number of slots in use.
    pub fn taken(&self) -> usize {
        self.taken
    }

    /// Returns the number of waiting calls whose caller is still connected.
    pub fn waiting(&self) -> usize {
        self.waiting
            .iter()
            .filter(|waiter| !waiter.reply.is_closed())
            .count()
    }

    /// Assigns a slot to a call, queues the call or refuses it.
    pub fn admit(&mut self, waiter: Waiter, settings: &Settings) -> Admission {
        if self.has_free_slot(settings) {
            self.taken += 1;
            return Admission::Run(waiter);
        }
        if settings
            .queue_limit
            .is_some_and(|limit| !self.has_queue_space(limit))
        {
            return Admission::Refused(waiter);
        }
        self.waiting.push_back(waiter);
        Admission::Queued
    }

    /// Releases a slot.
    pub fn release(&mut self) {
        self.taken = self.taken.saturating_sub(1);
    }

    /// Assigns a free slot to the next waiting call whose caller is still connected, and returns the call.
    pub fn next(&mut self, settings: &Settings) -> Option<Waiter> {
        while self.has_free_slot(settings) {
            let waiter = self.waiting.pop_front()?;
            if !waiter.reply.is_closed() {
                self.taken += 1;
                return Some(waiter);
            }
        }
        None
    }

    /// Whether the queue has space. Calls whose caller has disconnected do not count.
    fn has_queue_space(&mut self, limit: usize) -> bool {
        if self.waiting.len() >= limit {
            self.waiting.retain(|waiter| !waiter.reply.is_closed());
        }
        self.waiting.len() < limit
    }

    fn has_free_slot(&self, settings: &Settings) -> bool {
        match settings.when_full {
            WhenFull::Queue => self.taken < settings.slots,
            WhenFull::Slow => true,
        }
    }
}
