//! What a node's life asks of the process around it.

/// Something that the process must do or record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LifecycleEvent {
    /// Tell the peers that this node is leaving; repeated while it lasts, since a message may be lost.
    Announce,
    /// Nothing is left and the announcement has had its time: the process may end.
    Drained,
    /// The drain limit has passed with work still here.
    DrainDeadline {
        /// Calls that wait for dispatch or are at the target.
        left: usize,
    },
}
