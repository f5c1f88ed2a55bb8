//! The requests that a node suspects of crashing targets.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use super::{CrashId, Crashes, Evidence, Finding, Fingerprint, QuarantineConfig, Standing};
use crate::collections::FastHasher;

/// Suspects and what is known of them, from the own target and from other nodes.
#[derive(Clone, Debug)]
pub struct Register {
    cfg: QuarantineConfig,
    /// Ordered, since fingerprints follow from what callers send and could be chosen to meet in a hash table.
    records: BTreeMap<Fingerprint, Record>,
}

#[derive(Clone, Debug)]
struct Record {
    evidence: Evidence,
    /// Of the latest crash, or of the answer.
    at: Instant,
    /// Since when it waits to be sent to other nodes.
    untold_since: Option<Instant>,
}

impl Register {
    /// A register without suspects.
    pub fn new(cfg: QuarantineConfig) -> Self {
        Self {
            cfg,
            records: BTreeMap::new(),
        }
    }

    /// How far a request is suspected.
    pub fn standing(&self, fingerprint: Fingerprint, now: Instant) -> Standing {
        let record = self.records.get(&fingerprint);
        record.map_or(Standing::Unsuspected, |record| {
            self.standing_of(record, now)
        })
    }

    /// What is known of a request that is suspected.
    pub fn finding(&self, fingerprint: Fingerprint, now: Instant) -> Option<Finding> {
        let record = self.records.get(&fingerprint)?;
        matches!(record.evidence, Evidence::Crashes(_)).then(|| record.finding(fingerprint, now))
    }

    /// A target has crashed while a request was at work; `alone` where it was the only suspect there.
    pub fn crashed(
        &mut self,
        fingerprint: Fingerprint,
        crash: CrashId,
        alone: bool,
        now: Instant,
    ) -> Standing {
        let crashes = Crashes {
            ids: vec![crash],
            alone,
        };
        let finding = Finding {
            fingerprint,
            evidence: Evidence::Crashes(crashes),
            age: Duration::ZERO,
        };
        self.hear(&finding, now);
        self.standing(fingerprint, now)
    }

    /// A target has answered a request whole; `true` where it was suspected.
    pub fn answered(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        match self.records.get_mut(&fingerprint) {
            Some(record) if record.evidence != Evidence::Answered => {
                record.evidence = Evidence::Answered;
                record.at = now;
                record.untold_since.get_or_insert(now);
                true
            }
            Some(_) | None => false,
        }
    }

    /// Merges the finding of another node; `true` where it was new.
    pub fn hear(&mut self, finding: &Finding, now: Instant) -> bool {
        let at = now.checked_sub(finding.age).unwrap_or(now);
        let told = Record {
            evidence: finding.evidence.clone(),
            at,
            untold_since: Some(now),
        };
        if self.is_over(&told, now) {
            return false;
        }
        let Some(known) = self.records.get_mut(&finding.fingerprint) else {
            self.make_room();
            self.records.insert(finding.fingerprint, told);
            return true;
        };
        let is_new = match (&mut known.evidence, &told.evidence) {
            (Evidence::Answered, _) => false,
            (Evidence::Crashes(known), Evidence::Crashes(told)) => known.merge(told),
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
            known.untold_since.get_or_insert(now);
        }
        is_new
    }

    /// The findings to send to other nodes now, at most so many: at once where a finding changes how a request is handled,
    /// otherwise after [`QuarantineConfig::spread_after`].
    pub fn take_untold(&mut self, most: usize, now: Instant) -> Vec<Finding> {
        let is_due = |record: &Record| {
            let waited = record
                .untold_since
                .map(|since| now.saturating_duration_since(since));
            waited.is_some_and(|waited| {
                waited >= self.cfg.spread_after
                    || self.standing_of(record, now) >= Standing::Isolated
            })
        };
        if !self.records.values().any(is_due) {
            return Vec::new();
        }
        let untold = self.records.iter_mut();
        let untold = untold.filter(|(_, record)| record.untold_since.is_some());
        let taken = untold.take(most).map(|(fingerprint, record)| {
            record.untold_since = None;
            record.finding(*fingerprint, now)
        });
        taken.collect()
    }

