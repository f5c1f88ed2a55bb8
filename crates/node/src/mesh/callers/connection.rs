//! Serves a single caller connection.

use std::io;
use std::sync::Arc;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::connection_end::ConnectionEnd;
use super::listener::CallersConfig;
use super::reader::Reader;
use super::slot::{ConnectionState, ResponseSlot};
use super::writer::Writer;

/// Smallest receive buffer of a connection, in bytes; enough for the heads of most requests.
const MIN_RECEIVE_BUFFER: usize = 4 * 1024;

/// Largest receive buffer of a connection, in bytes.
const MAX_RECEIVE_BUFFER: usize = 64 * 1024;

/// Serves a caller until either side closes the connection.
///
/// When the caller disconnects, or holds the most bytes when there is no room for more, its request tasks are dropped
/// with their `JoinSet`: queued requests are cancelled, and so are requests that may be aborted at their target.
pub async fn serve_connection(stream: TcpStream, cfg: CallersConfig) {
    let registration = cfg.connections.register();
    if cfg.connections.has_excess() {
        cfg.bytes.evict_greediest();
    }
    if configure_socket(&stream, &cfg).is_err() {
        return;
    }
    let (read, write) = stream.into_split();
    let shared = Arc::new(ConnectionState::new(registration));
    let (slots, waiting) = mpsc::channel::<ResponseSlot>(cfg.pipelined);
    let account = cfg.bytes.open();
    let mut tasks = JoinSet::new();
    let journal = cfg.entry.journal.clone();
    let clock = Arc::clone(&cfg.entry.clock);
    let writer = Writer {
        write,
        shared: Arc::clone(&shared),
        limits: cfg.limits.clone(),
        idle_timeout: cfg.limits.borrow().idle_timeout,
        shutdown: cfg.shutdown.clone(),
        open_requests: Arc::clone(&cfg.open_requests),
        clock: Arc::clone(&clock),
        journal: journal.clone(),
    };
    let mut reader = Reader::new(read, Arc::clone(&shared), account.clone(), cfg);
    let end = tokio::select! {
        end = reader.run(slots, &mut tasks) => {
            if let Some(oldest) = shared.oldest() {
                let age = clock.now().saturating_duration_since(oldest);
                journal.caller_disconnected(shared.pending(), age);
            }
            end
        }
        end = writer.run(waiting) => {
            tasks.abort_all();
            reader.linger().await;
            end
        }
        () = account.evicted() => ConnectionEnd::Evicted,
    };
    if end == ConnectionEnd::Evicted {
        journal.evicted("callers", shared.pending());
    }
    journal.responses_lost(&shared.unanswered(), end, clock.now());
}

/// Sets the options of a caller's socket. What the system receives for all callers stays within a share of the memory.
fn configure_socket(stream: &TcpStream, cfg: &CallersConfig) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let part = cfg.receive_buffers / cfg.connections.len().max(1);
    let buffer = part.clamp(MIN_RECEIVE_BUFFER, MAX_RECEIVE_BUFFER);
    SockRef::from(stream).set_recv_buffer_size(buffer)
}
