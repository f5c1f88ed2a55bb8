//! Permanent refusals in constant memory.

use crate::once::{Tick, Token};

/// Refuses tokens without a record, using one watermark per group of tokens. All tokens of the group with a lower tick
/// are refused.
///
/// A refusal that does not fit into the table can't be dropped: a copy of the call that is still in transit could
/// arrive once there is room again, and run after its caller was told "not run". The watermark never goes down, so it
/// refuses every such copy. It also refuses unused older tokens of the same group; their callers are correctly told
/// "not run" and get a new token.
#[derive(Clone, Debug)]
pub(super) struct Watermarks {
    /// Per group, the tick after the latest refused token.
    oldest_accepted: Vec<Tick>,
}

impl Watermarks {
    /// Creates `count` watermarks, at least one, that refuse no token.
    pub(super) fn new(count: usize) -> Self {
        Self {
            oldest_accepted: vec![Tick(0); count.max(1)],
        }
    }

    /// Permanently refuses the token with this id and tick, and all older tokens of its group.
    pub(super) fn raise(&mut self, id: u128, tick: Tick) {
        let group = self.group(id);
        let oldest_accepted = Tick(tick.0.saturating_add(1));
        self.oldest_accepted[group] = self.oldest_accepted[group].max(oldest_accepted);
    }

    /// Returns whether `token` is refused.
    pub(super) fn refuses(&self, token: &Token) -> bool {
        token.tick < self.oldest_accepted[self.group(token.id)]
    }

    fn group(&self, id: u128) -> usize {
        (id % self.oldest_accepted.len() as u128) as usize
    }
}
