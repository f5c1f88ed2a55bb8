//! Stand-in for a worker: an HTTP/1.1 server that runs one request at a time on a connection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};
use tokio::io::{AsyncRead, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::wire::{BodySum, Digest, Input, header, request_lines};

/// Idle timeout that responses announce.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Size of the pieces of a long response.
const PIECE: usize = 16 * 1024;

/// How a worker treats its requests.
#[derive(Clone, Copy, Debug)]
pub enum Conduct {
    /// Works for this time, then answers.
    Work(Duration),
    /// Begins to read a connection's first request after `pause`, then works for `work`. It rejects a body with a
    /// length that exceeds `rejects_after`, once it has read that many bytes, and reads on.
    ReadsLate {
        pause: Duration,
        work: Duration,
        rejects_after: u64,
    },
    /// Sends a response of this many bytes evenly over `time`.
    Streams { bytes: usize, time: Duration },
}

/// A body that was rejected before its end, and what arrived where its rest was due.
#[derive(Clone, Debug)]
pub struct Rejected {
    pub id: String,
    pub length: u64,
    pub received: u64,
    /// Request lines that arrived within the body.
    pub requests_within: Vec<String>,
}

/// Pause between the last byte read of a rejected body and its response.
const REJECTION_PAUSE: Duration = Duration::from_millis(100);

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It is still at work.
    AtWork,
    /// The whole response was written.
    Answered,
    /// The connection ended or failed before.
    Cut,
    /// The time limit passed.
    TimeLimit,
    /// The worker's process ended.
    WorkerGone,
}

/// A request that the worker has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub request_line: String,
    pub body_bytes: u64,
    pub body_digest: Digest,
    /// When its head had arrived.
    pub arrived: Instant,
    pub ended: Ended,
    pub ended_at: Option<Instant>,
}

/// What a worker is started with.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    pub id: String,
    pub service: String,
    pub slots: usize,
    pub conduct: Conduct,
    /// `born` of its first entry, in Unix milliseconds.
    pub born: Option<u64>,
    /// Receive buffer of its connections in bytes; 0 leaves it to the system.
    pub receive_buffer: usize,
}

struct Shared {
    spec: WorkerSpec,
    runs: Mutex<Vec<Run>>,
    /// Requests whose body ended early; they didn't run.
    truncated: Mutex<Vec<(String, u64)>>,
    rejected: Mutex<Vec<Rejected>>,
    busy: AtomicUsize,
    leaving: AtomicBool,
    gone: watch::Sender<bool>,
}

/// A running worker. Clones share their state.
#[derive(Clone)]
pub struct Worker {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Worker {
    /// Starts a worker at an address; port 0 takes a free one.
    ///
    /// # Panics
    ///
    /// The address can't be bound.
    pub fn start(addr: SocketAddr, spec: WorkerSpec) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_reuse_address(true).expect("socket option");
        if spec.receive_buffer > 0 {
            let size = spec.receive_buffer;
            socket.set_recv_buffer_size(size).expect("socket option");
        }
        socket.set_nonblocking(true).expect("socket option");
        socket.bind(&addr.into()).expect("address of a worker");
        socket.listen(1024).expect("a listener");
        let listener = TcpListener::from_std(socket.into()).expect("a listener");
        let worker = Self {
            addr: listener.local_addr().expect("an address"),
            shared: Arc::new(Shared {
                spec,
                runs: Mutex::default(),
                truncated: Mutex::default(),
                rejected: Mutex::default(),
                busy: AtomicUsize::new(0),
                leaving: AtomicBool::new(false),
                gone: watch::Sender::new(false),
            }),
        };
        tokio::spawn(worker.clone().accept(listener));
        worker
    }

    /// Id of this boot.
    pub fn id(&self) -> &str {
        &self.shared.spec.id
    }

    /// Answers with `Connection: close` from now on.
    pub fn leave(&self) {
        self.shared.leaving.store(true, Ordering::SeqCst);
    }

    /// Ends the process: closes the listener and all connections.
    pub fn end(&self) {
        self.shared.gone.send_replace(true);
    }

