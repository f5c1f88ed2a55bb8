//! Starts programs without leaking sockets of this process to them.

use std::io;
use std::process::{Child, Command};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Held while a program is started, and while a socket is open that no child may inherit.
///
/// Between fork and exec a child holds all sockets of this process. A listener that was bound in that time to check a port
/// would go on accepting connections in the child until the exec closes it.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Blocks the start of programs until the guard is dropped.
pub fn lock_spawning() -> MutexGuard<'static, ()> {
    SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a program. On return the child has completed exec and no longer holds any socket of this process.
///
/// # Errors
///
/// Returns an error if the program cannot be started.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let _guard = lock_spawning();
    command.spawn()
}
