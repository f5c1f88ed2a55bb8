//! HTTP methods that a document may name.

/// HTTP method of an operation.
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
    /// All methods with their names in HTTP.
    pub const NAMES: [(&str, Self); 7] = [
        ("GET", Self::Get),
        ("HEAD", Self::Head),
        ("PUT", Self::Put),
        ("DELETE", Self::Delete),
        ("OPTIONS", Self::Options),
        ("POST", Self::Post),
        ("PATCH", Self::Patch),
    ];

    /// Returns the method with this name, or `None` if documents don't support it. Like HTTP, this is case-sensitive.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::NAMES
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, method)| *method)
    }

    /// Returns whether the method is idempotent by RFC 9110, section 9.2.2. An operation may override this.
    pub const fn is_idempotent(self) -> bool {
        match self {
            Self::Get | Self::Head | Self::Put | Self::Delete | Self::Options => true,
            Self::Post | Self::Patch => false,
        }
    }
}
