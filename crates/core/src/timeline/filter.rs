//! Which records a reader asks for.

use crate::id::RequestId;

use super::event_kind::EventKind;
use super::record::Record;
use super::stamp::Stamp;

/// Conditions that a record must all meet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Filter {
    /// Only records of this request.
    pub request: Option<RequestId>,
    /// Only records stamped above this.
    pub since: Option<Stamp>,
    /// Only these kinds; every kind where empty.
    pub kinds: Vec<EventKind>,
    /// Number of records at most: the oldest ones where `since` is set, so that a reader can go on from the last one;
    /// else the newest ones.
    pub limit: usize,
}

impl Filter {
    /// Records at most where the reader sets no limit.
    pub const DEFAULT_LIMIT: usize = 1000;

    /// Whether the record meets all conditions but the limit.
    pub fn matches(&self, record: &Record) -> bool {
        let request = self
            .request
            .is_none_or(|request| record.request == Some(request));
        let since = self.since.is_none_or(|since| record.at > since);
        let kind = self.kinds.is_empty() || self.kinds.contains(&record.event.kind());
        request && since && kind
    }
}

impl Default for Filter {
    fn default() -> Self {
        Self {
            request: None,
            since: None,
            kinds: Vec::new(),
            limit: Self::DEFAULT_LIMIT,
        }
    }
}
