//! Tests of `explain` with recorded logs of several nodes.

use std::process::{Command, Output, Stdio};

fn explain(request: &str, files: &[&str]) -> Output {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/explain/");
    Command::new(env!("CARGO_BIN_EXE_coltsfootport"))
        .args(["explain", "--request", request])
        .args(files.iter().map(|file| format!("{dir}{file}")))
        .stdin(Stdio::null())
        .output()
        .expect("run")
}

#[test]
fn log_lines_of_a_request_are_merged_in_time_order() {
    let output = explain("9c41", &["entry.log", "host.log"]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines,
        [
            r#"2026-01-01T10:00:02.500000Z n-2 9c41.0 answered refusal="expired" service="b" status=504"#,
            r#"2026-01-01T10:00:03.000700Z n-2 9c41 target failed detail="reset" instance="i-2" reason="lost" service="b""#,
            r#"2026-01-01T10:00:03.001200Z n-1 9c41 attempt failed goes_on=true instance="i-2" reason="lost" service="a""#,
            r#"2026-01-01T10:00:03.009000Z n-1 9c41 answered attempts=2 instance="i-3" refusal="lost" service="a" status=502 to_service="b""#,
            r#"final answer: 2026-01-01T10:00:03.009000Z n-1 9c41 answered attempts=2 instance="i-3" refusal="lost" service="a" status=502 to_service="b""#,
        ]
    );
}

#[test]
fn request_without_log_lines_is_reported() {
    let output = explain("ffff", &["entry.log"]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(
        text.starts_with("no log line mentions this request"),
        "{text}"
    );
}

#[test]
fn missing_file_is_an_error() {
    let output = explain("ffff", &["missing.log"]);
    assert!(!output.status.success());
}
