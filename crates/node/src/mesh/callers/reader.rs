//! Reading half of a caller connection.

mod body;

use std::io::{ErrorKind, Read};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use coltsfootport_core::mesh::{CallerLimits, Refusal};
use smol_str::SmolStr;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::connection_end::ConnectionEnd;
use super::listener::CallersConfig;
use super::open_response::ResponseSeq;
use super::sent::has_unsent;
use super::slot::{ConnectionState, ResponseForm, ResponseSlot};
use crate::h1::{Framing, H1Error, RequestHead, parse_request, request_framing};
use crate::mesh::call::{CallerAnswer, CallerRequest};
use crate::mesh::entry::text_header;
use crate::mesh::open_request::OpenRequestGuard;

/// Read size in bytes while a long body is received.
const LARGE_READ: usize = 16 * 1024;

/// Default read size in bytes, enough for typical heads. Every waiting connection holds a buffer of this size, and
/// there are hundreds of them under surge load.
const SMALL_READ: usize = 1024;

/// Bytes that are read ahead of the requests in progress, to see whether the caller has disconnected behind them.
const MAX_READ_AHEAD: usize = 64 * 1024;

/// Interval between checks whether the caller is still reading a response when the idle time is over.
const UNSENT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time for which input is read and discarded after the last response. Closing a socket with unread input
/// resets the connection, and the caller may lose the response that it has not read yet.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads requests and spawns a task for each of them.
pub struct Reader {
    read: OwnedReadHalf,
    buf: BytesMut,
    /// Size of the next read in bytes.
    next_read: usize,
    shared: Arc<ConnectionState>,
    cfg: CallersConfig,
}

/// Why no further request is read.
enum ReadEnd {
    /// The connection ends at once.
    Ended(ConnectionEnd),
    /// The connection closes after the last response that is due; a request read since must not run.
    Closing,
    /// The request is unusable. The refusal is its response and the last one of the connection.
    Refused(Refusal),
}

/// Passes the response to a request on to the writer.
struct ResponseSender {
    answer: oneshot::Sender<CallerAnswer>,
    seq: ResponseSeq,
    /// Id of the request; empty if the caller sent none.
    id: SmolStr,
}

const fn caller_left() -> ReadEnd {
    ReadEnd::Ended(ConnectionEnd::CallerLeft)
}

impl Reader {
    /// Creates the reader of a new connection.
    pub fn new(read: OwnedReadHalf, shared: Arc<ConnectionState>, cfg: CallersConfig) -> Self {
        Self {
            read,
            buf: BytesMut::new(),
            next_read: SMALL_READ,
            shared,
            cfg,
        }
    }

    /// Reads requests until the connection ends. After the last request it keeps reading and discards the input, to
    /// detect a caller that disconnects before its response.
    pub async fn run(
        &mut self,
        slots: mpsc::Sender<ResponseSlot>,
        tasks: &mut JoinSet<()>,
    ) -> ConnectionEnd {
        if let ReadEnd::Ended(end) = self.read_requests(&slots, tasks).await {
            return end;
        }
        // The writer closes the connection after the last response that is due.
        drop(slots);
        self.drain().await
    }

    async fn read_requests(
        &mut self,
        slots: &mpsc::Sender<ResponseSlot>,
        tasks: &mut JoinSet<()>,
    ) -> ReadEnd {
        loop {
            // Finished tasks hold memory until they are joined.
            while tasks.try_join_next().is_some() {}
            let limits = *self.cfg.limits.borrow();
            match self.read_request(&limits, slots, tasks).await {
                Ok(()) if self.shared.is_closing() => return ReadEnd::Closing,
                Ok(()) => {}
                Err(ReadEnd::Refused(refusal)) => {
                    let now = self.cfg.entry.clock.now();
                    let form = ResponseForm::WITHOUT_HEAD;
                    let queued = self.queue_slot(SmolStr::default(), form, now, slots);
                    return match queued.await {
                        Ok(tx) => self.refuse(refusal, tx),
                        Err(end) => end,
                    };
                }
                Err(end) => return end,
            }
        }
    }

    /// Discards input after the last response, for at most [`LINGER_TIMEOUT`].
    pub async fn linger(&mut self) {
        let _guard = OpenRequestGuard::new(&self.cfg.open_requests);
        // The connection is closed in either case.
        let _ = timeout(LINGER_TIMEOUT, self.drain()).await;
    }

    /// Discards input until the caller closes the connection.
    async fn drain(&mut self) -> ConnectionEnd {
        loop {
            self.buf.clear();
            if self.fill().await.is_err() {
                return ConnectionEnd::CallerLeft;
            }
        }
    }

