//! Timer with sub-millisecond precision.
//!
//! tokio's timer has a resolution of one millisecond, which is as long as the latencies and service times that the
//! simulated targets have to keep. Here a dedicated thread waits for the next deadline with the finer timer of the
//! operating system and wakes the sleeping task.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::LazyLock;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

/// Final part of a sleep that the timer thread handles. tokio's timer covers longer waits up to it, so that the thread
/// holds few sleeps at once.
const FINE_WAIT: Duration = Duration::from_millis(4);

static TIMER_THREAD: LazyLock<Sender<Sleeper>> = LazyLock::new(start);

/// Sleeping task, ordered by its due time.
struct Sleeper {
    due: Instant,
    wake: oneshot::Sender<()>,
}

/// Sleeps for a duration.
pub async fn sleep(time: Duration) {
    sleep_until(Instant::now() + time).await;
}

/// Sleeps until an instant.
pub async fn sleep_until(due: Instant) {
    if time_left(due) > 2 * FINE_WAIT {
        tokio::time::sleep_until((due - FINE_WAIT).into()).await;
    }
    if time_left(due).is_zero() {
        return;
    }
    let (wake, woken) = oneshot::channel();
    if TIMER_THREAD.send(Sleeper { due, wake }).is_err() || woken.await.is_err() {
        // The timer thread could not be started. tokio's coarser timer still preserves the order of events.
        tokio::time::sleep_until(due.into()).await;
    }
}

fn time_left(due: Instant) -> Duration {
    due.saturating_duration_since(Instant::now())
}

fn start() -> Sender<Sleeper> {
    let (tx, rx) = channel();
    // If the thread cannot be started, `rx` is dropped and every sleep falls back to tokio's timer.
    let _ = thread::Builder::new()
        .name("timer".into())
        .spawn(move || run(&rx));
    tx
}

fn run(rx: &Receiver<Sleeper>) {
    let mut sleepers: BinaryHeap<Reverse<Sleeper>> = BinaryHeap::new();
    loop {
        let next = match sleepers.peek() {
            Some(Reverse(first)) => rx.recv_timeout(time_left(first.due)),
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
            // Sending fails if the sleep was cancelled.
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
