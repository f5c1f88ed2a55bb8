//! Refusals for good in constant memory.

use crate::once::{Tick, Token};

/// Refuses tokens without a record: one tick for each group of tokens, below which the whole group is refused.
///
/// A refusal that finds no room for a record can't just be dropped: a copy of the call still under way would find room
/// later and run after its caller was told "not run". The raised floor outlasts every copy, at the price of refusing
/// unused older tokens of the same group; their callers are truly told "not run" and get a fresh token.
#[derive(Clone, Debug)]
pub(super) struct Watermarks {
    /// For each group the tick after the last refused one.
    oldest_accepted: Vec<Tick>,
}

impl Watermarks {
    /// `count` floors, at least one, none of which refuses anything.
    pub(super) fn new(count: usize) -> Self {
        Self {
            oldest_accepted: vec![Tick(0); count.max(1)],
        }
    }

    /// Refuses `token` for good, and with it the older ones of its group.
    pub(super) fn raise(&mut self, id: u128, tick: Tick) {
        let group = self.group(id);
        let oldest_accepted = Tick(tick.0.saturating_add(1));
        self.oldest_accepted[group] = self.oldest_accepted[group].max(oldest_accepted);
    }

    /// Whether `token` was refused for good.
    pub(super) fn refuses(&self, token: &Token) -> bool {
        token.tick < self.oldest_accepted[self.group(token.id)]
    }

    fn group(&self, id: u128) -> usize {
        (id % self.oldest_accepted.len() as u128) as usize
    }
}
