//! The task that owns a target's slots, settings and counts.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::target::counters::Counters;
use crate::target::run::{CallId, Run, RunEnd, RunPlan};
use crate::target::slots::{Arrival, Slots, Waiter};
use crate::target::{Health, ServiceTime, Settings, TargetCounts, WhenFull};

/// Longest service time, so that an extreme draw can't overflow.
const MAX_WORK_MS: f64 = 3_600_000.0;

/// Answer of `GET /load`; may lag or lie as the settings say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Runs in flight.
    pub in_flight: usize,
    /// Calls that wait for a slot.
    pub queued: usize,
    /// Slots.
    pub slots: usize,
    /// Whether the target takes no new calls.
    pub draining: bool,
}

/// Messages to the owner.
#[derive(Debug)]
pub enum Command {
    /// A call arrived; answered with its slot, or nothing where it is refused.
    Arrived(Waiter),
    /// A call began to run.
    Began(CallId),
    /// A call gave its slot back.
    Ended {
        id: CallId,
        end: RunEnd,
        worked: Duration,
    },
    /// Take no new calls from now on.
    Drain(oneshot::Sender<Load>),
    /// The published load.
    Load(oneshot::Sender<Load>),
    /// The published health.
    Health(oneshot::Sender<bool>),
    /// The counts so far.
    Counts(oneshot::Sender<TargetCounts>),
    /// The current settings.
    Settings(oneshot::Sender<Arc<Settings>>),
    /// Replace the settings.
    Configure(Box<Settings>),
}

/// Starts the owner; it ends with its last sender.
///
/// The channel is unbounded because a slot is given back in `drop`, which can't wait. Its length is bounded by the
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

    /// Replies go to nobody where the caller is gone, which is no fault.
    fn on_command(&mut self, command: Command, now: Instant) {
        match command {
            Command::Arrived(waiter) => self.on_arrived(waiter, now),
            Command::Began(id) => self.counters.on_began(&id),
            Command::Ended { id, end, worked } => {
                self.slots.release();
                self.counters.on_ended(&id, end, worked);
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
        match self.slots.arrive(waiter, &self.settings) {
            Arrival::Run(waiter) => self.grant(waiter, now),
            Arrival::Queued => {}
            Arrival::Refused(waiter) => self.refuse(waiter),
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
        self.counters.on_granted(self.slots.taken());
        let run = Run::new(self.plan(now), waiter.id, tx);
        // Where the caller is gone the run comes back and its drop gives the slot back.
        let _ = waiter.reply.send(Some(run));
    }

    fn refuse(&mut self, waiter: Waiter) {
        self.counters.on_refused();
        let _ = waiter.reply.send(None);
    }

    fn plan(&mut self, now: Instant) -> RunPlan {
        let settings = Arc::clone(&self.settings);
        let drawn = match settings.service_time {
            ServiceTime::Fixed => 1.0,
            ServiceTime::Exponential => -(1.0 - self.rng.random::<f64>()).ln(),
        };
        let is_cold = now - self.started_at < Duration::from_millis(settings.cold_ms);
        let cold = if is_cold { settings.cold_factor } else { 1.0 };
        let crowded = match settings.when_full {
            WhenFull::Queue => 1.0,
            WhenFull::Slow => (self.slots.taken() as f64 / settings.slots as f64).max(1.0),
        };
        let work_ms = (settings.service_ms * drawn * cold * crowded).min(MAX_WORK_MS);
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
