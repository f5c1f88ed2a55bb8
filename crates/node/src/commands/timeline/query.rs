//! Builds the timeline query to one node.

use std::fmt::Write;

use coltsfootport_core::timeline::Stamp;

use crate::cli::TimelineOptions;

/// Returns path and query string; none of the values needs percent-encoding.
pub(super) fn path(options: &TimelineOptions, since: Option<Stamp>) -> String {
    let mut path = format!("/timeline?limit={}", options.limit);
    // Writing to a string can't fail.
    if let Some(request) = options.request {
        let _ = write!(path, "&request={request}");
    }
    if let Some(since) = since {
        let _ = write!(path, "&since={since}");
    }
    for kind in &options.kind {
        let _ = write!(path, "&kind={kind}");
    }
    path
}
