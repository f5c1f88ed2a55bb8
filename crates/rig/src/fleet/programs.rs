//! Where the programs of a fleet are.

use std::env;
use std::path::{Path, PathBuf};

use crate::error::RigError;

/// The two programs of this workspace.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The node.
    pub node: PathBuf,
    /// The rig.
    pub rig: PathBuf,
}

impl Programs {
    /// The programs beside this one, as cargo builds them.
    pub fn beside_this() -> Result<Self, RigError> {
        let own = env::current_exe()?;
        let folder = own.parent().unwrap_or(Path::new("."));
        Self::in_folder(folder)
    }

    /// The programs in a folder, or above it where it is the folder of test programs.
    pub fn in_folder(folder: &Path) -> Result<Self, RigError> {
        let above = folder.parent().unwrap_or(folder);
        for folder in [folder, above] {
            let node = folder.join("coltsfootport");
            let rig = folder.join("coltsfootport-rig");
            if node.is_file() && rig.is_file() {
                return Ok(Self { node, rig });
            }
        }
        let message =
            "coltsfootport and coltsfootport-rig are not built: run `cargo build --workspace`";
        Err(RigError::Settings(message.into()))
    }
}