    async fn read_request(
        &mut self,
        limits: &CallerLimits,
        slots: &mpsc::Sender<ResponseSlot>,
        tasks: &mut JoinSet<()>,
    ) -> Result<(), ReadEnd> {
        let head = self.read_head(limits).await?;
        let arrived = self.cfg.entry.clock.now();
        let framing =
            request_framing(&head.headers).map_err(|_| ReadEnd::Refused(Refusal::BadRequest))?;
        if matches!(framing, Framing::Length(length) if length > limits.body_bytes) {
            return Err(ReadEnd::Refused(Refusal::BodyTooLarge));
        }
        let id = text_header(&head.headers, self.cfg.entry.dialect.request_id);
        let form = ResponseForm::from(&head);
        let tx = self.queue_slot(id, form, arrived, slots).await?;
        if !form.keep_alive {
            self.shared.close();
        }
        self.read_body(head, framing, arrived, limits, tx, tasks)
            .await?;
        if form.keep_alive && !form.takes_chunks {
            // A response of unknown length ends with the connection. Callers resend what was not started behind it.
            let shared = Arc::clone(&self.shared);
            self.while_connected(pin!(shared.all_written())).await?;
        }
        Ok(())
    }

    /// Queues the place of a response. Blocks while the maximum number of pipelined requests is pending.
    async fn queue_slot(
        &mut self,
        id: SmolStr,
        form: ResponseForm,
        now: Instant,
        slots: &mpsc::Sender<ResponseSlot>,
    ) -> Result<ResponseSender, ReadEnd> {
        let stopping = *self.cfg.stopping.borrow();
        let seq = self.shared.record_request(id.clone(), now, stopping);
        let seq = seq.ok_or(ReadEnd::Closing)?;
        let (answer, rx) = oneshot::channel();
        let slot = ResponseSlot {
            answer: rx,
            form,
            open: OpenRequestGuard::new(&self.cfg.open_requests),
        };
        let permit = self.while_connected(pin!(slots.reserve())).await?;
        permit.map_err(|_| caller_left())?.send(slot);
        Ok(ResponseSender { answer, seq, id })
    }

    async fn read_head(&mut self, limits: &CallerLimits) -> Result<RequestHead, ReadEnd> {
        let mut started: Option<Instant> = None;
        let waiting_since = self.cfg.entry.clock.now();
        loop {
            match parse_request(&mut self.buf, limits.header_bytes) {
                Ok(Some(head)) => return Ok(head),
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
                filled = timeout(wait, self.fill()) => filled,
                () = shared.evicted() => {
                    self.read_available()?;
                    match self.buf.is_empty() {
                        true => return Err(ReadEnd::Ended(ConnectionEnd::Idle)),
                        false => continue,
                    }
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

    /// Starts a request. It is abandoned and refused when `refused` resolves, because its body is unusable.
    fn spawn_request<F>(
        &self,
        req: CallerRequest,
        tx: ResponseSender,
        refused: F,
        tasks: &mut JoinSet<()>,
    ) where
        F: Future<Output = Refusal> + Send + 'static,
    {
        let entry = self.cfg.entry.clone();
        let shared = Arc::clone(&self.shared);
        tasks.spawn(async move {
            let answer = tokio::select! {
                biased;
                refusal = refused => entry.refuse(refusal.into(), &tx.id, None),
                answer = entry.serve(req, shared.ready_behind(tx.seq)) => answer,
            };
            shared.record_ready(tx.seq, answer.passed_on, entry.clock.now());
            // Fails if the caller has disconnected and the writer has stopped.
            let _ = tx.answer.send(answer);
        });
    }

    /// Refuses a request that has not been started; nothing is read behind it.
    fn refuse(&self, refusal: Refusal, tx: ResponseSender) -> ReadEnd {
        let answer = self.cfg.entry.refuse(refusal.into(), &tx.id, None);
        self.shared.close();
        let now = self.cfg.entry.clock.now();
        self.shared.record_ready(tx.seq, false, now);
        // Fails if the writer has stopped.
        let _ = tx.answer.send(answer);
        ReadEnd::Closing
    }

    /// Waits for `ready` and reads ahead meanwhile, so that a caller that disconnects is noticed.
    async fn while_connected<F>(&mut self, mut ready: Pin<&mut F>) -> Result<F::Output, ReadEnd>
    where
        F: Future,
    {
        while self.buf.len() < MAX_READ_AHEAD {
            tokio::select! {
                biased;
                output = &mut ready => return Ok(output),
                read = self.fill() => read?,
            }
        }
        Ok(ready.await)
    }

    /// Reads what the socket holds, without waiting. A request must not start if the close of its caller lies behind
    /// it, which the runtime reports only with its next event.
    fn read_available(&mut self) -> Result<(), ReadEnd> {
        let mut chunk = [0; SMALL_READ];
        while self.buf.len() < MAX_READ_AHEAD {
            let read = (&*SockRef::from(self.read.as_ref())).read(&mut chunk);
            match read {
                Ok(0) => return Err(caller_left()),
                Ok(read) => self.buf.extend_from_slice(&chunk[..read]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(_) => return Err(caller_left()),
            }
        }
        Ok(())
    }

    async fn fill(&mut self) -> Result<(), ReadEnd> {
        self.buf.reserve(self.next_read);
        let read = match self.read.read_buf(&mut self.buf).await {
            Ok(read) if read > 0 => read,
            _ => return Err(caller_left()),
        };
        self.next_read = match read >= self.next_read {
            true => LARGE_READ,
            false => SMALL_READ,
        };
        Ok(())
    }
}
