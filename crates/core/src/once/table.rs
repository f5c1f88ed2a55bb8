//! Token table of a home: tracks which tokens are running, have run or were refused.

mod lifecycle;

use std::time::Instant;

use crate::error_kind::ErrorKind;
use crate::id::Incarnation;
use crate::invariant::Invariant;
use crate::once::record::{Record, State};
use crate::once::records::Records;
use crate::once::watermarks::Watermarks;
use crate::once::{AnswerSize, Arrival, OnceConfig, RecordKey, Refusal, Tick, Token, Try};

/// Maximum number of expired records that an arrival removes. Larger than the one record that it may add.
///
/// Under load, `expire` may not be called for a long time. Without removal on arrival, expired records would accumulate
/// up to the capacity and then be removed in one long pause.
const MAX_EXPIRED_PER_ARRIVAL: usize = 4;

/// Decides which call of a token is sent to the target, at most one per token.
///
/// Every call that carries a token must pass [`arrive`](Self::arrive) before any other check of the home refuses it,
/// because only refusals that the table has recorded are permanent.
#[derive(Clone, Debug)]
pub struct OnceTable<A> {
    cfg: OnceConfig,
    incarnation: Incarnation,
    started: Instant,
    /// Latest time seen by the table.
    latest: Tick,
    records: Records<A>,
    watermarks: Watermarks,
    breach: Option<Invariant>,
}

