//! Check that requests around planned work get a complete answer.

use std::time::{Duration, Instant};

use coltsfootport_core::mesh::TimeLimits;
use coltsfootport_stand_ins::{Arrival, RequestOutcome};

use super::callers::ROUTE_TIMEOUT;
use super::evidence::any_overlaps;
use super::runs::{Run, Runs};
use super::{Evidence, KeptRequest, RequestKind, RequestRecord, Span};

/// Grace period of nodes.
pub const GRACE: Duration = Duration::from_secs(6);

/// Time before its end that a connection may take to learn of a request.
const SLACK: Duration = Duration::from_millis(200);

/// Time after the signal until which a sent request may be cut off at work.
const SENT_EARLY: Duration = Duration::from_secs(3);

/// Time before a request in which an unplanned fault excuses its loss.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Time that nodes may take to apply a configuration.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

/// A time limit of a route.
#[derive(Clone, Copy, Debug)]
pub struct WorkLimit {
    /// Time of its publication.
    pub at: Instant,
    /// The limit.
    pub limit: Duration,
}

/// Finds lost requests of pipelining callers.
pub(super) fn find_lost(evidence: &Evidence, runs: &Runs<'_>) -> Vec<String> {
    let lost = evidence.kept.iter().filter_map(|one| {
        let lost = find_loss(evidence, runs, one, work_limit(evidence, one))?;
        Some(format!("{} at machine {}: {lost}", one.id, one.machine))
    });
    lost.collect()
}

/// Like [`find_lost`], for a request that is alone on its connection.
pub(super) fn find_loss_of_record(
    evidence: &Evidence,
    runs: &Runs<'_>,
    record: &RequestRecord,
) -> Option<String> {
    let limit = match record.kind {
        RequestKind::Upload { .. } | RequestKind::Download | RequestKind::Crashing(_) => {
            return None;
        }
        RequestKind::Read | RequestKind::Bid | RequestKind::Version(_) => ROUTE_TIMEOUT,
    };
    let one = KeptRequest {
        id: record.id.clone(),
        machine: record.machine,
        sent: record.sent,
        ended: record.ended,
        limit,
        behind: false,
        asked: record.asked.clone(),
    };
    find_loss(evidence, runs, &one, limit)
}

/// The shortest limit that may have been in force.
fn work_limit(evidence: &Evidence, one: &KeptRequest) -> Duration {
    let limits = &evidence.work_limits;
    let ends = limits.iter().skip(1).map(|next| Some(next.at));
    let in_force = limits
        .iter()
        .zip(ends.chain([None]))
        .filter(|(limit, end)| {
            let is_over = end.is_some_and(|end| end + CONFIG_APPLY < one.sent);
            limit.at <= one.ended && !is_over
        });
    in_force.fold(one.limit, |least, (limit, _)| least.min(limit.limit))
}

fn find_loss(
    evidence: &Evidence,
    runs: &Runs<'_>,
    one: &KeptRequest,
    limit: Duration,
) -> Option<String> {
    let runs = runs.of_request(&one.id).iter();
    let runs: Vec<Run<'_>> = runs
        .filter(|(_, run)| run.at <= one.ended)
        .copied()
        .collect();
    let clause = match &one.asked {
        RequestOutcome::Answered(answer) if answer.whole => {
            let is_own = answer.status >= 500;
            let broken_off = runs
                .iter()
                .any(|(host, run)| is_broken_off(evidence, one, *host, run));
            (is_own && broken_off).then_some("was broken off at work by a stop")?
        }
        _ if !runs.is_empty() => "ran and got no answer",
        _ if one.ended > one.sent + SLACK => "was read and got no answer",
        _ => return None,
    };
    let excused = (one.behind && runs.is_empty())
        || one.ended + TimeLimits::default().answer.max >= one.sent + limit
        || is_cut_off_late(evidence, one, &runs)
        || is_disturbed(evidence, one);
    (!excused).then(|| describe(evidence, one, &runs, clause))
}

