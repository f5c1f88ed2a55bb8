//! `call`: what it says about a request, and when it sends again.

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use coltsfootport::commands::call::{Answer, AttemptEnd, Credential, Next, Policy};
use coltsfootport::exit::Exit;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::outcome::Outcome::{NotRun, Ran, Unknown};
use http::Response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const LEFT: Duration = Duration::from_secs(60);

fn answered(status: u16, headers: &[(&str, &str)]) -> AttemptEnd {
    let mut answer = Response::builder().status(status);
    for (name, value) in headers {
        answer = answer.header(*name, *value);
    }
    AttemptEnd::Answered(Answer::from(answer.body("whole".into()).unwrap()))
}

fn said(outcome: &str, headers: &[(&str, &str)]) -> AttemptEnd {
    let headers = [&[("coltsfootport-outcome", outcome)], headers].concat();
    answered(503, &headers)
}

fn token(sending: u32) -> Option<Credential> {
    Some(Credential {
        token: "t1".into(),
        sending,
    })
}

#[test]
fn headers_of_an_answer_are_read() {
    let AttemptEnd::Answered(answer) = answered(
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
    let AttemptEnd::Answered(plain) = answered(
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

// Symptom: a bid stands twice, or a broker is told `not run` of a bid that stands.
// Sequence: attempts are lost, refused or answered, with a token or without, and `call` may send again.
// Cause: sending again what may have run, or taking the last answer for the whole call.
#[test]
fn a_call_is_sent_again_only_where_that_is_safe_and_welcome() {
    struct Case {
        name: &'static str,
        safe: bool,
        credential: Option<Credential>,
        ends: Vec<AttemptEnd>,
        /// Milliseconds before each further attempt.
        pauses: &'static [u64],
        outcome: coltsfootport_core::outcome::Outcome,
        /// Token and number of the last sending.
        last: Option<(&'static str, u32)>,
    }
    let after = [("coltsfootport-retry-after-ms", "700")];
    let fresh = [("coltsfootport-token", "t2")];
    let expired = [
        ("coltsfootport-error", "token-expired"),
        ("coltsfootport-token", "t2"),
    ];
    let lost = AttemptEnd::Lost;
    let not_sent = AttemptEnd::NotSent;
    let ran = said("ran", &[]);
    let case = |name, safe, credential, ends, pauses, outcome, last| Case {
        name,
        safe,
        credential,
        ends,
        pauses,
        outcome,
        last,
    };
    let cases = [
        case("ran", false, None, vec![ran.clone()], &[], Ran, None),
        case(
            "ran with a time",
            false,
            None,
            vec![said("ran", &after)],
            &[],
            Ran,
            None,
        ),
        case(
            "refused for good",
            false,
            None,
            vec![said("not-run", &[])],
            &[],
            NotRun,
            None,
        ),
        case(
            "no outcome",
            true,
            token(1),
            vec![answered(200, &[])],
            &[],
            Unknown,
            Some(("t1", 1)),
        ),
        case(
            "shed, then ran",
            false,
            None,
            vec![
                said("not-run", &after),
                said("not-run", &after),
                ran.clone(),
            ],
            &[700, 700],
            Ran,
            None,
        ),
        case(
            "not connected, then ran",
            false,
            None,
            vec![not_sent.clone(), not_sent.clone(), ran.clone()],
            &[100, 200],
            Ran,
            None,
        ),
        case(
            "lost, unsafe, no token",
            false,
            None,
            vec![lost.clone()],
            &[],
            Unknown,
            None,
        ),
        case(
            "unknown, unsafe, no token",
            false,
            None,
            vec![said("unknown", &after)],
            &[],
            Unknown,
            None,
        ),
        case(
            "lost, safe, then refused",
            true,
            None,
            vec![lost.clone(), said("not-run", &[])],
            &[100],
            Unknown,
            None,
        ),
        case(
            "lost, token, then refused",
            false,
            token(1),
            vec![lost.clone(), said("not-run", &[])],
            &[100],
            NotRun,
            Some(("t1", 2)),
        ),
        case(
            "lost, token, then not connected for good",
            false,
            token(1),
            vec![
                lost.clone(),
                not_sent.clone(),
                not_sent.clone(),
                not_sent.clone(),
            ],
            &[100, 200, 400],
            Unknown,
            Some(("t1", 4)),
        ),
        case(
            "sent before by others, not connected",
            false,
            token(3),
            vec![not_sent.clone(), said("not-run", &[])],
            &[100],
            NotRun,
            Some(("t1", 4)),
        ),
        case(
            "token refused, fresh one",
            false,
            token(1),
            vec![said("not-run", &fresh), ran.clone()],
            &[0],
            Ran,
            Some(("t2", 1)),
        ),
        case(
            "fresh token with unknown is left",
            false,
            token(1),
            vec![said("unknown", &fresh), ran.clone()],
            &[100],
            Ran,
            Some(("t1", 2)),
        ),
        case(
            "token expired",
            false,
            token(1),
            vec![said("unknown", &expired)],
            &[],
            Unknown,
            Some(("t1", 1)),
        ),
        case(
            "safe, lost without a token, then refused with one",
            true,
            None,
            vec![lost.clone(), said("not-run", &fresh), said("not-run", &[])],
            &[100, 0],
            Unknown,
            Some(("t2", 1)),
        ),
        case(
            "out of tries",
            false,
            None,
            vec![
                said("not-run", &after),
                said("not-run", &after),
                said("not-run", &after),
                said("not-run", &after),
            ],
            &[700, 700, 700],
            NotRun,
            None,
        ),
        case(
            "asked to come after the deadline",
            false,
            None,
            vec![said("not-run", &[("retry-after", "60")])],
            &[],
            NotRun,
            None,
        ),
    ];
    for case in cases {
        let mut policy = Policy::new(3, case.safe, case.credential);
        let mut pauses = Vec::new();
        let mut outcome = None;
        for end in &case.ends {
            assert_eq!(outcome, None, "{}", case.name);
            match policy.after(end, LEFT, 0.0) {
                Next::Again(pause) => pauses.push(u64::try_from(pause.as_millis()).unwrap()),
                Next::Stop(known) => outcome = Some(known),
            }
        }
        assert_eq!(outcome, Some(case.outcome), "{}", case.name);
        assert_eq!(pauses, case.pauses, "{}", case.name);
        let last = policy
            .credential()
            .map(|last| (last.token.as_str(), last.sending));
        assert_eq!(last, case.last, "{}", case.name);
    }
}

/// Gives each connection the next raw answer and reports the head of its request.
async fn scripted(answers: Vec<String>) -> (SocketAddr, mpsc::Receiver<String>) {
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

fn raw(status: u16, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} -\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

#[tokio::test]
async fn the_exit_code_and_the_output_tell_the_outcome() {
    struct Case {
        name: &'static str,
        options: &'static str,
        answers: Vec<String>,
        exit: Exit,
        stdout: &'static str,
        stderr: &'static str,
        /// A part of each request's head.
        heads: &'static [&'static str],
    }
    let ran = "coltsfootport-outcome: ran\r\ncoltsfootport-request: ab\r\n";
    let shed = "coltsfootport-outcome: not-run\r\ncoltsfootport-error: shed\r\n\
                coltsfootport-retry-after-ms: 1\r\n";
    let tokens = raw(200, "", "{\"tokens\":[\"t9\"]}");
    let cut = format!("HTTP/1.1 200 -\r\n{ran}content-length: 10\r\n\r\nhalf");
    let cases = [
        Case {
            name: "ran",
            options: "--header x-a:b",
            answers: vec![raw(200, ran, "lots")],
            exit: Exit::Ok,
            stdout: "lots",
            stderr: "outcome=ran attempts=1 status=200 request=ab\n",
            heads: &["x-a: b\r\n"],
        },
        Case {
            name: "ran into an error of the target",
            options: "--method DELETE",
            answers: vec![raw(404, ran, "no lot")],
            exit: Exit::RanWithError,
            stdout: "no lot",
            stderr: "status=404",
            heads: &["DELETE /bidding/lots?page=2 HTTP/1.1\r\n"],
        },
        Case {
            name: "shed",
            options: "",
            answers: vec![raw(503, shed, "")],
            exit: Exit::NotRun,
            stdout: "",
            stderr: "outcome=not-run attempts=1 status=503 error=shed retry-after-ms=1\n",
            heads: &["coltsfootport-deadline-ms: "],
        },
        Case {
            name: "cut short",
            options: "--method POST --retries 5",
            answers: vec![cut.clone()],
            exit: Exit::Unknown,
            stdout: "",
            stderr: "outcome=unknown attempts=1\n",
            heads: &["POST "],
        },
        Case {
            name: "token, cut short, shed, ran",
            options: "--method POST --token auto --retries 2",
            answers: vec![tokens, cut, raw(503, shed, ""), raw(200, ran, "bid")],
            exit: Exit::Ok,
            stdout: "bid",
            stderr: "outcome=ran attempts=3 status=200 request=ab token=t9 try=3\n",
            heads: &[
                "POST /coltsfootport/tokens?service=bidding&count=1 HTTP/1.1\r\n",
                "coltsfootport-token: t9\r\ncoltsfootport-try: 1\r\n",
                "coltsfootport-token: t9\r\ncoltsfootport-try: 2\r\n",
                "coltsfootport-token: t9\r\ncoltsfootport-try: 3\r\n",
            ],
        },
        Case {
            name: "no token",
            options: "--method POST --token auto --retries 2",
            answers: vec![raw(503, shed, "")],
            exit: Exit::NotRun,
            stdout: "",
            stderr: "outcome=not-run attempts=0 status=503 error=shed",
            heads: &["POST /coltsfootport/tokens"],
        },
    ];
    for case in cases {
        let (addr, mut rx) = scripted(case.answers).await;
        let mut command = Command::new(env!("CARGO_BIN_EXE_coltsfootport"));
        command.arg("call").args(case.options.split_whitespace());
        command.arg(format!("http://{addr}/bidding/lots?page=2"));
        let run = tokio::task::spawn_blocking(move || command.output().unwrap());
        let output = run.await.unwrap();
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert_eq!(
            output.status.code(),
            Some(case.exit.code().into()),
            "{}: {stderr}",
            case.name
        );
        assert_eq!(
            String::from_utf8(output.stdout).unwrap(),
            case.stdout,
            "{}",
            case.name
        );
        assert!(stderr.contains(case.stderr), "{}: {stderr}", case.name);
        let mut heads = Vec::new();
        while let Ok(head) = rx.try_recv() {
            heads.push(head);
        }
        assert_eq!(heads.len(), case.heads.len(), "{}: {heads:?}", case.name);
        for (head, part) in heads.iter().zip(case.heads) {
            assert!(head.contains(part), "{}: {head} lacks {part}", case.name);
        }
    }
}
