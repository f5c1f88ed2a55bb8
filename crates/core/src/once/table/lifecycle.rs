//! Lifecycle of a call at its home, from dispatch to completion.

use std::time::Instant;

use crate::error_kind::ErrorKind;
use crate::invariant::Invariant;
use crate::once::record::State;
use crate::once::{AnswerSize, OnceTable, RecordKey};

impl<A> OnceTable<A>
where
    A: Clone + AnswerSize,
{
    /// Marks the call as running. Must be called right before its first byte is written to the target.
    ///
    /// `deadline` is the latest deadline of all callers that wait for the answer. After an error nothing may be sent to
    /// the target, the key is closed, and the error applies to every try that arrived.
    ///
    /// Refusals and the deadline are checked here in addition to arrival, because the process may be suspended in
    /// between. A call sent after its caller was told "not run" could run twice when the caller retries.
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
            State::Refused => return Err(ErrorKind::TokenRefused),
            State::Running | State::Ran(_) | State::AnswerGone | State::Lost => {
                self.breach = Some(Invariant::DispatchedTwice);
                return Err(ErrorKind::AnswerLost);
            }
        }
        if record.all_tries_refused() {
            self.close_as_refused(key);
            return Err(ErrorKind::TokenRefused);
        }
        if now >= deadline {
            self.close_as_refused(key);
            return Err(ErrorKind::ExpiredBeforeDispatch);
        }
        record.state = State::Running;
        Ok(())
    }

    /// Records the complete answer of a dispatched call.
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

    /// Records that the answer of a dispatched call was lost or is incomplete.
    pub fn lost(&mut self, key: RecordKey, now: Instant) {
        self.tick(now);
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        if record.is_live() {
            record.state = State::Lost;
        }
    }

    /// Records that the call was shed or cancelled before dispatch.
    ///
    /// Permanently refuses every try that arrived, so that all of their callers can be told "not run". A higher try may
    /// still run. For a call that was already dispatched this is equivalent to [`lost`](Self::lost).
    pub fn withdrawn(&mut self, key: RecordKey, now: Instant) {
        self.tick(now);
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        match record.state {
            State::Waiting => self.close_as_refused(key),
            State::Running => record.state = State::Lost,
            State::Ran(_) | State::AnswerGone | State::Lost | State::Refused => {}
        }
    }

    /// Refuses all tries of a waiting call. Raises a watermark if the table has no room for another refusal record.
    fn close_as_refused(&mut self, key: RecordKey) {
        if self.records.refusal_count() < self.cfg.refusal_capacity {
            self.records.close_as_refused(key);
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
