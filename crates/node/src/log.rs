//! Root logger of the process.

use std::io;

use serde::{Deserialize, Serialize};
use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::{Async, AsyncGuard};
use slog_json::Json;
use slog_term::{FullFormat, TermDecorator};

use coltsfootport_core::id::{NodeName, RequestId, ServiceName};

/// Capacity of the queue to the writer thread. Further lines are dropped and their number is logged.
const QUEUE_CAPACITY: usize = 4096;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Human-readable text, coloured if standard error is a terminal.
    Terminal,
}

/// Minimum severity of the lines that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Work was lost or an invariant was breached.
    Error,
    /// The node continues in a degraded state.
    Warning,
    /// State changes of the lifecycle, documents and peers.
    #[default]
    Info,
    /// One or more lines per request.
    Debug,
}

/// Creates the root logger, which writes to standard error.
///
/// Dropping the guard writes the lines that are still queued, so it must live as long as the process.
pub fn start(
    format: LogFormat,
    level: LogLevel,
    node: &NodeName,
    service: &ServiceName,
) -> (Logger, AsyncGuard) {
    match format {
        LogFormat::Json => start_json(io::stderr(), level, node, service),
        LogFormat::Terminal => {
            let format = FullFormat::new(TermDecorator::new().build()).build();
            build_root(format.fuse(), level, node, service)
        }
    }
}

/// Creates a root logger that writes JSON lines to `out`; see [`start`].
pub fn start_json<W>(
    out: W,
    level: LogLevel,
    node: &NodeName,
    service: &ServiceName,
) -> (Logger, AsyncGuard)
where
    W: io::Write + Send + 'static,
{
    build_root(Json::default(out).fuse(), level, node, service)
}

/// Returns a child logger that adds the id of the request to each line.
pub fn with_request_id(log: &Logger, request: RequestId) -> Logger {
    log.new(o!("request" => request.to_string()))
}

fn build_root<D>(
    drain: D,
    level: LogLevel,
    node: &NodeName,
    service: &ServiceName,
) -> (Logger, AsyncGuard)
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    // If the reader of standard error stalls, a task that writes to it blocks, and with it all calls of the node. Lines
    // are therefore queued for a separate writer thread and dropped if the queue is full.
    let (queue, guard) = Async::new(drain)
        .chan_size(QUEUE_CAPACITY)
        .build_with_guard();
    let drain = LevelFilter::new(queue, level.into()).fuse();
    let fields = o!("service" => service.to_string(), "node" => node.to_string());
    (Logger::root(drain, fields), guard)
}

impl From<LogLevel> for Level {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Error => Self::Error,
            LogLevel::Warning => Self::Warning,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
        }
    }
}
