//! The controller's loop: one event after the other.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use super::{Controller, ControllerEvent};

/// Time between looks at everything that only time changes: levels, expired requests, lapsed entries. Short beside the
/// times that callers wait, long beside the work of a look.
const TICK: Duration = Duration::from_millis(50);

/// Runs a controller until every handle to it is gone.
pub async fn run_controller(
    mut controller: Controller,
    mut rx: mpsc::UnboundedReceiver<ControllerEvent>,
) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = rx.recv() => match event {
                Some(event) => controller.handle(event),
                None => return,
            },
            _ = ticks.tick() => controller.tick(),
        }
    }
}

impl Controller {
    /// Takes in one event.
    pub fn handle(&mut self, event: ControllerEvent) {
        // Where a reply can't be delivered, its task has ended with its request; guards inside give back what they hold.
        match event {
            ControllerEvent::Admit(ask, tx) => drop(tx.send(self.admit(&ask))),
            ControllerEvent::Send(ask, tx) => drop(tx.send(self.send(ask))),
            ControllerEvent::SendEnded(key, ended) => self.send_ended(key, ended),
            ControllerEvent::Retry(ask, tx) => drop(tx.send(self.retry(&ask))),
            ControllerEvent::Enter(ask, tx) => self.enter(ask, tx),
            ControllerEvent::Left(ticket, left, tx) => self.leave(ticket, left, tx),
            ControllerEvent::News(batch) => self.apply_changes(batch),
            ControllerEvent::Listed(batch) => self.apply_listing(batch),
            ControllerEvent::PublisherAnswered => self.note_publisher_answer(),
            ControllerEvent::PublisherFailed => self.note_publisher_failure(),
            ControllerEvent::Stop => self.stop(),
            ControllerEvent::LogUnfinished => self.log_unfinished(),
            ControllerEvent::Configured(cfg) => self.configure(*cfg),
            ControllerEvent::IsReady(tx) => drop(tx.send(self.is_ready())),
            ControllerEvent::ReadersView(cfg, tx) => drop(tx.send(self.readers_view(&cfg))),
            ControllerEvent::QuotaUnused(workspace) => self.release_quota(&workspace),
            ControllerEvent::QuotaHeard(notices) => self.apply_quota_notices(notices),
            ControllerEvent::QuotaConfirmed(confirmed) => self.confirm_claims(&confirmed),
            ControllerEvent::PeersSilent(share) => self.check_replaced(share),
            ControllerEvent::QuotaUntold(claims) => self.reroute_claims(claims),
            ControllerEvent::QuotaClaimed(claims, tx) => {
                drop(tx.send(self.accept_claims(&claims)));
            }
            ControllerEvent::FindingsHeard(findings) => self.merge_findings(&findings),
            ControllerEvent::FindingsPulled(digest, tx) => {
                drop(tx.send(self.findings_for_peer(digest)));
            }
            ControllerEvent::Hosted(tx) => drop(tx.send(self.hosted_count())),
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        for id in self.fleet.tick(now) {
            self.note_instance_ended(id, "lapsed");
        }
        self.forget_waiters();
        self.tick_quarantine(now);
        self.send_quota_claims(now);
        self.report_quotas(now);
        self.gate.update_level(now);
        self.pump(now);
        self.update_metrics(now);
    }
}
