//! How long the writer of a response waits for its chunks.

use std::time::{Duration, Instant};

/// Time after the deadline of a request for which chunks of its response are awaited. Leaves room for the end of a
/// response that is on its way.
const LATE_CHUNKS: Duration = Duration::from_millis(200);

/// Latest time for the chunks of a response.
///
/// Nothing more comes from a host that has failed without closing its connections, and a target that ignores its deadline
/// may go on for long. A caller that reads slowly must still get what the target sends meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct ChunkDeadline {
    /// Deadline of the request.
    deadline: Instant,
    /// Latest time for the last chunk.
    latest: Instant,
}

impl ChunkDeadline {
    /// Creates the limit of a response whose body begins at `now`, after those of earlier requests have been written.
    pub fn new(deadline: Instant, now: Instant) -> Self {
        Self {
            deadline,
            latest: deadline.max(now) + LATE_CHUNKS,
        }
    }

    /// Adds the time that the caller took to read a chunk.
    pub fn extend(&mut self, reading: Duration) {
        self.latest += reading;
    }

    /// Longest wait for the next chunk.
    pub fn wait(&self, now: Instant) -> Duration {
        let next = self.deadline.max(now) + LATE_CHUNKS;
        next.min(self.latest).saturating_duration_since(now)
    }
}
