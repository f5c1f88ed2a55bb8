//! Invariants that every node checks at run time.

/// Invariant of a node, named after its violation. A violation is a bug in coltsfootport.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// A token was dispatched to the target a second time.
    DispatchedTwice,
    /// A retry allowance exceeded the granted amount.
    AllowanceGrew,
    /// The active revision of a document decreased.
    VersionWentBack,
    /// New work was dispatched after the node started to shut down.
    WorkAfterLeaving,
    /// An answer was about to be delivered to the wrong call.
    AnswerToWrongCall,
    /// A queue exceeded its maximum length.
    QueuePastBound,
}

impl Invariant {
    /// All invariants, for metrics that export every label from the start.
    pub const ALL: [Self; 6] = [
        Self::DispatchedTwice,
        Self::AllowanceGrew,
        Self::VersionWentBack,
        Self::WorkAfterLeaving,
        Self::AnswerToWrongCall,
        Self::QueuePastBound,
    ];

    /// Returns the label used in metrics, logs and the timeline.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::DispatchedTwice => "dispatched-twice",
            Self::AllowanceGrew => "allowance-grew",
            Self::VersionWentBack => "version-went-back",
            Self::WorkAfterLeaving => "work-after-leaving",
            Self::AnswerToWrongCall => "answer-to-wrong-call",
            Self::QueuePastBound => "queue-past-bound",
        }
    }
}
