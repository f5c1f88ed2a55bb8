//! Call counters per class.

/// Number of calls of one class since the controller was created.
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
    /// Queued or started calls that were cancelled by their caller.
    pub cancelled: u64,
    /// Calls shed because their class and bucket were above the admission level, on arrival or while queued.
    pub shed_by_level: u64,
    /// Calls shed because the queue was full.
    pub shed_by_queue: u64,
    /// Calls refused because they could not finish before their deadline.
    pub refused_by_deadline: u64,
}
