//! Reads what a target announces about itself in a response.

use coltsfootport_core::mesh::{Announcement, Dialect};
use http::HeaderMap;
use smol_str::SmolStr;

/// A rate limit that is not a finite number of 0 or more.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid rate limit: {0:?}")]
pub struct InvalidRateLimit(pub SmolStr);

/// Reads the announcement in the headers of a response. With an invalid limit, the rest of it is still valid.
pub fn read_announcement(
    headers: &HeaderMap,
    dialect: &Dialect,
) -> (Announcement, Option<InvalidRateLimit>) {
    let (rate_limit, invalid) = match headers.get(dialect.rate_limit) {
        None => (None, None),
        Some(value) => match parse_rate(value.to_str().unwrap_or_default()) {
            Some(rate) => (Some(rate), None),
            None => {
                let text = String::from_utf8_lossy(value.as_bytes());
                (None, Some(InvalidRateLimit(text.into())))
            }
        },
    };
    let announcement = Announcement {
        rate_limit,
        leaving: announces_leaving(headers, dialect),
    };
    (announcement, invalid)
}

/// Whether a target announces in the headers of a response that it is leaving.
pub fn announces_leaving(headers: &HeaderMap, dialect: &Dialect) -> bool {
    headers
        .get(dialect.leaving)
        .is_some_and(|value| value.as_bytes() != b"0")
}

fn parse_rate(text: &str) -> Option<f64> {
    let rate: f64 = text.trim().parse().ok()?;
    (rate.is_finite() && rate >= 0.0).then_some(rate)
}
