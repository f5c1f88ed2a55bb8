//! Whose request it is that enters the mesh, and whether it may.

use crate::mesh::Refusal;
use crate::workspace::{Directory, Workspace};

/// What a request bears to show its workspace.
#[derive(Clone, Copy)]
pub enum Presented<'k> {
    /// No key.
    Nothing,
    /// One key.
    Key(&'k [u8]),
    /// Several; which of them counts would be a matter of who reads them.
    Several,
}

/// A request from outside as far as its workspace is concerned.
#[derive(Clone, Copy)]
pub struct Claim<'k> {
    /// What it bears.
    pub presented: Presented<'k>,
    /// Whether its route needs no key.
    pub public: bool,
    /// Whether its id says that it is a call of a run, although no such run is known here: the node has started anew since, or
    /// the run has been given up. Targets have no keys to send.
    pub of_unknown_run: bool,
    /// Whether the directory is fresh, so that a key which it lacks does not exist.
    pub fresh: bool,
}

/// The workspace of a request; `None` where none is needed.
///
/// # Errors
///
/// It must not run. "Unknown" is only said of a key by a fresh directory: callers don't repeat a request after it, and a node
/// that has missed a change would turn away a workspace that has just got its key.
pub fn authenticate<'d>(
    directory: Option<&'d Directory>,
    claim: &Claim<'_>,
) -> Result<Option<&'d Workspace>, Refusal> {
    let Some(directory) = directory.filter(|_| !claim.public) else {
        return Ok(None);
    };
    let found = match claim.presented {
        Presented::Key(key) => directory.find_by_key(key),
        Presented::Nothing if claim.of_unknown_run => return Err(Refusal::UnknownRun),
        Presented::Nothing | Presented::Several => None,
    };
    match (found, claim.fresh) {
        (Some(workspace), _) => Ok(Some(workspace)),
        (None, true) => Err(Refusal::UnknownKey),
        (None, false) => Err(Refusal::UnverifiedKey),
    }
}

impl std::fmt::Debug for Presented<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Nothing => "Nothing",
            Self::Key(_) => "Key(..)",
            Self::Several => "Several",
        })
    }
}
