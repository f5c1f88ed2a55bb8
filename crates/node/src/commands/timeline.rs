//! `timeline`: merges the events of multiple nodes into one timeline.

mod query;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootport_core::timeline::{Record, Stamp, merge, render};

use crate::cli::TimelineOptions;
use crate::exit::Exit;

use super::fleet::{self, QueryError, QueryResults};
use super::output;
use super::runtime::block_on;

/// Pause between two query rounds with `--follow`.
const FOLLOW_PAUSE: Duration = Duration::from_millis(500);

/// Number of query rounds between two refreshes of the node list with `--all --follow`.
const ROUNDS_PER_DISCOVERY: u64 = 20;

/// Queries the nodes and prints their events.
pub fn run(options: &TimelineOptions) -> Exit {
    block_on(show(options))
}

async fn show(options: &TimelineOptions) -> Exit {
    let mut cursors = BTreeMap::new();
    let mut all_reached = true;
    let mut last_reported = String::new();
    for round in 0_u64.. {
        let mut errors = Vec::new();
        if round.is_multiple_of(ROUNDS_PER_DISCOVERY) {
            errors = discover_nodes(options, &mut cursors).await;
        }
        let results = query_nodes(options, &cursors).await;
        errors.extend(results.errors);
        all_reached &= errors.is_empty();
        report_errors(&errors, &mut last_reported);
        advance_cursors(&mut cursors, &results.by_address);
        let records = merge(results.by_address.into_values().collect());
        if let Err(err) = print(options, &records) {
            return output::handle_write_error(&err);
        }
        if !options.follow {
            break;
        }
        tokio::time::sleep(FOLLOW_PAUSE).await;
    }
    if all_reached {
        Exit::Ok
    } else {
        Exit::Unreachable
    }
}

/// Adds a cursor for each node that is not queried yet.
async fn discover_nodes(
    options: &TimelineOptions,
    cursors: &mut BTreeMap<SocketAddr, Option<Stamp>>,
) -> Vec<QueryError> {
    let addresses = fleet::resolve_addresses(&options.operators, options.all).await;
    for addr in addresses.by_address.into_keys() {
        cursors.entry(addr).or_default();
    }
    addresses.errors
}

/// Prints the errors if they differ from those of the previous round.
fn report_errors(errors: &[QueryError], last_reported: &mut String) {
    let text = errors
        .iter()
        .map(|err| format!("coltsfootport: {err}\n"))
        .collect();
    if *last_reported != text {
        eprint!("{text}");
        *last_reported = text;
    }
}

async fn query_nodes(
    options: &TimelineOptions,
    cursors: &BTreeMap<SocketAddr, Option<Stamp>>,
) -> QueryResults<Vec<Record>> {
    let paths = cursors
        .iter()
        .map(|(addr, cursor)| (*addr, query::path(options, *cursor)))
        .collect();
    fleet::query_all(paths, read_records).await
}

fn read_records(addr: SocketAddr, body: &[u8]) -> Result<Vec<Record>, QueryError> {
    let lines = body
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty());
    lines.map(|line| fleet::read_json(addr, line)).collect()
}

/// Moves the cursor of each node to the latest record received from it.
fn advance_cursors(
    cursors: &mut BTreeMap<SocketAddr, Option<Stamp>>,
    received: &BTreeMap<SocketAddr, Vec<Record>>,
) {
    for (addr, records) in received {
        let last = records.iter().map(|record| record.at).max();
        if let (Some(last), Some(cursor)) = (last, cursors.get_mut(addr)) {
            *cursor = Some(last);
        }
    }
}

fn print(options: &TimelineOptions, records: &[Record]) -> io::Result<()> {
    let mut text = String::new();
    for record in records {
        match options.json {
            true => text.push_str(&serde_json::to_string(record)?),
            false => text.push_str(&render(record)),
        }
        text.push('\n');
    }
    output::write(text.as_bytes())
}
