//! Checks that `docs/OPERATIONS.md` lists all events, exit codes and metrics.

use coltsfootport::exit::Exit;
use coltsfootport::mesh::MeshMetrics;
use coltsfootport::metrics::{Listener, Metrics};
use coltsfootport_core::class::Class;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::outcome::Outcome;
use coltsfootport_core::timeline::EventKind;

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// Whether any table of the page has a row with the name in backticks in its first column.
fn has_row(name: &str) -> bool {
    let name = format!("`{name}`");
    let first_columns = PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| ")?.split('|').next());
    first_columns
        .into_iter()
        .any(|column| column.contains(&name))
}

#[test]
fn every_event_and_exit_code_is_documented() {
    for kind in EventKind::ALL {
        assert!(has_row(kind.as_str()), "{kind}");
    }
    for exit in Exit::ALL {
        let row = format!("| {} | {} |", exit.code(), exit.description());
        assert!(PAGE.contains(&row), "{row}");
    }
}

#[test]
fn every_metric_is_documented() {
    let metrics = Metrics::new().unwrap();
    // Labelled counters are exported only after their first increment.
    metrics
        .calls
        .record_answer(Listener::Callers, Class::LOWEST, Outcome::Ran, None);
    metrics.calls.record_retry(ErrorKind::Shed);
    metrics.documents.set_in_force(&"bidding".into(), 1);
    metrics.documents.record_rejected(&"bidding".into());
    metrics.faults.record_ignored_stamp();
    let text = metrics.encode();
    let helps = text
        .lines()
        .filter_map(|line| line.strip_prefix("# HELP coltsfootport_"));
    let names: Vec<_> = helps.filter_map(|line| line.split(' ').next()).collect();
    for name in &names {
        assert!(has_row(name), "{name}");
    }
    let rows = PAGE.lines().filter(|line| {
        ["| counter |", "| gauge |", "| histogram |"]
            .iter()
            .any(|kind| line.contains(kind))
    });
    assert_eq!(rows.count(), names.len());
}

#[test]
fn every_mesh_metric_is_documented() {
    let metrics = MeshMetrics::new().unwrap();
    metrics.record_answer(503, "shed", std::time::Duration::ZERO);
    metrics.repeat("sent");
    metrics.read("answered");
    let text = String::from_utf8(metrics.text()).unwrap();
    let helps = text
        .lines()
        .filter_map(|line| line.strip_prefix("# HELP coltsfootport_"));
    let names: Vec<_> = helps.filter_map(|line| line.split(' ').next()).collect();
    assert!(names.len() >= 12, "{names:?}");
    for name in names {
        assert!(has_row(name), "{name}");
    }
}
