//! Check that targets get no more requests than the rate limits that they name.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::Evidence;
use super::evidence::overlaps;

/// Time after its first announcement from which a limit binds.
const BINDS_AFTER: Duration = Duration::from_secs(3);

/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Factor by which a limit may be exceeded in a window.
const TOLERANCE: f64 = 1.5;

/// Requests allowed in a window beyond that.
const SLACK: f64 = 5.0;

/// A rate limit that a target named for a time.
#[derive(Clone, Copy, Debug)]
pub struct NamedLimit {
    /// Index of the target's machine.
    pub machine: usize,
    /// Limit in requests per second.
    pub per_second: f64,
    /// Start of the time.
    pub from: Instant,
    /// End of the time.
    pub to: Instant,
}

/// Finds limits that were exceeded by requests of machines that were neither down nor suspended since the limit was
/// first named.
pub(super) fn find_exceeded_limits(evidence: &Evidence) -> Vec<String> {
    let entries: HashMap<&str, usize> = evidence
        .records
        .iter()
        .map(|record| (record.id.as_str(), record.machine))
        .collect();
    let exceeded = evidence.limits.iter().filter_map(|limit| {
        let allowed = TOLERANCE * limit.per_second * WINDOW.as_secs_f64() + SLACK;
        let most = most_in_a_window(&counted_arrivals(evidence, limit, &entries));
        (most as f64 > allowed).then(|| {
            format!(
                "target {} got {most} requests in a window, allowed {allowed}",
                limit.machine
            )
        })
    });
    exceeded.collect()
}

fn counted_arrivals(
    evidence: &Evidence,
    limit: &NamedLimit,
    entries: &HashMap<&str, usize>,
) -> Vec<Instant> {
    let is_bound = |entry: usize, at: Instant| {
        let excused = [&evidence.outages, &evidence.stops];
        !excused
            .iter()
            .any(|spans| overlaps(spans, entry, limit.from, at))
    };
    let arrivals = evidence.arrivals[limit.machine].iter();
    let counted = arrivals.filter(|arrival| {
        let entry = arrival.id().and_then(|id| entries.get(id));
        let binds = arrival.at >= limit.from + BINDS_AFTER && arrival.at <= limit.to;
        binds && entry.is_some_and(|entry| is_bound(*entry, arrival.at))
    });
    let mut times: Vec<Instant> = counted.map(|arrival| arrival.at).collect();
    times.sort_unstable();
    times
}

fn most_in_a_window(times: &[Instant]) -> usize {
    let windows = times.iter().enumerate().map(|(n, start)| {
        let within = times[n..].iter().take_while(|at| **at < *start + WINDOW);
        within.count()
    });
    windows.max().unwrap_or(0)
}
