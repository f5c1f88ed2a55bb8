//! Outcome of sending a request to an instance.

/// Outcome of sending a request to an instance, as used for instance selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SendOutcome {
    /// The complete response was received.
    Answered {
        /// Latency divided by the usual latency of the route.
        relative_latency: f64,
    },
    /// The target failed, refused the request or aborted its response.
    Failed,
    /// The target does not listen, or its address belongs to another instance now.
    TargetGone,
    /// The host's queue was too long; the request was not sent to the target.
    HostBusy,
    /// The host is shutting down; the request was not sent to the target.
    HostStopping,
    /// The host could not be reached.
    HostUnreachable,
    /// The caller no longer waits for the response; says nothing about the instance.
    Abandoned,
}
