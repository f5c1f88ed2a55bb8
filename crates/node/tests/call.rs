//! Tests of `call`: reported outcomes and retry decisions.

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use coltsfootport::commands::call::{Answer, AttemptResult, Credential, NextStep, RetryPolicy};
use coltsfootport::exit::Exit;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::outcome::Outcome::{self, NotRun, Ran, Unknown};
use http::Response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const TIME_LEFT: Duration = Duration::from_secs(60);

fn answered(status: u16, headers: &[(&str, &str)]) -> AttemptResult {
    let mut answer = Response::builder().status(status);
    for (name, value) in headers {
        answer = answer.header(*name, *value);
    }
    AttemptResult::Answered(Answer::from(answer.body("body".into()).unwrap()))
}

fn answered_with_outcome(outcome: &str, headers: &[(&str, &str)]) -> AttemptResult {
    let headers = [&[("coltsfootport-outcome", outcome)], headers].concat();
    answered(503, &headers)
}

#[test]
fn answer_headers_are_parsed() {
    let AttemptResult::Answered(answer) = answered(
        503,
        &[
            ("coltsfootport-outcome", "not-run"),
            ("coltsfootport-error", "shed"),
            ("coltsfootport-request", "ff"),
            ("coltsfootport-token", "t2"),
            ("retry-after", "2"),
            ("coltsfootport-retry-after-ms", "1500"),
        ],
    ) else {
        panic!("an answer")
    };
    assert_eq!(
        (answer.outcome, answer.error),
        (Some(NotRun), Some(ErrorKind::Shed))
    );
    assert_eq!(
        (answer.request.as_deref(), answer.fresh_token.as_deref()),
        (Some("ff"), Some("t2"))
    );
    assert_eq!(answer.retry_after, Some(Duration::from_millis(1500)));
    let AttemptResult::Answered(plain) = answered(
        503,
        &[("retry-after", "2"), ("coltsfootport-outcome", "maybe")],
    ) else {
        panic!("an answer")
    };
    assert_eq!(
        (plain.outcome, plain.retry_after),
        (None, Some(Duration::from_secs(2)))
    );
}

/// Returns the attempt result for a label used in the table below.
fn attempt_result(label: &str) -> AttemptResult {
    let after = [("coltsfootport-retry-after-ms", "700")];
    let fresh = [("coltsfootport-token", "t2")];
    let expired = [("coltsfootport-error", "token-expired"), fresh[0]];
    match label {
        "ran" => answered_with_outcome("ran", &after),
        "refused" => answered_with_outcome("not-run", &[]),
        "shed" => answered_with_outcome("not-run", &after),
        "later" => answered_with_outcome("not-run", &[("retry-after", "60")]),
        "renewed" => answered_with_outcome("not-run", &fresh),
        "unknown" => answered_with_outcome("unknown", &after),
        "unknown-renewed" => answered_with_outcome("unknown", &fresh),
        "expired" => answered_with_outcome("unknown", &expired),
        "no-outcome" => answered(200, &[]),
        "lost" => AttemptResult::Lost,
        "not-sent" => AttemptResult::NotSent,
        _ => panic!("unknown label {label}"),
    }
}

