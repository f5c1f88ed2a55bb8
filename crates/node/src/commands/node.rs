//! `node`: runs a node until it is stopped.

use std::io;

use slog::{crit, o, warn};
use tokio::runtime::{Builder, Runtime};

use super::input;
use crate::cli::NodeOptions;
use crate::config::Settings;
use crate::exit::Exit;
use crate::log;
use crate::node;

/// Loads the settings, starts logging and the runtime, and runs the node.
pub fn run(options: &NodeOptions) -> Exit {
    let text = match input::read_text(&options.settings) {
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
        settings.log.format,
        settings.log.level,
        &settings.node.name,
        &settings.node.service,
    );
    for warning in &loaded.warnings {
        warn!(log, "setting replaced by its default"; "fault" => warning.to_string());
    }
    let Ok(runtime) = build_runtime(settings.runtime.worker_threads as usize) else {
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

/// Builds a single-threaded runtime, or a multi-threaded one if `worker_threads` is not 0.
fn build_runtime(worker_threads: usize) -> io::Result<Runtime> {
    match worker_threads {
        0 => Builder::new_current_thread().enable_all().build(),
        threads => Builder::new_multi_thread()
            .worker_threads(threads)
            .enable_all()
            .build(),
    }
}
