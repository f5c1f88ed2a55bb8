//! What a node holds of a request.

/// How far a request is suspected of crashing targets; later values are graver.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It is not.
    #[default]
    Unsuspected,
    /// A target has crashed while it was at work, as it may have done under any other request there.
    Suspected,
    /// Several targets have: it runs only where no other such request does.
    Isolated,
    /// It is sent to no target.
    Refused,
}

impl Standing {
    /// Word for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unsuspected => "unsuspected",
            Self::Suspected => "suspected",
            Self::Isolated => "isolated",
            Self::Refused => "refused",
        }
    }
}
