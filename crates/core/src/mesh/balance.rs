//! What an entry has seen of one instance, and the score that it gives it.

use std::time::{Duration, Instant};

/// Running estimates about one instance, from answers that this entry got.
#[derive(Clone, Copy, Debug)]
pub struct Observed {
    /// Requests of this entry that are there now.
    pub outstanding: u32,
    /// Requests of all entries there, as its host said last, and sent since.
    busy: f64,
    busy_at: Option<Instant>,
    /// Its time for a request over the usual time of that route, as a running mean.
    slowness: f64,
    /// Share of failed requests, as a running mean.
    failures: f64,
    /// When the two means were moved last.
    judged_at: Option<Instant>,
    /// Until when it gets requests only where nobody else can.
    avoided_until: Option<Instant>,
    /// Until when its host is believed to be about to stop.
    stopping_until: Option<Instant>,
    /// Failures in a row to reach its host.
    unreachable: u32,
    /// When a request went there last.
    sent_at: Option<Instant>,
    /// When its host said last that it is cut off from the publisher.
    cut_off_at: Option<Instant>,
}

impl Default for Observed {
    fn default() -> Self {
        Self {
            outstanding: 0,
            busy: 0.0,
            busy_at: None,
            slowness: 1.0,
            failures: 0.0,
            judged_at: None,
            avoided_until: None,
            stopping_until: None,
            unreachable: 0,
            sent_at: None,
            cut_off_at: None,
        }
    }
}

/// Weight of the newest answer in running means: they settle within some ten answers.
const NEWEST: f64 = 0.12;

/// A host's own word about its load counts for half of its value after this time without a new one.
const BUSY_HALF_LIFE: Duration = Duration::from_millis(800);

/// A judgement about failures and slowness counts for half after this time without a new answer.
const JUDGEMENT_HALF_LIFE: Duration = Duration::from_secs(3);

/// Share of failures from which an instance is avoided.
const FAILURES_TO_AVOID: f64 = 0.45;

/// Share of failures from which an instance that has had no request for some time gets one to show if it works again.
const FAILURES_TO_PROBE: f64 = 0.04;

/// Time without a request after which it gets one.
const PROBE_AFTER: Duration = Duration::from_millis(1500);

/// Score of an instance whose next request is a probe: better than any other. Its old failures would keep it from getting
/// one for as long as the others have room, and it would stay out although it works.
const PROBE_SCORE: f64 = 0.3;

/// How long an instance that fails is avoided before one request tries it again.
const AVOID_FAILING: Duration = Duration::from_millis(2500);

/// First time for which a host that can't be reached is avoided; doubled each time up to eight times this.
const AVOID_UNREACHABLE: Duration = Duration::from_millis(250);

/// How long a target that is gone is avoided: about the time until the published list tells.
const AVOID_GONE: Duration = Duration::from_millis(1500);

/// How long a host that is about to stop is avoided: about what is left of its life.
const AVOID_STOPPING: Duration = Duration::from_millis(3000);

/// How long the word of a host that it is cut off from the publisher holds: some replies' time in a small fleet under load.
const CUT_OFF_FRESH: Duration = Duration::from_millis(2000);

/// How far one answer may move the slowness, so that a single slow request says little.
const SLOWNESS_RANGE: (f64, f64) = (0.2, 5.0);

impl Observed {
    /// A request goes there.
    pub fn sent(&mut self, now: Instant) {
        self.sent_at = Some(now);
        self.outstanding += 1;
        self.busy = self.busy_now(now) + 1.0;
        self.busy_at = Some(now);
    }

    /// A request that went there has ended.
    pub fn ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// The host's word about how many requests it has.
    pub fn reported(&mut self, busy: u32, now: Instant) {
        self.busy = f64::from(busy);
        self.busy_at = Some(now);
        self.unreachable = 0;
    }

    /// A whole answer after `relative` times the usual time of its route.
    pub fn answered(&mut self, relative: f64, now: Instant) {
        self.forget(now);
        let relative = relative.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.slowness += NEWEST * (relative - self.slowness);
        self.failures -= NEWEST * self.failures;
    }

    /// The target failed or refused a request.
    pub fn failed(&mut self, now: Instant) {
        self.forget(now);
        self.failures += NEWEST * (1.0 - self.failures);
        if self.failures > FAILURES_TO_AVOID {
            self.avoid(now + AVOID_FAILING);
            // One failure after the pause must be enough to avoid it again, and some successes to trust it.
            self.failures = FAILURES_TO_AVOID;
        }
    }

