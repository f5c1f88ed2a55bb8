//! A host's reply to a call.

use bytes::Bytes;

use super::{AttemptId, HostReport, Verdict};

/// Verdict on a call with the host's state.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The attempt that this reply belongs to.
    pub attempt: AttemptId,
    /// Retry allowance that the subtree did not use.
    pub allowance_left: u16,
    /// What came of the call.
    pub verdict: Verdict,
    /// State of the host.
    pub report: HostReport,
}

impl Reply {
    /// The answer's body, empty for a refusal.
    pub fn body(&self) -> Bytes {
        match &self.verdict {
            Verdict::Answered(answer) => answer.body.clone(),
            Verdict::Refused(_) => Bytes::new(),
        }
    }
}
