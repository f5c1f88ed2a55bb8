//! The memory that a kept answer takes.

/// Size of an answer, by which the table bounds the memory of the answers that it keeps.
pub trait AnswerSize {
    /// Size in bytes, headers and body together.
    fn answer_size(&self) -> usize;
}

impl AnswerSize for Vec<u8> {
    fn answer_size(&self) -> usize {
        self.len()
    }
}

impl<A> AnswerSize for std::sync::Arc<A>
where
    A: AnswerSize,
{
    fn answer_size(&self) -> usize {
        self.as_ref().answer_size()
    }
}