    /// The host could not be reached.
    pub fn not_reached(&mut self, now: Instant) {
        let doublings = self.unreachable.min(3);
        self.avoid(now + AVOID_UNREACHABLE * (1 << doublings));
        self.unreachable += 1;
    }

    /// The target does not listen or is another instance. Requests come back from it at once, so it looks idle and would
    /// draw more of them than all others until the published list tells that it is gone.
    pub fn target_gone(&mut self, now: Instant) {
        self.avoid(now + AVOID_GONE);
    }

    /// The host is about to stop and takes nothing more; see [`Observed::target_gone`] for why it must be avoided.
    pub fn host_stopped(&mut self, now: Instant) {
        self.avoid(now + AVOID_STOPPING);
    }

    /// The host is about to stop and still takes requests: it is for those that others have no room for.
    pub fn host_stopping(&mut self, now: Instant) {
        self.stopping_until = Some(now + AVOID_STOPPING);
    }

    /// Its host is cut off from the publisher.
    pub fn host_cut_off(&mut self, now: Instant) {
        self.cut_off_at = Some(now);
    }

    /// Whether its host has said of late that it is cut off from the publisher.
    pub fn host_is_cut_off(&self, now: Instant) -> bool {
        let is_fresh = |at| now.saturating_duration_since(at) < CUT_OFF_FRESH;
        self.cut_off_at.is_some_and(is_fresh)
    }

    /// Whether it is avoided now.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// Expected time for a request there, in units of the usual time on an idle usual instance.
    pub fn score(&self, slots: u32, now: Instant) -> f64 {
        if self.is_due_for_probe(now) {
            return PROBE_SCORE;
        }
        let load = self.busy_now(now).max(f64::from(self.outstanding));
        let used = (load + 1.0) / f64::from(slots.max(1));
        let queueing = (used - FREE_SHARE).max(0.0) * QUEUE_WEIGHT;
        // Retries cost more than time, so failures weigh beyond the time of a second try.
        let kept = self.kept(now);
        let failing = 1.0 + FAILURE_WEIGHT * self.failures * kept;
        let slowness = 1.0 + (self.slowness - 1.0) * kept;
        let stopping = match self.stopping_until.is_some_and(|until| now < until) {
            true => STOPPING_FACTOR,
            false => 1.0,
        };
        slowness * failing * stopping * (1.0 + LOAD_WEIGHT * used + queueing)
    }

    fn is_due_for_probe(&self, now: Instant) -> bool {
        let waited = |at: Instant| now.saturating_duration_since(at) >= PROBE_AFTER;
        self.failures > FAILURES_TO_PROBE
            && self.outstanding == 0
            && self.sent_at.is_some_and(waited)
    }

    /// Moves the means to what is left of them.
    fn forget(&mut self, now: Instant) {
        let kept = self.kept(now);
        self.failures *= kept;
        self.slowness = 1.0 + (self.slowness - 1.0) * kept;
        self.judged_at = Some(now);
    }

    /// How much an old judgement still counts. Without new requests nothing would correct it: an instance that failed or was
    /// slow once would get nothing for as long as the others have room.
    fn kept(&self, now: Instant) -> f64 {
        let Some(at) = self.judged_at else {
            return 1.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        0.5_f64.powf(age / JUDGEMENT_HALF_LIFE.as_secs_f64())
    }

    fn avoid(&mut self, until: Instant) {
        self.avoided_until = self.avoided_until.max(Some(until));
    }

    fn busy_now(&self, now: Instant) -> f64 {
        let Some(at) = self.busy_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.busy * 0.5_f64.powf(age / BUSY_HALF_LIFE.as_secs_f64())
    }
}

/// Share of its slots that an instance can use before requests are likely to wait there.
const FREE_SHARE: f64 = 0.8;

/// How much a request more than the slots hold adds, in usual times over the whole of the slots.
const QUEUE_WEIGHT: f64 = 6.0;

/// How much even load below the slots counts: spreads requests before queues form.
const LOAD_WEIGHT: f64 = 0.5;

/// What the score of an instance is multiplied by whose host is about to stop: as much as a long queue elsewhere.
const STOPPING_FACTOR: f64 = 3.0;

/// How much more an instance that fails always would cost.
const FAILURE_WEIGHT: f64 = 6.0;
