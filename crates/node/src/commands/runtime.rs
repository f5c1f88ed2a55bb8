//! Tokio runtime of the commands.

use std::future::Future;

use tokio::runtime::Builder;

use crate::exit::Exit;

/// Runs a command to completion on a single-threaded runtime.
pub(super) fn block_on<F>(command: F) -> Exit
where
    F: Future<Output = Exit>,
{
    match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(command),
        Err(err) => {
            eprintln!("coltsfootport: failed to start the runtime: {err}");
            Exit::Failed
        }
    }
}
