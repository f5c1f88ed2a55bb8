//! Memory of the requests that targets have answered recently.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::Fingerprint;

/// The requests that were answered completely within the last one to two spans, or the latest ones if there are more.
///
/// Two generations bound the memory without a time per request: the older one is dropped as a whole. A request that is
/// answered often is in both.
#[derive(Clone, Debug)]
pub struct RecentAnswers {
    span: Duration,
    max_len: usize,
    /// Ordered sets, because callers control what is fingerprinted and could provoke collisions in a hash table.
    current: BTreeSet<Fingerprint>,
    previous: BTreeSet<Fingerprint>,
    /// When the current generation began; `None` before the first answer.
    since: Option<Instant>,
}

impl RecentAnswers {
    /// Creates an empty memory with at most `max_len` requests per generation.
    pub fn new(span: Duration, max_len: usize) -> Self {
        Self {
            span,
            max_len,
            current: BTreeSet::new(),
            previous: BTreeSet::new(),
            since: None,
        }
    }

    /// Records that a request was answered.
    pub fn insert(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.rotate(now);
        self.current.insert(fingerprint);
    }

    /// Returns whether a request was answered recently.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.current.contains(&fingerprint) || self.previous.contains(&fingerprint)
    }

    /// Drops the older generation if the current one is full or its span is over.
    pub fn rotate(&mut self, now: Instant) {
        let since = *self.since.get_or_insert(now);
        let is_over = now.saturating_duration_since(since) >= self.span;
        if is_over || self.current.len() >= self.max_len {
            self.previous = std::mem::take(&mut self.current);
            self.since = Some(now);
        }
    }
}
