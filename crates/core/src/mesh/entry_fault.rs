//! Reasons to reject a published entry.

/// Why a published entry does not describe a usable instance.
///
/// Entries may be written by something other than an instance. An invalid entry describes no instance and does not
/// affect the other entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EntryFault {
    /// The value is not encoded correctly.
    Encoding,
    /// The value can't be parsed.
    Syntax,
    /// A field is missing, has the wrong type or is out of range.
    Field,
    /// The state is not a known one.
    State,
    /// The configuration in force does not name the service.
    Service,
}

impl EntryFault {
    /// Identifier for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Encoding => "encoding",
            Self::Syntax => "syntax",
            Self::Field => "field",
            Self::State => "state",
            Self::Service => "service",
        }
    }
}
