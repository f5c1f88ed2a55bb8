//! Rate limit of a mesh node's request log, and the behaviour of the node while its log output is blocked.

mod support;

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime};

use coltsfootport::clock::Clock;
use coltsfootport::log::{LogLevel, start_json};
use coltsfootport::mesh::MeshMetrics;
use coltsfootport::mesh::journal::{Journal, RequestSummary};
use serde_json::Value;

use support::{channel_writer, read_json_lines};

/// Clock that advances only when told to.
struct ManualClock(Mutex<Instant>);

impl ManualClock {
    fn advance(&self, by: Duration) {
        *self.0.lock().expect("no panic") += by;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        *self.0.lock().expect("no panic")
    }

    fn system_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Log output that blocks every write until it is released.
#[derive(Clone, Default)]
struct BlockedWriter(Arc<(Mutex<bool>, Condvar)>);

impl BlockedWriter {
    fn release(&self) {
        *self.0.0.lock().expect("no panic") = true;
        self.0.1.notify_all();
    }
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut released = self.0.0.lock().expect("no panic");
        while !*released {
            released = self.0.1.wait(released).expect("no panic");
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn summary(status: u16, refusal: &'static str) -> RequestSummary<'static> {
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

fn journal<W>(
    out: W,
) -> (
    Journal,
    Arc<ManualClock>,
    MeshMetrics,
    slog_async::AsyncGuard,
)
where
    W: Write + Send + 'static,
{
    let (log, guard) = start_json(out, LogLevel::Info, &"n".into(), &"s".into());
    let clock = Arc::new(ManualClock(Mutex::new(Instant::now())));
    let metrics = MeshMetrics::new().expect("names differ");
    let journal = Journal::new(log, clock.clone(), metrics.clone());
    (journal, clock, metrics, guard)
}

fn dropped_lines(metrics: &MeshMetrics) -> u64 {
    metrics.lines_dropped.get()
}

/// Guards against unlimited logging of refusals: with a line for each of thousands per second, a node spent more time
/// on its log than on requests.
#[test]
fn lines_above_the_rate_are_counted_and_told() {
    let (out, rx) = channel_writer();
    let (journal, clock, metrics, guard) = journal(out);
    for _ in 0..1000 {
        journal.request_answered(summary(503, "shed"));
    }
    let dropped = dropped_lines(&metrics);
    assert!((800..1000).contains(&dropped), "{dropped} dropped");
    // Successes and failures have separate rate limits, and neither may use up that of the other.
    journal.request_answered(summary(200, ""));
    assert_eq!(dropped_lines(&metrics), dropped);
    clock.advance(Duration::from_secs(1));
    journal.request_answered(summary(504, "expired"));
    drop((journal, guard));
    let lines = read_json_lines(rx);
    assert_eq!(lines.len() as u64, 1000 - dropped + 2);
    let last = lines.last().expect("a line");
    assert_eq!(last["dropped"], dropped);
    let expected = [
        ("request", Value::from("4f2a")),
        ("instance", "i-1".into()),
        ("status", 504.into()),
        ("refusal", "expired".into()),
        ("attempts", 2.into()),
        ("took_ms", 70.into()),
        ("limit_ms", 600.into()),
        ("config", 7.into()),
    ];
    for (field, value) in expected {
        assert_eq!(last[field], value, "{field}");
    }
}

/// Guards against logging that blocks: while the pipe behind standard output was full, the tasks that serve requests
/// waited for it.
#[test]
fn a_log_that_nobody_reads_blocks_no_request() {
    let out = BlockedWriter::default();
    let (journal, clock, metrics, guard) = journal(out.clone());
    // More lines pass the rate limit than the log queue holds.
    for _ in 0..200 {
        clock.advance(Duration::from_secs(1));
        for _ in 0..60 {
            journal.request_answered(summary(503, "shed"));
        }
    }
    // Dropping the guard waits for the writer, so the output must be released before any assertion can fail.
    out.release();
    drop((journal, guard));
    let dropped = dropped_lines(&metrics);
    assert!(dropped > 200 * 15, "{dropped} dropped");
}
