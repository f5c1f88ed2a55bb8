//! Task that owns the slots, settings and counters of a target.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::target::counters::Counters;
use crate::target::run::{CallId, Run, RunEnd, RunPlan};
use crate::target::slots::{Admission, Slots, Waiter};
use crate::target::{Health, ServiceTime, Settings, TargetCounts, WhenFull};

/// Upper bound of the service time, so that an extreme random value cannot overflow.
const MAX_WORK_MS: f64 = 3_600_000.0;

/// Response to `GET /load`. Depending on the settings it may be outdated or scaled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Runs in progress.
    pub in_flight: usize,
    /// Calls waiting for a slot.
    pub queued: usize,
    /// Number of slots.
    pub slots: usize,
    /// Whether the target refuses new calls.
    pub draining: bool,
}

/// Commands sent to the owner.
#[derive(Debug)]
pub enum Command {
    /// A call arrived. Replies with its slot, or with `None` if it is refused.
    Arrived(Waiter),
    /// A call started to run.
    Started(CallId),
    /// A call released its slot.
    Ended {
        id: CallId,
        end: RunEnd,
        work_time: Duration,
    },
    /// Refuse new calls from now on.
    Drain(oneshot::Sender<Load>),
    /// Get the published load.
    Load(oneshot::Sender<Load>),
    /// Get the published health.
    Health(oneshot::Sender<bool>),
    /// Get the counts.
    Counts(oneshot::Sender<TargetCounts>),
    /// Get the current settings.
    Settings(oneshot::Sender<Arc<Settings>>),
    /// Replace the settings.
    Configure(Box<Settings>),
}

/// Starts the owner, which stops when its last sender is dropped.
///
/// The channel is unbounded because slots are released in `drop`, which cannot wait. Its length is bounded by the
/// number of open connections, each of which has at most one call.
pub fn start(settings: Settings) -> mpsc::UnboundedSender<Command> {
    let (tx, rx) = mpsc::unbounded_channel();
    let owner = Owner::new(settings, tx.downgrade(), Instant::now());
    tokio::spawn(owner.run(rx));
    tx
}

struct Owner {
    settings: Arc<Settings>,
    slots: Slots,
    counters: Counters,
    rng: StdRng,
    started_at: Instant,
    draining: bool,
    published: Load,
    published_at: Instant,
    tx: mpsc::WeakUnboundedSender<Command>,
}

impl Owner {
    fn new(settings: Settings, tx: mpsc::WeakUnboundedSender<Command>, now: Instant) -> Self {
        Self {
            rng: StdRng::seed_from_u64(settings.seed),
            published: Load {
                slots: settings.slots,
                ..Load::default()
            },
            settings: Arc::new(settings),
            slots: Slots::default(),
            counters: Counters::default(),
            started_at: now,
            draining: false,
            published_at: now,
            tx,
        }
    }

    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Command>) {
        while let Some(command) = rx.recv().await {
            self.on_command(command, Instant::now());
        }
    }

    /// Errors from sending a reply are ignored, since they only mean that the caller has gone away.
    fn on_command(&mut self, command: Command, now: Instant) {
        match command {
            Command::Arrived(waiter) => self.on_arrived(waiter, now),
            Command::Started(id) => self.counters.on_started(&id),
            Command::Ended { id, end, work_time } => {
                self.slots.release();
                self.counters.on_ended(&id, end, work_time);
                self.fill_slots(now);
            }
            Command::Drain(reply) => {
                self.draining = true;
                let _ = reply.send(self.load());
            }
            Command::Load(reply) => {
                let _ = reply.send(self.published_load(now));
            }
            Command::Health(reply) => {
                let _ = reply.send(self.health(now));
            }
            Command::Counts(reply) => {
                let _ = reply.send(self.counts());
            }
            Command::Settings(reply) => {
                let _ = reply.send(Arc::clone(&self.settings));
            }
            Command::Configure(settings) => {
                self.settings = Arc::from(settings);
                self.fill_slots(now);
            }
        }
    }

    fn on_arrived(&mut self, waiter: Waiter, now: Instant) {
        self.counters.on_arrived(&waiter.id);
        if self.draining {
            return self.refuse(waiter);
        }
        match self.slots.admit(waiter, &self.settings) {
            Admission::Run(waiter) => self.grant(waiter, now),
            Admission::Queued => {}
            Admission::Refused(waiter) => self.refuse(waiter),
        }
    }

    fn fill_slots(&mut self, now: Instant) {
        while let Some(waiter) = self.slots.next(&self.settings) {
            self.grant(waiter, now);
        }
    }

    fn grant(&mut self, waiter: Waiter, now: Instant) {
        let Some(tx) = self.tx.upgrade() else {
            return;
        };
        self.counters.on_slot_granted(self.slots.taken());
        let run = Run::new(self.plan(now), waiter.id, tx);
        // If the caller has gone away, the run is returned in the error and dropping it releases the slot.
        let _ = waiter.reply.send(Some(run));
    }

    fn refuse(&mut self, waiter: Waiter) {
        self.counters.on_refused();
        let _ = waiter.reply.send(None);
    }

    fn plan(&mut self, now: Instant) -> RunPlan {
        let settings = Arc::clone(&self.settings);
        let distribution_factor = match settings.service_time {
            ServiceTime::Fixed => 1.0,
            ServiceTime::Exponential => -(1.0 - self.rng.random::<f64>()).ln(),
        };
        let is_cold = now - self.started_at < Duration::from_millis(settings.cold_ms);
        let cold_factor = if is_cold { settings.cold_factor } else { 1.0 };
        let contention_factor = match settings.when_full {
            WhenFull::Queue => 1.0,
            WhenFull::Slow => (self.slots.taken() as f64 / settings.slots as f64).max(1.0),
        };
        let work_ms = (settings.service_ms * distribution_factor * cold_factor * contention_factor)
            .min(MAX_WORK_MS);
        let fails = self.rng.random::<f64>() < settings.fail_ratio;
        RunPlan {
            work: Duration::from_secs_f64(work_ms / 1000.0),
            fails,
            settings,
        }
    }

    fn load(&self) -> Load {
        Load {
            in_flight: self.slots.taken(),
            queued: self.slots.waiting(),
            slots: self.settings.slots,
            draining: self.draining,
        }
    }

    fn refresh_published(&mut self, now: Instant) {
        if now - self.published_at >= Duration::from_millis(self.settings.load_lag_ms) {
            self.published = self.load();
            self.published_at = now;
        }
    }

    fn published_load(&mut self, now: Instant) -> Load {
        self.refresh_published(now);
        let factor = self.settings.load_factor;
        let scaled = |n: usize| (n as f64 * factor) as usize;
        let Load {
            in_flight, queued, ..
        } = self.published;
        Load {
            in_flight: scaled(in_flight),
            queued: scaled(queued),
            ..self.published
        }
    }

    fn health(&mut self, now: Instant) -> bool {
        self.refresh_published(now);
        match self.settings.health {
            Health::Truthful => !self.published.draining && !self.settings.hang,
            Health::AlwaysHealthy => true,
            Health::AlwaysUnhealthy => false,
        }
    }

    fn counts(&self) -> TargetCounts {
        let Load {
            in_flight, queued, ..
        } = self.load();
        TargetCounts {
            in_flight,
            queued,
            ..self.counters.counts()
        }
    }
}