impl<A> OnceTable<A>
where
    A: Clone + AnswerSize,
{
    /// Creates the empty table of an incarnation that starts at `started`.
    pub fn new(cfg: OnceConfig, incarnation: Incarnation, started: Instant) -> Self {
        let watermarks = Watermarks::new(cfg.watermarks);
        Self {
            cfg,
            incarnation,
            started,
            latest: Tick(0),
            records: Records::new(),
            watermarks,
            breach: None,
        }
    }

    /// Returns the incarnation whose tokens this table accepts.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the home's time at `now`, which is sent to other nodes with every message. It never goes backwards.
    ///
    /// A task may read the clock, be suspended, and pass the old time after another task has expired records by a later
    /// time. Judged by the old time, a token whose record was removed would still be valid and its call would run a
    /// second time, and a token minted from a time reported since then would be rejected as coming from the future.
    pub fn tick(&mut self, now: Instant) -> Tick {
        self.latest = Tick::at(self.started, now).max(self.latest);
        self.latest
    }

    /// Handles an incoming call that carries `token`.
    pub fn arrive(&mut self, token: &Token, number: Try, now: Instant) -> Arrival<A> {
        let tick = self.tick(now);
        let number = number.max(Try::FIRST);
        self.remove_expired(MAX_EXPIRED_PER_ARRIVAL);
        if let Err(kind) = self.validate(token, tick) {
            return Arrival::Refused(kind);
        }
        if let Some(key) = self.records.key_of(token.id) {
            return self.arrive_again(key, number);
        }
        if self.watermarks.refuses(token) {
            return Arrival::Refused(ErrorKind::TokenRefused);
        }
        if !self.has_capacity() {
            self.record_refusal(token, number);
            return Arrival::Refused(ErrorKind::TableFull);
        }
        Arrival::Run(self.records.insert(Record::waiting(token, number)))
    }

    /// Permanently refuses all tries up to `up_to` unless the call was sent to the target.
    ///
    /// Requested by an entry that lost contact with the home.
    pub fn refuse(&mut self, token: &Token, up_to: Try, now: Instant) -> Refusal<A> {
        let tick = self.tick(now);
        let up_to = up_to.max(Try::FIRST);
        if let Some(key) = self.records.key_of(token.id) {
            return self.refuse_recorded(key, up_to);
        }
        if self.validate(token, tick).is_err() {
            return Refusal::Unknown;
        }
        if !self.watermarks.refuses(token) {
            self.record_refusal(token, up_to);
        }
        Refusal::RefusedForGood
    }

    /// Returns whether a call of the token is waiting or running, so that another try would join it.
    ///
    /// A node that is leaving lets such a try [`arrive`](Self::arrive), as it adds no work, and refuses all others.
    pub fn is_live(&self, token: &Token) -> bool {
        let key = self.records.key_of(token.id);
        key.is_some_and(|key| self.records.is_live(key))
    }

    /// Removes all expired records, except those whose call is waiting or running.
    pub fn expire(&mut self, now: Instant) {
        self.tick(now);
        self.remove_expired(usize::MAX);
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table contains no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the total size of all stored answers in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.records.answer_bytes()
    }

    /// Returns and clears the last invariant that was violated since the previous call.
    pub fn take_breach(&mut self) -> Option<Invariant> {
        self.breach.take()
    }

    fn validate(&self, token: &Token, tick: Tick) -> Result<(), ErrorKind> {
        if token.incarnation != self.incarnation {
            return Err(ErrorKind::HomeLost);
        }
        if token.tick > tick {
            return Err(ErrorKind::BadToken);
        }
        if tick.since(token.tick) > self.cfg.retention {
            return Err(ErrorKind::TokenExpired);
        }
        Ok(())
    }

    fn arrive_again(&mut self, key: RecordKey, number: Try) -> Arrival<A> {
        let Some(record) = self.records.get_mut(key) else {
            return Arrival::Refused(ErrorKind::AnswerLost);
        };
        match &record.state {
            State::Running => Arrival::Join(key),
            State::Ran(answer) => Arrival::Replay(answer.clone()),
            State::AnswerGone => Arrival::Refused(ErrorKind::AnswerGone),
            State::Lost => Arrival::Refused(ErrorKind::AnswerLost),
            State::Waiting => {
                record.highest_try = record.highest_try.max(number);
                if record.all_tries_refused() {
                    return Arrival::Refused(ErrorKind::TokenRefused);
                }
                Arrival::Join(key)
            }
            State::Refused if number <= record.refused_up_to => {
                Arrival::Refused(ErrorKind::TokenRefused)
            }
            State::Refused => self.run_higher_try(key, number),
        }
    }

    /// Runs a try that is higher than all refused ones.
    fn run_higher_try(&mut self, key: RecordKey, number: Try) -> Arrival<A> {
        if self.has_capacity()
            && let Some(key) = self.records.reopen(key, number)
        {
            return Arrival::Run(key);
        }
        if let Some(record) = self.records.get_mut(key) {
            record.refuse_up_to(number);
        }
        Arrival::Refused(ErrorKind::TableFull)
    }

    fn refuse_recorded(&mut self, key: RecordKey, up_to: Try) -> Refusal<A> {
        let Some(record) = self.records.get_mut(key) else {
            return Refusal::Unknown;
        };
        match &record.state {
            State::Running => Refusal::Running,
            State::Ran(answer) => Refusal::Ran(answer.clone()),
            State::AnswerGone => Refusal::AnswerGone,
            State::Lost => Refusal::Unknown,
            State::Waiting | State::Refused => {
                record.refuse_up_to(up_to);
                Refusal::RefusedForGood
            }
        }
    }

    /// Refuses the tries up to `up_to` of a token without a record. Raises a watermark if the table has no room.
    fn record_refusal(&mut self, token: &Token, up_to: Try) {
        if self.records.refusal_count() < self.cfg.refusal_capacity {
            self.records.insert(Record::refused(token, up_to));
            return;
        }
        self.watermarks.raise(token.id, token.tick);
    }

    fn has_capacity(&self) -> bool {
        self.records.call_count() < self.cfg.capacity
    }

    fn remove_expired(&mut self, limit: usize) {
        let keep = self.cfg.retention.saturating_add(self.cfg.record_margin);
        let tick = self.latest;
        self.records
            .remove_expired(limit, |minted| tick.since(minted) > keep);
    }
}
