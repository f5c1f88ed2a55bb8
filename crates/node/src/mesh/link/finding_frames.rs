//! Wire format of findings about requests that crash targets.

use std::time::Duration;

use coltsfootport_core::quarantine::{CrashId, Crashes, Evidence, Finding, Fingerprint};
use serde::{Deserialize, Serialize};

/// Maximum number of findings in a message, which keeps its size well below `MAX_HEAD`.
pub const MAX_FINDINGS: usize = 512;

/// A finding about one request fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindingFrame {
    fingerprint: Fingerprint,
    evidence: EvidenceFrame,
    age_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum EvidenceFrame {
    Crashes { ids: Vec<CrashId>, alone: bool },
    Answered,
}

/// Reply to a `FindingsPull`; empty as acknowledgement of `Findings`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindingsFrame(pub Vec<FindingFrame>);

impl From<&Finding> for FindingFrame {
    fn from(finding: &Finding) -> Self {
        Self {
            fingerprint: finding.fingerprint,
            evidence: match &finding.evidence {
                Evidence::Crashes(Crashes { ids, sole_suspect }) => EvidenceFrame::Crashes {
                    ids: ids.clone(),
                    alone: *sole_suspect,
                },
                Evidence::Answered => EvidenceFrame::Answered,
            },
            age_ms: u64::try_from(finding.age.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl From<FindingFrame> for Finding {
    fn from(frame: FindingFrame) -> Self {
        Self {
            fingerprint: frame.fingerprint,
            evidence: match frame.evidence {
                EvidenceFrame::Crashes { mut ids, alone } => {
                    ids.truncate(Crashes::MAX_IDS);
                    Evidence::Crashes(Crashes {
                        ids,
                        sole_suspect: alone,
                    })
                }
                EvidenceFrame::Answered => Evidence::Answered,
            },
            age: Duration::from_millis(frame.age_ms),
        }
    }
}
