//! `check`: finds every fault in a document or in settings, before anybody publishes it.

use std::io::{self, Write};
use std::path::Path;

use coltsfootport_core::document::Document;
use coltsfootport_core::jsonc::Fault;

use super::input;
use crate::cli::{CheckOptions, CheckSubject};
use crate::config::Settings;
use crate::exit::Exit;
use crate::mesh::MeshSettings;

/// What a text is checked as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckKind {
    /// The document of a service.
    Document,
    /// The settings of a node.
    Settings,
    /// The settings of a mesh node.
    Mesh,
}

/// Checks the file that the options name.
pub fn run(options: &CheckOptions) -> Exit {
    match input::read_text(&options.file) {
        Ok(text) => check(options.subject.into(), &options.file, &text),
        Err(e) => {
            eprintln!("coltsfootport: {}: {e}", options.file.display());
            Exit::Failed
        }
    }
}

/// Checks `text`, prints each fault to standard error as `file:line:column: key: message` and answers the exit code.
///
/// A fault of settings for which a default would serve counts as well: it is better mended than warned of at each start.
pub fn check(kind: CheckKind, path: &Path, text: &str) -> Exit {
    let faults = find_faults(kind, text);
    // Standard error may be closed; the exit code still tells the result.
    let _ = print(path, &faults, &mut io::stderr().lock());
    match faults.is_empty() {
        true => Exit::Ok,
        false => Exit::Invalid,
    }
}

/// Every fault of `text`, in its order.
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

/// Writes one line for each fault.
pub fn print<W>(path: &Path, faults: &[Fault], out: &mut W) -> io::Result<()>
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
