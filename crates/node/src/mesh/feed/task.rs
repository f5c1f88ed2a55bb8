//! Keeps the node up to date with the publisher, directly or through other nodes.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use coltsfootport_core::collections::Map;
use coltsfootport_core::mesh::{Position, Publisher, ReadPlan, ReadPlanner, UpdateBatch};
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, watch};
use tokio::time::interval;

use super::ChangeLog;
use super::change_log::Listing;
use super::follow::Follower;
use super::publisher_reader::{MAX_BACKOFF_ALONE, MAX_BACKOFF_FOLLOWING, PublisherReader};
use super::source::{AbortOnDrop, Changes, Source, SourceEvent, SourceUpdate};
use crate::clock::SharedClock;
use crate::mesh::controller::{ControllerEvent, ControllerHandle};
use crate::mesh::link::PeerPool;
use crate::mesh::metrics::MeshMetrics;
use crate::mesh::settings::PublisherSettings;

/// Interval between reviews of which nodes should read the publisher.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// Task that keeps the node up to date with the publisher.
pub struct FeedTask {
    /// Address of the publisher and selection of its readers.
    pub cfg: PublisherSettings,
    /// Builds the requests and decodes the responses.
    pub publisher: Arc<dyn Publisher>,
    /// Receives the updates.
    pub controller: ControllerHandle,
    /// Connections to other nodes.
    pub links: PeerPool,
    /// Port on which every node accepts peers.
    pub peers_port: u16,
    /// The latest changes, for followers.
    pub change_log: watch::Sender<ChangeLog>,
    /// Number of nodes that follow this one.
    pub followers: Arc<AtomicUsize>,
    /// Counts reads by outcome.
    pub metrics: MeshMetrics,
    /// Clock.
    pub clock: SharedClock,
    /// Logger.
    pub log: Logger,
}

struct FeedState {
    task: FeedTask,
    readers: ReadPlanner,
    /// Position up to which this node is up to date.
    position: Option<Position>,
    reader: Option<AbortOnDrop>,
    /// Current maximum backoff of the reader.
    max_backoff: watch::Sender<Duration>,
    /// Whether the publisher responds to this node.
    healthy: bool,
    followed: Map<IpAddr, AbortOnDrop>,
    tx: mpsc::UnboundedSender<SourceEvent>,
}

impl FeedTask {
    /// Runs for as long as the process lives.
    pub async fn run(self) {
        let (tx, mut rx) = mpsc::unbounded_channel();
        let mut state = FeedState {
            readers: ReadPlanner::new(self.cfg.readers),
            task: self,
            position: None,
            reader: None,
            max_backoff: watch::Sender::new(MAX_BACKOFF_ALONE),
            healthy: false,
            followed: Map::default(),
            tx,
        };
        let mut reviews = interval(REVIEW_INTERVAL);
        loop {
            tokio::select! {
                Some(event) = rx.recv() => {
                    if state.handle_event(event) {
                        state.review_sources().await;
                    }
                }
                _ = reviews.tick() => state.review_sources().await,
            }
        }
    }
}

impl FeedState {
    /// Applies an update; returns `true` if it may change which nodes should read.
    fn handle_event(&mut self, event: SourceEvent) -> bool {
        match (event.from, event.update) {
            (from, SourceUpdate::Listed(listing, batch)) => {
                self.handle_listing(from, listing, batch);
                return true;
            }
            (from, SourceUpdate::Changes(changes, batch)) => {
                return self.handle_changes(from, changes, batch);
            }
            (
                Source::Node(node),
                SourceUpdate::State {
                    healthy,
                    answered,
                    era,
                },
            ) => {
                // A node that is still in an earlier era reads a publisher that has since been restored from a copy.
                let healthy = healthy && self.position.is_none_or(|known| era >= known.era);
                self.readers.source_reported(node, healthy);
                match healthy {
                    true if answered => self
                        .task
                        .controller
                        .notify(ControllerEvent::PublisherAnswered),
                    true => {}
                    false => self.notify_if_lost(),
                }
                return !healthy;
            }
            (Source::Node(node), SourceUpdate::Lost(reason)) => {
                self.drop_source(node, &reason);
                return true;
            }
            (_, SourceUpdate::Failed | SourceUpdate::Lost(_)) => {
                self.set_healthy(false);
                self.notify_if_lost();
            }
            // The publisher sends responses, not heartbeats.
            (Source::Publisher, SourceUpdate::State { .. }) => {}
        }
        false
    }

