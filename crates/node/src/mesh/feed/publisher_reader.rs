//! Reads the publisher: one full listing at the start, then consecutive watches.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use coltsfootport_core::mesh::{Era, Position, Publisher, PublisherError};
use http::header::HOST;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use slog::{Logger, debug, info};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use super::change_log::Listing;
use super::listing::read_pages;
use super::source::{Changes, Source, SourceEvent, SourceUpdate};
use crate::clock::SharedClock;
use crate::mesh::metrics::MeshMetrics;
use crate::mesh::settings::PublisherSettings;

/// Maximum size of a response, in bytes.
const MAX_RESPONSE: usize = 64 * 1024 * 1024;

/// Maximum number of pages of one list; guards against a publisher whose pagination never ends.
const MAX_PAGES: usize = 4096;

/// Backoff after the first failure, doubled after each further one. It is short, since a configuration must be in force
/// within seconds of the publisher's return, and grows because every read puts load on the publisher.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum backoff of a node that no other node informs of the publisher's return.
pub const MAX_BACKOFF_ALONE: Duration = Duration::from_millis(400);

/// Maximum backoff of a node that follows others. Those report the publisher's return within half a second; the node's
/// own reads only cover the case that the followed nodes alone are cut off. With one outage of 8 s, a fleet of 95
/// nodes sent 2,550 reads with this backoff and 3,657 with the shorter one.
pub const MAX_BACKOFF_FOLLOWING: Duration = Duration::from_millis(1600);

/// Wait of the first watch after a failure.
///
/// A silent publisher never answers requests sent before its return. A full watch sent just before it would therefore
/// hide the return for the watch's wait, the response timeout and a backoff: 3.2 s with the defaults, during which
/// requests are handled by a version that was replaced. With a first watch that doesn't wait, this takes 1 s.
const RETRY_WATCH_WAIT: Duration = Duration::ZERO;

/// Pause after the second response with changes in quick succession, doubled after each further one.
///
/// A starting fleet writes one entry after another, and without a pause every reader would send a request for each
/// of them: 7,000 requests in the first three seconds of a fleet of 85 nodes.
const INITIAL_BURST_PAUSE: Duration = Duration::from_millis(150);

/// Maximum pause in a burst: a quarter of the time within which a change must be in force.
const MAX_BURST_PAUSE: Duration = Duration::from_millis(500);

/// Minimum gap between two changes for the second one to start a new burst.
const BURST_GAP: Duration = Duration::from_millis(1000);

/// Why a read failed.
#[derive(Debug, thiserror::Error)]
enum FeedError {
    #[error("cannot connect to the publisher: {0}")]
    Connect(String),
    #[error("the publisher did not respond in time")]
    Timeout,
    #[error("connection to the publisher failed: {0}")]
    Connection(String),
    #[error("the publisher responded with status {0}")]
    Status(StatusCode),
    #[error("the publisher has come back from an older copy")]
    Restored,
    #[error("the response belongs to an earlier era of the publisher")]
    StaleEra,
    #[error(transparent)]
    Malformed(#[from] PublisherError),
}

impl FeedError {
    fn label(&self) -> &'static str {
        match self {
            Self::Connect(_) => "unreachable",
            Self::Timeout => "slow",
            Self::Connection(_) => "broken",
            Self::Status(_) => "status",
            Self::Restored => "came-back",
            Self::StaleEra => "outdated",
            Self::Malformed(_) => "malformed",
        }
    }

    /// Whether the history after the current position is no longer available, so that everything must be listed again.
    fn is_history_gone(&self) -> bool {
        matches!(self, Self::Status(StatusCode::GONE) | Self::Restored)
    }
}

/// Reads the publisher and forwards its updates.
pub struct PublisherReader {
    /// Address, timeouts and watch duration.
    pub cfg: PublisherSettings,
    /// Builds the requests and decodes the responses.
    pub publisher: Arc<dyn Publisher>,
    /// Current maximum backoff after a failure.
    pub max_backoff: watch::Receiver<Duration>,
    /// Counts reads by outcome.
    pub metrics: MeshMetrics,
    /// Clock used to detect bursts.
    pub clock: SharedClock,
    /// Logger.
    pub log: Logger,
    /// Receives the updates.
    pub tx: mpsc::UnboundedSender<SourceEvent>,
}

