//! Records of a home, indexed by token id and by age.

use std::collections::BTreeSet;

use slotmap::SlotMap;

use crate::collections::Map;
use crate::once::record::{Record, RecordKey, State};
use crate::once::{AnswerSize, Tick, Try};

/// Stores the records and their counters. Capacity limits are enforced by the table.
#[derive(Clone, Debug)]
pub(super) struct Records<A> {
    slots: SlotMap<RecordKey, Record<A>>,
    /// Ids are random and authenticated by the fleet's keys, so callers can't choose colliding ones.
    by_id: Map<u128, RecordKey>,
    by_age: BTreeSet<(Tick, u128)>,
    refusal_count: usize,
    answer_bytes: usize,
}

impl<A> Records<A>
where
    A: AnswerSize,
{
    /// Creates an empty store.
    pub(super) fn new() -> Self {
        Self {
            slots: SlotMap::with_key(),
            by_id: Map::default(),
            by_age: BTreeSet::new(),
            refusal_count: 0,
            answer_bytes: 0,
        }
    }

    /// Returns the number of records.
    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns the number of records that only store refused tries.
    pub(super) fn refusal_count(&self) -> usize {
        self.refusal_count
    }

    /// Returns the number of records whose call is waiting, running or was sent to the target.
    pub(super) fn call_count(&self) -> usize {
        self.len() - self.refusal_count
    }

    /// Returns the total size of all stored answers in bytes.
    pub(super) fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Returns the key of the record of the token with this id.
    pub(super) fn key_of(&self, id: u128) -> Option<RecordKey> {
        self.by_id.get(&id).copied()
    }

    /// Returns whether the call of the record is waiting or running.
    pub(super) fn is_live(&self, key: RecordKey) -> bool {
        self.slots.get(key).is_some_and(Record::is_live)
    }

    /// Returns the record under `key`, unless it was removed or reopened under a new key.
    pub(super) fn get_mut(&mut self, key: RecordKey) -> Option<&mut Record<A>> {
        self.slots.get_mut(key)
    }

    /// Adds the record of a token that has no record yet.
    pub(super) fn insert(&mut self, record: Record<A>) -> RecordKey {
        let (id, tick) = (record.id, record.tick);
        self.refusal_count += usize::from(record.is_refusal_only());
        let key = self.slots.insert(record);
        self.by_id.insert(id, key);
        self.by_age.insert((tick, id));
        key
    }

    /// Removes a record.
    pub(super) fn remove(&mut self, key: RecordKey) -> Option<Record<A>> {
        let record = self.slots.remove(key)?;
        self.refusal_count -= usize::from(record.is_refusal_only());
        if let State::Ran(answer) = &record.state {
            self.answer_bytes -= answer.answer_size();
        }
        self.by_id.remove(&record.id);
        self.by_age.remove(&(record.tick, record.id));
        Some(record)
    }

    /// Changes a refused record to waiting, under a new key so that the old key becomes invalid.
    pub(super) fn reopen(&mut self, key: RecordKey, number: Try) -> Option<RecordKey> {
        let mut record = self.remove(key)?;
        record.highest_try = number;
        record.state = State::Waiting;
        Some(self.insert(record))
    }

    /// Changes a waiting record to refused, with all tries that arrived.
    pub(super) fn close_as_refused(&mut self, key: RecordKey) {
        let Some(record) = self.slots.get_mut(key) else {
            return;
        };
        record.refuse_up_to(record.highest_try);
        record.state = State::Refused;
        self.refusal_count += 1;
    }

    /// Stores the answer of a record that has none yet.
    pub(super) fn keep_answer(&mut self, key: RecordKey, answer: A) {
        let Some(record) = self.slots.get_mut(key) else {
            return;
        };
        self.answer_bytes += answer.answer_size();
        record.state = State::Ran(answer);
    }

    /// Removes at most `limit` records, oldest first, up to the first one for which `is_expired` returns false. Records
    /// of waiting or running calls are skipped.
    pub(super) fn remove_expired<F>(&mut self, limit: usize, is_expired: F)
    where
        F: Fn(Tick) -> bool,
    {
        let due: Vec<RecordKey> = self
            .by_age
            .iter()
            .take_while(|(tick, _)| is_expired(*tick))
            .filter_map(|(_, id)| self.by_id.get(id).copied())
            .filter(|key| !self.is_live(*key))
            .take(limit)
            .collect();
        for key in due {
            self.remove(key);
        }
    }
}
