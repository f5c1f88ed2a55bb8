//! The root logger.

use std::io;

use serde::{Deserialize, Serialize};
use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::{Async, AsyncGuard};
use slog_json::Json;
use slog_term::{FullFormat, TermDecorator};

use coltsfootport_core::id::{NodeName, RequestId, ServiceName};

/// Lines that may wait for the writer; further ones are dropped and their number is logged.
const QUEUED_LINES: usize = 4096;

/// The form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Text for people, coloured where standard error is a terminal.
    Terminal,
}

/// The least severe lines that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Work was lost or an invariant does not hold.
    Error,
    /// The node runs on with less than it should have.
    Warning,
    /// Changes of state: lifecycle, documents, peers.
    #[default]
    Info,
    /// One or more lines a request.
    Debug,
}

/// Starts the root logger, which writes to standard error.
///
/// Lines still queued are written when the guard is dropped, so it must live as long as the process.
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

/// Starts a root logger that writes JSON lines to `out`; see [`start`].
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

/// A logger whose lines carry the id of the request.
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
    // A reader of standard error that stalls would stop a task that writes to it, and with it all calls of the node.
    // The queue takes the writing to a thread and drops lines when it is full.
    let (queue, guard) = Async::new(drain).chan_size(QUEUED_LINES).build_with_guard();
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
