//! The volume of a mesh node's lines about requests, and what a log that nobody reads does to the node.

mod support;

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime};

use coltsfootport::clock::Clock;
use coltsfootport::log::{LogLevel, start_json};
use coltsfootport::mesh::MeshMetrics;
use coltsfootport::mesh::journal::{Journal, RequestSummary};
use serde_json::Value;

use support::{lines_of, sink};

/// A clock that stands still until it is moved.
struct HandClock(Mutex<Instant>);

impl HandClock {
    fn advance(&self, by: Duration) {
        *self.0.lock().expect("no panic") += by;
    }
}

impl Clock for HandClock {
    fn now(&self) -> Instant {
        *self.0.lock().expect("no panic")
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A reader that takes nothing until it is let go.
#[derive(Clone, Default)]
struct Stalled(Arc<(Mutex<bool>, Condvar)>);

impl Stalled {
    fn let_go(&self) {
        *self.0.0.lock().expect("no panic") = true;
        self.0.1.notify_all();
    }
}

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut free = self.0.0.lock().expect("no panic");
        while !*free {
            free = self.0.1.wait(free).expect("no panic");
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn ending(status: u16, refusal: &'static str) -> RequestSummary<'static> {
    RequestSummary {
        fingerprint: None,
        id: "4f2a",
        route: "lots",
        service: "catalog",
        instance: "i-1",
        status,
        refusal,
        attempts: 2,
        elapsed: Duration::from_millis(70),
        limit: Duration::from_millis(600),
        config: 7,
        inner: false,
    }
}

fn journal<W>(out: W) -> (Journal, Arc<HandClock>, MeshMetrics, slog_async::AsyncGuard)
where
    W: Write + Send + 'static,
{
    let (log, guard) = start_json(out, LogLevel::Info, &"n".into(), &"s".into());
    let clock = Arc::new(HandClock(Mutex::new(Instant::now())));
    let metrics = MeshMetrics::new().expect("names differ");
    let journal = Journal::new(log, clock.clone(), metrics.clone());
    (journal, clock, metrics, guard)
}

fn dropped(metrics: &MeshMetrics) -> u64 {
    metrics.lines_dropped.get()
}

/// A line for each of thousands of refusals a second: a node spent more on them than on requests.
#[test]
fn lines_above_the_rate_are_counted_and_told() {
    let (out, rx) = sink();
    let (journal, clock, metrics, guard) = journal(out);
    for _ in 0..1000 {
        journal.request_answered(ending(503, "shed"));
    }
    let left_out = dropped(&metrics);
    assert!((800..1000).contains(&left_out), "{left_out} left out");
    // Successes have a rate of their own: refusals must not use it up, nor the other way round.
    journal.request_answered(ending(200, ""));
    assert_eq!(dropped(&metrics), left_out);
    clock.advance(Duration::from_secs(1));
    journal.request_answered(ending(504, "expired"));
    drop((journal, guard));
    let lines = lines_of(rx);
    assert_eq!(lines.len() as u64, 1000 - left_out + 2);
    let last = lines.last().expect("a line");
    assert_eq!(last["dropped"], left_out);
    let told = [
        ("request", Value::from("4f2a")),
        ("instance", "i-1".into()),
        ("status", 504.into()),
        ("refusal", "expired".into()),
        ("attempts", 2.into()),
        ("took_ms", 70.into()),
        ("limit_ms", 600.into()),
        ("config", 7.into()),
    ];
    for (field, value) in told {
        assert_eq!(last[field], value, "{field}");
    }
}

/// A full pipe behind standard output: tasks that serve requests waited for room in it.
#[test]
fn a_log_that_nobody_reads_blocks_no_request() {
    let out = Stalled::default();
    let (journal, clock, metrics, guard) = journal(out.clone());
    // More than the queue of lines holds, at the rate at which they may come.
    for _ in 0..200 {
        clock.advance(Duration::from_secs(1));
        for _ in 0..60 {
            journal.request_answered(ending(503, "shed"));
        }
    }
    // The guard waits for the writer, so the reader must be let go before anything is checked.
    out.let_go();
    drop((journal, guard));
    let left_out = dropped(&metrics);
    assert!(left_out > 200 * 15, "{left_out} left out");
}
