//! Keeps a node's beliefs up with the publisher, whoever tells the news.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use coltsfootport_core::collections::Map;
use coltsfootport_core::mesh::{Position, Publisher, ReadPlan, ReadPlanner, UpdateBatch};
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, watch};
use tokio::time::interval;

use super::Board;
use super::board::Listing;
use super::follow::Follow;
use super::source::{Changes, Heard, Listening, Source, What};
use super::store_reader::{ALONE_PAUSE, FOLLOWING_PAUSE, StoreReader};
use crate::clock::SharedClock;
use crate::mesh::controller::{ControllerEvent, ControllerHandle};
use crate::mesh::link::PeerPool;
use crate::mesh::metrics::MeshMetrics;
use crate::mesh::settings::PublisherSettings;

/// Time between looks at who should read.
const LOOK: Duration = Duration::from_millis(250);

/// What is needed to keep up with the publisher.
pub struct News {
    /// Where it is, and who reads it.
    pub cfg: PublisherSettings,
    /// What to ask, and how to read the answers.
    pub publisher: Arc<dyn Publisher>,
    /// Who is told.
    pub controller: ControllerHandle,
    /// Links to nodes that may be followed.
    pub links: PeerPool,
    /// Port of every node for others.
    pub peers_port: u16,
    /// The newest changes, for others.
    pub board: watch::Sender<Board>,
    /// Nodes that hear the news from this one.
    pub followers: Arc<AtomicUsize>,
    /// Counts reads.
    pub metrics: MeshMetrics,
    /// Time.
    pub clock: SharedClock,
    /// Log.
    pub log: Logger,
}

struct Running {
    news: News,
    readers: ReadPlanner,
    /// The position up to which everything is known.
    position: Option<Position>,
    reader: Option<Listening>,
    /// Longest pause of the reader after a failure.
    longest_pause: watch::Sender<Duration>,
    /// Whether the publisher answers this node.
    sound: bool,
    following: Map<IpAddr, Listening>,
    tx: mpsc::UnboundedSender<Heard>,
}

impl News {
    /// Keeps up for as long as the process lives.
    pub async fn run(self) {
        let (tx, mut rx) = mpsc::unbounded_channel();
        let mut running = Running {
            readers: ReadPlanner::new(self.cfg.readers),
            news: self,
            position: None,
            reader: None,
            longest_pause: watch::Sender::new(ALONE_PAUSE),
            sound: false,
            following: Map::default(),
            tx,
        };
        let mut looks = interval(LOOK);
        loop {
            tokio::select! {
                Some(heard) = rx.recv() => {
                    if running.hear(heard) {
                        running.review().await;
                    }
                }
                _ = looks.tick() => running.review().await,
            }
        }
    }
}

impl Running {
    /// Takes in what a source tells; `true` where it may change who should read.
    fn hear(&mut self, heard: Heard) -> bool {
        match (heard.from, heard.what) {
            (from, What::Listed(listing, batch)) => {
                self.listed(from, listing, batch);
                return true;
            }
            (from, What::Changes(changes, batch)) => return self.changes(from, changes, batch),
            (
                Source::Node(node),
                What::State {
                    sound,
                    answered,
                    era,
                },
            ) => {
                // It hears a publisher that has since come back from a copy.
                let sound = sound && self.position.is_none_or(|known| era >= known.era);
                self.readers.source_reported(node, sound);
                match sound {
                    true if answered => self
                        .news
                        .controller
                        .notify(ControllerEvent::PublisherAnswered),
                    true => {}
                    false => self.tell_if_lost(),
                }
                return !sound;
            }
            (Source::Node(node), What::Lost(reason)) => {
                self.lose(node, &reason);
                return true;
            }
            (_, What::Failed | What::Lost(_)) => {
                self.set_sound(false);
                self.tell_if_lost();
            }
            // The publisher tells answers, not states.
            (Source::Publisher, What::State { .. }) => {}
        }
        false
    }

