//! Invariants that every node checks while it runs.

/// A condition that must hold in every state; a breach is a defect of coltsfootport.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// A token was dispatched to the target a second time.
    DispatchedTwice,
    /// A retry allowance grew beyond what was granted.
    AllowanceGrew,
    /// A document's revision in force went back.
    VersionWentBack,
    /// New work was dispatched after the node began to leave.
    WorkAfterLeaving,
    /// An answer was about to reach a call that it doesn't belong to.
    AnswerToWrongCall,
    /// A queue grew past its bound.
    QueuePastBound,
}

impl Invariant {
    /// Every invariant, for metrics that list all of them from the start.
    pub const ALL: [Self; 6] = [
        Self::DispatchedTwice,
        Self::AllowanceGrew,
        Self::VersionWentBack,
        Self::WorkAfterLeaving,
        Self::AnswerToWrongCall,
        Self::QueuePastBound,
    ];

    /// The label used in metrics, logs and the time line.
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