// Guards against a bid placed twice, or reported as `not-run` although it was placed. This happens if `call` retries a
// request that may have run, or takes the last answer as the outcome of all attempts.
#[test]
fn call_is_retried_only_if_safe_and_allowed_by_the_answer() {
    const SAFE: bool = true;
    struct Case {
        safe: bool,
        /// First try number of the token; 0 if there is no token.
        try_number: u32,
        attempts: &'static str,
        /// Delay in milliseconds before each retry.
        delays_ms: &'static [u64],
        outcome: Outcome,
        /// Token and its last try number.
        last_credential: &'static str,
    }
    let (none, t1) = (0, 1);
    let case = |safe, try_number, attempts, delays_ms, outcome, last_credential| Case {
        safe,
        try_number,
        attempts,
        delays_ms,
        outcome,
        last_credential,
    };
    let cases = [
        case(!SAFE, none, "ran", &[], Ran, ""),
        case(!SAFE, none, "refused", &[], NotRun, ""),
        case(SAFE, t1, "no-outcome", &[], Unknown, "t1 1"),
        case(!SAFE, none, "shed shed ran", &[700, 700], Ran, ""),
        case(!SAFE, none, "not-sent not-sent ran", &[100, 200], Ran, ""),
        case(!SAFE, none, "lost", &[], Unknown, ""),
        case(!SAFE, none, "unknown", &[], Unknown, ""),
        case(SAFE, none, "unknown ran", &[700], Ran, ""),
        case(SAFE, none, "lost refused", &[100], Unknown, ""),
        case(!SAFE, t1, "lost refused", &[100], NotRun, "t1 2"),
        case(
            !SAFE,
            t1,
            "lost not-sent not-sent not-sent",
            &[100, 200, 400],
            Unknown,
            "t1 4",
        ),
        case(!SAFE, 3, "not-sent refused", &[100], NotRun, "t1 4"),
        case(
            !SAFE,
            3,
            "not-sent not-sent not-sent not-sent",
            &[100, 200, 400],
            Unknown,
            "t1 6",
        ),
        case(!SAFE, t1, "renewed ran", &[0], Ran, "t2 1"),
        case(!SAFE, t1, "unknown-renewed ran", &[100], Ran, "t1 2"),
        case(!SAFE, t1, "expired", &[], Unknown, "t1 1"),
        case(
            SAFE,
            none,
            "lost renewed refused",
            &[100, 0],
            Unknown,
            "t2 1",
        ),
        case(
            !SAFE,
            none,
            "shed shed shed shed",
            &[700, 700, 700],
            NotRun,
            "",
        ),
        case(!SAFE, none, "later", &[], NotRun, ""),
    ];
    for Case {
        safe,
        try_number,
        attempts,
        delays_ms,
        outcome,
        last_credential,
    } in cases
    {
        let name = format!("{attempts}, safe: {safe}, try: {try_number}");
        let credential = (try_number > 0).then(|| Credential {
            token: "t1".into(),
            try_number,
        });
        let mut policy = RetryPolicy::new(3, safe, credential);
        let steps: Vec<_> = attempts
            .split(' ')
            .map(|label| policy.next_step(&attempt_result(label), TIME_LEFT, 0.0))
            .collect();
        let retries = delays_ms
            .iter()
            .map(|ms| NextStep::Retry(Duration::from_millis(*ms)));
        let expected: Vec<_> = retries.chain([NextStep::Stop(outcome)]).collect();
        assert_eq!(steps, expected, "{name}");
        let format_credential = |last_credential: &Credential| {
            format!("{} {}", last_credential.token, last_credential.try_number)
        };
        assert_eq!(
            policy
                .credential()
                .map(format_credential)
                .unwrap_or_default(),
            last_credential,
            "{name}"
        );
    }
}

