//! Keys that soak callers send, and the workspace each one belongs to.

/// Key sent with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Key {
    /// Valid in every configuration version.
    Lasting,
    /// Added by one configuration version and removed by the next.
    OfVersion(u32),
    /// Not part of any configuration.
    Unknown,
}

/// Workspace of [`Key::Lasting`].
pub const LASTING_WORKSPACE: &str = "lasting";

/// Workspace of [`Key::OfVersion`] keys.
pub const CHANGING_WORKSPACE: &str = "changing";

impl Key {
    /// Returns the key as sent in the request.
    pub fn text(self) -> String {
        match self {
            Self::Lasting => String::from("key-lasting"),
            Self::OfVersion(version) => format!("key-of-{version}"),
            Self::Unknown => String::from("key-of-nobody"),
        }
    }

    /// Returns the only workspace that requests with this key may run for.
    pub fn owner(self) -> Option<&'static str> {
        match self {
            Self::Lasting => Some(LASTING_WORKSPACE),
            Self::OfVersion(_) => Some(CHANGING_WORKSPACE),
            Self::Unknown => None,
        }
    }
}
