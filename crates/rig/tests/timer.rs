//! Tests of the sub-millisecond timer.

use std::time::{Duration, Instant};

use coltsfootport_rig::timer;
use tokio::task::JoinSet;

#[tokio::test]
async fn sleeps_end_and_never_early() {
    let start = Instant::now();
    let mut sleeps = JoinSet::new();
    let times_us = [40_000, 0, 300, 9_000, 20, 15_000, 3_000, 25_000];
    for us in times_us {
        let due = start + Duration::from_micros(us);
        sleeps.spawn(async move {
            timer::sleep_until(due).await;
            assert!(Instant::now() >= due, "{us} us");
        });
    }
    // A cancelled sleep does not affect the others.
    let mut cancelled = JoinSet::new();
    cancelled.spawn(timer::sleep(Duration::from_millis(2)));
    drop(cancelled);
    assert_eq!(sleeps.join_all().await.len(), times_us.len());
}
