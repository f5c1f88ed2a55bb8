//! Record of a token at its home.

use crate::once::{Tick, Token, Try};

slotmap::new_key_type! {
    /// Key of a call in the table. A higher try that runs after a refusal gets a new key.
    pub struct RecordKey;
}

/// State of the call of a token.
#[derive(Clone, Debug)]
pub(super) enum State<A> {
    /// Queued or admitted, but not yet sent to the target.
    Waiting,
    /// Sent to the target, answer pending.
    Running,
    /// Completed, answer stored.
    Ran(A),
    /// Completed, but the answer exceeded a size limit and was not stored.
    AnswerGone,
    /// Sent to the target, but the answer was lost.
    Lost,
    /// Never sent to the target; the record only stores the refused tries.
    Refused,
}

/// Record of a token.
#[derive(Clone, Debug)]
pub(super) struct Record<A> {
    pub(super) id: u128,
    pub(super) tick: Tick,
    /// Highest try that arrived.
    pub(super) highest_try: Try,
    /// Highest permanently refused try; this try and all lower ones never run.
    pub(super) refused_up_to: Try,
    pub(super) state: State<A>,
}

impl<A> Record<A> {
    /// Creates the record of a call that waits for dispatch.
    pub(super) fn waiting(token: &Token, number: Try) -> Self {
        Self {
            id: token.id,
            tick: token.tick,
            highest_try: number,
            refused_up_to: Try::NONE,
            state: State::Waiting,
        }
    }

    /// Creates the record of a token whose tries up to `up_to` are refused.
    pub(super) fn refused(token: &Token, up_to: Try) -> Self {
        Self {
            id: token.id,
            tick: token.tick,
            highest_try: Try::NONE,
            refused_up_to: up_to,
            state: State::Refused,
        }
    }

    /// Returns whether the call is waiting or running. Such a record must not be removed.
    pub(super) fn is_live(&self) -> bool {
        matches!(self.state, State::Waiting | State::Running)
    }

    /// Returns whether the record only stores refused tries.
    pub(super) fn is_refusal_only(&self) -> bool {
        matches!(self.state, State::Refused)
    }

    /// Permanently refuses all tries up to `up_to`.
    pub(super) fn refuse_up_to(&mut self, up_to: Try) {
        self.refused_up_to = self.refused_up_to.max(up_to);
    }

    /// Returns whether every try that arrived was refused, so that nothing is left to dispatch.
    pub(super) fn all_tries_refused(&self) -> bool {
        self.highest_try <= self.refused_up_to
    }
}
