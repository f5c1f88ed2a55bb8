//! What callers and targets saw, and which promises it breaks.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use coltsfootport_stand_ins::{Arrival, RequestOutcome};

use super::Key;

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May be repeated.
    Read,
    /// May run once only.
    Bid,
    /// It crashes each target that runs it; the number tells it from others.
    Crashing(u32),
    /// A route that came with this version of the configuration and stays.
    Version(u32),
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its id.
    pub id: String,
    /// What it asked for.
    pub kind: Kind,
    /// The key that it bore.
    pub key: Key,
    /// The machine where it entered.
    pub machine: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When its outcome was known.
    pub ended: Instant,
    /// What became of it.
    pub asked: RequestOutcome,
}

/// A time in which something held.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// The machine; all where missing.
    pub machine: Option<usize>,
    /// Its beginning.
    pub from: Instant,
    /// Its end.
    pub to: Instant,
}

/// Everything that was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// The requests of all callers.
    pub records: Vec<Record>,
    /// Arrivals at each machine's target.
    pub arrivals: Vec<Vec<Arrival>>,
    /// Times in which a node stood still or was down.
    pub away: Vec<Span>,
    /// Times in which a node was being stopped in order.
    pub stops: Vec<Span>,
    /// Times from a target's word that it leaves, or its return, on.
    pub leaves: Vec<Span>,
    /// Times in which some node could not hear the store, or not be heard, or a target failed on its own.
    pub troubled: Vec<Span>,
}

/// Attempts that every route allows.
const MOST_ATTEMPTS: usize = 2;

/// Time after which nothing new may reach a target that leaves, with half a second for a busy machine.
const DRAINED: Duration = Duration::from_millis(2500);

/// Time after an outage in which entries and configuration are caught up with.
const SETTLED: Duration = Duration::from_millis(3000);

/// Crashes after which a request must be known.
const CRASHES_TO_KNOW: usize = 3;

/// Time after the last of them within which every node must know.
const KNOWN_WITHIN: Duration = Duration::from_millis(3000);

/// Most arrivals of such a request after that.
const MOST_AFTER_KNOWN: usize = 3;

/// Status by which a node ends requests that crash targets.
const CRASHES_TARGETS: u16 = 400;

/// The promises that are broken, as lines for people.
pub fn breaches_of(evidence: &Evidence) -> Vec<String> {
    let mut at_targets: HashMap<&str, AtTargets> = HashMap::new();
    for arrival in evidence.arrivals.iter().flatten() {
        if let Some(id) = arrival.id() {
            let seen = at_targets.entry(id).or_default();
            seen.arrivals += 1;
            seen.runs += usize::from(arrival.ran);
        }
    }
    let mut breaches = Vec::new();
    for record in &evidence.records {
        let seen = at_targets.get(record.id.as_str());
        let found = breach_of(evidence, record, seen.copied().unwrap_or_default());
        breaches.extend(
            found.map(|what| format!("{} at machine {}: {what}", record.id, record.machine)),
        );
    }
    breaches.extend(wrong_workspaces(evidence));
    breaches.extend(steps_back(evidence));
    breaches.extend(late_arrivals(evidence));
    breaches.extend(crashing_requests(evidence));
    breaches.extend(refused_as_crashing(evidence));
    breaches
}

/// Requests that reach targets although they have crashed three, sent by nodes that could know.
fn crashing_requests(evidence: &Evidence) -> Vec<String> {
    let mut by_request: HashMap<u32, Vec<&Record>> = HashMap::new();
    for record in &evidence.records {
        if let Kind::Crashing(request) = record.kind {
            by_request.entry(request).or_default().push(record);
        }
    }
    let mut breaches = Vec::new();
    for (request, records) in by_request {
        let entries: HashMap<&str, usize> = records
            .iter()
            .map(|record| (record.id.as_str(), record.machine))
            .collect();
        let arrivals = evidence.arrivals.iter().flatten().filter(|one| one.ran);
        let mut arrived: Vec<(Instant, usize)> = arrivals
            .filter_map(|one| Some((one.at, *entries.get(one.id()?)?)))
            .collect();
        arrived.sort_unstable();
        let Some((third, _)) = arrived.get(CRASHES_TO_KNOW - 1).copied() else {
            continue;
        };
        let late = arrived.iter().filter(|(at, entry)| {
            let since = at.checked_sub(KNOWN_WITHIN).unwrap_or(*at);
            let excused = [&evidence.away, &evidence.stops];
            *at > third + KNOWN_WITHIN
                && !excused
                    .iter()
                    .any(|spans| overlaps(spans, *entry, since, *at))
        });
        let late = late.count();
        if late > MOST_AFTER_KNOWN {
            breaches.push(format!(
                "crashing request {request} reached targets {late} times after it was known"
            ));
        }
    }
    breaches
}

/// Other requests that are ended as if they crashed targets.
fn refused_as_crashing(evidence: &Evidence) -> Vec<String> {
    let wrongly = evidence.records.iter().filter(|record| {
        let refused =
            matches!(&record.asked, RequestOutcome::Answered(answer) if answer.status == CRASHES_TARGETS);
        refused && !matches!(record.kind, Kind::Crashing(_))
    });
    wrongly
        .map(|record| format!("{} was answered {CRASHES_TARGETS}", record.id))
        .collect()
}

