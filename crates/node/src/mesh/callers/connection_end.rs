//! Why a caller connection has ended.

/// Reason for the end of a caller connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// All requests that were read have been answered.
    Complete,
    /// The caller closed the connection, or the connection failed.
    CallerLeft,
    /// No request came within the idle time.
    Idle,
    /// The connection was closed to make room for others.
    Evicted,
    /// A response ended before its body was complete.
    ResponseTruncated,
    /// A response could not be written.
    WriteFailed,
    /// The task of a request ended without a response.
    TaskFailed,
}

impl ConnectionEnd {
    /// Name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::CallerLeft => "caller-left",
            Self::Idle => "idle",
            Self::Evicted => "evicted",
            Self::ResponseTruncated => "response-truncated",
            Self::WriteFailed => "write-failed",
            Self::TaskFailed => "task-failed",
        }
    }
}
