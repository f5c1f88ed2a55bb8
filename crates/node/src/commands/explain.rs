//! `explain`: traces one request through the logs of any number of nodes.

mod line;

use std::io;
use std::path::{Path, PathBuf};

use coltsfootport_core::timeline::merge_by;

use self::line::LogLine;
use super::{input, output};
use crate::cli::ExplainOptions;
use crate::exit::Exit;

/// Prints all log lines about the request in order of time, followed by the line with its final answer.
pub fn run(options: &ExplainOptions) -> Exit {
    let files = match options.files.as_slice() {
        [] => &[PathBuf::from("-")],
        files => files,
    };
    let mut logs = Vec::new();
    for file in files {
        match read_log(file, &options.request) {
            Ok(lines) => logs.push(lines),
            Err(e) => {
                eprintln!("coltsfootport: {}: {e}", file.display());
                return Exit::Failed;
            }
        }
    }
    match output::write(format_trace(logs, &options.request).as_bytes()) {
        Ok(()) => Exit::Ok,
        Err(e) => output::handle_write_error(&e),
    }
}

fn read_log(file: &Path, request: &str) -> io::Result<Vec<LogLine>> {
    let bytes = input::read(file)?;
    // The log of a killed process may end in the middle of a UTF-8 sequence.
    let text = String::from_utf8_lossy(&bytes);
    let lines = text.lines().filter_map(LogLine::parse);
    Ok(lines.filter(|line| line.is_about(request)).collect())
}

fn format_trace(logs: Vec<Vec<LogLine>>, request: &str) -> String {
    let lines = merge_by(logs, |line| (line.time.clone(), line.node.clone()));
    let mut text = String::new();
    for line in &lines {
        text.push_str(&line.render());
        text.push('\n');
    }
    let final_answer = lines
        .iter()
        .rev()
        .find(|line| line.is_final_answer(request));
    match final_answer {
        Some(line) => text.push_str(&format!("final answer: {}\n", line.render())),
        None if lines.is_empty() => text.push_str(
            "no log line mentions this request; logging of successful requests is rate-limited\n",
        ),
        None => text.push_str("no log line contains its final answer\n"),
    }
    text
}
