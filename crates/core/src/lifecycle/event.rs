//! Events that the lifecycle state machine emits.

/// An action or report for the process that runs the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LifecycleEvent {
    /// Announce to the peers that this node is leaving. Repeated until the node stops, since messages may be lost.
    Announce,
    /// All work has finished and the announcement period has passed, or the wait was abandoned: the process may exit.
    Drained,
    /// The drain limit has passed with unfinished work.
    DrainDeadline {
        /// Number of calls waiting for dispatch or in flight at the target.
        left: usize,
    },
}
