//! Starts programs without handing them sockets of this process.

use std::io;
use std::process::{Child, Command};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Taken by whoever starts a program, and by whoever has a socket open that no program must have.
///
/// Between fork and exec a child holds all sockets of this process. A port that was looked at in that time has a listener
/// that accepts connections, and is gone a moment later.
static SPAWNING: Mutex<()> = Mutex::new(());

/// Keeps others from starting programs while it lives.
pub fn no_spawn() -> MutexGuard<'static, ()> {
    SPAWNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a program; returns when the child runs it and holds no socket of this process any more.
///
/// # Errors
///
/// The program can't be started.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let _only = no_spawn();
    command.spawn()
}
