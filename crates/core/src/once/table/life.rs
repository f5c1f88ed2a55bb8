//! The life of a call at its home, from dispatch to its end.

use std::time::Instant;

use crate::error_kind::ErrorKind;
use crate::invariant::Invariant;
use crate::once::record::State;
use crate::once::{AnswerSize, OnceTable, RecordKey};

impl<A> OnceTable<A>
where
    A: Clone + AnswerSize,
{
    /// Allows the call to go to the target, right before its first byte is written.
    ///
    /// `deadline` is the latest of all callers that wait for the answer. After an error nothing goes to the target, the
    /// key is closed, and the error is true for every try that arrived.
    ///
    /// The check stands here and not at arrival alone because a process may sleep in between: a call that went out
    /// after its caller was told "not run" would show as a second bid.
    pub fn dispatch(
        &mut self,
        key: RecordKey,
        deadline: Instant,
        now: Instant,
    ) -> Result<(), ErrorKind> {
        self.tick(now);
        let Some(record) = self.records.get_mut(key) else {
            return Err(ErrorKind::AnswerLost);
        };
        match record.state {
            State::Waiting => {}
            State::Burned => return Err(ErrorKind::TokenRefused),
            State::Running | State::Ran(_) | State::AnswerGone | State::Lost => {
                self.breach = Some(Invariant::DispatchedTwice);
                return Err(ErrorKind::AnswerLost);
            }
        }
        if record.is_refused() {
            self.close_as_burned(key);
            return Err(ErrorKind::TokenRefused);
        }
        if now >= deadline {
            self.close_as_burned(key);
            return Err(ErrorKind::ExpiredBeforeDispatch);
        }
        record.state = State::Running;
        Ok(())
    }

    /// Takes in the whole answer of a dispatched call.
    pub fn answered(&mut self, key: RecordKey, answer: A, now: Instant) {
        self.tick(now);
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        if !matches!(record.state, State::Running | State::Lost) {
            return;
        }
        record.state = State::AnswerGone;
        if self.can_keep(&answer) {
            self.records.keep_answer(key, answer);
        }
    }

    /// Takes in that the answer of a dispatched call will never be whole.
    pub fn lost(&mut self, key: RecordKey, now: Instant) {
        self.tick(now);
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        if record.is_live() {
            record.state = State::Lost;
        }
    }

    /// Takes in that the call was shed or cancelled before its dispatch.
    ///
    /// Refuses every try that arrived for good, so that all of their callers may be told "not run". A higher try may
    /// run. Of a call that was dispatched this is the same as [`lost`](Self::lost).
    pub fn withdrawn(&mut self, key: RecordKey, now: Instant) {
        self.tick(now);
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        match record.state {
            State::Waiting => self.close_as_burned(key),
            State::Running => record.state = State::Lost,
            State::Ran(_) | State::AnswerGone | State::Lost | State::Burned => {}
        }
    }

    /// Closes a call that waits; its token goes into the floors if there is no room for one more burned record.
    fn close_as_burned(&mut self, key: RecordKey) {
        if self.records.burned() < self.cfg.burn_capacity {
            self.records.close_as_burned(key);
            return;
        }
        if let Some(record) = self.records.remove(key) {
            self.watermarks.raise(record.id, record.tick);
        }
    }

    fn can_keep(&self, answer: &A) -> bool {
        let size = answer.answer_size();
        size <= self.cfg.answer_limit
            && self.records.answer_bytes().saturating_add(size) <= self.cfg.answer_bytes
    }
}
