//! Tests of command line parsing and exit codes.

use std::collections::BTreeSet;
use std::process::{Command as Process, Output, Stdio};

use bpaf::{Args, ParseFailure};
use coltsfootport::cli::parse_from;
use coltsfootport::exit::Exit;

fn split_args(line: &str) -> Vec<&str> {
    line.split_whitespace().collect()
}

fn run(line: &str) -> Output {
    let mut process = Process::new(env!("CARGO_BIN_EXE_coltsfootport"));
    process
        .args(split_args(line))
        .stdin(Stdio::null())
        .output()
        .unwrap()
}

#[test]
fn commands_are_parsed_with_defaults() {
    let cases = [
        (
            "node --settings -",
            r#"Node(NodeOptions { settings: "-" })"#,
        ),
        (
            "check document a.json",
            r#"Check(CheckOptions { subject: Document, file: "a.json" })"#,
        ),
        (
            "check settings -",
            r#"Check(CheckOptions { subject: Settings, file: "-" })"#,
        ),
        (
            "check mesh a.jsonc",
            r#"Check(CheckOptions { subject: Mesh, file: "a.jsonc" })"#,
        ),
        (
            "mesh --settings a.jsonc",
            r#"Mesh(MeshOptions { settings: "a.jsonc" })"#,
        ),
        (
            "explain --request 9c41.2 a.log b.log",
            r#"Explain(ExplainOptions { request: "9c41.2", files: ["a.log", "b.log"] })"#,
        ),
        (
            "status --operators 127.0.0.1:1 --operators=127.0.0.1:2 --all --json",
            "Status(StatusOptions { operators: [127.0.0.1:1, 127.0.0.1:2], all: true, json: true })",
        ),
        (
            "timeline --operators 127.0.0.1:1",
            "Timeline(TimelineOptions { operators: [127.0.0.1:1], all: false, request: None, \
             kind: [], limit: 1000, follow: false, json: false })",
        ),
        (
            "timeline --operators 127.0.0.1:1 --all --request 000000000000000000000000000000ff \
             --kind shed --kind lost --limit 5 --follow --json",
            "Timeline(TimelineOptions { operators: [127.0.0.1:1], all: true, \
             request: Some(RequestId(255)), kind: [Shed, Lost], limit: 5, follow: true, json: true })",
        ),
        ("keys fleet", "Keys(Fleet { id: 1 })"),
        ("keys fleet --id 9", "Keys(Fleet { id: 9 })"),
        ("keys ca", "Keys(Ca)"),
        (
            "keys node --name bidding-1 --ip 10.0.0.1 --ip ::1",
            r#"Keys(Node(NodeKeyOptions { name: "bidding-1", ip: [10.0.0.1, ::1], ca: "-" }))"#,
        ),
        (
            "call http://127.0.0.1:1/bidding/lots",
            r#"Call(CallOptions { method: "GET", token: None, first_try: 1, deadline_ms: 10000, retries: 0, header: [], data: None, url: "http://127.0.0.1:1/bidding/lots" })"#,
        ),
        (
            "call --method POST --token auto --deadline-ms 250 --retries 3 --header a:b \
             --header c:d --data bid http://127.0.0.1:1/bidding",
            r#"Call(CallOptions { method: "POST", token: Some(Auto), first_try: 1, deadline_ms: 250, retries: 3, header: ["a:b", "c:d"], data: Some("bid"), url: "http://127.0.0.1:1/bidding" })"#,
        ),
        (
            "call --token t1 --try 4 http://127.0.0.1:1/bidding",
            r#"Call(CallOptions { method: "GET", token: Some(Given("t1")), first_try: 4, deadline_ms: 10000, retries: 0, header: [], data: None, url: "http://127.0.0.1:1/bidding" })"#,
        ),
    ];
    for (line, expected) in cases {
        let args = split_args(line);
        let command = parse_from(Args::from(args.as_slice())).unwrap();
        assert_eq!(format!("{command:?}"), expected, "{line}");
    }
}

