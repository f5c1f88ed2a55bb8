//! Reply of a host to a call.

use bytes::Bytes;

use super::{AttemptId, HostReport, Verdict};

/// Verdict on a call together with the host's state.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Id of the attempt to which this reply belongs.
    pub attempt: AttemptId,
    /// Rest of the retry allowance that the host and its downstream calls did not use.
    pub allowance_left: u16,
    /// Verdict on the call.
    pub verdict: Verdict,
    /// Report of the host's state.
    pub report: HostReport,
}

impl Reply {
    /// Returns the body of the answer, which is empty for a refusal.
    pub fn body(&self) -> Bytes {
        match &self.verdict {
            Verdict::Answered(answer) => answer.body.clone(),
            Verdict::Refused(_) => Bytes::new(),
        }
    }
}
