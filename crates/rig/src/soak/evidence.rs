//! Observations of callers and targets, and checks for violated guarantees.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use coltsfootport_stand_ins::{Arrival, RequestOutcome, long_text};

use super::leaving::find_requests_to_leaving;
use super::limits::find_exceeded_limits;
use super::long_bodies::{LONG_BODY, find_wrong_uploads, is_truncated_by_stop};
use super::lost::{find_loss_of_record, find_lost};
use super::pipelined::find_mixed_answers;
use super::runs::Runs;
use super::{KeptRequest, Key, NamedLimit, Strike, WorkLimit};

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Idempotent request, which may be repeated.
    Read,
    /// Non-idempotent request, which must run at most once.
    Bid,
    /// Crashes every target that runs it; numbered within the run.
    Crashing(u32),
    /// Request to a route added by this configuration version and kept by later ones.
    Version(u32),
    /// Long request, which must run at most once.
    Upload {
        /// Whether the caller began to send the last part of the body.
        finished: bool,
    },
    /// Idempotent request with a long response.
    Download,
}

impl RequestKind {
    /// Returns whether the request must run at most once.
    fn is_at_most_once(self) -> bool {
        matches!(self, Self::Bid | Self::Upload { .. })
    }
}

/// A caller's request and its outcome.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Id of the request.
    pub id: String,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Key sent with the request.
    pub key: Key,
    /// Index of the machine that received the request.
    pub machine: usize,
    /// Time at which the request was sent.
    pub sent: Instant,
    /// Time at which the outcome was known.
    pub ended: Instant,
    /// Outcome as observed by the caller.
    pub asked: RequestOutcome,
}

/// Time span of a condition, such as an outage.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Index of the affected machine; `None` for all machines.
    pub machine: Option<usize>,
    /// Start of the span.
    pub from: Instant,
    /// End of the span.
    pub to: Instant,
}

/// All observations of a run.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// The requests of all callers.
    pub records: Vec<RequestRecord>,
    /// The requests of callers that pipeline.
    pub kept: Vec<KeptRequest>,
    /// Requests that arrived at each machine's target.
    pub arrivals: Vec<Vec<Arrival>>,
    /// Times at which a node was suspended or down.
    pub outages: Vec<Span>,
    /// Times at which a node was stopping gracefully.
    pub stops: Vec<Span>,
    /// Times from a target being published as draining until it is ready again.
    pub drains: Vec<Span>,
    /// Rate limits that targets named.
    pub limits: Vec<NamedLimit>,
    /// Time limits of the route of pipelining callers, in the order of their publication.
    pub work_limits: Vec<WorkLimit>,
    /// Moments at which faults and planned work struck.
    pub strikes: Vec<Strike>,
    /// Machine of the target that announced its leaving in its responses, if there was one.
    pub leaving: Option<usize>,
    /// Times at which some node could not reach the store or be reached, or a target failed by itself.
    pub impairments: Vec<Span>,
}

/// Maximum number of attempts per request on every route.
const MAX_ATTEMPTS: usize = 2;

/// Time after which a draining target must receive no new requests, including 0.5 s of tolerance
/// for a busy machine.
pub(super) const DRAIN_LIMIT: Duration = Duration::from_millis(2500);

/// Time that nodes need after an outage to catch up with entries and configuration.
const CATCH_UP_TIME: Duration = Duration::from_millis(3000);

/// Number of target crashes after which nodes must block a request.
const CRASH_THRESHOLD: usize = 3;

/// Time after the last of these crashes within which every node must block the request.
const BLOCK_LIMIT: Duration = Duration::from_millis(3000);

/// Maximum number of tolerated arrivals of a blocked request.
const MAX_BLOCKED_ARRIVALS: usize = 3;

/// Status of a node's answer to a request that is known to crash targets.
const CRASHING_STATUS: u16 = 400;

