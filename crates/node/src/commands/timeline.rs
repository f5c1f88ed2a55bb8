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

/// Questions to each node between two for the list of nodes under `--all --follow`.
const ROUNDS_PER_LOOKUP: u64 = 20;

/// Asks the nodes and prints their events.
pub fn run(options: &TimelineOptions) -> Exit {
    block_on(show(options))
}

async fn show(options: &TimelineOptions) -> Exit {
    let mut since = BTreeMap::new();
    let mut whole = true;
    let mut told = String::new();
    for round in 0_u64.. {
        let mut faults = Vec::new();
        if round.is_multiple_of(ROUNDS_PER_LOOKUP) {
            faults = look_up(options, &mut since).await;
        }
        let answers = ask(options, &since).await;
        faults.extend(answers.faults);
        whole &= faults.is_empty();
        tell(&faults, &mut told);
        advance(&mut since, &answers.found);
        let records = merge(answers.found.into_values().collect());
        if let Err(fault) = print(options, &records) {
            return output::failed(&fault);
        }
        if !options.follow {
            break;
        }
        tokio::time::sleep(FOLLOW_PAUSE).await;
    }
    if whole { Exit::Ok } else { Exit::Unreachable }
}

/// Adds the nodes that are not yet asked.
async fn look_up(
    options: &TimelineOptions,
    since: &mut BTreeMap<SocketAddr, Option<Stamp>>,
) -> Vec<AskError> {
    let addresses = fleet::addresses(&options.operators, options.all).await;
    for addr in addresses.found.into_keys() {
        since.entry(addr).or_default();
    }
    addresses.faults
}

/// Prints the faults where they differ from those of the round before.
fn tell(faults: &[AskError], told: &mut String) {
    let text = faults
        .iter()
        .map(|fault| format!("coltsfootport: {fault}\n"))
        .collect();
    if *told != text {
        eprint!("{text}");
        *told = text;
    }
}

async fn ask(
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
