//! What a home answers to an entry that asks it to refuse a token.

/// The home's answer to [`refuse`](crate::once::OnceTable::refuse).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal<A> {
    /// The call is at the target; its answer isn't known yet.
    Running,
    /// The call ran; this is its answer.
    Ran(A),
    /// The call ran and its answer was not kept.
    AnswerGone,
    /// The home can't tell: another incarnation, a token past its retention, or an answer that was lost.
    Unknown,
    /// No try up to the given one has run or ever will.
    RefusedForGood,
}
