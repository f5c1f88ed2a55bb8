//! What became of a request at an instance.

/// What became of a request at an instance, as far as the choice of instances is concerned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SendOutcome {
    /// A whole answer, after this multiple of the route's usual time.
    Answered {
        /// Time over the usual time of the route.
        relative: f64,
    },
    /// The target failed, refused it or broke off.
    Failed,
    /// The target does not listen, or is not that instance any more.
    TargetGone,
    /// The host's queue was too long; the target was not asked.
    HostBusy,
    /// The host is about to stop; the target was not asked.
    HostStopping,
    /// The host could not be reached.
    NotReached,
    /// Nobody waits for it any more; says nothing about the instance.
    Abandoned,
}
