//! Event loop of the controller. Events are handled strictly one at a time.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use super::{Controller, ControllerEvent};

/// Interval between updates of all state that changes with time alone: overload levels, expired requests, lapsed
/// entries. It is short compared to the timeouts of callers and long compared to the duration of one update.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a controller until every handle to it has been dropped.
pub async fn run_controller(
    mut controller: Controller,
    mut rx: mpsc::UnboundedReceiver<ControllerEvent>,
) {
    let mut ticks = interval(TICK_INTERVAL);
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
    /// Handles one event.
    pub fn handle(&mut self, event: ControllerEvent) {
        // If a reply can't be delivered, the task of that request has ended. Dropping the reply drops the guards in it,
        // which release what they hold.
        match event {
            ControllerEvent::Admit(req, tx) => drop(tx.send(self.admit(&req))),
            ControllerEvent::SelectInstance(req, tx) => drop(tx.send(self.select_instance(req))),
            ControllerEvent::SendCompleted(key, ended) => self.complete_send(key, ended),
            ControllerEvent::Retry(req, tx) => drop(tx.send(self.allow_retry(&req))),
            ControllerEvent::AcquireSlot(req, tx) => self.acquire_slot(req, tx),
            ControllerEvent::Withdraw(attempt, tx) => drop(tx.send(self.withdraw(attempt))),
            ControllerEvent::SlotReleased(ticket, release, tx) => {
                self.release_slot(ticket, release, tx)
            }
            ControllerEvent::AnswerEnded(ended) => self.end_answer(ended),
            ControllerEvent::PublisherUpdates(batch) => self.apply_changes(batch),
            ControllerEvent::PublisherSnapshot(batch) => self.apply_listing(batch),
            ControllerEvent::PublisherAnswered => self.note_publisher_answer(),
            ControllerEvent::PublisherFailed => self.note_publisher_failure(),
            ControllerEvent::Stop { grace } => self.start_drain(grace),
            ControllerEvent::LogUnfinished => self.log_unfinished(),
            ControllerEvent::SettingsChanged(cfg) => self.apply_settings(*cfg),
            ControllerEvent::Readiness(tx) => drop(tx.send(self.is_ready())),
            ControllerEvent::ReadersView(cfg, tx) => drop(tx.send(self.readers_view(&cfg))),
            ControllerEvent::QuotaUnused(workspace) => self.release_quota(&workspace),
            ControllerEvent::QuotaNoticesReceived(notices) => self.apply_quota_notices(notices),
            ControllerEvent::QuotaClaimsConfirmed(confirmed) => self.confirm_claims(&confirmed),
            ControllerEvent::SilentPeerShare(share) => self.check_replaced(share),
            ControllerEvent::QuotaClaimsUndelivered(claims) => self.reroute_claims(claims),
            ControllerEvent::QuotaClaimsReceived(claims, tx) => {
                drop(tx.send(self.accept_claims(&claims)));
            }
            ControllerEvent::FindingsReceived(findings) => self.merge_findings(&findings),
            ControllerEvent::FindingsRequested(digest, tx) => {
                drop(tx.send(self.findings_for_peer(digest)));
            }
            ControllerEvent::TargetReads => self.note_target_reads(),
            ControllerEvent::HostedRequests(tx) => drop(tx.send(self.hosted_count())),
            ControllerEvent::Report(tx) => drop(tx.send(self.report())),
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        for id in self.fleet.tick(now) {
            self.note_instance_ended(id, "lapsed");
        }
        self.remove_abandoned_waiters();
        self.tick_quarantine(now);
        self.send_quota_claims(now);
        self.report_quotas(now);
        self.gate.update_level(now);
        self.start_queued(now);
        self.log_silence();
        self.update_metrics(now);
    }
}
