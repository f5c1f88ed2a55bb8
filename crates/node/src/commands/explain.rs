//! `explain`: the course of one request, from the logs of any number of nodes.

mod line;

use std::io;
use std::path::{Path, PathBuf};

use coltsfootport_core::timeline::merge_by;

use self::line::LogLine;
use super::{input, output};
use crate::cli::ExplainOptions;
use crate::exit::Exit;

/// Prints every line about the request in the order of its time, and the decision that sealed it.
pub fn run(options: &ExplainOptions) -> Exit {
    let files = match options.files.as_slice() {
        [] => &[PathBuf::from("-")],
        files => files,
    };
    let mut logs = Vec::new();
    for file in files {
        match read(file, &options.request) {
            Ok(lines) => logs.push(lines),
            Err(e) => {
                eprintln!("coltsfootport: {}: {e}", file.display());
                return Exit::Failed;
            }
        }
    }
    match output::write(explain(logs, &options.request).as_bytes()) {
        Ok(()) => Exit::Ok,
        Err(e) => output::failed(&e),
    }
}

fn read(file: &Path, request: &str) -> io::Result<Vec<LogLine>> {
    let bytes = input::read(file)?;
    // A process that was killed may have left a part of a character behind.
    let text = String::from_utf8_lossy(&bytes);
    let lines = text.lines().filter_map(LogLine::parse);
    Ok(lines.filter(|line| line.is_about(request)).collect())
}

fn explain(logs: Vec<Vec<LogLine>>, request: &str) -> String {
    let lines = merge_by(logs, |line| (line.time.clone(), line.node.clone()));
    let mut text = String::new();
    for line in &lines {
        text.push_str(&line.render());
        text.push('\n');
    }
    let sealing = lines.iter().rev().find(|line| line.seals(request));
    match sealing {
        Some(line) => text.push_str(&format!("sealed by: {}\n", line.render())),
        None if lines.is_empty() => {
            text.push_str("no line names this request; successes are logged at a bounded rate\n")
        }
        None => text.push_str("no line tells its answer\n"),
    }
    text
}