/// Requests that ran for another workspace than that of their key, that brought their key to a target, or whose key is known and
/// was called unknown.
fn wrong_workspaces(evidence: &Evidence) -> Vec<String> {
    let keys: HashMap<&str, Key> = evidence
        .records
        .iter()
        .map(|record| (record.id.as_str(), record.key))
        .collect();
    let mut breaches = Vec::new();
    for arrival in evidence.arrivals.iter().flatten() {
        let id = arrival.id().unwrap_or_default();
        let Some(key) = keys.get(id) else {
            continue;
        };
        let name = arrival.workspace();
        if name != key.owner() || key.owner().is_none() {
            breaches.push(format!("{id} ran for {name:?} with a key of {key:?}"));
        }
        if arrival.has_key() {
            breaches.push(format!("{id} brought its key to a target"));
        }
    }
    let locked_out = evidence.records.iter().filter(|record| {
        let unknown =
            matches!(&record.asked, RequestOutcome::Answered(answer) if answer.status == 401);
        unknown && record.key == Key::Lasting
    });
    breaches.extend(locked_out.map(|record| format!("{} was answered 401", record.id)));
    breaches
}

/// What targets saw of one request.
#[derive(Clone, Copy, Debug, Default)]
struct AtTargets {
    arrivals: usize,
    /// Arrivals that the target worked on.
    runs: usize,
}

fn breach_of(evidence: &Evidence, record: &Record, seen: AtTargets) -> Option<String> {
    let once = record.kind == Kind::Bid;
    let AtTargets { arrivals, runs } = seen;
    if once && runs > 1 {
        return Some(format!("ran {runs} times"));
    }
    if arrivals > MOST_ATTEMPTS {
        return Some(format!("went to {arrivals} targets"));
    }
    match &record.asked {
        RequestOutcome::Answered(answer) => {
            let promised = matches!(answer.status, 408 | 421 | 429 | 503);
            if once && promised && runs > 0 {
                return Some(format!("ran, and was answered {}", answer.status));
            }
            let own = format!("answer to {}", record.id);
            let mixed = answer.status == 200 && answer.whole && answer.body != own;
            mixed.then(|| format!("got another answer: {}", answer.body))
        }
        RequestOutcome::Nothing => {
            let excused = overlaps(&evidence.away, record.machine, record.sent, record.ended);
            (!excused).then(|| String::from("had no final answer in time"))
        }
        RequestOutcome::Closed => {
            let stopped = overlaps(&evidence.stops, record.machine, record.sent, record.ended);
            let excused = overlaps(&evidence.away, record.machine, record.sent, record.ended)
                || any_overlaps(&evidence.troubled, record.sent, record.ended);
            let cut = stopped && !excused && arrivals > 0;
            cut.then(|| String::from("was cut off by a planned stop"))
        }
    }
}

/// A node that has handled a request by a version must not handle a later one by an older version, in one boot.
fn steps_back(evidence: &Evidence) -> Vec<String> {
    let mut breaches = Vec::new();
    let mut newest: HashMap<usize, (u32, Instant)> = HashMap::new();
    let mut records: Vec<&Record> = evidence.records.iter().collect();
    records.sort_by_key(|record| record.ended);
    for record in records {
        let (Kind::Version(version), RequestOutcome::Answered(answer)) =
            (record.kind, &record.asked)
        else {
            continue;
        };
        match answer.status {
            200 => {
                let (best, seen) = newest
                    .entry(record.machine)
                    .or_insert((version, record.ended));
                if version >= *best {
                    (*best, *seen) = (version, record.ended);
                }
            }
            404 => {
                let Some((best, seen)) = newest.get(&record.machine) else {
                    continue;
                };
                let since_boot = !overlaps(&evidence.away, record.machine, *seen, record.ended)
                    && !overlaps(&evidence.stops, record.machine, *seen, record.ended);
                if since_boot && version <= *best && record.sent > *seen {
                    breaches.push(format!(
                        "machine {} went back behind version {best}: 404 for {version}",
                        record.machine
                    ));
                }
            }
            _ => {}
        }
    }
    breaches
}

/// Requests that reach a leaving target although every node could know.
fn late_arrivals(evidence: &Evidence) -> Vec<String> {
    let mut breaches = Vec::new();
    for leave in &evidence.leaves {
        let Some(machine) = leave.machine else {
            continue;
        };
        let from = leave.from + DRAINED;
        let before = leave.from.checked_sub(SETTLED).unwrap_or(leave.from);
        let unsettled = [&evidence.troubled, &evidence.away, &evidence.stops];
        if unsettled
            .iter()
            .any(|spans| any_overlaps(spans, before, leave.to))
        {
            continue;
        }
        let late = evidence.arrivals[machine]
            .iter()
            .filter(|arrival| arrival.at > from && arrival.at < leave.to)
            .count();
        if late > 0 {
            breaches.push(format!(
                "{late} requests reached the leaving target {machine}"
            ));
        }
    }
    breaches
}

impl Span {
    /// Whether it has a moment in common with the time between two others.
    fn meets(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && self.to >= from
    }

    /// Whether it is about a machine.
    fn is_of(&self, machine: usize) -> bool {
        self.machine.is_none_or(|other| other == machine)
    }
}

fn overlaps(spans: &[Span], machine: usize, from: Instant, to: Instant) -> bool {
    let mut of_machine = spans.iter().filter(|span| span.is_of(machine));
    of_machine.any(|span| span.meets(from, to))
}

fn any_overlaps(spans: &[Span], from: Instant, to: Instant) -> bool {
    spans.iter().any(|span| span.meets(from, to))
}
