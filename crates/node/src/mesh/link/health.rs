//! Whether a link that carries requests has gone silent, and whether it is needed at all.

use std::sync::Arc;
use std::time::{Duration, Instant};

use quinn::{Connection, VarInt};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use crate::clock::SharedClock;

/// Time between looks at a link.
const LOOK: Duration = Duration::from_millis(100);

/// Time after data was sent without any packet back, from which a link counts as silent. Every packet with data is
/// acknowledged within tens of milliseconds, and lost ones are repeated several times within this.
const SILENT: Duration = Duration::from_millis(350);

/// Looks without a stream's frame either way after which nobody looks until the link is used again. With 84 links a node
/// spent more on looking at idle links than on anything else.
const IDLE_LOOKS: u32 = 10;

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

/// Watches a link for as long as it lives, and tells whether it is silent.
///
/// A machine that loses power sends nothing. The library gives a connection up after its idle time, which must be long
/// enough for a node that pauses; until then every request sent there would be lost, and those below would hold the slots
/// of all services above. In a day with one such machine 535 requests ran out of time within four seconds.
pub async fn watch_link(
    link: Connection,
    clock: SharedClock,
    silent: watch::Sender<bool>,
    used: Arc<Notify>,
) {
    let mut before = Seen::of(&link);
    let mut unanswered: Option<Instant> = None;
    let mut idle_looks = 0;
    while link.close_reason().is_none() {
        if idle_looks >= IDLE_LOOKS {
            idle_looks = 0;
            if timeout(UNUSED, used.notified()).await.is_err() && !before.is_used_since(&link) {
                link.close(CLOSED_UNUSED, b"unused");
            }
            // What came meanwhile says nothing about what is asked from here on.
            before = Seen::of(&link);
            unanswered = None;
        }
        sleep(LOOK).await;
        let now = clock.now();
        let seen = Seen::of(&link);
        idle_looks = match seen.streams == before.streams && unanswered.is_none() {
            true => idle_looks + 1,
            false => 0,
        };
        if seen.received != before.received {
            unanswered = None;
        } else if seen.asking != before.asking {
            unanswered.get_or_insert(now);
        }
        before = seen;
        let is_silent =
            unanswered.is_some_and(|since| now.saturating_duration_since(since) >= SILENT);
        silent.send_if_modified(|was| std::mem::replace(was, is_silent) != is_silent);
    }
    silent.send_replace(true);
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

    /// Whether any stream has carried something since.
    fn is_used_since(&self, link: &Connection) -> bool {
        Self::of(link).streams != self.streams
    }
}
