//! What a home keeps of one token.

use crate::once::{Tick, Token, Try};

slotmap::new_key_type! {
    /// One call that a home was told to run; a later try that runs anew has another key.
    pub struct RecordKey;
}

/// The state of a token's call.
#[derive(Clone, Debug)]
pub(super) enum State<A> {
    /// Admitted or queued, not yet sent to the target.
    Waiting,
    /// Sent to the target.
    Running,
    /// Ran, with its answer.
    Ran(A),
    /// Ran, and the answer was too large to keep.
    AnswerGone,
    /// Sent to the target, whose answer was lost.
    Lost,
    /// Never sent to the target; kept because tries were refused.
    Burned,
}

/// The record of a token.
#[derive(Clone, Debug)]
pub(super) struct Record<A> {
    pub(super) id: u128,
    pub(super) tick: Tick,
    /// The highest try that arrived.
    pub(super) seen: Try,
    /// The highest try that was refused for good; it and all below never run.
    pub(super) burned: Try,
    pub(super) state: State<A>,
}

impl<A> Record<A> {
    /// The record of a call that waits for its dispatch.
    pub(super) fn waiting(token: &Token, number: Try) -> Self {
        Self {
            id: token.id,
            tick: token.tick,
            seen: number,
            burned: Try::NONE,
            state: State::Waiting,
        }
    }

    /// The record of a token none of whose tries up to `up_to` may run.
    pub(super) fn burned(token: &Token, up_to: Try) -> Self {
        Self {
            id: token.id,
            tick: token.tick,
            seen: Try::NONE,
            burned: up_to,
            state: State::Burned,
        }
    }

    /// Whether a call waits or runs, so that the record can't be dropped.
    pub(super) fn is_live(&self) -> bool {
        matches!(self.state, State::Waiting | State::Running)
    }

    /// Whether the record is kept only because tries were refused.
    pub(super) fn is_burned(&self) -> bool {
        matches!(self.state, State::Burned)
    }

    /// Refuses all tries up to `up_to`.
    pub(super) fn burn(&mut self, up_to: Try) {
        self.burned = self.burned.max(up_to);
    }

    /// Whether every try that arrived was refused, so that nothing is left to dispatch.
    pub(super) fn is_refused(&self) -> bool {
        self.seen <= self.burned
    }
}
