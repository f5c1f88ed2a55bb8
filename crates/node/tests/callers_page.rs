//! Checks that `docs/CALLERS.md` and `docs/INTERFACES.md` match the error kinds and headers in the code.

use coltsfootport::http::names;
use coltsfootport_core::error_kind::ErrorKind;
use http::HeaderName;

const PAGE: &str = include_str!("../../../docs/CALLERS.md");
const INTERFACES: &str = include_str!("../../../docs/INTERFACES.md");
const TABLE_HEADER: &str = "| kind | status | outcome | hop may retry | `retry-after` |";

/// Returns the table row of an error kind, limited to the columns that the code determines.
fn expected_row(kind: ErrorKind) -> String {
    let rule = kind.rule();
    let yes_no = |value: bool| if value { "yes" } else { "no" };
    format!(
        "| `{}` | {} | `{}` | {} | {} |",
        kind.as_str(),
        rule.status,
        rule.outcome,
        yes_no(rule.hop_may_retry),
        yes_no(rule.retry_after),
    )
}

/// Returns the rows of the error table, without its header and delimiter row.
fn documented_rows() -> Vec<&'static str> {
    let table = PAGE
        .lines()
        .skip_while(|line| !line.starts_with(TABLE_HEADER));
    let rows = table.skip(2).take_while(|line| line.starts_with('|'));
    rows.collect()
}

#[test]
fn error_table_matches_the_error_kinds() {
    let documented = documented_rows();
    assert_eq!(documented.len(), ErrorKind::ALL.len());
    for (kind, documented) in ErrorKind::ALL.into_iter().zip(documented) {
        let row = expected_row(kind);
        assert!(documented.starts_with(&row), "{row}\n{documented}");
    }
}

#[test]
fn every_header_is_documented_in_interfaces() {
    let headers: [HeaderName; 11] = [
        names::CONTEXT,
        names::DEADLINE,
        names::CLASS,
        names::TOKEN,
        names::TRY,
        names::OUTCOME,
        names::ERROR,
        names::REQUEST,
        names::RETRY_AFTER_MS,
        names::REPLAYED,
        names::IDEMPOTENCY_KEY,
    ];
    for header in headers {
        let row = format!("| `{header}` |");
        assert!(INTERFACES.contains(&row), "{row}");
    }
}
