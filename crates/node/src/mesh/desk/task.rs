//! The desk's loop: one event after the other.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use super::{Desk, DeskEvent};

/// Time between looks at everything that only time changes: levels, expired requests, lapsed entries. Short beside the
/// times that callers wait, long beside the work of a look.
const TICK: Duration = Duration::from_millis(50);

/// Runs a desk until every handle to it is gone.
pub async fn run_desk(mut desk: Desk, mut rx: mpsc::UnboundedReceiver<DeskEvent>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = rx.recv() => match event {
                Some(event) => desk.handle(event),
                None => return,
            },
            _ = ticks.tick() => desk.tick(),
        }
    }
}

impl Desk {
    /// Takes in one event.
    pub fn handle(&mut self, event: DeskEvent) {
        // Where a reply can't be delivered, its task has ended with its request; guards inside give back what they hold.
        match event {
            DeskEvent::Admit(ask, tx) => drop(tx.send(self.admit(&ask))),
            DeskEvent::Send(ask, tx) => drop(tx.send(self.send(ask))),
            DeskEvent::SendEnded(key, ended) => self.send_ended(key, ended),
            DeskEvent::Again(ask, tx) => drop(tx.send(self.again(&ask))),
            DeskEvent::Enter(ask, tx) => self.enter(ask, tx),
            DeskEvent::Left(ticket, held, tx) => self.leave(ticket, held, tx),
            DeskEvent::News(batch) => self.news(batch),
            DeskEvent::Listed(batch) => self.listed(batch),
            DeskEvent::PublisherAnswered => self.publisher_answered(),
            DeskEvent::PublisherFailed => self.publisher_failed(),
            DeskEvent::Stop => self.stop(),
            DeskEvent::Configured(cfg) => self.configure(*cfg),
            DeskEvent::IsReady(tx) => drop(tx.send(self.is_ready())),
            DeskEvent::ReadersView(cfg, tx) => drop(tx.send(self.readers_view(&cfg))),
            DeskEvent::Hosted(tx) => drop(tx.send(self.runs.len() + self.waiting.len())),
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        for id in self.fleet.tick(now) {
            self.ended(id, "lapsed");
        }
        self.forget_waiters();
        self.gate.update_level(now);
        self.pump(now);
        self.show(now);
    }
}
