//! Authentication of requests that enter the mesh.

use crate::mesh::Refusal;
use crate::workspace::{Directory, Workspace};

/// The workspace key sent with a request.
#[derive(Clone, Copy)]
pub enum PresentedKey<'k> {
    /// The request has no key.
    Nothing,
    /// The request has one key.
    Key(&'k [u8]),
    /// The request has several keys. They are rejected because which of them applies would depend on the reader.
    Several,
}

/// The properties of an external request that determine its workspace.
#[derive(Clone, Copy)]
pub struct AuthenticationRequest<'k> {
    /// The key sent with the request.
    pub presented: PresentedKey<'k>,
    /// Whether the route requires no key.
    pub public: bool,
    /// Whether the request id marks it as a call made during a run that is unknown to this node, because the node has
    /// restarted or the run was abandoned. Targets have no keys to send.
    pub from_unknown_run: bool,
    /// Whether the directory is up to date, so that a key missing from it does not exist.
    pub directory_fresh: bool,
}

/// Returns the workspace of a request, or `None` if none is required.
///
/// # Errors
///
/// Returns the reason why the request is refused. [`Refusal::UnknownKey`] requires an up-to-date directory: callers
/// don't retry after it, and a node that missed an update would reject a workspace whose key was just created.
pub fn authenticate<'d>(
    directory: Option<&'d Directory>,
    request: &AuthenticationRequest<'_>,
) -> Result<Option<&'d Workspace>, Refusal> {
    let Some(directory) = directory.filter(|_| !request.public) else {
        return Ok(None);
    };
    let found = match request.presented {
        PresentedKey::Key(key) => directory.find_by_key(key),
        PresentedKey::Nothing if request.from_unknown_run => return Err(Refusal::UnknownRun),
        PresentedKey::Nothing | PresentedKey::Several => None,
    };
    match (found, request.directory_fresh) {
        (Some(workspace), _) => Ok(Some(workspace)),
        (None, true) => Err(Refusal::UnknownKey),
        (None, false) => Err(Refusal::UnverifiedKey),
    }
}

impl std::fmt::Debug for PresentedKey<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Nothing => "Nothing",
            Self::Key(_) => "Key(..)",
            Self::Several => "Several",
        })
    }
}
