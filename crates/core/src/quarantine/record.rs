//! What a registry knows about one request.

use std::time::{Duration, Instant};

use super::{Crashes, Evidence, Finding, Fingerprint, QuarantineConfig, SuspicionLevel};

/// The evidence about a request, and whether it still has to be sent to other nodes.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub evidence: Evidence,
    /// Time of the latest crash, or of the answer.
    pub at: Instant,
    /// When the number of failed probes last rose.
    pub probe_failed_at: Option<Instant>,
    /// Since when the evidence has been waiting to be sent to other nodes; `None` once sent.
    pub unsent_since: Option<Instant>,
}

impl Record {
    pub fn level(&self, cfg: &QuarantineConfig, now: Instant) -> SuspicionLevel {
        let Evidence::Crashes(crashes) = &self.evidence else {
            return SuspicionLevel::Unsuspected;
        };
        let age = now.saturating_duration_since(self.at);
        match refusal_duration(cfg, crashes) {
            Some(duration) if age < duration => SuspicionLevel::Refused,
            Some(_) => SuspicionLevel::Isolated,
            None if crashes.ids.len() >= cfg.isolate_after => SuspicionLevel::Isolated,
            None => SuspicionLevel::Suspected,
        }
    }

    pub fn is_expired(&self, cfg: &QuarantineConfig, now: Instant) -> bool {
        let lifetime = match &self.evidence {
            Evidence::Answered => cfg.cleared_for,
            Evidence::Crashes(crashes) => {
                refusal_duration(cfg, crashes).unwrap_or_default() + cfg.retention
            }
        };
        now.saturating_duration_since(self.at) >= lifetime
    }

    pub fn finding(&self, fingerprint: Fingerprint, now: Instant) -> Finding {
        Finding {
            fingerprint,
            evidence: self.evidence.clone(),
            age: now.saturating_duration_since(self.at),
        }
    }

    /// Returns the number of failed probes after another one at `now`.
    pub fn count_failed_probe(&self, cfg: &QuarantineConfig, now: Instant) -> u32 {
        let Evidence::Crashes(crashes) = &self.evidence else {
            return 1;
        };
        let is_same = |at| now.saturating_duration_since(at) < cfg.probe_spacing;
        match self.probe_failed_at.is_some_and(is_same) {
            true => crashes.failed_probes,
            false => crashes.failed_probes.saturating_add(1),
        }
    }

    pub fn crash_count(&self) -> usize {
        match &self.evidence {
            Evidence::Answered => 0,
            Evidence::Crashes(crashes) => crashes.ids.len(),
        }
    }
}

/// Returns how long a request is refused after its latest crash, or `None` if it is not refused.
fn refusal_duration(cfg: &QuarantineConfig, crashes: &Crashes) -> Option<Duration> {
    let probes = crashes.failed_probes;
    let needed = match crashes.answered_before {
        true => cfg.refuse_answered_after,
        false => 1,
    };
    let is_refused = crashes.ids.len() >= cfg.refuse_after && probes >= needed;
    is_refused.then(|| {
        let growth = cfg.refuse_factor.saturating_pow(probes.saturating_sub(1));
        cfg.refuse_for.saturating_mul(growth).min(cfg.max_refusal)
    })
}
