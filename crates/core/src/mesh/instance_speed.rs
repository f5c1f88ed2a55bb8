//! Slowness of the instances of a service, from the service times that their hosts report.

use std::time::{Duration, Instant};

use crate::collections::Map;
use crate::mesh::{InstanceKey, RequestKind};

/// Compares the mean service times reported by the instances of one service.
///
/// Slowness is relative to the median instance, for each kind of request separately, since an instance that runs more
/// requests of a long kind is not slower. It is updated only when a report arrives.
#[derive(Clone, Debug, Default)]
pub struct InstanceSpeed {
    reports: Map<RequestKind, Vec<TimeReport>>,
    estimates: Map<InstanceKey, Estimate>,
    /// Until when the instances count as unequally fast.
    uneven_until: Option<Instant>,
    /// Buffer for finding a median; kept to avoid an allocation per report.
    sorted: Vec<f64>,
}

/// The latest report of an instance about one kind.
#[derive(Clone, Copy, Debug)]
struct TimeReport {
    key: InstanceKey,
    /// Mean service time in seconds; positive.
    mean: f64,
    at: Instant,
}

/// Decaying mean of the relative service times of an instance, over the kinds of its reports.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: f64,
    /// Number of reports in the mean, decayed.
    weight: f64,
    at: Instant,
}

/// Half-life of a report while no new one arrives.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// Age up to which a report is fresh. An older one has less than a quarter of its weight.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Range of slowness; bounds the effect of absurd reports.
const SLOWNESS_RANGE: (f64, f64) = (0.2, 5.0);

/// Maximum weight of earlier reports. Each report is a mean over about twenty requests already, so a few suffice.
const MAX_WEIGHT: f64 = 3.0;

/// Slowness of one instance from which, or the inverse up to which, the instances of a service count as unequally fast.
/// Reported means of equally fast instances deviate by less, as each is over about twenty requests.
const UNEVEN_SLOWNESS: f64 = 1.5;

/// Number of reports from which a single one no longer decides their median.
const MIN_REPORTS: usize = 3;

/// Maximum number of kinds tracked; bounds memory when routes are added and removed.
const MAX_KINDS: usize = 256;

impl InstanceSpeed {
    /// Records the mean service time of a kind of request as reported by the host of an instance; zero is unknown and
    /// has no effect. `instances` is the number of instances of the service.
    ///
    /// It is judged once most instances have reported. Compared with the only other report, that of a slow first
    /// request, an instance of usual speed would look fast and get the requests of all instances without reports.
    pub fn record(
        &mut self,
        key: InstanceKey,
        kind: RequestKind,
        service_time: Duration,
        instances: usize,
        now: Instant,
    ) {
        if service_time.is_zero() {
            return;
        }
        let mean = service_time.as_secs_f64();
        let median = self.update_median(kind, TimeReport { key, mean, at: now }, now);
        if self.sorted.len() < MIN_REPORTS || self.sorted.len() * 2 <= instances {
            return;
        }
        let relative = mean / median;
        let relative = relative.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        let estimate = self.estimates.entry(key).or_insert(Estimate {
            mean: 1.0,
            weight: 0.0,
            at: now,
        });
        let earlier = estimate.weight * decay_factor(estimate.at, now);
        estimate.weight = earlier.min(MAX_WEIGHT) + 1.0;
        estimate.mean += (relative - estimate.mean) / estimate.weight;
        estimate.at = now;
        if !(1.0 / UNEVEN_SLOWNESS..UNEVEN_SLOWNESS).contains(&estimate.mean) {
            self.uneven_until = Some(now + MAX_AGE);
        }
    }

    /// Expected service time of an instance relative to the median instance; decays towards 1. `None` without a fresh
    /// report.
    pub fn slowness(&self, key: InstanceKey, now: Instant) -> Option<f64> {
        let estimate = self.estimates.get(&key)?;
        is_fresh(estimate.at, now)
            .then(|| 1.0 + (estimate.mean - 1.0) * decay_factor(estimate.at, now))
    }

    /// Whether an instance was recently reported to be much slower or faster than the median one.
    pub fn is_uneven(&self, now: Instant) -> bool {
        self.uneven_until.is_some_and(|until| now < until)
    }

    /// Forgets an instance that has ended.
    pub fn remove(&mut self, key: InstanceKey) {
        self.estimates.remove(&key);
        self.reports.retain(|_, reports| {
            reports.retain(|other| other.key != key);
            !reports.is_empty()
        });
    }

    /// Whether nothing is known about any instance.
    pub fn is_empty(&self) -> bool {
        self.estimates.is_empty()
    }

    /// Replaces an instance's report about a kind, and returns the median of the fresh reports in seconds.
    fn update_median(&mut self, kind: RequestKind, report: TimeReport, now: Instant) -> f64 {
        if self.reports.len() >= MAX_KINDS && !self.reports.contains_key(&kind) {
            self.reports
                .retain(|_, reports| reports.iter().any(|other| is_fresh(other.at, now)));
            if self.reports.len() >= MAX_KINDS {
                self.reports.clear();
            }
        }
        let reports = self.reports.entry(kind).or_default();
        reports.retain(|other| other.key != report.key && is_fresh(other.at, now));
        reports.push(report);
        self.sorted.clear();
        self.sorted.extend(reports.iter().map(|report| report.mean));
        median(&mut self.sorted)
    }
}

fn is_fresh(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < MAX_AGE
}

/// Remaining weight of a report.
fn decay_factor(at: Instant, now: Instant) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    (-age / HALF_LIFE.as_secs_f64()).exp2()
}

/// Median of at least one value; the mean of the two middle ones of an even number.
fn median(values: &mut [f64]) -> f64 {
    let middle = values.len() / 2;
    let is_odd = values.len() % 2 == 1;
    let (lower, upper, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    match is_odd {
        true => *upper,
        false => (lower.iter().copied().fold(0.0, f64::max) + *upper) / 2.0,
    }
}
