//! The callers' page says of every error kind and header what the code does.

use coltsfootport::http::names;
use coltsfootport_core::error_kind::ErrorKind;
use http::HeaderName;

const PAGE: &str = include_str!("../../../docs/CALLERS.md");
const INTERFACES: &str = include_str!("../../../docs/INTERFACES.md");
const TABLE_HEAD: &str = "| kind | status | outcome | hop may retry | `retry-after` |";

/// The columns that the code decides, as the page prints them.
fn row_of(kind: ErrorKind) -> String {
    let rule = kind.rule();
    let word = |yes: bool| if yes { "yes" } else { "no" };
    format!(
        "| `{}` | {} | `{}` | {} | {} |",
        kind.as_str(),
        rule.status,
        rule.outcome,
        word(rule.hop_may_retry),
        word(rule.retry_after),
    )
}

/// The rows of the table of errors, without its head and ruler.
fn printed_rows() -> Vec<&'static str> {
    let table = PAGE
        .lines()
        .skip_while(|line| !line.starts_with(TABLE_HEAD));
    let rows = table.skip(2).take_while(|line| line.starts_with('|'));
    rows.collect()
}

#[test]
fn the_table_of_errors_is_the_code_s_row_by_row() {
    let printed = printed_rows();
    assert_eq!(printed.len(), ErrorKind::ALL.len());
    for (kind, printed) in ErrorKind::ALL.into_iter().zip(printed) {
        let row = row_of(kind);
        assert!(printed.starts_with(&row), "{row}\n{printed}");
    }
}

#[test]
fn every_header_is_in_a_table_of_the_interfaces() {
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
