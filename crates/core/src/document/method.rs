//! The HTTP methods that a document may name.

/// A method that an operation may name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Method {
    /// `GET`.
    Get,
    /// `HEAD`.
    Head,
    /// `PUT`.
    Put,
    /// `DELETE`.
    Delete,
    /// `OPTIONS`.
    Options,
    /// `POST`.
    Post,
    /// `PATCH`.
    Patch,
}

impl Method {
    /// Every method with the word that names it.
    pub const WORDS: [(&str, Self); 7] = [
        ("GET", Self::Get),
        ("HEAD", Self::Head),
        ("PUT", Self::Put),
        ("DELETE", Self::Delete),
        ("OPTIONS", Self::Options),
        ("POST", Self::Post),
        ("PATCH", Self::Patch),
    ];

    /// The method of a word, compared by case as HTTP does; absent where a document can't name it.
    pub fn from_word(word: &str) -> Option<Self> {
        Self::WORDS
            .iter()
            .find(|(known, _)| *known == word)
            .map(|(_, method)| *method)
    }

    /// Whether calls of this method are idempotent unless an operation says otherwise (RFC 9110, section 9.2.2).
    pub const fn is_idempotent(self) -> bool {
        match self {
            Self::Get | Self::Head | Self::Put | Self::Delete | Self::Options => true,
            Self::Post | Self::Patch => false,
        }
    }
}