    /// A list that is behind what is known, such as one of an earlier era, says nothing.
    fn listed(&mut self, from: Source, listing: Listing, batch: UpdateBatch) {
        if from == Source::Publisher {
            self.set_sound(true);
        }
        if self.position.is_some_and(|known| listing.position < known) {
            return;
        }
        if let Some(known) = self
            .position
            .filter(|known| known.era < listing.position.era)
        {
            let position = listing.position;
            warn!(self.news.log, "publisher has come back from an older copy"; "era" => position.era.0,
                "revision" => position.revision, "was_era" => known.era.0, "was_revision" => known.revision);
        }
        self.position = Some(listing.position);
        // Only who reads is subscribed to.
        let is_kept = self.reader.is_some();
        self.news.board.send_modify(|board| {
            board.listed(listing);
            if !is_kept {
                board.forget_listing();
            }
        });
        self.news
            .controller
            .notify(ControllerEvent::PublisherSnapshot(batch));
    }

    /// Several sources tell the same changes, each in answers of its own: what ends with a known position is known, and
    /// what begins after it would leave a gap.
    fn changes(&mut self, from: Source, changes: Changes, batch: UpdateBatch) -> bool {
        if from == Source::Publisher {
            self.set_sound(true);
        }
        let Some(known) = self.position else {
            return false;
        };
        if changes.after > known {
            if let Source::Node(node) = from {
                self.lose(node, "it has passed over changes");
            }
            return true;
        }
        if changes.until <= known {
            // An answer of an earlier era does not show that what is known is fresh.
            if from == Source::Publisher && changes.until.era == known.era {
                self.news
                    .controller
                    .notify(ControllerEvent::PublisherAnswered);
            }
            return false;
        }
        self.position = Some(changes.until);
        self.news.board.send_modify(|board| board.push(changes));
        self.news
            .controller
            .notify(ControllerEvent::PublisherUpdates(batch));
        false
    }

    fn set_sound(&mut self, sound: bool) {
        self.sound = sound;
        self.news.board.send_modify(|board| {
            board.sound = sound;
            board.answers += u64::from(sound);
        });
    }

    fn tell_if_lost(&self) {
        if !self.sound && !self.readers.any_healthy() {
            self.news
                .controller
                .notify(ControllerEvent::PublisherFailed);
        }
    }

    fn lose(&mut self, node: IpAddr, reason: &str) {
        info!(self.news.log, "news source lost"; "peer" => node.to_string(), "reason" => reason);
        self.following.remove(&node);
        self.readers.source_lost(node, self.news.clock.now());
    }

    /// Looks at who should read, and begins or ends to do so.
    async fn review(&mut self) {
        let view = self
            .news
            .controller
            .readers_view(self.news.cfg.readers)
            .await
            .unwrap_or_default();
        let followers = self.news.followers.load(Ordering::SeqCst);
        let now = self.news.clock.now();
        let plan = self.readers.plan(&view, followers, now);
        self.read(plan.read);
        self.follow(&plan);
    }

    fn read(&mut self, wanted: bool) {
        self.longest_pause
            .send_replace(match self.readers.has_report() {
                true => FOLLOWING_PAUSE,
                false => ALONE_PAUSE,
            });
        match (wanted, &self.reader) {
            (true, None) => {
                info!(self.news.log, "reads the publisher"; "revision" => self.position.map(|known| known.revision));
                let reader = StoreReader {
                    longest_pause: self.longest_pause.subscribe(),
                    cfg: self.news.cfg,
                    publisher: Arc::clone(&self.news.publisher),
                    metrics: self.news.metrics.clone(),
                    clock: Arc::clone(&self.news.clock),
                    log: self.news.log.clone(),
                    tx: self.tx.clone(),
                };
                let task = tokio::spawn(reader.run(self.position));
                self.reader = Some(Listening(task.abort_handle()));
            }
            (false, Some(_)) => {
                info!(self.news.log, "hears the publisher's news from others"; "sources" => self.following.len());
                self.reader = None;
                self.set_sound(false);
                self.news.board.send_modify(Board::forget_listing);
            }
            (true, Some(_)) | (false, None) => {}
        }
    }

    fn follow(&mut self, plan: &ReadPlan) {
        self.following.retain(|node, _| plan.follow.contains(node));
        let Some(position) = self.position else {
            return;
        };
        for node in &plan.follow {
            if self.following.contains_key(node) {
                continue;
            }
            let follow = Follow {
                peer: SocketAddr::new(*node, self.news.peers_port),
                position,
                links: self.news.links.clone(),
                publisher: Arc::clone(&self.news.publisher),
                tx: self.tx.clone(),
            };
            let task = tokio::spawn(follow.run());
            self.following.insert(*node, Listening(task.abort_handle()));
        }
    }
}
