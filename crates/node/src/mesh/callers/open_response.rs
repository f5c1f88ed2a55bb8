//! Requests of a caller connection whose responses have not been written.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

/// Number of a request on its connection, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ResponseSeq(u64);

/// A request without a complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenResponse {
    /// Request id; empty if the caller sent none.
    pub id: SmolStr,
    /// When the head of the request was read.
    pub read_at: Instant,
    /// Number of unanswered requests on the connection when it was read.
    pub ahead: usize,
    /// When its response was ready to be written.
    pub ready_at: Option<Instant>,
    /// Whether the request was started.
    started: bool,
    /// Whether the request was passed on to a target.
    passed_on: bool,
}

impl OpenResponse {
    /// Time for which the response has been ready.
    pub fn waited(&self, now: Instant) -> Duration {
        self.ready_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }
}

/// The requests without a complete response on one connection, oldest first.
#[derive(Debug, Default)]
pub struct OpenResponses {
    open: VecDeque<OpenResponse>,
    /// Number of the oldest one.
    first: u64,
}

impl OpenResponses {
    /// Adds a request.
    pub fn push(&mut self, id: SmolStr, now: Instant) -> ResponseSeq {
        let ahead = self.open.len();
        self.open.push_back(OpenResponse {
            id,
            read_at: now,
            ahead,
            ready_at: None,
            started: false,
            passed_on: false,
        });
        ResponseSeq(self.first + ahead as u64)
    }

    /// Records that a request was started.
    pub fn set_started(&mut self, seq: ResponseSeq) {
        if let Some(open) = self.get_mut(seq) {
            open.started = true;
        }
    }

    /// Whether a request was started.
    pub fn has_started(&self) -> bool {
        self.open.iter().any(|open| open.started)
    }

    /// Records that a response is ready, and whether its request was passed on to a target.
    pub fn set_ready(&mut self, seq: ResponseSeq, passed_on: bool, now: Instant) {
        if let Some(open) = self.get_mut(seq) {
            open.ready_at = Some(now);
            open.passed_on = passed_on;
        }
    }

    /// Whether the response to a request that was passed on is ready behind the one with this number.
    pub fn is_ready_behind(&self, seq: ResponseSeq) -> bool {
        let behind = (seq.0 + 1).saturating_sub(self.first);
        let behind = usize::try_from(behind).unwrap_or(usize::MAX);
        let mut behind = self.open.iter().skip(behind);
        behind.any(|open| open.passed_on)
    }

    /// Removes the oldest request.
    pub fn pop(&mut self) -> Option<OpenResponse> {
        let oldest = self.open.pop_front()?;
        self.first += 1;
        Some(oldest)
    }

    /// The oldest request.
    pub fn front(&self) -> Option<&OpenResponse> {
        self.open.front()
    }

    /// Number of requests.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns all requests.
    pub fn to_vec(&self) -> Vec<OpenResponse> {
        self.open.iter().cloned().collect()
    }

    fn get_mut(&mut self, seq: ResponseSeq) -> Option<&mut OpenResponse> {
        let index = seq.0.checked_sub(self.first)?;
        self.open.get_mut(usize::try_from(index).ok()?)
    }
}
