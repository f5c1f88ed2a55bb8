//! Counts of calls by class.

/// Calls of one class since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Calls offered.
    pub offered: u64,
    /// Calls sent to the target.
    pub started: u64,
    /// Calls answered by the target.
    pub served: u64,
    /// Calls that failed at the target.
    pub failed: u64,
    /// Calls whose caller left, queued or started.
    pub cancelled: u64,
    /// Calls refused because their class or bucket was above the level.
    pub shed_by_level: u64,
    /// Calls refused because the queue was full.
    pub shed_by_queue: u64,
    /// Calls refused because they could not finish in time.
    pub refused_by_deadline: u64,
}
