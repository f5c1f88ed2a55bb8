//! Signals and graceful shutdown.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use slog::{Logger, info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock::SharedClock;
use crate::mesh::controller::{ControllerEvent, ControllerHandle};
use crate::mesh::settings::MeshSettings;

/// Time for which a stopping node lives at least: some callers still send until the readiness check has told them.
const ACCEPT_WHILE_DRAINING: Duration = Duration::from_millis(2500);

/// How long nothing must have been open before the node ends: a caller may send again on a connection just used.
const IDLE_BEFORE_EXIT: Duration = Duration::from_millis(250);

/// Time between looks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time before the end of the grace period at which nothing new is accepted, and what is still open is logged.
const BEFORE_KILL: Duration = Duration::from_millis(500);

/// The signals that a node takes. Until they are taken over each of them ends the process, so this is done first.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Takes the signals over.
    ///
    /// # Errors
    ///
    /// They can't be received.
    pub fn take() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Signals and what they lead to.
pub struct Lifecycle {
    /// The signals.
    pub signals: Signals,
    /// Refuses new requests for the own target.
    pub controller: ControllerHandle,
    /// Told when the node is about to stop.
    pub stopping: watch::Sender<bool>,
    /// Told when the grace period is nearly over.
    pub grace_over: watch::Sender<bool>,
    /// Told of each request to read the settings again.
    pub hup: watch::Sender<u64>,
    /// Requests of callers without an answer.
    pub open: Arc<AtomicUsize>,
    /// Settings in force; they tell the grace period.
    pub settings: watch::Receiver<MeshSettings>,
    /// Time.
    pub clock: SharedClock,
    /// Log.
    pub log: Logger,
}

impl Lifecycle {
    /// Returns when the process may end.
    pub async fn run(mut self) {
        loop {
            tokio::select! {
                _ = stop_signal(&mut self.signals.terminate, &mut self.signals.interrupt) => break,
                () = received(&mut self.signals.hangup) => self.hup.send_modify(|count| *count += 1),
            }
        }
        self.stop().await;
    }

    /// Returns when nothing is open any more. Until then the node serves: ended by itself it would cut off what is at work,
    /// which may still end before the supervisor kills the process.
    async fn stop(&mut self) {
        let signalled_at = self.clock.now();
        let grace = self.settings.borrow().grace;
        info!(self.log, "stopping"; "open" => self.open.load(Ordering::SeqCst), "grace_ms" => grace.as_millis() as u64);
        self.stopping.send_replace(true);
        self.controller.notify(ControllerEvent::Stop);
        let mut signals = 1;
        let mut idle_since = None;
        loop {
            tokio::select! {
                () = sleep(POLL_INTERVAL) => {}
                name = stop_signal(&mut self.signals.terminate, &mut self.signals.interrupt) => {
                    signals += 1;
                    self.log_signal(name, signals, signalled_at);
                }
                () = received(&mut self.signals.hangup) => self.log_signal("SIGHUP", signals, signalled_at),
            }
            let now = self.clock.now();
            let passed = now.saturating_duration_since(signalled_at);
            let hosted = self.controller.hosted_requests().await;
            let open = self.open.load(Ordering::SeqCst);
            if grace.saturating_sub(passed) <= BEFORE_KILL && !*self.grace_over.borrow() {
                self.end_grace(open, hosted);
            }
            let since = *idle_since.get_or_insert(now);
            if open + hosted > 0 {
                idle_since = None;
                continue;
            }
            let is_idle = now.saturating_duration_since(since) >= IDLE_BEFORE_EXIT;
            if is_idle && passed >= ACCEPT_WHILE_DRAINING {
                info!(self.log, "stopped"; "after_ms" => passed.as_millis() as u64, "signals" => signals);
                return;
            }
        }
    }

    /// Shortly before the supervisor is expected to kill the process: no more callers are accepted, so that the node ends with
    /// what it has, and that is logged.
    fn end_grace(&self, open: usize, hosted: usize) {
        self.grace_over.send_replace(true);
        warn!(self.log, "grace period nearly over"; "open" => open, "hosted" => hosted);
        self.controller.notify(ControllerEvent::LogUnfinished);
    }

    fn log_signal(&self, name: &str, signals: u32, first: Instant) {
        let after = self.clock.now().saturating_duration_since(first);
        info!(self.log, "signal while stopping"; "signal" => name, "signals" => signals, "after_ms" => after.as_millis() as u64);
    }
}

/// Returns the name of the next signal that asks the node to stop.
async fn stop_signal(terminate: &mut Signal, interrupt: &mut Signal) -> &'static str {
    tokio::select! {
        () = received(terminate) => "SIGTERM",
        () = received(interrupt) => "SIGINT",
    }
}

async fn received(signal: &mut Signal) {
    if signal.recv().await.is_none() {
        std::future::pending::<()>().await;
    }
}
