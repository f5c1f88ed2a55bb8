//! The records of a home, indexed by token and by age.

use std::collections::BTreeSet;

use slotmap::SlotMap;

use crate::collections::Map;
use crate::once::record::{Record, RecordKey, State};
use crate::once::{AnswerSize, Tick, Try};

/// Holds the records and their counts; what may be added is for the table to decide.
#[derive(Clone, Debug)]
pub(super) struct Records<A> {
    slots: SlotMap<RecordKey, Record<A>>,
    /// Ids are random and sealed by the fleet, so callers can't choose colliding ones.
    by_id: Map<u128, RecordKey>,
    by_age: BTreeSet<(Tick, u128)>,
    burned: usize,
    answer_bytes: usize,
}

impl<A> Records<A>
where
    A: AnswerSize,
{
    /// An empty store.
    pub(super) fn new() -> Self {
        Self {
            slots: SlotMap::with_key(),
            by_id: Map::default(),
            by_age: BTreeSet::new(),
            burned: 0,
            answer_bytes: 0,
        }
    }

    /// Number of records.
    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Number of records kept only because tries were refused.
    pub(super) fn burned(&self) -> usize {
        self.burned
    }

    /// Number of records whose call waits, runs or ran.
    pub(super) fn used(&self) -> usize {
        self.len() - self.burned
    }

    /// Size of all kept answers.
    pub(super) fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// The record of the token with this id.
    pub(super) fn key_of(&self, id: u128) -> Option<RecordKey> {
        self.by_id.get(&id).copied()
    }

    /// Whether the record's call waits or runs.
    pub(super) fn is_live(&self, key: RecordKey) -> bool {
        self.slots.get(key).is_some_and(Record::is_live)
    }

    /// The record under `key`, unless it was closed or dropped.
    pub(super) fn get_mut(&mut self, key: RecordKey) -> Option<&mut Record<A>> {
        self.slots.get_mut(key)
    }

    /// Adds the record of a token that has none.
    pub(super) fn insert(&mut self, record: Record<A>) -> RecordKey {
        let (id, tick) = (record.id, record.tick);
        self.burned += usize::from(record.is_burned());
        let key = self.slots.insert(record);
        self.by_id.insert(id, key);
        self.by_age.insert((tick, id));
        key
    }

    /// Drops a record.
    pub(super) fn remove(&mut self, key: RecordKey) -> Option<Record<A>> {
        let record = self.slots.remove(key)?;
        self.burned -= usize::from(record.is_burned());
        if let State::Ran(answer) = &record.state {
            self.answer_bytes -= answer.answer_size();
        }
        self.by_id.remove(&record.id);
        self.by_age.remove(&(record.tick, record.id));
        Some(record)
    }

    /// Turns a burned record into one that waits, under a new key so that the old one is dead.
    pub(super) fn revive(&mut self, key: RecordKey, number: Try) -> Option<RecordKey> {
        let mut record = self.remove(key)?;
        record.seen = number;
        record.state = State::Waiting;
        Some(self.insert(record))
    }

    /// Turns a record that waits into a burned one.
    pub(super) fn close_as_burned(&mut self, key: RecordKey) {
        let Some(record) = self.slots.get_mut(key) else {
            return;
        };
        record.burn(record.seen);
        record.state = State::Burned;
        self.burned += 1;
    }

    /// Keeps the answer of a record that has none yet.
    pub(super) fn keep_answer(&mut self, key: RecordKey, answer: A) {
        let Some(record) = self.slots.get_mut(key) else {
            return;
        };
        self.answer_bytes += answer.answer_size();
        record.state = State::Ran(answer);
    }

    /// Drops at most `limit` records for which `is_due` holds, oldest first, up to the first for which it doesn't; live
    /// ones stay.
    pub(super) fn remove_due<F>(&mut self, limit: usize, is_due: F)
    where
        F: Fn(Tick) -> bool,
    {
        let due: Vec<RecordKey> = self
            .by_age
            .iter()
            .take_while(|(tick, _)| is_due(*tick))
            .filter_map(|(_, id)| self.by_id.get(id).copied())
            .filter(|key| !self.is_live(*key))
            .take(limit)
            .collect();
        for key in due {
            self.remove(key);
        }
    }
}
