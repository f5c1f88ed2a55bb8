//! Signals and graceful shutdown.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use coltsfootport_core::mesh::waiting_end;
use slog::{Logger, info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

use crate::clock::SharedClock;
use crate::mesh::controller::{ControllerEvent, ControllerHandle};
use crate::mesh::link::CLOSE_LINGER;
use crate::mesh::settings_file::SettingsFile;
use crate::mesh::shutdown::ShutdownSender;

/// Minimum time from the stop signal to the exit. Some callers keep sending until the readiness check has shown them
/// that the node is stopping.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(2500);

/// Time without open requests that is required before the exit, since a caller may reuse a connection for its next
/// request.
const IDLE_BEFORE_EXIT: Duration = Duration::from_millis(250);

/// Interval at which a stopping node checks for open requests.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time before the end of the grace period at which the node stops accepting callers and logs unfinished requests.
const KILL_MARGIN: Duration = Duration::from_millis(500);

/// Time before the end of the grace period at which late calls of runs are given up: enough to write their refusals.
const GIVE_UP_MARGIN: Duration = Duration::from_millis(200);

/// Time after the end of the grace period at which the node exits although requests are open, in case that no
/// supervisor kills it. Peers that have failed without closing their connections can keep requests open for longer.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Handlers for the signals of a node.
///
/// Each of these signals kills the process until its handler is installed, so this is done first at startup.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler cannot be installed.
    pub fn install() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Handles signals: reloads the settings on SIGHUP, and shuts down gracefully on SIGTERM or SIGINT.
pub struct Lifecycle {
    /// Installed signal handlers.
    pub signals: Signals,
    /// Controller, which refuses new requests for the local target while the node is stopping.
    pub controller: ControllerHandle,
    /// Announces the progress of the shutdown.
    pub shutdown: ShutdownSender,
    /// Number of open requests from callers and peers; see `OpenRequestGuard`.
    pub open: Arc<AtomicUsize>,
    /// Settings file, read again on SIGHUP, when it has changed, and when the shutdown starts.
    pub settings: SettingsFile,
    /// Clock.
    pub clock: SharedClock,
    /// Logger.
    pub log: Logger,
}

impl Lifecycle {
    /// Handles signals until the node has shut down; returns when the process may exit.
    pub async fn run(mut self) {
        loop {
            tokio::select! {
                _ = stop_signal(&mut self.signals.terminate, &mut self.signals.interrupt) => break,
                () = received(&mut self.signals.hangup) => self.settings.reload(true),
                () = self.settings.poll() => {}
            }
        }
        self.shut_down().await;
    }

    /// Serves until no requests are open, or until [`EXIT_MARGIN`] after the grace period. An exit at its very end would
    /// abort running requests that may still finish before the supervisor kills the process.
    async fn shut_down(&mut self) {
        let signalled_at = self.clock.now();
        // The file may have changed just before the signal, and signals that arrive together come in any order.
        self.settings.reload(false);
        let grace = self.settings.grace();
        // Exiting or giving requests up too early loses them, too late does not.
        let latest_end = self.settings.recent_grace();
        info!(self.log, "stopping"; "open" => self.open.load(Ordering::SeqCst), "grace_ms" => grace.as_millis() as u64);
        self.shutdown.start();
        self.controller.notify(ControllerEvent::Stop { grace });
        let mut signals = 1;
        let mut last_signal_at = signalled_at;
        let mut idle_since = None;
        loop {
            tokio::select! {
                () = sleep(POLL_INTERVAL) => {}
                name = stop_signal(&mut self.signals.terminate, &mut self.signals.interrupt) => {
                    signals += 1;
                    last_signal_at = self.clock.now();
                    self.log_signal(name, signals, signalled_at);
                }
                () = received(&mut self.signals.hangup) => {
                    self.log_signal("SIGHUP", signals, signalled_at);
                    self.settings.reload(true);
                }
                () = self.settings.poll() => {}
            }
            let now = self.clock.now();
            let elapsed = now.saturating_duration_since(signalled_at);
            let hosted = self.controller.hosted_requests().await;
            let open = self.open.load(Ordering::SeqCst);
            if elapsed >= MIN_DRAIN_TIME {
                self.shutdown.close();
            }
            if elapsed >= waiting_end(grace) {
                self.shutdown.end_waiting();
            }
            if latest_end.saturating_sub(elapsed) <= KILL_MARGIN && self.shutdown.end_grace() {
                self.log_unfinished(open, hosted);
            }
            if latest_end.saturating_sub(elapsed) <= GIVE_UP_MARGIN {
                self.shutdown.expect_kill();
            }
            if now.saturating_duration_since(last_signal_at) >= latest_end + EXIT_MARGIN {
                warn!(self.log, "grace period over"; "open" => open, "hosted" => hosted);
                return;
            }
            let since = *idle_since.get_or_insert(now);
            if open + hosted > 0 {
                idle_since = None;
                continue;
            }
            let is_idle = now.saturating_duration_since(since) >= IDLE_BEFORE_EXIT;
            if is_idle && elapsed >= MIN_DRAIN_TIME + CLOSE_LINGER {
                info!(self.log, "stopped"; "after_ms" => elapsed.as_millis() as u64, "signals" => signals);
                return;
            }
        }
    }

    /// Logs unfinished requests, shortly before the supervisor is expected to kill the process.
    fn log_unfinished(&self, open: usize, hosted: usize) {
        warn!(self.log, "grace period nearly over"; "open" => open, "hosted" => hosted);
        self.controller.notify(ControllerEvent::LogUnfinished);
    }

    fn log_signal(&self, name: &str, signals: u32, signalled_at: Instant) {
        let after = self.clock.now().saturating_duration_since(signalled_at);
        info!(self.log, "signal while stopping"; "signal" => name, "signals" => signals,
            "after_ms" => after.as_millis() as u64);
    }
}

/// Waits for SIGTERM or SIGINT and returns the name of the signal received.
async fn stop_signal(terminate: &mut Signal, interrupt: &mut Signal) -> &'static str {
    tokio::select! {
        () = received(terminate) => "SIGTERM",
        () = received(interrupt) => "SIGINT",
    }
}

/// Waits for the next delivery of `signal`; never returns if the stream is closed.
async fn received(signal: &mut Signal) {
    if signal.recv().await.is_none() {
        std::future::pending::<()>().await;
    }
}
