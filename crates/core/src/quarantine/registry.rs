//! Registry of the requests that a node suspects of crashing targets.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use super::record::Record;
use super::{
    CrashId, Crashes, Evidence, Finding, Fingerprint, QuarantineConfig, RecentAnswers,
    SuspicionLevel,
};
use crate::collections::FastHasher;

/// Suspects and the evidence about them, collected from the node's own target and from other nodes.
#[derive(Clone, Debug)]
pub struct SuspectRegistry {
    cfg: QuarantineConfig,
    /// An ordered map, because callers control what is fingerprinted and could provoke collisions in a hash table.
    records: BTreeMap<Fingerprint, Record>,
    answers: RecentAnswers,
}

impl SuspectRegistry {
    /// Creates a registry without suspects.
    pub fn new(cfg: QuarantineConfig) -> Self {
        Self {
            cfg,
            records: BTreeMap::new(),
            answers: RecentAnswers::new(cfg.remember_answers_for, cfg.max_answers),
        }
    }

    /// Returns how strongly a request is suspected.
    pub fn suspicion_level(&self, fingerprint: Fingerprint, now: Instant) -> SuspicionLevel {
        let record = self.records.get(&fingerprint);
        record.map_or(SuspicionLevel::Unsuspected, |record| {
            record.level(&self.cfg, now)
        })
    }

    /// Returns the finding about a request if it is a suspect.
    pub fn finding(&self, fingerprint: Fingerprint, now: Instant) -> Option<Finding> {
        let record = self.records.get(&fingerprint)?;
        matches!(record.evidence, Evidence::Crashes(_)).then(|| record.finding(fingerprint, now))
    }

    /// Records that a target crashed while running a request; `is_probe` tells whether the request ran isolated.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash: CrashId,
        is_probe: bool,
        now: Instant,
    ) -> SuspicionLevel {
        let known = self.records.get(&fingerprint);
        let failed_probes = match is_probe {
            true => known.map_or(1, |record| record.count_failed_probe(&self.cfg, now)),
            false => 0,
        };
        let crashes = Crashes {
            ids: [crash].into_iter().collect(),
            failed_probes,
            answered_before: false,
        };
        let finding = Finding {
            fingerprint,
            evidence: Evidence::Crashes(crashes),
            age: Duration::ZERO,
        };
        self.merge(&finding, now);
        self.suspicion_level(fingerprint, now)
    }

    /// Records that a target answered a request completely; returns whether the request was a suspect.
    pub fn record_answer(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.answers.insert(fingerprint, now);
        match self.records.get_mut(&fingerprint) {
            Some(record) if record.evidence != Evidence::Answered => {
                record.evidence = Evidence::Answered;
                record.at = now;
                record.unsent_since.get_or_insert(now);
                true
            }
            Some(_) | None => false,
        }
    }

    /// Merges a finding; returns whether it added any evidence.
    pub fn merge(&mut self, finding: &Finding, now: Instant) -> bool {
        let at = now.checked_sub(finding.age).unwrap_or(now);
        let mut received = Record {
            evidence: finding.evidence.clone(),
            at,
            probe_failed_at: None,
            unsent_since: Some(now),
        };
        if let Evidence::Crashes(crashes) = &mut received.evidence {
            crashes.answered_before |= self.answers.contains(finding.fingerprint);
            received.probe_failed_at = (crashes.failed_probes > 0).then_some(at);
        }
        if received.is_expired(&self.cfg, now) {
            return false;
        }
        let Some(known) = self.records.get_mut(&finding.fingerprint) else {
            self.evict_if_full();
            self.records.insert(finding.fingerprint, received);
            return true;
        };
        let is_new = match (&mut known.evidence, &received.evidence) {
            (Evidence::Answered, _) => false,
            (Evidence::Crashes(crashes), Evidence::Crashes(others)) => {
                if others.failed_probes > crashes.failed_probes {
                    known.probe_failed_at = received.probe_failed_at;
                }
                crashes.merge(others)
            }
            (known, Evidence::Answered) => {
                *known = Evidence::Answered;
                true
            }
        };
        if is_new {
            known.at = match known.evidence {
                Evidence::Answered => at,
                Evidence::Crashes(_) => known.at.max(at),
            };
            known.unsent_since.get_or_insert(now);
        }
        is_new
    }

    /// Takes at most `limit` findings that are due to be sent to other nodes.
    ///
    /// A finding that changes how a request is handled is due at once, any other after
    /// [`QuarantineConfig::batch_delay`]. If any finding is due, all unsent ones are taken, up to the limit.
    pub fn take_unsent(&mut self, limit: usize, now: Instant) -> Vec<Finding> {
        let is_due = |record: &Record| {
            let waited = record
                .unsent_since
                .map(|since| now.saturating_duration_since(since));
            waited.is_some_and(|waited| {
                waited >= self.cfg.batch_delay
                    || record.level(&self.cfg, now) >= SuspicionLevel::Isolated
            })
        };
        if !self.records.values().any(is_due) {
            return Vec::new();
        }
        let unsent = self.records.iter_mut();
        let unsent = unsent.filter(|(_, record)| record.unsent_since.is_some());
        let taken = unsent.take(limit).map(|(fingerprint, record)| {
            record.unsent_since = None;
            record.finding(*fingerprint, now)
        });
        taken.collect()
    }

    /// Returns the latest findings, at most `limit`, for a node whose registry has the given digest; empty if both
    /// registries hold the same evidence.
    pub fn findings_for_peer(&self, digest: u64, limit: usize, now: Instant) -> Vec<Finding> {
        if digest == self.digest() {
            return Vec::new();
        }
        let mut records: Vec<(&Fingerprint, &Record)> = self.records.iter().collect();
        records.sort_by_key(|(_, record)| std::cmp::Reverse(record.at));
        let latest = records.into_iter().take(limit);
        latest
            .map(|(fingerprint, record)| record.finding(*fingerprint, now))
            .collect()
    }

    /// Returns a digest of all evidence, which is equal on nodes with the same evidence.
    pub fn digest(&self) -> u64 {
        let digests = self.records.iter().map(|(fingerprint, record)| {
            let mut hasher = FastHasher::default();
            (fingerprint, &record.evidence).hash(&mut hasher);
            hasher.finish()
        });
        digests.fold(0, |all, one| all ^ one)
    }

    /// Removes expired records and answers.
    pub fn tick(&mut self, now: Instant) {
        let cfg = self.cfg;
        self.records
            .retain(|_, record| !record.is_expired(&cfg, now));
        self.answers.rotate(now);
    }

    /// Returns the number of suspects, refused or not.
    pub fn suspect_count(&self) -> usize {
        let records = self.records.values();
        records
            .filter(|record| record.evidence != Evidence::Answered)
            .count()
    }

    /// If the registry is full, evicts the record with the fewest crashes, or the oldest one among equals. An answered
    /// request counts as having no crashes.
    fn evict_if_full(&mut self) {
        if self.records.len() < self.cfg.max_records {
            return;
        }
        let least = self
            .records
            .iter()
            .min_by_key(|(_, record)| (record.crash_count(), record.at));
        if let Some(least) = least.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&least);
        }
    }
}
