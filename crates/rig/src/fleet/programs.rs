//! Paths of the binaries that a fleet runs.

use std::env;
use std::path::{Path, PathBuf};

use crate::error::RigError;

/// Paths of the node and rig binaries.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Path of `coltsfootport`.
    pub node: PathBuf,
    /// Path of `coltsfootport-rig`.
    pub rig: PathBuf,
}

impl Programs {
    /// Finds the binaries in the directory of the current executable, where cargo puts them.
    pub fn beside_this() -> Result<Self, RigError> {
        let executable = env::current_exe()?;
        let folder = executable.parent().unwrap_or(Path::new("."));
        Self::in_folder(folder)
    }

    /// Finds the binaries in `folder` or its parent; cargo puts test executables into a subdirectory.
    pub fn in_folder(folder: &Path) -> Result<Self, RigError> {
        let parent = folder.parent().unwrap_or(folder);
        for folder in [folder, parent] {
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
