//! `mesh`: runs a service mesh node until it is stopped.

use std::io;

use coltsfootport_core::jsonc::Fault;
use slog::{Logger, crit, o, warn};
use tokio::runtime::Builder;

use super::input;
use crate::cli::MeshOptions;
use crate::exit::Exit;
use crate::log;
use crate::mesh::{self, MeshSettings};

/// Loads the settings, starts logging and the runtime, and runs the node.
pub fn run(options: &MeshOptions) -> Exit {
    let path = &options.settings;
    let text = match input::read_text(path) {
        Ok(text) => text,
        Err(e) => {
            eprintln!("coltsfootport: {}: {e}", path.display());
            return Exit::Failed;
        }
    };
    let (settings, warnings) = match MeshSettings::parse(&text) {
        Ok(parsed) => parsed,
        Err(faults) => {
            for fault in faults {
                eprintln!("{}:{fault}", path.display());
            }
            return Exit::Invalid;
        }
    };
    let node = &settings.node;
    let (log, _guard) =
        log::start_json(io::stdout(), settings.log_level, &node.name, &node.service);
    log_warnings(&log, &warnings);
    // A node gets a fraction of a core, so additional threads would only compete for it.
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            crit!(log, "failed to start the runtime"; "error" => e.to_string());
            return Exit::Failed;
        }
    };
    match runtime.block_on(mesh::run(settings, path.clone(), text, log.new(o!()))) {
        Ok(()) => Exit::Ok,
        Err(e) => {
            crit!(log, "node failed"; "error" => e.to_string());
            Exit::Failed
        }
    }
}

fn log_warnings(log: &Logger, warnings: &[Fault]) {
    for warning in warnings {
        warn!(log, "setting replaced by its default"; "fault" => warning.to_string());
    }
}
