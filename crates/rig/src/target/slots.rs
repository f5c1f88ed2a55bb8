//! Slots and the queue for them.

use std::collections::VecDeque;

use tokio::sync::oneshot;

use crate::target::run::{CallId, Run};
use crate::target::{Settings, WhenFull};

/// A call that waits for a slot.
#[derive(Debug)]
pub struct Waiter {
    /// Who waits.
    pub id: CallId,
    /// Gets the slot, or nothing where the call is refused.
    pub reply: oneshot::Sender<Option<Run>>,
}

/// What becomes of a call that arrives.
#[derive(Debug)]
pub enum Arrival {
    /// It runs now.
    Run(Waiter),
    /// It waits.
    Queued,
    /// The queue is full.
    Refused(Waiter),
}

/// Taken slots and waiting calls.
#[derive(Debug, Default)]
pub struct Slots {
    taken: usize,
    waiting: VecDeque<Waiter>,
}

impl Slots {
    /// Calls that hold a slot.
    pub fn taken(&self) -> usize {
        self.taken
    }

    /// Calls that wait and whose caller is still there.
    pub fn waiting(&self) -> usize {
        self.waiting
            .iter()
            .filter(|waiter| !waiter.reply.is_closed())
            .count()
    }

    /// Takes a slot for a call or queues it.
    pub fn arrive(&mut self, waiter: Waiter, settings: &Settings) -> Arrival {
        if self.has_free(settings) {
            self.taken += 1;
            return Arrival::Run(waiter);
        }
        if settings
            .queue_limit
            .is_some_and(|limit| !self.has_room(limit))
        {
            return Arrival::Refused(waiter);
        }
        self.waiting.push_back(waiter);
        Arrival::Queued
    }

    /// Gives a slot back.
    pub fn release(&mut self) {
        self.taken = self.taken.saturating_sub(1);
    }

    /// The next call that waits and whose caller is still there, with a slot taken for it.
    pub fn next(&mut self, settings: &Settings) -> Option<Waiter> {
        while self.has_free(settings) {
            let waiter = self.waiting.pop_front()?;
            if !waiter.reply.is_closed() {
                self.taken += 1;
                return Some(waiter);
            }
        }
        None
    }

    /// Calls whose caller has left take no room.
    fn has_room(&mut self, limit: usize) -> bool {
        if self.waiting.len() >= limit {
            self.waiting.retain(|waiter| !waiter.reply.is_closed());
        }
        self.waiting.len() < limit
    }

    fn has_free(&self, settings: &Settings) -> bool {
        match settings.when_full {
            WhenFull::Queue => self.taken < settings.slots,
            WhenFull::Slow => true,
        }
    }
}