type Sender = SendRequest<Empty<Bytes>>;

impl PublisherReader {
    /// Reads until the task is aborted: a full listing if no position is known, then changes.
    pub async fn run(self, mut position: Option<Position>) {
        let mut failures = 0;
        let mut era = position.map_or(Era::default(), |position| position.era);
        loop {
            match self.read(&mut position, &mut era, &mut failures).await {
                Ok(never) => match never {},
                Err(e) if e.is_history_gone() => {
                    info!(self.log, "publisher's history is gone"; "reason" => e.to_string(),
                        "era" => era.0, "revision" => position.map(|position| position.revision));
                    self.metrics.read("gone");
                    position = None;
                }
                Err(e) => {
                    // A single failure may affect only one connection. The publisher is reported as failed if the next
                    // attempt fails too, or if the error does not come from a broken connection.
                    failures += 1;
                    debug!(self.log, "read failed"; "reason" => e.to_string());
                    self.metrics.read(e.label());
                    if failures > 1 || !matches!(e, FeedError::Connection(_)) {
                        self.send_update(SourceUpdate::Failed);
                    }
                    sleep(self.backoff(failures)).await;
                }
            }
        }
    }

    /// Reads on one connection until an error occurs; `era` is the latest era seen.
    async fn read(
        &self,
        position: &mut Option<Position>,
        era: &mut Era,
        failures: &mut u32,
    ) -> Result<std::convert::Infallible, FeedError> {
        let mut tx = self.connect().await?;
        let mut burst = Burst::default();
        loop {
            let Some(after) = *position else {
                *position = Some(self.list(&mut tx, era).await?);
                *failures = 0;
                continue;
            };
            let wait = match *failures {
                0 => self.cfg.watch,
                _ => RETRY_WATCH_WAIT,
            };
            let path = self.publisher.watch_path(after.revision, wait);
            let body = self.fetch(&mut tx, path, wait, era).await?;
            // Revisions of an earlier era now denote other changes, whether or not the publisher has reached them
            // again.
            if *era != after.era {
                return Err(FeedError::Restored);
            }
            let batch = self.publisher.parse_watch(&body)?.with_era(*era);
            let until = batch.position.max(after);
            *position = Some(until);
            *failures = 0;
            let pause = match batch.updates.is_empty() {
                true => Duration::ZERO,
                false => burst.pause_after(self.clock.now()),
            };
            let changes = Changes { after, until, body };
            self.send_update(SourceUpdate::Changes(changes, batch));
            sleep(pause).await;
        }
    }

    /// Lists everything. Pages are read one after another and may miss changes made meanwhile, so the watch starts at
    /// the revision of the first page.
    async fn list(&self, tx: &mut Sender, era: &mut Era) -> Result<Position, FeedError> {
        let mut listing: Option<Listing> = None;
        let mut after: Option<String> = None;
        for _ in 0..MAX_PAGES {
            let path = self.publisher.list_path(after.as_deref());
            let body = self.fetch(tx, path, Duration::ZERO, era).await?;
            let page = self.publisher.parse_list(&body)?.with_era(*era);
            let listing = listing.get_or_insert_with(|| Listing {
                position: page.position,
                pages: Vec::new(),
            });
            if listing.position.era != *era {
                return Err(FeedError::Restored);
            }
            listing.pages.push(body);
            after = page.next_page;
            if after.is_none() {
                break;
            }
        }
        let listing = listing.ok_or(FeedError::Restored)?;
        let position = listing.position;
        let all = read_pages(&*self.publisher, &listing)?;
        info!(self.log, "publisher listed"; "era" => position.era.0, "revision" => position.revision,
            "entries" => all.updates.len());
        self.send_update(SourceUpdate::Listed(listing, all));
        Ok(position)
    }

