//! Sleeps that end within a fraction of a millisecond of their time.
//!
//! tokio's timer counts in whole milliseconds, which is as long as the latencies and service times that the stand-ins
//! have to keep. Here one thread waits for the next due time by the system's finer timer and wakes the sleeping task.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::LazyLock;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

/// tokio's timer is used up to this long before the due time, so that the thread holds few sleeps at once.
const FINE: Duration = Duration::from_millis(4);

static THREAD: LazyLock<Sender<Sleeper>> = LazyLock::new(start);

/// A task that sleeps.
struct Sleeper {
    due: Instant,
    wake: oneshot::Sender<()>,
}

/// Sleeps for a time.
pub async fn sleep(time: Duration) {
    sleep_until(Instant::now() + time).await;
}

/// Sleeps until a time.
pub async fn sleep_until(due: Instant) {
    if left(due) > 2 * FINE {
        tokio::time::sleep_until((due - FINE).into()).await;
    }
    if left(due).is_zero() {
        return;
    }
    let (wake, woken) = oneshot::channel();
    if THREAD.send(Sleeper { due, wake }).is_err() || woken.await.is_err() {
        // The thread could not be started; the coarse timer still keeps the order of things.
        tokio::time::sleep_until(due.into()).await;
    }
}

fn left(due: Instant) -> Duration {
    due.saturating_duration_since(Instant::now())
}

fn start() -> Sender<Sleeper> {
    let (tx, rx) = channel();
    // Without the thread `rx` is dropped, and each sleep falls back on tokio's timer.
    let _ = thread::Builder::new()
        .name("timer".into())
        .spawn(move || run(&rx));
    tx
}

fn run(rx: &Receiver<Sleeper>) {
    let mut sleepers: BinaryHeap<Reverse<Sleeper>> = BinaryHeap::new();
    loop {
        let next = match sleepers.peek() {
            Some(Reverse(first)) => rx.recv_timeout(left(first.due)),
            None => rx.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        match next {
            Ok(sleeper) => sleepers.push(Reverse(sleeper)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let now = Instant::now();
        while sleepers
            .peek()
            .is_some_and(|Reverse(first)| first.due <= now)
        {
            // A task that no longer sleeps was cancelled.
            let _ = sleepers.pop().map(|Reverse(first)| first.wake.send(()));
        }
    }
}

impl Ord for Sleeper {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.due.cmp(&other.due)
    }
}

impl PartialOrd for Sleeper {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Sleeper {
    fn eq(&self, other: &Self) -> bool {
        self.due == other.due
    }
}

impl Eq for Sleeper {}
