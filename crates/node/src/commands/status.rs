//! `status`: the state of nodes.

mod table;

pub use table::table;

use crate::cli::StatusOptions;
use crate::exit::Exit;
use crate::operators::StatusReport;

use super::fleet::{self, Answers};
use super::output;
use super::runtime::block_on;

/// Asks the nodes and prints what they answer.
pub fn run(options: &StatusOptions) -> Exit {
    block_on(show(options))
}

async fn show(options: &StatusOptions) -> Exit {
    let addresses = fleet::addresses(&options.operators, options.all).await;
    let paths = addresses
        .found
        .into_keys()
        .map(|addr| (addr, String::from("/status")))
        .collect();
    let answers: Answers<StatusReport> = fleet::ask_all(paths, fleet::read_json).await;
    let reports: Vec<_> = answers.found.into_values().collect();
    let text = if options.json {
        json_lines(&reports)
    } else {
        table(&reports)
    };
    if let Err(fault) = output::write(text.as_bytes()) {
        return output::failed(&fault);
    }
    fleet::print_faults(&addresses.faults);
    fleet::print_faults(&answers.faults);
    match addresses.faults.is_empty() && answers.faults.is_empty() {
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
