//! Initial content of the platform.

use std::ffi::OsStr;
use std::fs;
use std::path::{Path, PathBuf};

use smol_str::{SmolStr, format_smolstr};

use crate::error::RigError;
use crate::platform::Instance;

/// Configuration entries and instances written before the first read.
#[derive(Clone, Debug, Default)]
pub struct Seed {
    /// Configuration entries, written in this order.
    pub config: Vec<SeedEntry>,
    /// The instance list. If it is empty, the revision of the list stays at 0.
    pub instances: Vec<Instance>,
}

/// Initial value of a key.
#[derive(Clone, Debug)]
pub struct SeedEntry {
    /// The key.
    pub key: SmolStr,
    /// The value.
    pub value: SmolStr,
}

impl Seed {
    /// Reads documents from files or from all files of a directory, and the instance list from a JSON file. A document
    /// gets the key `documents/{name}`, where the name is the file name up to the first dot.
    pub fn read(documents: &[PathBuf], instances: Option<&Path>) -> Result<Self, RigError> {
        let mut seed = Self::default();
        for path in documents {
            seed.read_documents(path)?;
        }
        if let Some(path) = instances {
            seed.instances = serde_json::from_slice(&fs::read(path)?)?;
        }
        Ok(seed)
    }

    fn read_documents(&mut self, path: &Path) -> Result<(), RigError> {
        if !path.is_dir() {
            return self.read_document(path);
        }
        let entries: Result<Vec<_>, _> = fs::read_dir(path)?.collect();
        let mut files: Vec<_> = entries?.into_iter().map(|entry| entry.path()).collect();
        files.sort();
        for file in files.iter().filter(|file| file.is_file()) {
            self.read_document(file)?;
        }
        Ok(())
    }

    fn read_document(&mut self, path: &Path) -> Result<(), RigError> {
        let name = path
            .file_name()
            .and_then(OsStr::to_str)
            .and_then(|name| name.split('.').next());
        let Some(name) = name.filter(|name| !name.is_empty()) else {
            return Err(RigError::Settings(format!(
                "cannot derive a document name from {}",
                path.display()
            )));
        };
        let value = fs::read_to_string(path)?.into();
        self.config.push(SeedEntry {
            key: format_smolstr!("documents/{name}"),
            value,
        });
        Ok(())
    }
}
