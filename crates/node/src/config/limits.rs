//! Section `limits`: maximum sizes, counts and times.

use std::time::Duration;

use coltsfootport_core::jsonc::Section;

/// Limits that bound the memory and sockets of a node regardless of what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitsSettings {
    /// Maximum size of the body of a request or an answer in bytes.
    pub body_bytes: u32,
    /// Maximum size of the head of a request or an answer in bytes.
    pub header_bytes: u32,
    /// Maximum number of connections from callers, and of connections from the target.
    pub connections: u32,
    /// Maximum number of concurrent calls from callers, and of concurrent calls from the target.
    pub in_flight: u32,
    /// Maximum number of open streams per peer.
    pub peer_streams: u32,
    /// Maximum time for a request's head, its body, or a peer's frame to arrive.
    pub header_timeout: Duration,
    /// Time after which a connection is closed if a peer sends nothing or a caller doesn't read its answer.
    pub idle_timeout: Duration,
}

impl Default for LimitsSettings {
    fn default() -> Self {
        Self {
            body_bytes: 1024 * 1024,
            header_bytes: 16 * 1024,
            connections: 4096,
            in_flight: 4096,
            peer_streams: 1024,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

impl LimitsSettings {
    pub(super) fn read(mut section: Section<'_, '_>) -> Self {
        let default = Self::default();
        let settings = Self {
            body_bytes: section.integer("body_bytes", 0..=64 * 1024 * 1024, default.body_bytes),
            header_bytes: section.integer("header_bytes", 8192..=262_144, default.header_bytes),
            connections: section.integer("connections", 1..=65_535, default.connections),
            in_flight: section.integer("in_flight", 1..=65_535, default.in_flight),
            peer_streams: section.integer("peer_streams", 1..=65_535, default.peer_streams),
            header_timeout: section.millis(
                "header_timeout_ms",
                10..=60_000,
                default.header_timeout,
            ),
            idle_timeout: section.millis("idle_timeout_ms", 100..=3_600_000, default.idle_timeout),
        };
        section.finish();
        settings
    }
}