    /// The latest findings, at most so many, for a node with this digest; none where both know the same.
    pub fn unlike(&self, digest: u64, most: usize, now: Instant) -> Vec<Finding> {
        if digest == self.digest() {
            return Vec::new();
        }
        let mut records: Vec<(&Fingerprint, &Record)> = self.records.iter().collect();
        records.sort_by_key(|(_, record)| std::cmp::Reverse(record.at));
        let latest = records.into_iter().take(most);
        latest
            .map(|(fingerprint, record)| record.finding(*fingerprint, now))
            .collect()
    }

    /// Stands for all evidence; equal on nodes that know the same.
    pub fn digest(&self) -> u64 {
        let digests = self.records.iter().map(|(fingerprint, record)| {
            let mut hasher = FastHasher::default();
            (fingerprint, &record.evidence).hash(&mut hasher);
            hasher.finish()
        });
        digests.fold(0, |all, one| all ^ one)
    }

    /// Lets time pass: forgets what does not count any more.
    pub fn tick(&mut self, now: Instant) {
        let cfg = self.cfg;
        self.records.retain(|_, record| !is_over(&cfg, record, now));
    }

    /// Requests that are suspected, whether they are refused or not.
    pub fn suspects(&self) -> usize {
        let records = self.records.values();
        records
            .filter(|record| record.evidence != Evidence::Answered)
            .count()
    }

    fn standing_of(&self, record: &Record, now: Instant) -> Standing {
        let Evidence::Crashes(crashes) = &record.evidence else {
            return Standing::Unsuspected;
        };
        let age = now.saturating_duration_since(record.at);
        match refused_for(&self.cfg, crashes) {
            Some(time) if age < time => Standing::Refused,
            Some(_) => Standing::Isolated,
            None if crashes.ids.len() >= self.cfg.isolate_after => Standing::Isolated,
            None => Standing::Suspected,
        }
    }

    fn is_over(&self, record: &Record, now: Instant) -> bool {
        is_over(&self.cfg, record, now)
    }

    /// Evicts what is least grave and oldest where the register is full.
    fn make_room(&mut self) {
        if self.records.len() < self.cfg.most_records {
            return;
        }
        let least = self
            .records
            .iter()
            .min_by_key(|(_, record)| (record.gravity(), record.at));
        if let Some(least) = least.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&least);
        }
    }
}

impl Record {
    fn finding(&self, fingerprint: Fingerprint, now: Instant) -> Finding {
        Finding {
            fingerprint,
            evidence: self.evidence.clone(),
            age: now.saturating_duration_since(self.at),
        }
    }

    fn gravity(&self) -> usize {
        match &self.evidence {
            Evidence::Answered => 0,
            Evidence::Crashes(crashes) => crashes.ids.len(),
        }
    }
}

/// How long a request is refused after its latest crash; `None` where it is not.
fn refused_for(cfg: &QuarantineConfig, crashes: &Crashes) -> Option<Duration> {
    let count = crashes.ids.len();
    let is_refused =
        (crashes.alone && count >= cfg.refuse_after) || count >= cfg.refuse_in_company_after;
    is_refused.then(|| {
        let doublings = count.saturating_sub(cfg.refuse_after).min(Crashes::MOST);
        cfg.refuse_for * (1 << doublings)
    })
}

fn is_over(cfg: &QuarantineConfig, record: &Record, now: Instant) -> bool {
    let lasts = match &record.evidence {
        Evidence::Answered => cfg.cleared_for,
        Evidence::Crashes(crashes) => refused_for(cfg, crashes).unwrap_or_default() + cfg.retention,
    };
    now.saturating_duration_since(record.at) >= lasts
}
