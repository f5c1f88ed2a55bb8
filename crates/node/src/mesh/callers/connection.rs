//! Serves a single caller connection.

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

/// Serves a caller until either side closes the connection.
///
/// When the caller disconnects, or holds the most bytes when there is no room for more, its request tasks are dropped
/// with their `JoinSet`: queued requests are cancelled, and so are requests that may be aborted at their target.
pub async fn serve_connection(stream: TcpStream, cfg: CallersConfig) {
    let buffer = cfg.connections.receive_buffer();
    let buffered = SockRef::from(&stream).set_recv_buffer_size(buffer);
    if buffered.is_err() || stream.set_nodelay(true).is_err() {
        return;
    }
    let (read, write) = stream.into_split();
    let shared = Arc::new(ConnectionState::new(cfg.connections.register()));
    let (slots, waiting) = mpsc::channel::<ResponseSlot>(cfg.pipelined);
    let account = cfg.connections.open_account();
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
