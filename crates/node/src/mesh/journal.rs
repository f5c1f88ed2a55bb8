//! Log lines about requests, at a bounded rate.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{Route, Shed};
use coltsfootport_core::quarantine::{CrashId, Evidence, Finding, Fingerprint};
use coltsfootport_core::workspace::{OverQuota, Quota, Workspace};
use slog::{Logger, info};

use crate::clock::SharedClock;
use crate::mesh::metrics::MeshMetrics;

/// Lines a second about requests that failed or were refused. Enough to show every kind of failure with examples, and
/// about a thousandth of a core to write.
const TROUBLE_LINES: f64 = 40.0;

/// Lines a second about requests that went well.
const SUCCESS_LINES: f64 = 1.0;

/// Seconds of lines that may be saved up.
const BURST_SECONDS: f64 = 2.0;

/// Writes lines about requests; lines above the rate are counted, and the next line tells how many there were.
#[derive(Clone)]
pub struct Journal {
    log: Logger,
    clock: SharedClock,
    metrics: MeshMetrics,
    rates: Arc<Mutex<Rates>>,
}

struct Rates {
    trouble: Bucket,
    success: Bucket,
}

struct Bucket {
    per_second: f64,
    tokens: f64,
    filled: Instant,
    dropped: u64,
}

/// What became of one request at its entry.
#[derive(Clone, Copy, Debug)]
pub struct Ending<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// What stays the same when it is sent again; `None` where it was refused unread.
    pub fingerprint: Option<Fingerprint>,
    /// Route, empty where none was found.
    pub route: &'a str,
    /// Service.
    pub service: &'a str,
    /// Instance that had it last.
    pub instance: &'a str,
    /// Status of the answer.
    pub status: u16,
    /// Why the node answered itself; empty for a target's answer.
    pub refusal: &'a str,
    /// Instances that it was sent to.
    pub attempts: usize,
    /// Time at this node.
    pub took: Duration,
    /// Time that was left when it came.
    pub limit: Duration,
    /// Version of the configuration that it was handled by.
    pub config: u64,
    /// Whether it served a run of the own target.
    pub inner: bool,
}

impl Journal {
    /// A journal on this log.
    pub fn new(log: Logger, clock: SharedClock, metrics: MeshMetrics) -> Self {
        let now = clock.now();
        let rates = Rates {
            trouble: Bucket::new(TROUBLE_LINES, now),
            success: Bucket::new(SUCCESS_LINES, now),
        };
        Self {
            log,
            clock,
            metrics,
            rates: Arc::new(Mutex::new(rates)),
        }
    }

    /// The log, for lines that are rare by nature.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// A request was shed at its entry.
    pub fn shed(&self, id: &str, route: &Route, rank: u8, shed: Shed) {
        if let Some(dropped) = self.trouble() {
            info!(self.log, "shed"; "request" => id, "route" => route.name.as_str(),
                "rank" => rank, "level" => shed.level, "share" => shed.share,
                "back_ms" => shed.retry_after.as_millis() as u64, "dropped" => dropped);
        }
    }

    /// A request was refused since its workspace is beyond its quota; `age_ms` is the age of the directory.
    pub fn over_quota(
        &self,
        id: &str,
        workspace: &Workspace,
        quota: Quota,
        over: OverQuota,
        age_ms: u64,
    ) {
        if let Some(dropped) = self.trouble() {
            info!(self.log, "over quota"; "request" => id, "workspace" => workspace.name.as_str(),
                "per_second" => quota.per_second, "burst" => quota.burst, "share" => over.share,
                "back_ms" => over.retry_after.as_millis() as u64, "directory_age_ms" => age_ms, "dropped" => dropped);
        }
    }

    /// An attempt at an instance brought no usable answer.
    pub fn attempt_failed(&self, id: &str, fingerprint: Fingerprint, instance: &str, reason: &str) {
        if let Some(dropped) = self.trouble() {
            info!(self.log, "attempt failed"; "request" => id, "fingerprint" => fingerprint.to_string(),
                "instance" => instance, "reason" => reason, "goes_on" => true, "dropped" => dropped);
        }
    }

    /// Nothing more comes from the host of an instance about a request that may have reached it.
    pub fn reply_lost(&self, id: &str, instance: &str, reason: &str) {
        if let Some(dropped) = self.trouble() {
            info!(self.log, "reply lost"; "request" => id, "instance" => instance,
                "reason" => reason, "dropped" => dropped);
        }
    }