    fn backoff(&self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(8);
        (INITIAL_BACKOFF * (1 << doublings)).min(*self.max_backoff.borrow())
    }

    fn send_update(&self, update: SourceUpdate) {
        let from = Source::Publisher;
        // The receiver lives as long as the process.
        let _ = self.tx.send(SourceEvent { from, update });
    }

    async fn connect(&self) -> Result<Sender, FeedError> {
        let address = self.cfg.address;
        let connecting = timeout(self.cfg.timeout, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| FeedError::Timeout)?;
        let stream = stream.map_err(|e| FeedError::Connect(e.to_string()))?;
        enable_keepalive(&stream, self.cfg.timeout)
            .map_err(|e| FeedError::Connect(e.to_string()))?;
        let made = handshake(TokioIo::new(stream)).await;
        let (tx, connection) = made.map_err(|e| FeedError::Connection(e.to_string()))?;
        // Ends when the sender is dropped; its errors also reach the sender.
        tokio::spawn(async move { drop(connection.await) });
        Ok(tx)
    }

    async fn fetch(
        &self,
        tx: &mut Sender,
        path: String,
        wait: Duration,
        era: &mut Era,
    ) -> Result<Bytes, FeedError> {
        let limit = self.cfg.timeout + wait;
        let header = self.publisher.era_header();
        let response = timeout(limit, exchange(tx, self.cfg.address, path, header))
            .await
            .map_err(|_| FeedError::Timeout)??;
        // A response without an era is assumed to belong to the known one.
        let response_era = response.era.unwrap_or(*era);
        if response_era < *era {
            return Err(FeedError::StaleEra);
        }
        *era = response_era;
        match response.status {
            StatusCode::OK => {
                self.metrics.read("answered");
                Ok(response.body)
            }
            status => Err(FeedError::Status(status)),
        }
    }
}

/// A series of changes in quick succession.
#[derive(Clone, Copy, Debug, Default)]
struct Burst {
    last: Option<Instant>,
    count: u32,
}

impl Burst {
    /// Returns the pause before the next read after changes arrived at `now`. Changes published during the pause are
    /// then read in one response.
    fn pause_after(&mut self, now: Instant) -> Duration {
        let continues = |last| now.saturating_duration_since(last) < BURST_GAP;
        self.count = match self.last.is_some_and(continues) {
            true => self.count + 1,
            false => 0,
        };
        self.last = Some(now);
        match self.count {
            0 => Duration::ZERO,
            n => (INITIAL_BURST_PAUSE * (1 << (n - 1).min(8))).min(MAX_BURST_PAUSE),
        }
    }
}

/// A response of the publisher.
struct Response {
    status: StatusCode,
    /// `None` if the response carries no era.
    era: Option<Era>,
    body: Bytes,
}

async fn exchange(
    tx: &mut Sender,
    address: SocketAddr,
    path: String,
    era_header: &str,
) -> Result<Response, FeedError> {
    let connection_error = |e: &dyn std::fmt::Display| FeedError::Connection(e.to_string());
    let req = Request::get(path)
        .header(HOST, address.to_string())
        .body(Empty::new())
        .map_err(|e| connection_error(&e))?;
    let res = tx
        .send_request(req)
        .await
        .map_err(|e| connection_error(&e))?;
    let status = res.status();
    let era = res.headers().get(era_header);
    let era = era.and_then(|era| era.to_str().ok()?.trim().parse().ok());
    let body = Limited::new(res.into_body(), MAX_RESPONSE).collect().await;
    let body = body.map_err(|e| connection_error(&e))?.to_bytes();
    Ok(Response {
        status,
        era: era.map(Era),
        body,
    })
}

/// Enables TCP keepalive, since a connection can go silent without a reset.
fn enable_keepalive(stream: &TcpStream, limit: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(Duration::from_secs(1))
        .with_interval(Duration::from_secs(1));
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(limit))
}
