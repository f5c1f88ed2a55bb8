//! `status`: shows the state of nodes.

mod table;

pub use table::table;

use crate::cli::StatusOptions;
use crate::exit::Exit;
use crate::operators::StatusReport;

use super::fleet::{self, QueryResults};
use super::output;
use super::runtime::block_on;

/// Queries the nodes and prints their status reports.
pub fn run(options: &StatusOptions) -> Exit {
    block_on(show(options))
}

async fn show(options: &StatusOptions) -> Exit {
    let addresses = fleet::resolve_addresses(&options.operators, options.all).await;
    let paths = addresses
        .by_address
        .into_keys()
        .map(|addr| (addr, String::from("/status")))
        .collect();
    let results: QueryResults<StatusReport> = fleet::query_all(paths, fleet::read_json).await;
    let reports: Vec<_> = results.by_address.into_values().collect();
    let text = if options.json {
        json_lines(&reports)
    } else {
        table(&reports)
    };
    if let Err(err) = output::write(text.as_bytes()) {
        return output::handle_write_error(&err);
    }
    fleet::print_errors(&addresses.errors);
    fleet::print_errors(&results.errors);
    match addresses.errors.is_empty() && results.errors.is_empty() {
        true => Exit::Ok,
        false => Exit::Unreachable,
    }
}

fn json_lines(reports: &[StatusReport]) -> String {
    let lines = reports
        .iter()
        .filter_map(|report| serde_json::to_string(report).ok());
    lines.map(|line| line + "\n").collect()
}
