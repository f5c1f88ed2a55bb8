//! Stand-in for an application worker.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::http::{Head, read_chunks, read_exactly, read_head};

/// An early answer is written in parts of this many bytes, with a pause behind each.
const ANSWER_PART: usize = 25_000;
const ANSWER_PAUSE: Duration = Duration::from_millis(3);

/// How a worker handles a request.
#[derive(Clone, Debug)]
pub enum Behavior {
    /// Reads the whole body, works for this time and answers 200 with a body of this many bytes.
    Work(Duration, usize),
    /// Like `Work`, but ends the connection after half of the answer's body.
    Cut(Duration, usize),
    /// Answers 200 with a body of this many bytes as soon as it has the head, keeps the connection, and reads the rest
    /// of the request's body after this time.
    Early(usize, Duration),
}

/// A request that reached a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub head: Head,
    pub body_len: usize,
    pub at: Instant,
    /// When the worker had written its whole answer.
    pub answered: Option<Instant>,
    /// Whether the connection ended before that.
    pub broken: bool,
}

impl Arrival {
    pub fn id(&self) -> &str {
        self.head.get("attempt-id").unwrap_or_default()
    }
}

/// Chooses how to handle a request by its head.
pub type Choice = Box<dyn Fn(&Head) -> Behavior + Send + Sync>;

struct State {
    arrivals: Vec<Arrival>,
    choice: Choice,
}

/// The worker; clones share their state.
#[derive(Clone)]
pub struct Worker {
    pub addr: SocketAddr,
    pub id: String,
    state: Arc<Mutex<State>>,
    ended: watch::Sender<bool>,
}

impl Worker {
    pub async fn start(ip: &str, id: &str) -> io::Result<Self> {
        Self::start_at(&format!("{ip}:0"), id).await
    }

    pub async fn start_at(addr: &str, id: &str) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let choice: Choice = Box::new(|_| Behavior::Work(Duration::from_millis(20), 100));
        let state = State {
            arrivals: Vec::new(),
            choice,
        };
        let worker = Self {
            addr: listener.local_addr()?,
            id: id.to_owned(),
            state: Arc::new(Mutex::new(state)),
            ended: watch::Sender::new(false),
        };
        tokio::spawn(worker.clone().run(listener));
        Ok(worker)
    }

    pub fn choose(&self, choice: Choice) {
        self.state.lock().expect("no panic beside the lock").choice = choice;
    }

    /// Ends the process of the worker: its listener and all its connections.
    pub fn end(&self) {
        self.ended.send_replace(true);
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        let state = self.state.lock().expect("no panic beside the lock");
        state.arrivals.clone()
    }

    async fn run(self, listener: TcpListener) {
        let mut ended = self.ended.subscribe();
        loop {
            tokio::select! {
                _ = ended.wait_for(|ended| *ended) => return,
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    let worker = self.clone();
                    let mut ended = self.ended.subscribe();
                    tokio::spawn(async move {
                        tokio::select! {
                            _ = ended.wait_for(|ended| *ended) => {}
                            _ = worker.serve(stream) => {}
                        }
                    });
                },
            }
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buf = Vec::new();
        loop {
            let head = read_head(&mut stream, &mut buf).await?;
            let (at, behavior) = self.record(&head);
            let done = self
                .handle(&head, behavior, at, &mut stream, &mut buf)
                .await;
            let mut state = self.state.lock().expect("no panic beside the lock");
            let arrival = &mut state.arrivals[at];
            arrival.broken = done.is_err() && arrival.answered.is_none();
            drop(state);
            done?;
        }
    }

    fn record(&self, head: &Head) -> (usize, Behavior) {
        let mut state = self.state.lock().expect("no panic beside the lock");
        state.arrivals.push(Arrival {
            head: head.clone(),
            body_len: 0,
            at: Instant::now(),
            answered: None,
            broken: false,
        });
        let behavior = (state.choice)(head);
        (state.arrivals.len() - 1, behavior)
    }

    fn update(&self, at: usize, change: impl FnOnce(&mut Arrival)) {
        let mut state = self.state.lock().expect("no panic beside the lock");
        change(&mut state.arrivals[at]);
    }

    async fn handle(
        &self,
        head: &Head,
        behavior: Behavior,
        at: usize,
        stream: &mut TcpStream,
        buf: &mut Vec<u8>,
    ) -> io::Result<()> {
        if head
            .get("expected-instance")
            .is_some_and(|id| id != self.id)
        {
            read_body(head, stream, buf).await?;
            let answer = answer(421, head, false, "Not-Executed: 1\r\n", &[]);
            return stream.write_all(&answer).await;
        }
        match behavior {
            Behavior::Work(time, len) => {
                let body = read_body(head, stream, buf).await?;
                self.update(at, |arrival| arrival.body_len = body.len());
                let mut byte = [0];
                // Like most workers, it drops a request when its connection closes.
                tokio::select! {
                    () = sleep(time) => {}
                    _ = stream.peek(&mut byte) => return Err(io::ErrorKind::ConnectionAborted.into()),
                }
                let answer = answer(200, head, true, "", &vec![b'x'; len]);
                stream.write_all(&answer).await?;
                self.update(at, |arrival| arrival.answered = Some(Instant::now()));
            }
            Behavior::Cut(time, len) => {
                read_body(head, stream, buf).await?;
                sleep(time).await;
                let answer = answer(200, head, true, "", &vec![b'x'; len]);
                stream.write_all(&answer[..answer.len() - len / 2]).await?;
                stream.shutdown().await?;
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            Behavior::Early(len, pause) => {
                let answer = answer(200, head, true, "", &vec![b'x'; len]);
                for part in answer.chunks(ANSWER_PART) {
                    stream.write_all(part).await?;
                    sleep(ANSWER_PAUSE).await;
                }
                self.update(at, |arrival| arrival.answered = Some(Instant::now()));
                sleep(pause).await;
                let body = read_body(head, stream, buf).await?;
                self.update(at, |arrival| arrival.body_len = body.len());
            }
        }
        Ok(())
    }
}

async fn read_body(head: &Head, stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Vec<u8>> {
    match head.is_chunked() {
        true => read_chunks(stream, buf).await,
        false => read_exactly(stream, buf, head.length().unwrap_or(0)).await,
    }
}

fn answer(status: u16, head: &Head, signed: bool, more: &str, body: &[u8]) -> Vec<u8> {
    let id = head.get("attempt-id").unwrap_or_default();
    let signature = match signed {
        true => format!("Server-Signature: s.{id}\r\n"),
        false => String::new(),
    };
    let mut bytes = format!(
        "HTTP/1.1 {status} X\r\nAttempt-Id: {id}\r\n{signature}{more}Keep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
