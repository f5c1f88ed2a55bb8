//! Heads of callers' requests, and the idle time before them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{CallerLimits, Refusal};
use tokio::time::timeout;

use super::{ReadEnd, Reader};
use crate::h1::{H1Error, RequestHead, parse_request};
use crate::mesh::callers::connection_end::ConnectionEnd;
use crate::mesh::callers::sent::has_unsent;

/// Interval between checks whether the caller is still reading a response when the idle time is over.
const UNSENT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Reader {
    pub(super) async fn read_head(
        &mut self,
        limits: &CallerLimits,
    ) -> Result<RequestHead, ReadEnd> {
        let mut started: Option<Instant> = None;
        let waiting_since = self.cfg.entry.clock.now();
        let mut is_evicted = false;
        loop {
            match parse_request(&mut self.buf, limits.header_bytes) {
                Ok(Some(head)) => return Ok(head),
                // Callers resend a request whose head was not read.
                Ok(None) if is_evicted => return Err(ReadEnd::Ended(ConnectionEnd::Evicted)),
                Ok(None) => {}
                Err(H1Error::HeadTooLarge) => {
                    return Err(ReadEnd::Refused(Refusal::HeaderTooLarge));
                }
                Err(_) => return Err(ReadEnd::Refused(Refusal::BadRequest)),
            }
            let now = self.cfg.entry.clock.now();
            if started.is_none() && !self.buf.is_empty() {
                started = Some(now);
            }
            let wait = match started {
                Some(started) => limits
                    .header_timeout
                    .saturating_sub(now.saturating_duration_since(started)),
                None => self
                    .idle_time_left(limits, waiting_since)
                    .max(UNSENT_CHECK_INTERVAL),
            };
            let shared = Arc::clone(&self.shared);
            let filled = tokio::select! {
                biased;
                filled = timeout(wait, self.fill_when_room()) => filled,
                () = shared.evicted() => {
                    self.read_available()?;
                    match self.buf.is_empty() {
                        true if self.is_reading_response(limits, waiting_since)
                            && shared.defer_eviction() => {}
                        true => return Err(ReadEnd::Ended(ConnectionEnd::Evicted)),
                        false => is_evicted = true,
                    }
                    continue;
                }
            };
            match filled {
                Ok(read) => read?,
                Err(_) if started.is_some() => {
                    return Err(ReadEnd::Refused(Refusal::HeaderTimeout));
                }
                // A caller that waits for a response is not idle.
                Err(_) if self.shared.pending() > 0 => {}
                Err(_) if !self.idle_time_left(limits, waiting_since).is_zero() => {}
                Err(_) if self.is_reading_response(limits, waiting_since) => {}
                Err(_) => return Err(ReadEnd::Ended(ConnectionEnd::Idle)),
            }
        }
    }

    /// Time until the connection has been idle for too long, by the longer one of the idle timeouts that its caller may
    /// know.
    fn idle_time_left(&self, limits: &CallerLimits, waiting_since: Instant) -> Duration {
        let idle_timeout = self.idle_timeout(limits);
        if self.shared.pending() > 0 {
            return idle_timeout;
        }
        idle_timeout.saturating_sub(self.idle_time(waiting_since))
    }

    /// Whether the caller may still be reading the last response. It has another idle timeout for that.
    fn is_reading_response(&self, limits: &CallerLimits, waiting_since: Instant) -> bool {
        let is_within_limit = self.idle_time(waiting_since) < self.idle_timeout(limits) * 2;
        is_within_limit && has_unsent(self.read.as_ref())
    }

    fn idle_timeout(&self, limits: &CallerLimits) -> Duration {
        limits
            .idle_timeout
            .max(self.cfg.limits.borrow().idle_timeout)
    }

    /// Time since the last response was written.
    fn idle_time(&self, waiting_since: Instant) -> Duration {
        let written_at = self.shared.written_at().unwrap_or(waiting_since);
        let now = self.cfg.entry.clock.now();
        now.saturating_duration_since(written_at.max(waiting_since))
    }
}
