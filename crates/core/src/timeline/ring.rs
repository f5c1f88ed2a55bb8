//! The bounded store of a node's records.

use std::collections::VecDeque;

use super::filter::Filter;
use super::record::Record;

/// The newest records of a node, oldest first.
#[derive(Clone, Debug)]
pub struct Ring {
    records: VecDeque<Record>,
    capacity: usize,
    dropped: u64,
}

impl Ring {
    /// An empty store that keeps at most `capacity` records.
    pub fn new(capacity: usize) -> Self {
        Self {
            records: VecDeque::new(),
            capacity,
            dropped: 0,
        }
    }

    /// Adds the newest record, in place of the oldest one where the store is full.
    pub fn push(&mut self, record: Record) {
        if self.capacity == 0 {
            self.dropped += 1;
            return;
        }
        if self.records.len() == self.capacity {
            self.records.pop_front();
            self.dropped += 1;
        }
        self.records.push_back(record);
    }

    /// The records that meet the filter, oldest first.
    pub fn select(&self, filter: Filter) -> Vec<Record> {
        let matching = self.records.iter().filter(|record| filter.matches(record));
        if filter.since.is_some() {
            return matching.take(filter.limit).cloned().collect();
        }
        let mut newest: Vec<_> = matching.rev().take(filter.limit).cloned().collect();
        newest.reverse();
        newest
    }

    /// Number of records kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of records that gave way to newer ones since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
