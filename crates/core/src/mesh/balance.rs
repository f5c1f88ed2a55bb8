//! Statistics that an entry node keeps about one instance, and the load balancing score derived from them.

use std::time::{Duration, Instant};

/// Running estimates about one instance, from the requests that this node sent there.
#[derive(Clone, Copy, Debug)]
pub struct InstanceStats {
    /// Requests of this node that are in flight there.
    pub outstanding: u32,
    /// Requests of all nodes at the instance: the count last reported by its host, plus those sent since.
    load: f64,
    load_updated_at: Option<Instant>,
    /// Whether its host has reported a load.
    is_load_reported: bool,
    /// Latency relative to the usual latency of the route, as an exponentially weighted moving average (EWMA).
    latency_ratio: f64,
    /// Share of failed requests, as an EWMA.
    failure_rate: f64,
    /// When the two averages were last updated.
    rates_updated_at: Option<Instant>,
    /// Until then the instance is chosen only if every other one is avoided as well.
    avoided_until: Option<Instant>,
    /// Until then its host is assumed to be shutting down.
    stopping_until: Option<Instant>,
    /// Consecutive failures to reach the host.
    connect_failures: u32,
    /// When the last request was sent there.
    last_sent_at: Option<Instant>,
    /// When its host last reported that it can't reach the publisher.
    partitioned_at: Option<Instant>,
}

impl Default for InstanceStats {
    fn default() -> Self {
        Self {
            outstanding: 0,
            load: 0.0,
            load_updated_at: None,
            is_load_reported: false,
            latency_ratio: 1.0,
            failure_rate: 0.0,
            rates_updated_at: None,
            avoided_until: None,
            stopping_until: None,
            connect_failures: 0,
            last_sent_at: None,
            partitioned_at: None,
        }
    }
}

/// Weight of the newest sample in the moving averages; they settle after about ten responses.
const EWMA_WEIGHT: f64 = 0.12;

/// Half-life of the load reported by a host while no new report arrives.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(800);

/// Half-life of the failure rate and latency ratio while no new response arrives.
const RATE_HALF_LIFE: Duration = Duration::from_secs(3);

/// Failure rate above which an instance is avoided.
const AVOID_FAILURE_RATE: f64 = 0.45;

/// Failure rate above which an instance that has been idle for [`PROBE_DELAY`] is probed with one request.
const PROBE_FAILURE_RATE: f64 = 0.04;

/// Time without a request after which such an instance is probed.
const PROBE_DELAY: Duration = Duration::from_millis(1500);

/// Score of an instance that is due for a probe; lower (better) than any other. With its regular score, past
/// failures would keep a recovered instance without requests for as long as the others have capacity.
const PROBE_SCORE: f64 = 0.3;

/// How long a failing instance is avoided before one request tries it again.
const AVOID_FAILING: Duration = Duration::from_millis(2500);

/// Initial backoff for an unreachable host; doubled on each further failure, up to eight times this value.
const AVOID_UNREACHABLE: Duration = Duration::from_millis(250);

/// How long an instance is avoided whose target does not listen or is another instance: about the time until the
/// published list reflects it.
const AVOID_TARGET_GONE: Duration = Duration::from_millis(1500);

/// How long an instance whose host is shutting down is avoided: about the remaining lifetime of the host.
const AVOID_STOPPING: Duration = Duration::from_millis(3000);

/// How long a host's report that it can't reach the publisher stays valid: the time for several responses in a small
/// fleet under load.
const PARTITION_REPORT_TTL: Duration = Duration::from_millis(2000);

/// Clamps the latency ratio of a single response, so that one slow request has little effect.
const LATENCY_RATIO_RANGE: (f64, f64) = (0.2, 5.0);

impl InstanceStats {
    /// Records that a request was sent to the instance.
    pub fn request_sent(&mut self, now: Instant) {
        self.last_sent_at = Some(now);
        self.outstanding += 1;
        self.load = self.current_load(now) + 1.0;
        self.load_updated_at = Some(now);
    }

    /// Records that a request to the instance has ended, with any outcome.
    pub fn request_ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Records the number of requests at the instance as reported by its host.
    pub fn load_reported(&mut self, load: u32, now: Instant) {
        self.load = f64::from(load);
        self.is_load_reported = true;
        self.load_updated_at = Some(now);
        self.connect_failures = 0;
    }

    /// Whether the host has reported a load. Without a report, a busy instance looks idle.
    pub fn is_load_reported(&self) -> bool {
        self.is_load_reported
    }

    /// Records a complete response that took `relative` times the usual latency of its route.
    pub fn request_succeeded(&mut self, relative: f64, now: Instant) {
        self.decay_rates(now);
        let relative = relative.clamp(LATENCY_RATIO_RANGE.0, LATENCY_RATIO_RANGE.1);
        self.latency_ratio += EWMA_WEIGHT * (relative - self.latency_ratio);
        self.failure_rate -= EWMA_WEIGHT * self.failure_rate;
    }

    /// Records that the target failed or refused a request.
    pub fn request_failed(&mut self, now: Instant) {
        self.decay_rates(now);
        self.failure_rate += EWMA_WEIGHT * (1.0 - self.failure_rate);
        if self.failure_rate > AVOID_FAILURE_RATE {
            self.avoid(now + AVOID_FAILING);
            // Capped at the threshold, so that one failure after the pause suffices to avoid the instance again, while
            // it takes several successes to trust it.
            self.failure_rate = AVOID_FAILURE_RATE;
        }
    }

