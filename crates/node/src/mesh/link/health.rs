//! Whether a link that carries requests has gone silent.

use std::time::{Duration, Instant};

use quinn::Connection;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock::SharedClock;

/// Time between looks at a link.
const LOOK: Duration = Duration::from_millis(100);

/// Time after data was sent without any packet back, from which a link counts as silent. Every packet with data is
/// acknowledged within tens of milliseconds, and lost ones are repeated several times within this.
const SILENT: Duration = Duration::from_millis(350);

/// Counts of one link.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    /// Frames sent that the other end must acknowledge. Packets that only acknowledge bring nothing back: counted too, they
    /// make every link look silent that has just received an answer.
    asking: u64,
    /// Packets received.
    received: u64,
}

/// Watches a link for as long as it lives, and tells whether it is silent.
///
/// A machine that loses power sends nothing. The library gives a connection up after its idle time, which must be long
/// enough for a node that pauses; until then every request sent there would be lost, and those below would hold the slots
/// of all services above. In a day with one such machine 535 requests ran out of time within four seconds.
pub async fn watch_link(link: Connection, clock: SharedClock, silent: watch::Sender<bool>) {
    let mut before = Seen::of(&link);
    let mut unanswered: Option<Instant> = None;
    while link.close_reason().is_none() {
        sleep(LOOK).await;
        let now = clock.now();
        let seen = Seen::of(&link);
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
        }
    }
}
