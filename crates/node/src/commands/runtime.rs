//! The runtime of a command.

use std::future::Future;

use tokio::runtime::Builder;

use crate::exit::Exit;

/// Runs a command to its end on the current thread.
pub(super) fn block_on<F>(command: F) -> Exit
where
    F: Future<Output = Exit>,
{
    match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(command),
        Err(fault) => {
            eprintln!("coltsfootport: no runtime: {fault}");
            Exit::Failed
        }
    }
}