#[test]
fn invalid_command_lines_are_rejected() {
    let cases = [
        "",
        "serve",
        "node",
        "check",
        "check document",
        "check certificate a.json",
        "status",
        "status --operators localhost:1",
        "status --operators 127.0.0.1",
        "timeline --request 000000000000000000000000000000ff",
        "timeline --operators 127.0.0.1:1 --request ff",
        "timeline --operators 127.0.0.1:1 --kind shedding",
        "keys",
        "keys fleet --id 256",
        "keys node --name a",
        "keys node --ip 10.0.0.1",
        "call",
        "call --retries -1 http://127.0.0.1:1/bidding/lots",
        "call http://127.0.0.1:1/a http://127.0.0.1:1/b",
    ];
    for line in cases {
        let args = split_args(line);
        let failure = parse_from(Args::from(args.as_slice())).unwrap_err();
        assert!(matches!(failure, ParseFailure::Stderr(_)), "{line}");
    }
}

#[test]
fn help_lists_the_options_of_each_command() {
    let cases: [(&str, &[&str]); 8] = [
        (
            "--help",
            &[
                "node",
                "check",
                "status",
                "timeline",
                "keys",
                "call",
                "Exit codes",
            ],
        ),
        ("node --help", &["--settings"]),
        ("check --help", &["document", "settings", "FILE"]),
        ("status --help", &["--operators", "--all", "--json"]),
        (
            "timeline --help",
            &["--request", "--kind", "--limit", "--follow", "--json"],
        ),
        ("keys --help", &["fleet", "ca", "node"]),
        ("keys node --help", &["--name", "--ip", "--ca"]),
        (
            "call --help",
            &[
                "--method",
                "--token",
                "--try",
                "--deadline-ms",
                "--retries",
                "--data",
            ],
        ),
    ];
    for (line, expected) in cases {
        let output = run(line);
        let help = String::from_utf8(output.stdout).unwrap();
        assert_eq!(output.status.code(), Some(0), "{line}");
        for word in expected {
            assert!(
                help.contains(word),
                "help of `{line}` does not contain `{word}`"
            );
        }
    }
}

#[test]
fn exit_codes_are_distinct_and_listed_in_help() {
    let help = String::from_utf8(run("--help").stdout).unwrap();
    let codes: BTreeSet<_> = Exit::ALL.into_iter().map(Exit::code).collect();
    assert_eq!(codes.len(), Exit::ALL.len());
    for exit in Exit::ALL {
        let line = format!("{}  {}", exit.code(), exit.description());
        assert!(help.contains(&line), "`--help` does not contain `{line}`");
    }
}

#[test]
fn commands_return_their_exit_codes() {
    // Connections to port 1 on the loopback interface are refused.
    let cases = [
        ("--version", Exit::Ok),
        ("keys fleet", Exit::Ok),
        ("", Exit::Usage),
        ("status", Exit::Usage),
        ("status --operators 127.0.0.1:1", Exit::Unreachable),
        ("timeline --operators 127.0.0.1:1", Exit::Unreachable),
        ("timeline --operators 127.0.0.1:1 --all", Exit::Unreachable),
        ("call http://127.0.0.1:1/bidding/lots", Exit::NotRun),
        (
            "call --token auto http://127.0.0.1:1/bidding/lots",
            Exit::NotRun,
        ),
        (
            "call --token t1 --try 2 http://127.0.0.1:1/bidding/lots",
            Exit::Unknown,
        ),
        ("call https://127.0.0.1:1/bidding/lots", Exit::Usage),
        ("call http://localhost:1/bidding/lots", Exit::Usage),
        ("call http://127.0.0.1:1/", Exit::Usage),
        ("call --method G@T http://127.0.0.1:1/bidding", Exit::Usage),
        (
            "call --header no-colon http://127.0.0.1:1/bidding",
            Exit::Usage,
        ),
        (
            "call --data @/no/such/file http://127.0.0.1:1/bidding",
            Exit::Usage,
        ),
        (
            "keys node --name a --ip 127.0.0.1 --ca /no/such/file",
            Exit::Failed,
        ),
        ("keys node --name a --ip 127.0.0.1", Exit::Failed),
    ];
    for (line, exit) in cases {
        let code = run(line).status.code();
        assert_eq!(code, Some(exit.code().into()), "{line}");
    }
}
