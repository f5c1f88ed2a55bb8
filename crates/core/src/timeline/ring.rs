//! Ring buffer of timeline records.

use std::collections::VecDeque;

use super::filter::Filter;
use super::record::Record;

/// Ring buffer of the newest records of a node, ordered from oldest to newest.
#[derive(Clone, Debug)]
pub struct Ring {
    records: VecDeque<Record>,
    capacity: usize,
    dropped: u64,
}

impl Ring {
    /// Creates an empty buffer for at most `capacity` records.
    pub fn new(capacity: usize) -> Self {
        Self {
            records: VecDeque::new(),
            capacity,
            dropped: 0,
        }
    }

    /// Appends a record and drops the oldest one if the buffer is full.
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

    /// Returns the records that match the filter, ordered from oldest to newest.
    pub fn select(&self, filter: Filter) -> Vec<Record> {
        let matching = self.records.iter().filter(|record| filter.matches(record));
        if filter.since.is_some() {
            return matching.take(filter.limit).cloned().collect();
        }
        let mut newest: Vec<_> = matching.rev().take(filter.limit).cloned().collect();
        newest.reverse();
        newest
    }

    /// Returns the number of records in the buffer.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of records dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
