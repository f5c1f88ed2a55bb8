//! Why a published entry names no instance.

/// Why a published entry names no instance to use.
///
/// Entries may come from another writer than an instance. One that can't be understood tells nothing, and the other entries
/// hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EntryFault {
    /// Its bytes are not encoded as they should be.
    Encoding,
    /// Its bytes can't be read as fields.
    Syntax,
    /// A field is missing, of another type or out of its range.
    Field,
    /// Its state is none that is known.
    State,
    /// No configuration in force names its service.
    Service,
}

impl EntryFault {
    /// Word for logs and metrics.
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
