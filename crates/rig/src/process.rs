//! Real child processes for tests, demo and experiments.

mod ports;
mod spawn;
mod spec;

use std::io::Write;
use std::net::SocketAddr;
use std::process::{Child, ExitStatus};
use std::time::{Duration, Instant};

use http::Method;
use rustix::process::{Pid, kill_process};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::error::RigError;
use crate::http::{Client, ClientCall};

pub use self::ports::{block_start, free_port, free_ports, loopback};
pub use self::spawn::spawn;
pub use self::spec::{Output, ProcessSpec};
pub use rustix::process::Signal;

/// Pause between two looks at a child.
const POLL: Duration = Duration::from_millis(10);

/// Time limit of one look at a child's HTTP interface.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// A child process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    pid: Pid,
}

impl Process {
    /// Starts a child and writes its settings to its standard input.
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
            // Dropping the pipe afterwards tells the child that the settings are whole.
            input.write_all(text.as_bytes())?;
        }
        Ok(process)
    }

    /// The child's name, for messages.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The child's process id.
    pub fn pid(&self) -> i32 {
        self.pid.as_raw_nonzero().get()
    }

    /// Sends a signal, such as `Signal::STOP` to freeze the child and `Signal::CONT` to wake it.
    ///
    /// The child isn't reaped before [`Process::wait`] or the drop, so its id can't belong to another process.
    pub fn signal(&self, signal: Signal) -> Result<(), RigError> {
        kill_process(self.pid, signal).map_err(|e| RigError::Io(e.into()))
    }

    /// Whether the child still runs; a frozen one does.
    pub fn is_running(&mut self) -> Result<bool, RigError> {
        Ok(self.child.try_wait()?.is_none())
    }

    /// Waits for the child to end by itself.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus, RigError> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                return Err(RigError::Timeout);
            }
            sleep(POLL).await;
        }
    }

    /// Asks the child to stop and waits for its end.
    pub async fn stop(&mut self, limit: Duration) -> Result<ExitStatus, RigError> {
        self.signal(Signal::TERM)?;
        self.wait(limit).await
    }

    /// Kills the child at once.
    pub fn kill(&mut self) -> Result<ExitStatus, RigError> {
        self.child.kill()?;
        Ok(self.child.wait()?)
    }

    /// Waits until `GET path` at `addr` answers with success.
    pub async fn ready(
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
            self.pause_before(deadline).await?;
        }
    }

    /// Waits until a TCP connection to `addr` is accepted.
    pub async fn listening(&mut self, addr: SocketAddr, limit: Duration) -> Result<(), RigError> {
        let deadline = Instant::now() + limit;
        loop {
            let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(addr)).await;
            if matches!(connected, Ok(Ok(_))) {
                return Ok(());
            }
            self.pause_before(deadline).await?;
        }
    }

    async fn pause_before(&mut self, deadline: Instant) -> Result<(), RigError> {
        if !self.is_running()? || Instant::now() >= deadline {
            return Err(RigError::NotReady(self.name.clone()));
        }
        sleep(POLL).await;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Nothing is left to do where the child has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