/// Returns whether the target stopped its work unfinished because the entry was stopping, not because its own node was
/// at the end of its grace period.
fn is_broken_off(evidence: &Evidence, one: &KeptRequest, host: usize, run: &Arrival) -> bool {
    let Some(ended) = broken_off_at(one, run) else {
        return false;
    };
    let mut stops = stops_of(evidence, one.machine);
    let mut stops_of_host = stops_of(evidence, host);
    let entry_stops = stops.any(|stop| stop.from <= ended && ended <= stop.from + GRACE);
    let host_ends = host != one.machine
        && stops_of_host
            .any(|stop| stop.from + GRACE - GRACE / 6 <= ended && ended <= stop.to + SLACK);
    entry_stops && !host_ends
}

/// Returns when the caller's response took the place of a run. A run that can't be aborted goes on after the response.
fn broken_off_at(one: &KeptRequest, run: &Arrival) -> Option<Instant> {
    if run.aborted {
        return run.ended;
    }
    let went_on = run.ended.is_none_or(|ended| ended > one.ended + SLACK);
    (went_on && run.at <= one.ended).then_some(one.ended)
}

/// Returns whether the target was still at work in the last sixth of the grace period, on a request sent early enough.
fn is_cut_off_late(evidence: &Evidence, one: &KeptRequest, runs: &[Run<'_>]) -> bool {
    stops_of(evidence, one.machine).any(|stop| {
        let at_work = |run: &Arrival| {
            let end = stop.from + GRACE;
            run.at <= end && run.ended.is_none_or(|ended| ended >= end - GRACE / 6)
        };
        one.sent <= stop.from + SENT_EARLY
            && one.ended >= stop.from
            && runs.iter().any(|(_, run)| at_work(run))
    })
}

fn is_disturbed(evidence: &Evidence, one: &KeptRequest) -> bool {
    let from = one.sent.checked_sub(STABLE_WINDOW).unwrap_or(one.sent);
    any_overlaps(&evidence.outages, from, one.ended)
        || any_overlaps(&evidence.impairments, from, one.ended)
}

fn stops_of(evidence: &Evidence, machine: usize) -> impl Iterator<Item = &Span> {
    let stops = evidence.stops.iter();
    stops.filter(move |stop| stop.machine == Some(machine))
}

/// Tells the moments of a lost request, in milliseconds from its sending, and what struck meanwhile.
fn describe(evidence: &Evidence, one: &KeptRequest, runs: &[Run<'_>], clause: &str) -> String {
    let ms = |at: Instant| match at.checked_duration_since(one.sent) {
        Some(time) => time.as_millis() as i64,
        None => -((one.sent - at).as_millis() as i64),
    };
    let seen = runs.iter().map(|(machine, run)| {
        let end = run.ended.map(ms);
        format!(
            "target {machine} {} to {end:?}, aborted {}",
            ms(run.at),
            run.aborted
        )
    });
    let from = one.sent.checked_sub(GRACE).unwrap_or(one.sent);
    let strikes = evidence.strikes.iter().filter(|strike| {
        strike.concerns(one.machine, runs) && from <= strike.at && strike.at <= one.ended
    });
    let strikes = strikes.map(|strike| match strike.machine {
        Some(machine) => format!("{} of {machine} {}", strike.kind, ms(strike.at)),
        None => format!("{} {}", strike.kind, ms(strike.at)),
    });
    let outcome = match &one.asked {
        RequestOutcome::Answered(answer) => format!("status {}", answer.status),
        other => format!("{other:?}"),
    };
    format!(
        "LOST: {clause}; ended {} ms after its sending ({outcome}); behind another {}; limit {:?}; runs [{}]; struck [{}]",
        ms(one.ended),
        one.behind,
        one.limit,
        seen.collect::<Vec<_>>().join("; "),
        strikes.collect::<Vec<_>>().join("; "),
    )
}
