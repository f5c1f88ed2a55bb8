//! Formats status reports as a table.

use std::fmt::Write;

use crate::metrics::PeerState;
use crate::operators::StatusReport;

const COLUMNS: usize = 13;

const HEADER: [&str; COLUMNS] = [
    "NODE", "SERVICE", "DOMAIN", "PHASE", "DOCS", "PLATFORM", "PEERS", "MODE", "LIMIT", "RUNNING",
    "QUEUED", "LEVEL", "TOKENS",
];

/// Formats one row per node, followed by one line per problem: rejected documents, ejected peers and violated
/// invariants.
///
/// `DOCS` shows documents whose highest known revision is active out of all known documents, `PEERS` reachable peers out
/// of all peers, and `TOKENS` stored tokens out of the table's capacity.
pub fn table(reports: &[StatusReport]) -> String {
    let rows: Vec<_> = std::iter::once(HEADER.map(str::to_owned))
        .chain(reports.iter().map(row))
        .collect();
    let mut text = String::new();
    for row in &rows {
        text.push_str(&align_row(row, &rows));
    }
    for line in reports.iter().flat_map(problems) {
        // Writing to a string can't fail.
        let _ = writeln!(text, "{line}");
    }
    text
}

fn row(report: &StatusReport) -> [String; COLUMNS] {
    let docs = &report.documents;
    let current = docs
        .iter()
        .filter(|doc| doc.in_force == Some(doc.revision))
        .count();
    let up = report
        .peers
        .iter()
        .filter(|peer| peer.state == PeerState::Up.as_str())
        .count();
    let admission = &report.admission;
    [
        escape(report.node.as_str()),
        escape(report.service.as_str()),
        escape(report.domain.as_str()),
        escape(&report.phase),
        format!("{current}/{}", docs.len()),
        format_platform(report),
        format!("{up}/{}", report.peers.len()),
        escape(&admission.mode),
        admission.limit.to_string(),
        admission.in_flight.to_string(),
        admission.queued.to_string(),
        admission.level.to_string(),
        format!("{}/{}", report.tokens.kept, report.tokens.capacity),
    ]
}

fn format_platform(report: &StatusReport) -> String {
    let platform = &report.platform;
    let role = if platform.reader { "reads" } else { "told" };
    match (platform.reachable, platform.last_read_ms) {
        (true, _) => format!("{role}@{}", platform.revision),
        (false, Some(age)) => format!("lost-{}s@{}", age / 1000, platform.revision),
        (false, None) => format!("never@{}", platform.revision),
    }
}

fn align_row(row: &[String; COLUMNS], rows: &[[String; COLUMNS]]) -> String {
    let mut line = String::new();
    for (column, cell) in row.iter().enumerate() {
        let width = rows
            .iter()
            .map(|row| row[column].chars().count())
            .max()
            .unwrap_or(0);
        let _ = write!(line, "{cell:width$}  ");
    }
    line.truncate(line.trim_end().len());
    line.push('\n');
    line
}

fn problems(report: &StatusReport) -> Vec<String> {
    let node = escape(report.node.as_str());
    let mut lines = Vec::new();
    for doc in &report.documents {
        let service = escape(doc.service.as_str());
        let in_force = doc
            .in_force
            .map_or_else(|| "none".to_owned(), |revision| revision.to_string());
        for fault in &doc.rejected {
            let (revision, fault) = (doc.revision, escape(fault));
            lines.push(format!(
                "{node}: document of {service}: revision {revision} rejected, {in_force} in force: {fault}"
            ));
        }
    }
    for peer in report.peers.iter().filter(|peer| peer.ejected) {
        let (peer, service) = (escape(peer.node.as_str()), escape(peer.service.as_str()));
        lines.push(format!(
            "{node}: peer {peer} of {service} is ejected because of its failures"
        ));
    }
    for count in report.invariants.iter().filter(|count| count.breaches > 0) {
        let (invariant, breaches) = (escape(&count.invariant), count.breaches);
        lines.push(format!(
            "{node}: invariant {invariant} breached {breaches} times"
        ));
    }
    lines
}

/// Escapes control characters in text received from nodes, which could otherwise move the terminal cursor and forge
/// lines. Returns `-` for empty text.
fn escape(text: &str) -> String {
    match text.is_empty() {
        true => String::from("-"),
        false => text.escape_debug().to_string(),
    }
}
