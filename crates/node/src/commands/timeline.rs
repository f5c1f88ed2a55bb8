//! `timeline`: the events of many nodes in one order.

mod query;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootport_core::timeline::{Record, Stamp, merge, render};

use crate::cli::TimelineOptions;
use crate::exit::Exit;

use super::fleet::{self, Answers, AskError};
use super::output;
use super::runtime::block_on;

/// Time between two questions to each node under `--follow`.
const FOLLOW_PAUSE: Duration = Duration::from_millis(500);

/// Asks the nodes and prints their events.
pub fn run(options: &TimelineOptions) -> Exit {
    block_on(show(options))
}

async fn show(options: &TimelineOptions) -> Exit {
    let addresses = fleet::addresses(&options.operators, options.all).await;
    fleet::print_faults(&addresses.faults);
    let mut since: BTreeMap<_, _> = addresses
        .found
        .into_keys()
        .map(|addr| (addr, None))
        .collect();
    let mut whole = addresses.faults.is_empty();
    loop {
        let answers = round(options, &since).await;
        fleet::print_faults(&answers.faults);
        whole &= answers.faults.is_empty();
        advance(&mut since, &answers.found);
        let records = merge(answers.found.into_values().collect());
        if let Err(fault) = print(options, &records) {
            return output::failed(&fault);
        }
        if !options.follow {
            return if whole { Exit::Ok } else { Exit::Unreachable };
        }
        tokio::time::sleep(FOLLOW_PAUSE).await;
    }
}

async fn round(
    options: &TimelineOptions,
    since: &BTreeMap<SocketAddr, Option<Stamp>>,
) -> Answers<Vec<Record>> {
    let paths = since
        .iter()
        .map(|(addr, since)| (*addr, query::path(options, *since)))
        .collect();
    fleet::ask_all(paths, read_records).await
}

fn read_records(addr: SocketAddr, body: &[u8]) -> Result<Vec<Record>, AskError> {
    let lines = body
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty());
    lines.map(|line| fleet::read_json(addr, line)).collect()
}

/// The next question to each node begins after the last record that it gave.
fn advance(
    since: &mut BTreeMap<SocketAddr, Option<Stamp>>,
    found: &BTreeMap<SocketAddr, Vec<Record>>,
) {
    for (addr, records) in found {
        let last = records.iter().map(|record| record.at).max();
        if let (Some(last), Some(since)) = (last, since.get_mut(addr)) {
            *since = Some(last);
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