    /// Records that the host could not be reached.
    pub fn connect_failed(&mut self, now: Instant) {
        let doublings = self.connect_failures.min(3);
        self.avoid(now + AVOID_UNREACHABLE * (1 << doublings));
        self.connect_failures += 1;
    }

    /// Records that the target does not listen or is another instance. Such requests are rejected immediately, so the
    /// instance looks idle and would attract more of them than any other until it is removed from the published list.
    pub fn target_gone(&mut self, now: Instant) {
        self.avoid(now + AVOID_TARGET_GONE);
    }

    /// Records that the host is shutting down and rejects requests; avoided for the reason given at
    /// [`InstanceStats::target_gone`].
    pub fn host_stopped(&mut self, now: Instant) {
        self.avoid(now + AVOID_STOPPING);
    }

    /// Records that the host is shutting down but still accepts requests. It is used only for requests that the other
    /// instances have no capacity for.
    pub fn host_stopping(&mut self, now: Instant) {
        self.stopping_until = Some(now + AVOID_STOPPING);
    }

    /// Records that the host reported that it can't reach the publisher.
    pub fn mark_partitioned(&mut self, now: Instant) {
        self.partitioned_at = Some(now);
    }

    /// Whether the host has recently reported that it can't reach the publisher.
    pub fn is_partitioned(&self, now: Instant) -> bool {
        let is_fresh = |at| now.saturating_duration_since(at) < PARTITION_REPORT_TTL;
        self.partitioned_at.is_some_and(is_fresh)
    }

    /// Whether the instance is currently avoided.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// Whether its host is assumed to be shutting down.
    pub fn is_stopping(&self, now: Instant) -> bool {
        self.stopping_until.is_some_and(|until| now < until)
    }

    /// Expected cost of a request there, relative to the usual latency on an idle instance; lower is better. `slowness`
    /// is the reported one; without it, the latency ratio observed by this node is used.
    pub fn score(&self, slots: u32, slowness: Option<f64>, now: Instant) -> f64 {
        if self.needs_probe(now) {
            return PROBE_SCORE;
        }
        let load = self.current_load(now).max(f64::from(self.outstanding));
        let utilization = (load + 1.0) / f64::from(slots.max(1));
        let queueing = (utilization - QUEUE_FREE_UTILIZATION).max(0.0) * QUEUE_WEIGHT;
        // Retries cost more than time, so a failure weighs more than the time of a second attempt.
        let decay_factor = self.decay_factor(now);
        let failing = 1.0 + FAILURE_WEIGHT * self.failure_rate * decay_factor;
        let latency_ratio = 1.0 + (self.latency_ratio - 1.0) * decay_factor;
        let slowness = slowness.unwrap_or(latency_ratio);
        let stopping = match self.is_stopping(now) {
            true => STOPPING_PENALTY,
            false => 1.0,
        };
        slowness * failing * stopping * (1.0 + LOAD_WEIGHT * utilization + queueing)
    }

    /// Whether the instance has failed before and has been idle for long enough to be probed.
    fn needs_probe(&self, now: Instant) -> bool {
        let is_idle_since = |at: Instant| now.saturating_duration_since(at) >= PROBE_DELAY;
        self.failure_rate > PROBE_FAILURE_RATE
            && self.outstanding == 0
            && self.last_sent_at.is_some_and(is_idle_since)
    }

    /// Applies the decay since the last update to both averages.
    fn decay_rates(&mut self, now: Instant) {
        let decay_factor = self.decay_factor(now);
        self.failure_rate *= decay_factor;
        self.latency_ratio = 1.0 + (self.latency_ratio - 1.0) * decay_factor;
        self.rates_updated_at = Some(now);
    }

    /// Remaining weight of the averages. Without decay, an instance that failed or was slow once would receive no
    /// requests, and so no chance to improve its rates, for as long as the others have capacity.
    fn decay_factor(&self, now: Instant) -> f64 {
        let Some(at) = self.rates_updated_at else {
            return 1.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        0.5_f64.powf(age / RATE_HALF_LIFE.as_secs_f64())
    }

    fn avoid(&mut self, until: Instant) {
        self.avoided_until = self.avoided_until.max(Some(until));
    }

    fn current_load(&self, now: Instant) -> f64 {
        let Some(at) = self.load_updated_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.load * 0.5_f64.powf(age / LOAD_HALF_LIFE.as_secs_f64())
    }
}

/// Utilization of the slots up to which requests are unlikely to queue at the instance.
const QUEUE_FREE_UTILIZATION: f64 = 0.8;

/// Score added per unit of utilization above [`QUEUE_FREE_UTILIZATION`].
const QUEUE_WEIGHT: f64 = 6.0;

/// Score added per unit of utilization at any load; spreads requests before queues form.
const LOAD_WEIGHT: f64 = 0.5;

/// Factor on the score of an instance whose host is shutting down; equivalent to a long queue elsewhere.
const STOPPING_PENALTY: f64 = 3.0;

/// Additional cost of an instance with a failure rate of 1.
const FAILURE_WEIGHT: f64 = 6.0;
