//! `check`: reports all errors in a document or settings file, so that they are found before it is published.

use std::io::{self, Write};
use std::path::Path;

use coltsfootport_core::document::Document;
use coltsfootport_core::jsonc::Fault;

use super::input;
use crate::cli::{CheckOptions, CheckSubject};
use crate::config::Settings;
use crate::exit::Exit;
use crate::mesh::MeshSettings;

/// Kind of file to check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckKind {
    /// Document of a service.
    Document,
    /// Settings of a node.
    Settings,
    /// Settings of a mesh node.
    Mesh,
}

/// Checks the file given on the command line.
pub fn run(options: &CheckOptions) -> Exit {
    match input::read_text(&options.file) {
        Ok(text) => check(options.subject.into(), &options.file, &text),
        Err(e) => {
            eprintln!("coltsfootport: {}: {e}", options.file.display());
            Exit::Failed
        }
    }
}

/// Checks `text`, prints each error to standard error as `file:line:column: key: message` and returns the exit code.
///
/// Invalid settings that a node would replace by their default also count as errors: otherwise they would only cause a
/// warning at each start.
pub fn check(kind: CheckKind, path: &Path, text: &str) -> Exit {
    let faults = find_faults(kind, text);
    // Ignore write errors: standard error may be closed, and the exit code still reports the result.
    let _ = write_faults(path, &faults, &mut io::stderr().lock());
    match faults.is_empty() {
        true => Exit::Ok,
        false => Exit::Invalid,
    }
}

/// Returns all errors in `text`, in order of their position.
pub fn find_faults(kind: CheckKind, text: &str) -> Vec<Fault> {
    match kind {
        CheckKind::Document => Document::parse(text).err().unwrap_or_default(),
        CheckKind::Settings => match Settings::parse(text) {
            Ok(loaded) => loaded.warnings,
            Err(faults) => faults,
        },
        CheckKind::Mesh => match MeshSettings::parse(text) {
            Ok((_, faults)) | Err(faults) => faults,
        },
    }
}

/// Writes one line per error.
pub fn write_faults<W>(path: &Path, faults: &[Fault], out: &mut W) -> io::Result<()>
where
    W: Write,
{
    for fault in faults {
        writeln!(out, "{}:{fault}", path.display())?;
    }
    Ok(())
}

impl From<CheckSubject> for CheckKind {
    fn from(subject: CheckSubject) -> Self {
        match subject {
            CheckSubject::Document => Self::Document,
            CheckSubject::Settings => Self::Settings,
            CheckSubject::Mesh => Self::Mesh,
        }
    }
}
