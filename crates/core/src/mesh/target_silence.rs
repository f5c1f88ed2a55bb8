//! Detects a target that has stopped responding.

use std::time::{Duration, Instant};

/// Responses that must be missing before a target counts as silent. Callers that leave early leave some out at a target
/// that works.
const MISSING_RESPONSES: f64 = 8.0;

/// Shortest time without any response after which a target counts as silent, unless its usual service time is longer.
const MIN_QUIET: Duration = Duration::from_millis(100);

/// Time until a silent target is sent a request again; doubled after each of them.
const FIRST_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time between two requests to a silent target.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(8);

/// Shortest service time that missing responses are counted by; the clock of a busy machine is not more exact.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(5);

/// Counts the responses that a target owes.
///
/// The system accepts connections and data for a process that stands still. Requests that are written to it lie there
/// and reach it when it goes on, when nobody waits for them any more. Their callers leave and free its slots for
/// further ones, so there is no end to them unless the absence of responses is noticed.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetSilence {
    /// Responses that would have been expected since the last one, by the mean service times.
    missing: f64,
    last_response: Option<Instant>,
    /// When a silent target may be sent requests.
    probes: Option<Probes>,
}

#[derive(Clone, Copy, Debug)]
struct Probes {
    now: Instant,
    next_at: Instant,
    interval: Duration,
}

impl TargetSilence {
    /// Records a response or another sign that the target's process reads from its connections.
    pub fn record_response(&mut self, now: Instant) {
        *self = Self {
            last_response: Some(now),
            ..Self::default()
        };
    }

    /// Records that nobody waits any more for the response to a request that was sent `waited` ago; `service_time` is
    /// the mean of its kind.
    pub fn record_unanswered(&mut self, waited: Duration, service_time: Duration, now: Instant) {
        let quiet = self
            .last_response
            .map_or(waited, |at| now.saturating_duration_since(at));
        let in_vain = quiet.min(waited).as_secs_f64();
        self.missing += in_vain / service_time.max(MIN_SERVICE_TIME).as_secs_f64();
        let is_silent = self.missing >= MISSING_RESPONSES && quiet >= service_time.max(MIN_QUIET);
        if is_silent && self.probes.is_none() {
            self.probes = Some(Probes {
                now,
                next_at: now + FIRST_PROBE_INTERVAL,
                interval: FIRST_PROBE_INTERVAL * 2,
            });
        }
    }

    /// Whether the target has stopped responding.
    pub fn is_silent(&self) -> bool {
        self.probes.is_some()
    }

    /// Advances the time.
    pub fn refill(&mut self, now: Instant) {
        if let Some(probes) = &mut self.probes {
            probes.now = now;
        }
    }

    /// Time until a request may start; zero unless the target is silent.
    pub fn wait(&self) -> Duration {
        self.probes.map_or(Duration::ZERO, |probes| {
            probes.next_at.saturating_duration_since(probes.now)
        })
    }

    /// Records that a request starts, after [`TargetSilence::wait`] has returned zero.
    pub fn start(&mut self) {
        if let Some(probes) = &mut self.probes {
            probes.next_at = probes.now + probes.interval;
            probes.interval = (probes.interval * 2).min(MAX_PROBE_INTERVAL);
        }
    }

    /// Records that a request that was to start did not run.
    pub fn put_back(&mut self) {
        if let Some(probes) = &mut self.probes {
            probes.next_at = probes.now;
        }
    }
}
