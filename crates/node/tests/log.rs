//! The form of log lines.

use std::io::{self, Write};
use std::sync::mpsc::{Sender, channel};

use coltsfootport::log::{LogFormat, LogLevel, of_request, start_json};
use coltsfootport_core::id::RequestId;
use serde_json::Value;
use slog::{debug, error, info, warn};

/// Sends what is written to the test.
struct Out(Sender<Vec<u8>>);

impl Write for Out {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.send(bytes.to_vec()).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn lines(level: LogLevel) -> Vec<Value> {
    let (tx, rx) = channel();
    let (log, guard) = start_json(Out(tx), level, &"bidding-1".into(), &"bidding".into());
    error!(log, "one"; "invariant" => "dispatched-twice");
    warn!(log, "two");
    info!(of_request(&log, RequestId(255)), "three\n");
    debug!(log, "four");
    drop(log);
    drop(guard);
    let text = rx.into_iter().flatten().collect::<Vec<_>>();
    let lines = text
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty());
    lines
        .map(|line| serde_json::from_slice(line).unwrap())
        .collect()
}

#[test]
fn lines_carry_node_service_and_request() {
    let lines = lines(LogLevel::Info);
    for line in &lines {
        assert_eq!(
            (&line["node"], &line["service"]),
            (&"bidding-1".into(), &"bidding".into())
        );
        assert!(line["ts"].is_string());
    }
    assert_eq!(lines[0]["level"], "ERRO");
    assert_eq!(lines[0]["msg"], "one");
    assert_eq!(lines[0]["invariant"], "dispatched-twice");
    assert_eq!(lines[2]["msg"], "three\n");
    assert_eq!(lines[2]["request"], "000000000000000000000000000000ff");
}

#[test]
fn lines_below_the_level_are_left_out() {
    let cases = [
        ("\"error\"", LogLevel::Error, 1),
        ("\"warning\"", LogLevel::Warning, 2),
        ("\"info\"", LogLevel::Info, 3),
        ("\"debug\"", LogLevel::Debug, 4),
    ];
    for (text, level, expected) in cases {
        assert_eq!(serde_json::from_str::<LogLevel>(text).unwrap(), level);
        assert_eq!(lines(level).len(), expected, "{text}");
    }
    assert_eq!(
        serde_json::from_str::<LogFormat>("\"terminal\"").unwrap(),
        LogFormat::Terminal
    );
}
