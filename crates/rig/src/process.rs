//! Child processes for tests, demo and experiments.

mod ports;
mod spawn;
mod spec;

use std::io::Write;
use std::net::SocketAddr;
use std::process::{Child, ExitStatus};
use std::time::{Duration, Instant};

use http::Method;
use rustix::process::{Pid, Resource, Rlimit, kill_process, prlimit};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::error::RigError;
use crate::http::{Client, ClientCall};

pub use self::ports::{block_start, free_port, free_ports, loopback};
pub use self::spawn::spawn;
pub use self::spec::{Output, ProcessSpec};
pub use rustix::process::Signal;

/// Interval between two checks of a child's state.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Timeout of one readiness probe: an HTTP request or a TCP connect.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Running child process; killed and reaped when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    pid: Pid,
}

impl Process {
    /// Starts the child and writes the input of the spec to its standard input.
    pub fn start(spec: ProcessSpec) -> Result<Self, RigError> {
        let mut child = spawn(&mut spec.command()?)?;
        let pid = Pid::from_child(&child);
        let input = child.stdin.take();
        let process = Self {
            name: spec.name,
            child,
            pid,
        };
        if let (Some(mut input), Some(text)) = (input, &spec.input) {
            // Dropping the pipe afterwards signals the end of the input to the child.
            input.write_all(text.as_bytes())?;
        }
        Ok(process)
    }

    /// Returns the name of the child, used in messages.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process ID of the child.
    pub fn pid(&self) -> i32 {
        self.pid.as_raw_nonzero().get()
    }

    /// Sends a signal, such as `Signal::STOP` to pause the child and `Signal::CONT` to resume it.
    ///
    /// The child is not reaped before [`Process::wait`] or the drop, so its process ID cannot belong to another process.
    pub fn signal(&self, signal: Signal) -> Result<(), RigError> {
        kill_process(self.pid, signal).map_err(|e| RigError::Io(e.into()))
    }

    /// Limits the number of descriptors that the child may have open.
    pub fn limit_descriptors(&self, limit: u64) -> Result<(), RigError> {
        let limit = Rlimit {
            current: Some(limit),
            maximum: Some(limit),
        };
        match prlimit(Some(self.pid), Resource::Nofile, limit) {
            Ok(_) => Ok(()),
            Err(e) => Err(RigError::Io(e.into())),
        }
    }

    /// Returns whether the child is still running; a paused child counts as running.
    pub fn is_running(&mut self) -> Result<bool, RigError> {
        Ok(self.child.try_wait()?.is_none())
    }

    /// Waits up to `limit` for the child to exit on its own.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus, RigError> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                return Err(RigError::Timeout);
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends `SIGTERM` to the child and waits up to `limit` for it to exit.
    pub async fn stop(&mut self, limit: Duration) -> Result<ExitStatus, RigError> {
        self.signal(Signal::TERM)?;
        self.wait(limit).await
    }

    /// Kills the child with `SIGKILL` and reaps it.
    pub fn kill(&mut self) -> Result<ExitStatus, RigError> {
        self.child.kill()?;
        Ok(self.child.wait()?)
    }

    /// Waits up to `limit` until `GET path` at `addr` answers with success.
    pub async fn wait_until_ready(
        &mut self,
        client: &Client,
        addr: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<(), RigError> {
        let call = ClientCall {
            timeout: PROBE_TIMEOUT,
            ..ClientCall::new(addr, Method::GET, path)
        };
        let deadline = Instant::now() + limit;
        loop {
            let answer = client.send(call.clone()).await;
            if answer.is_ok_and(|answer| answer.status.is_success()) {
                return Ok(());
            }
            self.wait_for_next_poll(deadline).await?;
        }
    }

    /// Waits up to `limit` until a TCP connection to `addr` is accepted.
    pub async fn wait_until_listening(
        &mut self,
        addr: SocketAddr,
        limit: Duration,
    ) -> Result<(), RigError> {
        let deadline = Instant::now() + limit;
        loop {
            let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(addr)).await;
            if matches!(connected, Ok(Ok(_))) {
                return Ok(());
            }
            self.wait_for_next_poll(deadline).await?;
        }
    }

    async fn wait_for_next_poll(&mut self, deadline: Instant) -> Result<(), RigError> {
        if !self.is_running()? || Instant::now() >= deadline {
            return Err(RigError::NotReady(self.name.clone()));
        }
        sleep(POLL_INTERVAL).await;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors are ignored: the child may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
