//! Filters for timeline records.

use crate::id::RequestId;

use super::event_kind::EventKind;
use super::record::Record;
use super::stamp::Stamp;

/// Query for timeline records. A record must satisfy all conditions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Filter {
    /// Selects only records of this request.
    pub request: Option<RequestId>,
    /// Selects only records with a later stamp.
    pub since: Option<Stamp>,
    /// Selects only events of these kinds, or all kinds if empty.
    pub kinds: Vec<EventKind>,
    /// Maximum number of records. With `since`, the oldest matches are returned, so that a reader can continue from the
    /// last one. Otherwise the newest matches are returned.
    pub limit: usize,
}

impl Filter {
    /// Limit used if the reader sets none.
    pub const DEFAULT_LIMIT: usize = 1000;

    /// Returns whether a record satisfies all conditions. The limit is not considered.
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