/// Describes every violated guarantee in one line.
pub fn find_breaches(evidence: &Evidence) -> Vec<String> {
    let mut target_counts: HashMap<&str, TargetCounts> = HashMap::new();
    for arrival in evidence.arrivals.iter().flatten() {
        if let Some(id) = arrival.id() {
            let seen = target_counts.entry(id).or_default();
            seen.arrivals += 1;
            seen.runs += usize::from(arrival.ran);
        }
    }
    let runs = Runs::of(evidence);
    let mut breaches = Vec::new();
    for record in &evidence.records {
        let seen = target_counts.get(record.id.as_str());
        let found = find_breach(evidence, record, seen.copied().unwrap_or_default())
            .or_else(|| find_loss_of_record(evidence, &runs, record));
        breaches.extend(
            found.map(|what| format!("{} at machine {}: {what}", record.id, record.machine)),
        );
    }
    breaches.extend(find_workspace_breaches(evidence));
    breaches.extend(find_version_regressions(evidence));
    breaches.extend(find_late_arrivals(evidence));
    breaches.extend(find_exceeded_limits(evidence));
    breaches.extend(find_requests_to_leaving(evidence));
    breaches.extend(find_wrong_uploads(evidence));
    breaches.extend(find_lost(evidence, &runs));
    breaches.extend(find_mixed_answers(evidence));
    breaches.extend(find_unblocked_requests(evidence));
    breaches.extend(find_wrongly_blocked_requests(evidence));
    breaches
}

/// Finds requests that still reach targets after crashing three of them, from nodes that had time to
/// learn of the crashes.
fn find_unblocked_requests(evidence: &Evidence) -> Vec<String> {
    let mut by_request: HashMap<u32, Vec<&RequestRecord>> = HashMap::new();
    for record in &evidence.records {
        if let RequestKind::Crashing(request) = record.kind {
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
        let Some((third, _)) = arrived.get(CRASH_THRESHOLD - 1).copied() else {
            continue;
        };
        let late = arrived.iter().filter(|(at, entry)| {
            let since = at.checked_sub(BLOCK_LIMIT).unwrap_or(*at);
            let excused = [&evidence.outages, &evidence.stops];
            *at > third + BLOCK_LIMIT
                && !excused
                    .iter()
                    .any(|spans| overlaps(spans, *entry, since, *at))
        });
        let late = late.count();
        if late > MAX_BLOCKED_ARRIVALS {
            breaches.push(format!(
                "crashing request {request} reached targets {late} times after it had to be blocked"
            ));
        }
    }
    breaches
}

/// Finds requests that are wrongly refused as crashing.
fn find_wrongly_blocked_requests(evidence: &Evidence) -> Vec<String> {
    let wrongly = evidence.records.iter().filter(|record| {
        let refused =
            matches!(&record.asked, RequestOutcome::Answered(answer) if answer.status == CRASHING_STATUS);
        refused && !matches!(record.kind, RequestKind::Crashing(_))
    });
    wrongly
        .map(|record| {
            format!(
                "{} was refused as crashing with {CRASHING_STATUS}",
                record.id
            )
        })
        .collect()
}

/// Finds requests that ran for a workspace other than their key's, that passed their key on to a
/// target, or that were answered 401 despite a valid key.
fn find_workspace_breaches(evidence: &Evidence) -> Vec<String> {
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
            breaches.push(format!("{id} ran for workspace {name:?} with key {key:?}"));
        }
        if arrival.has_key() {
            breaches.push(format!("{id} passed its key on to a target"));
        }
    }
    let wrongly_refused = evidence.records.iter().filter(|record| {
        let unknown =
            matches!(&record.asked, RequestOutcome::Answered(answer) if answer.status == 401);
        unknown && record.key == Key::Lasting
    });
    breaches.extend(
        wrongly_refused.map(|record| format!("{} was answered 401 despite a valid key", record.id)),
    );
    breaches
}

/// Number of arrivals and runs of one request at all targets.
#[derive(Clone, Copy, Debug, Default)]
struct TargetCounts {
    arrivals: usize,
    /// Arrivals that a target ran.
    runs: usize,
}

