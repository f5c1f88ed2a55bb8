//! Status reports as a table for people.

use std::fmt::Write;

use crate::metrics::PeerState;
use crate::operators::StatusReport;

const COLUMNS: usize = 13;

const HEADER: [&str; COLUMNS] = [
    "NODE", "SERVICE", "DOMAIN", "PHASE", "DOCS", "PLATFORM", "PEERS", "MODE", "LIMIT", "RUNNING",
    "QUEUED", "LEVEL", "TOKENS",
];

/// One line a node, then one line for each thing that needs an operator's eye.
///
/// `DOCS` are the documents in force at their highest known revision over all known ones, `PEERS` those that can be
/// reached over all, `TOKENS` those kept over the capacity.
pub fn table(reports: &[StatusReport]) -> String {
    let rows: Vec<_> = std::iter::once(HEADER.map(str::to_owned))
        .chain(reports.iter().map(row))
        .collect();
    let mut text = String::new();
    for row in &rows {
        text.push_str(&aligned(row, &rows));
    }
    for line in reports.iter().flat_map(remarks) {
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
        shown(report.node.as_str()),
        shown(report.service.as_str()),
        shown(report.domain.as_str()),
        shown(&report.phase),
        format!("{current}/{}", docs.len()),
        platform(report),
        format!("{up}/{}", report.peers.len()),
        shown(&admission.mode),
        admission.limit.to_string(),
        admission.in_flight.to_string(),
        admission.queued.to_string(),
        admission.level.to_string(),
        format!("{}/{}", report.tokens.kept, report.tokens.capacity),
    ]
}

fn platform(report: &StatusReport) -> String {
    let platform = &report.platform;
    let role = if platform.reader { "reads" } else { "told" };
    match (platform.reachable, platform.last_read_ms) {
        (true, _) => format!("{role}@{}", platform.revision),
        (false, Some(age)) => format!("lost-{}s@{}", age / 1000, platform.revision),
        (false, None) => format!("never@{}", platform.revision),
    }
}

fn aligned(row: &[String; COLUMNS], rows: &[[String; COLUMNS]]) -> String {
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

fn remarks(report: &StatusReport) -> Vec<String> {
    let node = shown(report.node.as_str());
    let mut lines = Vec::new();
    for doc in &report.documents {
        let service = shown(doc.service.as_str());
        let in_force = doc
            .in_force
            .map_or_else(|| "none".to_owned(), |revision| revision.to_string());
        for fault in &doc.rejected {
            let (revision, fault) = (doc.revision, shown(fault));
            lines.push(format!(
                "{node}: document of {service}: revision {revision} rejected, {in_force} in force: {fault}"
            ));
        }
    }
    for peer in report.peers.iter().filter(|peer| peer.ejected) {
        let (peer, service) = (shown(peer.node.as_str()), shown(peer.service.as_str()));
        lines.push(format!(
            "{node}: peer {peer} of {service} is left out for its failures"
        ));
    }
    for count in report.invariants.iter().filter(|count| count.breaches > 0) {
        let (invariant, breaches) = (shown(&count.invariant), count.breaches);
        lines.push(format!(
            "{node}: invariant {invariant} breached {breaches} times"
        ));
    }
    lines
}

/// Text of others without control characters, which could move a terminal's cursor and forge lines.
fn shown(text: &str) -> String {
    match text.is_empty() {
        true => String::from("-"),
        false => text.escape_debug().to_string(),
    }
}
