//! Callers that were told to come back.

use std::time::{Duration, Instant};

use coltsfootport_core::collections::Map;

/// Requests that were shed, by a hash of what they ask for, until they may have come back.
///
/// Shedding by chance alone would turn some of them away a second time. A caller that did what it was told would then be
/// refused twice while a newcomer gets through.
#[derive(Clone, Debug, Default)]
pub struct Welcome {
    shed: Map<u64, Instant>,
}

/// Longest time for which a shed request is remembered.
const REMEMBERED: Duration = Duration::from_secs(4);

/// Requests remembered at most; bounds memory to some hundred KB.
const MOST: usize = 8192;

impl Welcome {
    /// A request was told to come back.
    pub fn told(&mut self, key: u64, now: Instant) {
        if self.shed.len() >= MOST {
            self.forget(now);
        }
        if self.shed.len() < MOST {
            self.shed.insert(key, now + REMEMBERED);
        }
    }

    /// Whether a request has come back as it was told.
    pub fn is_back(&mut self, key: u64, now: Instant) -> bool {
        self.shed.remove(&key).is_some_and(|until| now < until)
    }

    /// Forgets requests that did not come back.
    pub fn forget(&mut self, now: Instant) {
        self.shed.retain(|_, until| now < *until);
    }
}