    /// All requests that it has run.
    pub fn runs(&self) -> Vec<Run> {
        let runs = self.shared.runs.lock();
        runs.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Ids of requests whose body ended early, with the bytes that arrived. They didn't run.
    pub fn truncated(&self) -> Vec<(String, u64)> {
        let truncated = self.shared.truncated.lock();
        truncated.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Requests that it rejected before their body had arrived.
    pub fn rejected(&self) -> Vec<Rejected> {
        let rejected = self.shared.rejected.lock();
        rejected.unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn accept(self, listener: TcpListener) {
        let mut gone = self.shared.gone.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = gone.wait_for(|gone| *gone) => return,
            };
            if let Ok((stream, _)) = accepted {
                let _ = stream.set_nodelay(true);
                tokio::spawn(self.clone().serve(stream));
            }
        }
    }

    async fn serve(self, stream: TcpStream) {
        let mut gone = self.shared.gone.subscribe();
        let open = Arc::new(Mutex::new(None));
        tokio::select! {
            () = self.serve_requests(stream, &open) => {}
            _ = gone.wait_for(|gone| *gone) => {
                let open = *open.lock().unwrap_or_else(PoisonError::into_inner);
                if let Some(at) = open {
                    self.end_run(at, Ended::WorkerGone);
                }
            }
        }
    }

    async fn serve_requests(&self, stream: TcpStream, open: &Mutex<Option<usize>>) {
        let mut stream = stream;
        if let Conduct::ReadsLate { pause, .. } = self.shared.spec.conduct {
            if stream.readable().await.is_err() {
                return;
            }
            sleep(pause).await;
        }
        let mut buf = Vec::new();
        loop {
            let (read, write) = stream.split();
            let mut input = Input {
                read,
                buf: std::mem::take(&mut buf),
            };
            let head = tokio::time::timeout(IDLE_TIMEOUT, input.head()).await;
            let Ok(Some(head)) = head else {
                return;
            };
            let arrived = Instant::now();
            let id = header(&head, "attempt-id").unwrap_or_default().to_owned();
            let mut sum = BodySum::default();
            if let Some((first, rest)) = self.rejected_parts(&head) {
                // The connection isn't used after this: either the rest of the body arrives, or it ends.
                if input.exactly(first, &mut sum).await.is_some() {
                    sleep(REJECTION_PAUSE).await;
                    let mut write = write;
                    let refusal = self.not_run("503 Service Unavailable", &id);
                    let _ = write.write_all(refusal.as_bytes()).await;
                    self.read_on(&mut input, id, first, rest).await;
                }
                return;
            }
            if input.body(&head, &mut sum).await.is_none() {
                let mut truncated = self.shared.truncated.lock();
                let truncated = truncated.as_mut().expect("lock");
                truncated.push((id, sum.bytes));
                return;
            }
            buf = std::mem::take(&mut input.buf);
            drop((input, write));
            let keep = match self.refusal(&head, &id, arrived) {
                Some(refusal) => stream.write_all(refusal.as_bytes()).await.is_ok(),
                None => {
                    let at = self.begin_run(&head, id, sum, arrived);
                    *open.lock().unwrap_or_else(PoisonError::into_inner) = Some(at);
                    self.shared.busy.fetch_add(1, Ordering::SeqCst);
                    let ended = self.respond(&mut stream, &head, arrived).await;
                    self.shared.busy.fetch_sub(1, Ordering::SeqCst);
                    *open.lock().unwrap_or_else(PoisonError::into_inner) = None;
                    self.end_run(at, ended);
                    ended != Ended::Cut
                }
            };
            if !keep || self.shared.leaving.load(Ordering::SeqCst) {
                return;
            }
        }
    }

    /// Lengths of the part of a body that is read before it is rejected, and of the rest; `None` if it isn't rejected.
    fn rejected_parts(&self, head: &str) -> Option<(u64, u64)> {
        let Conduct::ReadsLate { rejects_after, .. } = self.shared.spec.conduct else {
            return None;
        };
        let length: u64 = header(head, "content-length")?.parse().ok()?;
        let rest = length.checked_sub(rejects_after).filter(|rest| *rest > 0)?;
        Some((rejects_after, rest))
    }

    /// Reads the rest of a rejected body and records the request lines in it.
    async fn read_on<R>(&self, input: &mut Input<R>, id: String, first: u64, rest: u64)
    where
        R: AsyncRead + Unpin,
    {
        let at = {
            let mut rejected = self.shared.rejected.lock();
            let rejected = rejected.as_mut().expect("lock");
            rejected.push(Rejected {
                id,
                length: first + rest,
                received: first,
                requests_within: Vec::new(),
            });
            rejected.len() - 1
        };
        let mut left = rest;
        while left > 0 {
            let Some(part) = input.part(left).await else {
                return;
            };
            left -= part.len() as u64;
            let mut rejected = self.shared.rejected.lock();
            let rejected = &mut rejected.as_mut().expect("lock")[at];
            rejected.received += part.len() as u64;
            rejected.requests_within.extend(request_lines(&part));
        }
    }

    fn not_run(&self, status: &str, id: &str) -> String {
        format!(
            "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
            self.shared.spec.id
        )
    }

    /// Response to a request that doesn't run.
    fn refusal(&self, head: &str, id: &str, arrived: Instant) -> Option<String> {
        let spec = &self.shared.spec;
        let not_run = |status: &str| self.not_run(status, id);
        if id.is_empty() {
            return Some(not_run("400 Bad Request"));
        }
        if header(head, "expected-instance").is_some_and(|expected| expected != spec.id) {
            return Some(not_run("421 Misdirected Request"));
        }
        let is_full = self.shared.busy.load(Ordering::SeqCst) >= spec.slots;
        let is_late = Instant::now() >= arrived + time_limit(head);
        (is_full || is_late).then(|| not_run("503 Service Unavailable"))
    }

    fn begin_run(&self, head: &str, id: String, sum: BodySum, arrived: Instant) -> usize {
        let mut runs = self.shared.runs.lock();
        let runs = runs.as_mut().expect("lock");
        runs.push(Run {
            id,
            request_line: head.lines().next().unwrap_or_default().to_owned(),
            body_bytes: sum.bytes,
            body_digest: sum.digest,
            arrived,
            ended: Ended::AtWork,
            ended_at: None,
        });
        runs.len() - 1
    }

    fn end_run(&self, at: usize, ended: Ended) {
        let mut runs = self.shared.runs.lock();
        let run = &mut runs.as_mut().expect("lock")[at];
        run.ended = ended;
        run.ended_at = Some(Instant::now());
    }

    async fn respond(&self, stream: &mut TcpStream, head: &str, arrived: Instant) -> Ended {
        let id = header(head, "attempt-id").unwrap_or_default();
        let connection = match self.shared.leaving.load(Ordering::SeqCst) {
            true => String::from("Connection: close\r\n"),
            false => format!("Keep-Alive: timeout={}\r\n", IDLE_TIMEOUT.as_secs()),
        };
        let signed = |status: &str, length: usize| {
            format!(
                "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nServer-Signature: {}.{id}\r\n{connection}Content-Length: {length}\r\n\r\n",
                self.shared.spec.id
            )
        };
        let deadline = arrived + time_limit(head);
        match self.shared.spec.conduct {
            Conduct::Work(work) | Conduct::ReadsLate { work, .. } => {
                let left = deadline.saturating_duration_since(Instant::now());
                let mut byte = [0];
                tokio::select! {
                    () = sleep(work.min(left)) => {}
                    _ = stream.peek(&mut byte) => return Ended::Cut,
                }
                if work >= left {
                    let late = signed("504 Gateway Timeout", 0);
                    let _ = stream.write_all(late.as_bytes()).await;
                    return Ended::TimeLimit;
                }
                let body = format!("answer to {id}");
                let answer = signed("200 OK", body.len()) + &body;
                match stream.write_all(answer.as_bytes()).await {
                    Ok(()) => Ended::Answered,
                    Err(_) => Ended::Cut,
                }
            }
            Conduct::Streams { bytes, time } => {
                let answer = signed("200 OK", bytes);
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return Ended::Cut;
                }
                let began = tokio::time::Instant::now();
                let mut sent = 0;
                while sent < bytes {
                    let piece = PIECE.min(bytes - sent);
                    if stream.write_all(&vec![b'x'; piece]).await.is_err() {
                        return Ended::Cut;
                    }
                    sent += piece;
                    let due = time.mul_f64(sent as f64 / bytes as f64);
                    tokio::time::sleep_until(began + due).await;
                }
                Ended::Answered
            }
        }
    }
}

fn time_limit(head: &str) -> Duration {
    let left = header(head, "deadline-remaining").and_then(|text| text.parse().ok());
    left.map_or(Duration::from_secs(60), Duration::from_millis)
}
