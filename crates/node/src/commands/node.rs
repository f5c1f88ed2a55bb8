//! `node`: runs a node until it is stopped.

use std::io::Read;
use std::path::Path;
use std::{fs, io};

use slog::{crit, o, warn};
use tokio::runtime::{Builder, Runtime};

use crate::cli::NodeOptions;
use crate::config::{LogFormat, LogLevel, Settings};
use crate::exit::Exit;
use crate::log;
use crate::node;

/// Loads the settings, starts the log and the runtime, and runs the node.
pub fn run(options: &NodeOptions) -> Exit {
    let text = match read(&options.settings) {
        Ok(text) => text,
        Err(e) => {
            eprintln!("coltsfootport: {}: {e}", options.settings.display());
            return Exit::Failed;
        }
    };
    let loaded = match Settings::parse(&text) {
        Ok(loaded) => loaded,
        Err(faults) => {
            for fault in faults {
                eprintln!("{}:{fault}", options.settings.display());
            }
            return Exit::Invalid;
        }
    };
    let settings = loaded.settings;
    let (log, _guard) = log::start(
        settings.log.format.into(),
        settings.log.level.into(),
        &settings.node.name,
        &settings.node.service,
    );
    for warning in &loaded.warnings {
        warn!(log, "setting replaced by its default"; "fault" => warning.to_string());
    }
    let Ok(runtime) = runtime(settings.runtime.worker_threads as usize) else {
        return Exit::Failed;
    };
    match runtime.block_on(node::run(settings, loaded.warnings, log.new(o!()))) {
        Ok(()) => Exit::Ok,
        Err(e) => {
            crit!(log, "node failed"; "error" => e.to_string());
            Exit::Failed
        }
    }
}

/// Reads a file, or standard input where the path is `-`.
pub fn read(path: &Path) -> io::Result<String> {
    if path.as_os_str() != "-" {
        return fs::read_to_string(path);
    }
    let mut text = String::new();
    io::stdin().read_to_string(&mut text)?;
    Ok(text)
}

/// A runtime on this thread, or on threads of its own where settings ask for some.
fn runtime(worker_threads: usize) -> io::Result<Runtime> {
    match worker_threads {
        0 => Builder::new_current_thread().enable_all().build(),
        threads => Builder::new_multi_thread()
            .worker_threads(threads)
            .enable_all()
            .build(),
    }
}

impl From<LogFormat> for log::LogFormat {
    fn from(format: LogFormat) -> Self {
        match format {
            LogFormat::Json => Self::Json,
            LogFormat::Terminal => Self::Terminal,
        }
    }
}

impl From<LogLevel> for log::LogLevel {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Error => Self::Error,
            LogLevel::Warning => Self::Warning,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
        }
    }
}
