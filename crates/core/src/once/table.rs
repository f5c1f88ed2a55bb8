//! The table of a home: which tokens run, ran or never will.

mod life;

use std::time::Instant;

use crate::error_kind::ErrorKind;
use crate::id::Incarnation;
use crate::invariant::Invariant;
use crate::once::watermarks::Watermarks;
use crate::once::record::{Record, State};
use crate::once::records::Records;
use crate::once::{AnswerSize, Arrival, OnceConfig, RecordKey, Refusal, Tick, Token, Try};

/// Most records that an arrival drops on its way, more than it adds.
///
/// Under load nobody may find the time to call `expire`. Expired records would then pile up to the capacity, and be
/// dropped in one long pause.
const DROPPED_PER_ARRIVAL: usize = 4;

/// Decides at a home which call of a token goes to the target, at most one for each token.
///
/// Every call that bears a token goes through [`arrive`](Self::arrive) before any other check of the home may refuse
/// it, because only what the table has recorded stays refused.
#[derive(Clone, Debug)]
pub struct OnceTable<A> {
    cfg: OnceConfig,
    incarnation: Incarnation,
    started: Instant,
    /// The latest time that the table acted on.
    latest: Tick,
    records: Records<A>,
    watermarks: Watermarks,
    breach: Option<Invariant>,
}

impl<A> OnceTable<A>
where
    A: Clone + AnswerSize,
{
    /// The empty table of an incarnation that starts now.
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

    /// The incarnation whose tokens run here.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The home's time at `now`, to be told to other nodes on every message; it never goes back.
    ///
    /// A task may take the time, sleep, and hand it in after another task has expired records by a later time. By its
    /// old time a token whose record is gone would look young, and its call would run a second time. A token minted
    /// from a time that was told before would look forged.
    pub fn tick(&mut self, now: Instant) -> Tick {
        self.latest = Tick::at(self.started, now).max(self.latest);
        self.latest
    }

    /// Takes in a call that bears `token`.
    pub fn arrive(&mut self, token: &Token, number: Try, now: Instant) -> Arrival<A> {
        let tick = self.tick(now);
        let number = number.max(Try::FIRST);
        self.drop_due(DROPPED_PER_ARRIVAL);
        if let Err(kind) = self.check(token, tick) {
            return Arrival::Refused(kind);
        }
        if let Some(key) = self.records.key_of(token.id) {
            return self.arrive_again(key, number);
        }
        if self.watermarks.refuses(token) {
            return Arrival::Refused(ErrorKind::TokenRefused);
        }
        if !self.has_room() {
            self.record_burn(token, number);
            return Arrival::Refused(ErrorKind::TableFull);
        }
        Arrival::Run(self.records.insert(Record::waiting(token, number)))
    }

    /// Refuses all tries up to `up_to` for good, for an entry that lost contact, unless the call has run.
    pub fn refuse(&mut self, token: &Token, up_to: Try, now: Instant) -> Refusal<A> {
        let tick = self.tick(now);
        let up_to = up_to.max(Try::FIRST);
        if let Some(key) = self.records.key_of(token.id) {
            return self.refuse_recorded(key, up_to);
        }
        if self.check(token, tick).is_err() {
            return Refusal::Unknown;
        }
        if !self.watermarks.refuses(token) {
            self.record_burn(token, up_to);
        }
        Refusal::RefusedForGood
    }

    /// Whether a call of the token waits or runs, so that a further try would join it.
    ///
    /// A node which is leaving lets such a try [`arrive`](Self::arrive), as it adds no work, and refuses all others.
    pub fn is_live(&self, token: &Token) -> bool {
        let key = self.records.key_of(token.id);
        key.is_some_and(|key| self.records.is_live(key))
    }

    /// Drops the records whose tokens have expired, except those whose call waits or runs.
    pub fn expire(&mut self, now: Instant) {
        self.tick(now);
        self.drop_due(usize::MAX);
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Size of all kept answers in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.records.answer_bytes()
    }

    /// The invariant that was broken since this was last asked.
    pub fn take_breach(&mut self) -> Option<Invariant> {
        self.breach.take()
    }

    fn check(&self, token: &Token, tick: Tick) -> Result<(), ErrorKind> {
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
                record.seen = record.seen.max(number);
                if record.is_refused() {
                    return Arrival::Refused(ErrorKind::TokenRefused);
                }
                Arrival::Join(key)
            }
            State::Burned if number <= record.burned => Arrival::Refused(ErrorKind::TokenRefused),
            State::Burned => self.run_higher(key, number),
        }
    }

    /// Runs a try above the refused ones.
    fn run_higher(&mut self, key: RecordKey, number: Try) -> Arrival<A> {
        if self.has_room()
            && let Some(key) = self.records.revive(key, number)
        {
            return Arrival::Run(key);
        }
        if let Some(record) = self.records.get_mut(key) {
            record.burn(number);
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
            State::Waiting | State::Burned => {
                record.burn(up_to);
                Refusal::RefusedForGood
            }
        }
    }

    /// Refuses tries of a token without a record.
    fn record_burn(&mut self, token: &Token, up_to: Try) {
        if self.records.burned() < self.cfg.burn_capacity {
            self.records.insert(Record::burned(token, up_to));
            return;
        }
        self.watermarks.raise(token.id, token.tick);
    }

    fn has_room(&self) -> bool {
        self.records.used() < self.cfg.capacity
    }

    fn drop_due(&mut self, limit: usize) {
        let keep = self.cfg.retention.saturating_add(self.cfg.record_margin);
        let tick = self.latest;
        self.records
            .remove_due(limit, |minted| tick.since(minted) > keep);
    }
}
