//! Tests of the format of log lines and of the log levels.

mod support;

use coltsfootport::log::{LogFormat, LogLevel, start_json, with_request_id};
use coltsfootport_core::id::RequestId;
use serde_json::Value;
use slog::{debug, error, info, warn};

use support::{channel_writer, read_json_lines};

/// Logs one line at each level and returns those that were written.
fn log_lines(level: LogLevel) -> Vec<Value> {
    let (out, rx) = channel_writer();
    let (log, guard) = start_json(out, level, &"bidding-1".into(), &"bidding".into());
    error!(log, "one"; "invariant" => "dispatched-twice");
    warn!(log, "two");
    info!(with_request_id(&log, RequestId(255)), "three\n");
    debug!(log, "four");
    drop(log);
    drop(guard);
    read_json_lines(rx)
}

#[test]
fn lines_carry_node_service_and_request() {
    let lines = log_lines(LogLevel::Info);
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
        assert_eq!(log_lines(level).len(), expected, "{text}");
    }
    assert_eq!(
        serde_json::from_str::<LogFormat>("\"terminal\"").unwrap(),
        LogFormat::Terminal
    );
}