/// Starts a server that sends each connection the next raw answer and reports the head of its request.
async fn start_scripted_server(answers: Vec<String>) -> (SocketAddr, mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (tx, rx) = mpsc::channel(answers.len().max(1));
    tokio::spawn(async move {
        for answer in answers {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await.unwrap());
            }
            tx.send(String::from_utf8(head).unwrap()).await.unwrap();
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    (addr, rx)
}

fn raw_answer(status: u16, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} -\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

#[tokio::test]
async fn exit_code_and_output_report_the_outcome() {
    struct Case<'a> {
        options: &'a str,
        answers: Vec<&'a str>,
        exit: Exit,
        stdout: &'a str,
        /// Expected end of standard error.
        stderr: &'a str,
        /// Expected part of each request head.
        head_parts: &'a [&'a str],
    }
    let ran = "coltsfootport-outcome: ran\r\ncoltsfootport-request: ab\r\n";
    let shed = "coltsfootport-outcome: not-run\r\ncoltsfootport-error: shed\r\n\
                coltsfootport-retry-after-ms: 1\r\n";
    let shed = raw_answer(503, shed, "");
    let tokens = raw_answer(200, "", "{\"tokens\":[\"t9\"]}");
    let cut = format!("HTTP/1.1 200 -\r\n{ran}content-length: 10\r\n\r\nhalf");
    let (lots, no_lot, bid) = (
        raw_answer(200, ran, "lots"),
        raw_answer(404, ran, "no lot"),
        raw_answer(200, ran, "bid"),
    );
    let cases = [
        Case {
            options: "--header x-a:b",
            answers: vec![&lots],
            exit: Exit::Ok,
            stdout: "lots",
            stderr: "outcome=ran attempts=1 status=200 request=ab\n",
            head_parts: &["x-a: b\r\n"],
        },
        Case {
            options: "--method DELETE",
            answers: vec![&no_lot],
            exit: Exit::RanWithError,
            stdout: "no lot",
            stderr: "outcome=ran attempts=1 status=404 request=ab\n",
            head_parts: &["DELETE /bidding/lots?page=2 HTTP/1.1\r\n"],
        },
        Case {
            options: "--data bid",
            answers: vec![&shed],
            exit: Exit::NotRun,
            stdout: "",
            stderr: "outcome=not-run attempts=1 status=503 error=shed retry-after-ms=1\n",
            head_parts: &["coltsfootport-deadline-ms: "],
        },
        Case {
            options: "--method POST --retries 5",
            answers: vec![&cut],
            exit: Exit::Unknown,
            stdout: "",
            stderr: "outcome=unknown attempts=1\n",
            head_parts: &["POST "],
        },
        Case {
            options: "--method POST --token auto --retries 2",
            answers: vec![&tokens, &cut, &shed, &bid],
            exit: Exit::Ok,
            stdout: "bid",
            stderr: "outcome=ran attempts=3 status=200 request=ab token=t9 try=3\n",
            head_parts: &[
                "POST /coltsfootport/tokens?service=bidding&count=1 HTTP/1.1\r\n",
                "coltsfootport-token: t9\r\ncoltsfootport-try: 1\r\n",
                "coltsfootport-token: t9\r\ncoltsfootport-try: 2\r\n",
                "coltsfootport-token: t9\r\ncoltsfootport-try: 3\r\n",
            ],
        },
        Case {
            options: "--method POST --token auto --retries 2",
            answers: vec![&shed],
            exit: Exit::NotRun,
            stdout: "",
            stderr: "outcome=not-run attempts=0 status=503 error=shed retry-after-ms=1\n",
            head_parts: &["POST /coltsfootport/tokens"],
        },
    ];
    for Case {
        options,
        answers,
        exit,
        stdout,
        stderr,
        head_parts,
    } in cases
    {
        let (addr, mut rx) =
            start_scripted_server(answers.into_iter().map(str::to_owned).collect()).await;
        let mut command = Command::new(env!("CARGO_BIN_EXE_coltsfootport"));
        command.arg("call").args(options.split_whitespace());
        command.arg(format!("http://{addr}/bidding/lots?page=2"));
        let run = tokio::task::spawn_blocking(move || command.output().unwrap());
        let output = run.await.unwrap();
        let stderr_text = String::from_utf8(output.stderr).unwrap();
        assert_eq!(
            output.status.code(),
            Some(exit.code().into()),
            "{options}: {stderr_text}"
        );
        assert_eq!(
            String::from_utf8(output.stdout).unwrap(),
            stdout,
            "{options}"
        );
        assert!(stderr_text.ends_with(stderr), "{options}: {stderr_text}");
        let mut heads = Vec::new();
        while let Ok(head) = rx.try_recv() {
            heads.push(head);
        }
        assert_eq!(heads.len(), head_parts.len(), "{options}: {heads:?}");
        for (head, part) in heads.iter().zip(head_parts) {
            assert!(head.contains(part), "{options}: {head} lacks {part}");
        }
    }
}