    /// The target beside this node gave no usable answer.
    pub fn target_failed(
        &self,
        id: &str,
        fingerprint: Fingerprint,
        instance: &str,
        reason: &str,
        detail: &str,
    ) {
        if let Some(dropped) = self.trouble() {
            info!(self.log, "target failed"; "request" => id, "fingerprint" => fingerprint.to_string(),
                "instance" => instance, "reason" => reason, "detail" => detail, "dropped" => dropped);
        }
    }

    /// The process of the target beside this node has ended while this request was at work there.
    pub fn crashed_under(
        &self,
        id: &str,
        fingerprint: Fingerprint,
        instance: &str,
        crash: CrashId,
    ) {
        self.metrics.ended_by_crash.inc();
        if let Some(dropped) = self.trouble() {
            info!(self.log, "target crashed"; "request" => id, "fingerprint" => fingerprint.to_string(),
                "instance" => instance, "crash" => crash.to_string(), "dropped" => dropped);
        }
    }

    /// A request is refused since it crashes targets.
    pub fn quarantined(&self, finding: &Finding) {
        let Evidence::Crashes(crashes) = &finding.evidence else {
            return;
        };
        if let Some(dropped) = self.trouble() {
            info!(self.log, "refused as it crashes targets"; "fingerprint" => finding.fingerprint.to_string(),
                "crashes" => crashes.ids.len(), "alone" => crashes.sole_suspect,
                "age_ms" => finding.age.as_millis() as u64, "dropped" => dropped);
        }
    }

    /// A request has not ended at the end of the grace period; `phase` tells where it is.
    pub fn unfinished(&self, id: &str, phase: &str, left: Duration) {
        if let Some(dropped) = self.trouble() {
            info!(self.log, "unfinished"; "request" => id, "phase" => phase,
                "left_ms" => left.as_millis() as u64, "dropped" => dropped);
        }
    }

    /// A caller left before its answer.
    pub fn caller_left(&self, requests: usize) {
        if let Some(dropped) = self.trouble() {
            info!(self.log, "caller left"; "requests" => requests, "dropped" => dropped);
        }
    }

    /// A request has its answer.
    pub fn ended(&self, ending: Ending<'_>) {
        self.metrics
            .ended(ending.status, ending.refusal, ending.took);
        let well = ending.status < 500 && ending.refusal.is_empty();
        let allowed = if well { self.success() } else { self.trouble() };
        let Some(dropped) = allowed else {
            return;
        };
        let fingerprint = ending.fingerprint.map(|known| known.to_string());
        info!(self.log, "answered"; "request" => ending.id, "fingerprint" => fingerprint, "route" => ending.route,
            "to_service" => ending.service, "instance" => ending.instance, "status" => ending.status,
            "refusal" => ending.refusal, "attempts" => ending.attempts,
            "took_ms" => ending.took.as_millis() as u64, "limit_ms" => ending.limit.as_millis() as u64,
            "config" => ending.config, "inner" => ending.inner, "dropped" => dropped);
    }

    fn trouble(&self) -> Option<u64> {
        self.take(|rates| &mut rates.trouble)
    }

    fn success(&self) -> Option<u64> {
        self.take(|rates| &mut rates.success)
    }

    fn take<F>(&self, pick: F) -> Option<u64>
    where
        F: FnOnce(&mut Rates) -> &mut Bucket,
    {
        let now = self.clock.now();
        let mut rates = self.rates.lock().unwrap_or_else(PoisonError::into_inner);
        let dropped = pick(&mut rates).take(now);
        if dropped.is_none() {
            self.metrics.lines_dropped.inc();
        }
        dropped
    }
}

impl std::fmt::Debug for Journal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Journal").finish_non_exhaustive()
    }
}

impl Bucket {
    fn new(per_second: f64, now: Instant) -> Self {
        Self {
            per_second,
            tokens: per_second * BURST_SECONDS,
            filled: now,
            dropped: 0,
        }
    }

    /// Whether a line may be written; tells how many were dropped before it.
    fn take(&mut self, now: Instant) -> Option<u64> {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        let most = self.per_second * BURST_SECONDS;
        self.tokens = (self.tokens + self.per_second * passed).min(most);
        self.filled = now;
        if self.tokens < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }
}