    /// Applies a full listing; one that is behind the known position, such as one of an earlier era, is ignored.
    fn handle_listing(&mut self, from: Source, listing: Listing, batch: UpdateBatch) {
        if from == Source::Publisher {
            self.set_healthy(true);
        }
        if self.position.is_some_and(|known| listing.position < known) {
            return;
        }
        if let Some(known) = self
            .position
            .filter(|known| known.era < listing.position.era)
        {
            let position = listing.position;
            warn!(self.task.log, "publisher has come back from an older copy"; "era" => position.era.0,
                "revision" => position.revision, "was_era" => known.era.0, "was_revision" => known.revision);
        }
        self.position = Some(listing.position);
        // Only readers are followed, so only they keep the listing.
        let keep_listing = self.reader.is_some();
        self.task.change_log.send_modify(|change_log| {
            change_log.reset(listing);
            if !keep_listing {
                change_log.drop_listing();
            }
        });
        self.task
            .controller
            .notify(ControllerEvent::PublisherSnapshot(batch));
    }

    /// Applies changes. Several sources deliver the same changes, split into responses differently: changes that end at
    /// or before the known position are already applied, and changes that begin after it would leave a gap.
    fn handle_changes(&mut self, from: Source, changes: Changes, batch: UpdateBatch) -> bool {
        if from == Source::Publisher {
            self.set_healthy(true);
        }
        let Some(known) = self.position else {
            return false;
        };
        if changes.after > known {
            if let Source::Node(node) = from {
                self.drop_source(node, "changes are missing from its feed");
            }
            return true;
        }
        if changes.until <= known {
            // A response of an earlier era does not confirm that the known state is current.
            if from == Source::Publisher && changes.until.era == known.era {
                self.task
                    .controller
                    .notify(ControllerEvent::PublisherAnswered);
            }
            return false;
        }
        self.position = Some(changes.until);
        self.task
            .change_log
            .send_modify(|change_log| change_log.push(changes));
        self.task
            .controller
            .notify(ControllerEvent::PublisherUpdates(batch));
        false
    }

    fn set_healthy(&mut self, healthy: bool) {
        self.healthy = healthy;
        self.task.change_log.send_modify(|change_log| {
            change_log.healthy = healthy;
            change_log.responses += u64::from(healthy);
        });
    }

    fn notify_if_lost(&self) {
        if !self.healthy && !self.readers.any_healthy() {
            self.task
                .controller
                .notify(ControllerEvent::PublisherFailed);
        }
    }

    fn drop_source(&mut self, node: IpAddr, reason: &str) {
        info!(self.task.log, "news source lost"; "peer" => node.to_string(), "reason" => reason);
        self.followed.remove(&node);
        self.readers.source_lost(node, self.task.clock.now());
    }

    /// Determines which nodes should read, and starts or stops reading and following accordingly.
    async fn review_sources(&mut self) {
        let view = self
            .task
            .controller
            .readers_view(self.task.cfg.readers)
            .await
            .unwrap_or_default();
        let followers = self.task.followers.load(Ordering::SeqCst);
        let now = self.task.clock.now();
        let plan = self.readers.plan(&view, followers, now);
        self.update_reader(plan.read);
        self.update_followed(&plan);
    }

    fn update_reader(&mut self, wanted: bool) {
        self.max_backoff
            .send_replace(match self.readers.has_report() {
                true => MAX_BACKOFF_FOLLOWING,
                false => MAX_BACKOFF_ALONE,
            });
        match (wanted, &self.reader) {
            (true, None) => {
                info!(self.task.log, "reads the publisher"; "revision" => self.position.map(|known| known.revision));
                let reader = PublisherReader {
                    max_backoff: self.max_backoff.subscribe(),
                    cfg: self.task.cfg,
                    publisher: Arc::clone(&self.task.publisher),
                    metrics: self.task.metrics.clone(),
                    clock: Arc::clone(&self.task.clock),
                    log: self.task.log.clone(),
                    tx: self.tx.clone(),
                };
                let task = tokio::spawn(reader.run(self.position));
                self.reader = Some(AbortOnDrop(task.abort_handle()));
            }
            (false, Some(_)) => {
                info!(self.task.log, "hears the publisher's news from others"; "sources" => self.followed.len());
                self.reader = None;
                self.set_healthy(false);
                self.task.change_log.send_modify(ChangeLog::drop_listing);
            }
            (true, Some(_)) | (false, None) => {}
        }
    }

    fn update_followed(&mut self, plan: &ReadPlan) {
        self.followed.retain(|node, _| plan.follow.contains(node));
        let Some(position) = self.position else {
            return;
        };
        for node in &plan.follow {
            if self.followed.contains_key(node) {
                continue;
            }
            let follower = Follower {
                peer: SocketAddr::new(*node, self.task.peers_port),
                position,
                links: self.task.links.clone(),
                publisher: Arc::clone(&self.task.publisher),
                tx: self.tx.clone(),
            };
            let task = tokio::spawn(follower.run());
            self.followed
                .insert(*node, AbortOnDrop(task.abort_handle()));
        }
    }
}
