//! Memory use of stored answers.

/// Size of an answer, used by the table to bound the memory of the answers that it stores.
pub trait AnswerSize {
    /// Total size of headers and body in bytes.
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
