//! What a target tells about itself in its responses.

/// State of a target, as named in one of its responses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Announcement {
    /// Requests per second that the target takes from all nodes together, if it names a limit.
    pub rate_limit: Option<f64>,
    /// Whether the target is leaving.
    pub leaving: bool,
}
