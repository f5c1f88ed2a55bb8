//! Answer of a home to an entry that requests the refusal of a token.

/// Result of [`refuse`](crate::once::OnceTable::refuse).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal<A> {
    /// The call was sent to the target; its answer is pending.
    Running,
    /// The call ran; contains its stored answer.
    Ran(A),
    /// The call ran, but its answer was not stored.
    AnswerGone,
    /// The home can't determine the outcome: the token belongs to another incarnation, is not valid by its age, or the
    /// answer was lost.
    Unknown,
    /// No try up to the requested one has run or will ever run.
    RefusedForGood,
}
