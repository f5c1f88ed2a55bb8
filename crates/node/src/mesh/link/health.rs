//! Whether links that carry requests have gone silent, and whether they are needed at all.

use std::time::{Duration, Instant};

use quinn::{Connection, VarInt};
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};

use crate::clock::SharedClock;

/// Time between looks at the links.
const LOOK: Duration = Duration::from_millis(100);

/// Time after data was sent without any packet back, from which a link counts as silent. Every packet with data is
/// acknowledged within tens of milliseconds, and lost ones are repeated several times within this.
const SILENT: Duration = Duration::from_millis(350);

/// Time without a stream's frame after which a link is closed. Its signs of life cost both ends packets for as long as it
/// is open; most nodes of a large fleet have nothing to say to each other for long.
const UNUSED: Duration = Duration::from_secs(15);

/// Code of a link that is closed since nobody uses it.
const CLOSED_UNUSED: VarInt = VarInt::from_u32(0);

/// Counts of one link.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    /// Frames sent that the other end must acknowledge. Packets that only acknowledge bring nothing back: counted too, they
    /// make every link look silent that has just received an answer.
    asking: u64,
    /// Packets received.
    received: u64,
    /// Frames of streams, both ways.
    streams: u64,
}

/// A link that is looked at.
#[derive(Debug)]
pub struct Watched {
    link: Connection,
    /// Told when the link goes silent, and when it speaks again.
    silent: watch::Sender<bool>,
    before: Seen,
    unanswered: Option<Instant>,
    used: Instant,
}

/// Looks at all links of a node until nobody makes any more.
///
/// A machine that loses power sends nothing. The library gives a connection up after its idle time, which must be long
/// enough for a node that pauses; until then every request sent there would be lost, and those below would hold the slots
/// of all services above. In a day with one such machine 535 requests ran out of time within four seconds.
///
/// One task looks at all of them at once: with a task and a timer for each of 84 links a node woke 840 times a second.
pub async fn watch_links(mut rx: mpsc::UnboundedReceiver<Watched>, clock: SharedClock) {
    let mut links: Vec<Watched> = Vec::new();
    let mut looks = interval(LOOK);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            new = rx.recv() => match new {
                Some(link) => links.push(link),
                None => return,
            },
            _ = looks.tick(), if !links.is_empty() => {
                let now = clock.now();
                links.retain_mut(|link| link.look(now));
            }
        }
    }
}

impl Watched {
    /// A link that was made now, and what tells whether it is silent.
    pub fn new(link: Connection, now: Instant) -> (Self, watch::Receiver<bool>) {
        let (silent, told) = watch::channel(false);
        let watched = Self {
            before: Seen::of(&link),
            link,
            silent,
            unanswered: None,
            used: now,
        };
        (watched, told)
    }

    /// Compares what the link has carried with the last look; `false` where the link is closed.
    fn look(&mut self, now: Instant) -> bool {
        if self.link.close_reason().is_some() {
            self.silent.send_replace(true);
            return false;
        }
        let seen = Seen::of(&self.link);
        if seen.received != self.before.received {
            self.unanswered = None;
        } else if seen.asking != self.before.asking {
            self.unanswered.get_or_insert(now);
        }
        if seen.streams != self.before.streams {
            self.used = now;
        }
        self.before = seen;
        let since = |at: Instant| now.saturating_duration_since(at);
        let is_silent = self.unanswered.is_some_and(|at| since(at) >= SILENT);
        self.silent
            .send_if_modified(|was| std::mem::replace(was, is_silent) != is_silent);
        if since(self.used) >= UNUSED {
            self.link.close(CLOSED_UNUSED, b"unused");
        }
        true
    }
}

impl Seen {
    fn of(link: &Connection) -> Self {
        let stats = link.stats();
        Self {
            asking: stats.frame_tx.stream + stats.frame_tx.ping,
            received: stats.udp_rx.datagrams,
            streams: stats.frame_tx.stream + stats.frame_rx.stream,
        }
    }
}