fn find_breach(evidence: &Evidence, record: &RequestRecord, seen: TargetCounts) -> Option<String> {
    let once = record.kind.is_at_most_once();
    let TargetCounts { arrivals, runs } = seen;
    if once && runs > 1 {
        return Some(format!("ran {runs} times"));
    }
    if arrivals > MAX_ATTEMPTS {
        return Some(format!("was attempted {arrivals} times"));
    }
    match &record.asked {
        RequestOutcome::Answered(answer) => {
            let says_not_run = matches!(answer.status, 408 | 421 | 429 | 503);
            if once && says_not_run && runs > 0 {
                return Some(format!(
                    "ran although its answer {} says that it did not",
                    answer.status
                ));
            }
            if record.kind == RequestKind::Download
                && !answer.whole
                && is_truncated_by_stop(evidence, record)
            {
                return Some(String::from("was truncated by a planned stop"));
            }
            let own = match record.kind {
                RequestKind::Download => long_text(&record.id, LONG_BODY),
                _ => format!("answer to {}", record.id),
            };
            let mixed = answer.status == 200 && answer.whole && answer.body != own;
            let start = answer.body.get(..80).unwrap_or(&answer.body);
            mixed.then(|| format!("got the answer to another request: {start}"))
        }
        RequestOutcome::Nothing => {
            let excused = overlaps(&evidence.outages, record.machine, record.sent, record.ended);
            (!excused).then(|| String::from("got no final answer in time"))
        }
        RequestOutcome::Closed => {
            let stopped = overlaps(&evidence.stops, record.machine, record.sent, record.ended);
            let excused = overlaps(&evidence.outages, record.machine, record.sent, record.ended)
                || any_overlaps(&evidence.impairments, record.sent, record.ended);
            let cut = stopped && !excused && arrivals > 0;
            cut.then(|| String::from("was aborted by a graceful stop"))
        }
    }
}

/// Finds nodes that return to an older configuration version without a restart.
fn find_version_regressions(evidence: &Evidence) -> Vec<String> {
    let mut breaches = Vec::new();
    let mut newest: HashMap<usize, (u32, Instant)> = HashMap::new();
    let mut records: Vec<&RequestRecord> = evidence.records.iter().collect();
    records.sort_by_key(|record| record.ended);
    for record in records {
        let (RequestKind::Version(version), RequestOutcome::Answered(answer)) =
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
                let since_boot = !overlaps(&evidence.outages, record.machine, *seen, record.ended)
                    && !overlaps(&evidence.stops, record.machine, *seen, record.ended);
                if since_boot && version <= *best && record.sent > *seen {
                    breaches.push(format!(
                        "machine {} reverted to a version before {best}: 404 for {version}",
                        record.machine
                    ));
                }
            }
            _ => {}
        }
    }
    breaches
}

/// Finds requests that reach a draining target after every node had time to learn of it.
fn find_late_arrivals(evidence: &Evidence) -> Vec<String> {
    let mut breaches = Vec::new();
    for drain in &evidence.drains {
        let Some(machine) = drain.machine else {
            continue;
        };
        let from = drain.from + DRAIN_LIMIT;
        let before = drain.from.checked_sub(CATCH_UP_TIME).unwrap_or(drain.from);
        let unsettled = [&evidence.impairments, &evidence.outages, &evidence.stops];
        if unsettled
            .iter()
            .any(|spans| any_overlaps(spans, before, drain.to))
        {
            continue;
        }
        let late = evidence.arrivals[machine]
            .iter()
            .filter(|arrival| arrival.at > from && arrival.at < drain.to)
            .count();
        if late > 0 {
            breaches.push(format!("{late} requests reached draining target {machine}"));
        }
    }
    breaches
}

impl Span {
    /// Returns whether the span overlaps the time between `from` and `to`.
    fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && self.to >= from
    }

    /// Returns whether the span affects a machine.
    fn affects(&self, machine: usize) -> bool {
        self.machine.is_none_or(|other| other == machine)
    }
}

pub(super) fn overlaps(spans: &[Span], machine: usize, from: Instant, to: Instant) -> bool {
    let mut of_machine = spans.iter().filter(|span| span.affects(machine));
    of_machine.any(|span| span.overlaps(from, to))
}

pub(super) fn any_overlaps(spans: &[Span], from: Instant, to: Instant) -> bool {
    spans.iter().any(|span| span.overlaps(from, to))
}
