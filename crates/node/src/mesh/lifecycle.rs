//! A node's end: asked to stop, it finishes what it has.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use slog::{Logger, info};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock::SharedClock;
use crate::mesh::controller::{ControllerEvent, ControllerHandle};
use crate::mesh::settings::MeshSettings;

/// Time for which a stopping node goes on taking requests. Its callers are told by the readiness check, asked each second
/// and believed after two misses, and some still send until then.
const ACCEPT_WHILE_DRAINING: Duration = Duration::from_millis(2500);

/// How long nothing must have been open before the node ends: a caller may send again on a connection just used.
const IDLE_BEFORE_EXIT: Duration = Duration::from_millis(250);

/// Time between looks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time before the forced end at which the node ends with what is still open.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

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
    /// Told of each request to read the settings again.
    pub hup: watch::Sender<u64>,
    /// Requests of callers without an answer.
    pub open: Arc<AtomicUsize>,
    /// Settings in force; they tell the time from the request to stop to the forced end.
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
                () = stop_signal(&mut self.signals.terminate, &mut self.signals.interrupt) => break,
                () = received(&mut self.signals.hangup) => self.hup.send_modify(|count| *count += 1),
            }
        }
        self.stop().await;
    }

    async fn stop(&mut self) {
        let signalled_at = self.clock.now();
        let mut latest_signal = signalled_at;
        info!(self.log, "stopping"; "open" => self.open.load(Ordering::SeqCst));
        self.stopping.send_replace(true);
        self.controller.tell(ControllerEvent::Stop);
        let latest = self.settings.borrow().grace.saturating_sub(EXIT_MARGIN);
        let mut idle_since = None;
        loop {
            tokio::select! {
                () = sleep(POLL_INTERVAL) => {}
                () = stop_signal(&mut self.signals.terminate, &mut self.signals.interrupt) => {
                    // Whoever asks again waits the whole time again before it ends the node. Counted from the first word on, a
                    // node whose target had left, and that a rollout stopped a second later, cut off what was still running.
                    latest_signal = self.clock.now();
                    info!(self.log, "asked to stop again");
                }
            }
            let now = self.clock.now();
            let passed = now.saturating_duration_since(signalled_at);
            let open = self.open.load(Ordering::SeqCst) + self.controller.hosted().await;
            let since = *idle_since.get_or_insert(now);
            if open > 0 {
                idle_since = None;
            }
            let is_idle = open == 0 && now.saturating_duration_since(since) >= IDLE_BEFORE_EXIT;
            let is_latest = now.saturating_duration_since(latest_signal) >= latest;
            if is_latest || (is_idle && passed >= ACCEPT_WHILE_DRAINING) {
                info!(self.log, "stopped"; "open" => open, "after_ms" => passed.as_millis() as u64);
                return;
            }
        }
    }
}

/// Returns when either of the two signals comes that ask the node to stop.
async fn stop_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        () = received(terminate) => {}
        () = received(interrupt) => {}
    }
}

async fn received(signal: &mut Signal) {
    if signal.recv().await.is_none() {
        std::future::pending::<()>().await;
    }
}
