//! Wire format of findings about requests that crash targets.

use std::time::Duration;

use coltsfootport_core::quarantine::{CrashId, Crashes, Evidence, Finding, Fingerprint};
use serde::{Deserialize, Serialize};

use super::trailing::Trailing;

/// Maximum number of findings in a message, which keeps its size well below `MAX_HEAD`.
pub const MAX_FINDINGS: usize = 512;

/// Findings of a node, in the first format followed by what was added to it. Nodes of the first format ignore the rest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindingsFrame {
    findings: Vec<FindingFrame>,
    /// One for each finding, in the same order.
    extensions: Trailing<Vec<FindingExtension>>,
}

/// A finding about one request fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindingFrame {
    fingerprint: Fingerprint,
    evidence: EvidenceFrame,
    age_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum EvidenceFrame {
    /// `alone` tells whether a probe has failed. Nodes of the first format refuse by it.
    Crashes {
        ids: Vec<CrashId>,
        alone: bool,
    },
    Answered,
}

/// Fields that were added to the first format of a finding.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindingExtension {
    failed_probes: u32,
    answered_before: bool,
}

/// Acknowledgement of a push.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindingsAck(Vec<u8>);

impl From<&[Finding]> for FindingsFrame {
    fn from(findings: &[Finding]) -> Self {
        Self {
            findings: findings.iter().map(FindingFrame::from).collect(),
            extensions: Trailing(findings.iter().map(FindingExtension::from).collect()),
        }
    }
}

impl From<FindingsFrame> for Vec<Finding> {
    fn from(frame: FindingsFrame) -> Self {
        let mut findings: Self = frame.findings.into_iter().map(Finding::from).collect();
        for (finding, extension) in findings.iter_mut().zip(&frame.extensions.0) {
            extension.add_to(finding);
        }
        findings
    }
}

impl From<&Finding> for FindingFrame {
    fn from(finding: &Finding) -> Self {
        Self {
            fingerprint: finding.fingerprint,
            evidence: match &finding.evidence {
                Evidence::Crashes(crashes) => EvidenceFrame::Crashes {
                    ids: crashes.ids.as_slice().to_vec(),
                    alone: crashes.failed_probes > 0,
                },
                Evidence::Answered => EvidenceFrame::Answered,
            },
            age_ms: u64::try_from(finding.age.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl From<&Finding> for FindingExtension {
    fn from(finding: &Finding) -> Self {
        match &finding.evidence {
            Evidence::Crashes(crashes) => Self {
                failed_probes: crashes.failed_probes,
                answered_before: crashes.answered_before,
            },
            Evidence::Answered => Self::default(),
        }
    }
}

impl From<FindingFrame> for Finding {
    /// Converts a finding without its extension.
    fn from(frame: FindingFrame) -> Self {
        Self {
            fingerprint: frame.fingerprint,
            evidence: match frame.evidence {
                EvidenceFrame::Crashes { ids, .. } => Evidence::Crashes(Crashes {
                    ids: ids.into_iter().collect(),
                    ..Crashes::default()
                }),
                EvidenceFrame::Answered => Evidence::Answered,
            },
            age: Duration::from_millis(frame.age_ms),
        }
    }
}

impl FindingExtension {
    /// Sets the fields of a finding whose other fields have been read.
    pub fn add_to(&self, finding: &mut Finding) {
        if let Evidence::Crashes(crashes) = &mut finding.evidence {
            crashes.failed_probes = self.failed_probes;
            crashes.answered_before = self.answered_before;
        }
    }
}
