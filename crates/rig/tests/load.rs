//! Tests of the load generator against simulated targets and a scripted node.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use coltsfootport_rig::http::{Answer, Client, Server, json, text};
use coltsfootport_rig::load::{
    self, Arrivals, Behaviour, Ending, EndingCounts, LoadPlan, Operation, Stage,
};
use coltsfootport_rig::process::{free_port, loopback};
use coltsfootport_rig::target::{Echo, Settings};
use http::{HeaderValue, Request, StatusCode};
use hyper::body::Incoming;
use serde_json::json;

use crate::common::{counts, listener, target};

const NONE: EndingCounts = EndingCounts {
    whole: 0,
    wrong: 0,
    not_run: 0,
    unknown: 0,
    failed: 0,
    broken: 0,
    timeout: 0,
    no_token: 0,
    skipped: 0,
};

/// Returns a plan of 40 calls in 0.2 s.
fn plan(entry: std::net::SocketAddr, operation: &str) -> LoadPlan {
    LoadPlan {
        entries: vec![entry],
        stages: vec![
            Stage {
                rate: 100.0,
                seconds: 0.105,
            },
            Stage {
                rate: 300.0,
                seconds: 0.101,
            },
        ],
        operations: vec![operation.parse().expect("an operation")],
        arrivals: Arrivals::Even,
        timeout_ms: 20_000,
        record_keys: true,
        ..LoadPlan::default()
    }
}

/// Number of calls of [`plan`].
const CALLS: u64 = 40;

/// Guards against a report that counts broken answers, or answers of other calls, as successful. The target answers,
/// fails, truncates its answers, hangs or does not exist; clients use `HardRetry` or `Once`.
#[tokio::test]
async fn endings_are_told_apart() {
    struct Case {
        settings: Settings,
        edit: fn(&mut LoadPlan),
        endings: EndingCounts,
        sent: u64,
    }
    let fine = Settings {
        service_ms: 1.0,
        answer_bytes: 2_000,
        ..Settings::default()
    };
    let fails = Settings {
        fail_ratio: 1.0,
        ..fine.clone()
    };
    let cuts = Settings {
        truncate_bytes: Some(500),
        ..fine.clone()
    };
    let hangs = Settings {
        hang: true,
        ..fine.clone()
    };
    let hard: fn(&mut LoadPlan) = |plan| plan.behaviour = Behaviour::HardRetry { tries: 3 };
    let once: fn(&mut LoadPlan) = |_| {};
    let cases = [
        Case {
            settings: fine.clone(),
            edit: hard,
            endings: EndingCounts { whole: 40, ..NONE },
            sent: 40,
        },
        Case {
            settings: fails,
            edit: hard,
            endings: EndingCounts { failed: 40, ..NONE },
            sent: 120,
        },
        Case {
            settings: cuts,
            edit: once,
            endings: EndingCounts { broken: 40, ..NONE },
            sent: 40,
        },
        Case {
            settings: hangs.clone(),
            edit: |plan| plan.timeout_ms = 30,
            endings: EndingCounts {
                timeout: 40,
                ..NONE
            },
            sent: 40,
        },
        Case {
            settings: hangs,
            edit: |plan| (plan.max_in_flight, plan.timeout_ms) = (4, 3_000),
            endings: EndingCounts {
                timeout: 4,
                skipped: 36,
                ..NONE
            },
            sent: 4,
        },
        Case {
            settings: fine.clone(),
            edit: |plan| plan.entries = vec![loopback(free_port().expect("a port"))],
            endings: EndingCounts { broken: 40, ..NONE },
            sent: 40,
        },
        Case {
            settings: fine,
            edit: |plan| plan.operations[0].non_idempotent = true,
            endings: EndingCounts {
                no_token: 40,
                ..NONE
            },
            sent: 0,
        },
    ];
    for (number, case) in cases.into_iter().enumerate() {
        let target = target(case.settings, None).await;
        let mut plan = plan(target.addr(), "POST /svc/x?y class=bids body=300");
        (case.edit)(&mut plan);
        let report = load::run(plan).await.expect("a report");
        assert_eq!(report.endings, case.endings, "case {number}");
        assert_eq!(
            (report.calls, report.sent),
            (CALLS, case.sent),
            "case {number}"
        );
        let class = report.class("bids").expect("the class");
        assert_eq!(
            (class.calls, class.sent, class.endings),
            (CALLS, case.sent, case.endings)
        );
        assert_eq!(class.goodput.iter().sum::<u64>(), case.endings.whole);
        assert_eq!(class.latency.max_ms > 0.0, case.endings.whole > 0);
        assert_eq!(
            report
                .by_second
                .iter()
                .map(|second| second.calls)
                .sum::<u64>(),
            CALLS
        );
        let ended = report
            .by_second
            .iter()
            .map(|second| second.endings.calls())
            .sum::<u64>();
        assert_eq!(ended, CALLS, "case {number}");
    }
}

#[tokio::test]
async fn operations_are_mixed_by_weight_and_seed() {
    let client = Client::default();
    let mut keys = Vec::new();
    for _ in 0..2 {
        let target = target(
            Settings {
                service_ms: 0.0,
                ..Settings::default()
            },
            None,
        )
        .await;
        let mut plan = plan(target.addr(), "GET /svc/a class=a weight=3");
        plan.operations
            .push("PUT /svc/b class=b".parse().expect("an operation"));
        plan.operations
            .push("GET /svc/c class=c weight=0".parse().expect("an operation"));
        plan.stages.push(Stage {
            rate: 2_000.0,
            seconds: 0.2,
        });
        let report = load::run(plan).await.expect("a report");
        let calls: Vec<_> = report.classes.iter().map(|class| class.calls).collect();
        assert_eq!(calls[2], 0);
        assert!(calls[0] > 2 * calls[1] && calls[1] > 0, "{calls:?}");
        assert_eq!(report.endings.whole, report.calls);
        let counts = counts(&client, &target).await;
        assert_eq!(
            (counts.finished, counts.max_runs_per_key()),
            (report.calls, 1)
        );
        keys.push(calls);
    }
    assert_eq!(keys[0], keys[1]);
}

/// Starts a server that stands in for a node and answers with the given function.
async fn scripted<A>(answer: A) -> Server
where
    A: Fn(&Request<Incoming>) -> Answer + Clone + Send + Sync + 'static,
{
    let handler = move |req: Request<Incoming>| std::future::ready(answer(&req).into());
    Server::start(listener().await, handler).expect("a server")
}

fn header(req: &Request<Incoming>, name: &str) -> String {
    let value = req
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn echo(req: &Request<Incoming>) -> Echo {
    Echo {
        key: header(req, "x-rig-key").into(),
        path: req.uri().to_string(),
        ..Echo::default()
    }
}

fn with(mut answer: Answer, headers: &[(&'static str, &str)]) -> Answer {
    for (name, value) in headers {
        let value = HeaderValue::from_str(value).expect("a plain value");
        answer.headers_mut().insert(*name, value);
    }
    answer
}

/// Guards against retries of a non-idempotent call with an invalid token or a wrong attempt number, so that the call is
/// never executed or executed twice. The node refuses the first token and returns a replacement, sheds the first attempt
/// with it and executes the second. Only `Polite` and `HardRetry` clients get that far.
#[tokio::test]
async fn tries_are_numbered_under_their_token() {
    let node = |req: &Request<Incoming>| -> Answer {
        let refused = text(StatusCode::SERVICE_UNAVAILABLE, "");
        let later = ("coltsfootport-retry-after-ms", "1");
        let not_run = ("coltsfootport-outcome", "not-run");
        if req.uri().path() == "/coltsfootport/tokens" {
            assert!(
                req.uri()
                    .query()
                    .is_some_and(|query| query.starts_with("service=svc&count="))
            );
            let tokens: Vec<_> = (0..64).map(|n| format!("old-{n}")).collect();
            return json(StatusCode::OK, &json!({ "tokens": tokens }));
        }
        assert_eq!(header(req, "coltsfootport-deadline-ms"), "700");
        let token = header(req, "coltsfootport-token");
        match (
            token.split('-').next(),
            header(req, "coltsfootport-try").as_str(),
        ) {
            (Some("old"), "1") => {
                with(refused, &[not_run, later, ("coltsfootport-token", "new-1")])
            }
            (Some("new"), "1") => with(refused, &[not_run, later]),
            (Some("new"), "2") => with(
                json(StatusCode::OK, &echo(req)),
                &[("coltsfootport-outcome", "ran")],
            ),
            _ => text(StatusCode::INTERNAL_SERVER_ERROR, "a wrong token or number"),
        }
    };
    struct Case {
        behaviour: Behaviour,
        ending: Ending,
        tries: u32,
    }
    let cases = [
        Case {
            behaviour: Behaviour::Once,
            ending: Ending::NotRun,
            tries: 1,
        },
        Case {
            behaviour: Behaviour::Polite { tries: 2 },
            ending: Ending::NotRun,
            tries: 2,
        },
        Case {
            behaviour: Behaviour::Polite { tries: 5 },
            ending: Ending::Whole,
            tries: 3,
        },
        Case {
            behaviour: Behaviour::HardRetry { tries: 5 },
            ending: Ending::Whole,
            tries: 3,
        },
    ];
    let node = scripted(node).await;
    for case in cases {
        let mut plan = plan(node.addr(), "POST /svc/bid class=bids non-idempotent");
        (plan.behaviour, plan.deadline_ms) = (case.behaviour, Some(700));
        let report = load::run(plan).await.expect("a report");
        assert_eq!(report.keys.len() as u64, CALLS);
        for key in &report.keys {
            assert_eq!(
                (key.ending, key.sent),
                (case.ending, case.tries),
                "{:?}",
                case.behaviour
            );
        }
    }
}

/// Guards against accepting the answer to another call, or a truncated answer, as complete: answers mixed up or cut inside
/// the system. The node answers with success, but with a changed key, path, body checksum, padding length or nested key.
#[tokio::test]
async fn wrong_answers_are_caught_and_not_retried() {
    let edits: [fn(&mut Echo); 5] = [
        |echo| echo.key = "load-0".into(),
        |echo| echo.path = "/other".into(),
        |echo| echo.body_crc32 = 1,
        |echo| echo.padding_bytes = 1,
        |echo| {
            let nested = Echo {
                key: "load-0.0".into(),
                ..Echo::default()
            };
            echo.downstream = vec![Default::default()];
            echo.downstream[0].echo = Some(nested);
        },
    ];
    for (number, edit) in edits.into_iter().enumerate() {
        let sent = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&sent);
        let node = scripted(move |req| {
            counter.fetch_add(1, Ordering::Relaxed);
            let mut echo = echo(req);
            edit(&mut echo);
            json(StatusCode::OK, &echo)
        })
        .await;
        let mut plan = plan(node.addr(), "GET /svc/x class=c");
        plan.behaviour = Behaviour::HardRetry { tries: 4 };
        let report = load::run(plan).await.expect("a report");
        assert_eq!(
            report.endings,
            EndingCounts {
                wrong: CALLS,
                ..NONE
            },
            "edit {number}"
        );
        assert_eq!(sent.load(Ordering::Relaxed), CALLS);
    }
}

#[test]
fn plans_and_operations_are_checked() {
    let entry = loopback(1);
    let edits: [fn(&mut LoadPlan); 4] = [
        |plan| plan.entries.clear(),
        |plan| plan.operations.clear(),
        |plan| plan.operations[0].weight = 0,
        |plan| plan.stages[0].rate = f64::NAN,
    ];
    assert!(plan(entry, "GET /svc/x").check().is_ok());
    for edit in edits {
        let mut plan = plan(entry, "GET /svc/x");
        edit(&mut plan);
        assert!(plan.check().is_err(), "{plan:?}");
    }
    for text in [
        "GET",
        "GET x",
        "GET /x weight=z",
        "GET /x idempotent",
        "G?T /x",
    ] {
        assert!(text.parse::<Operation>().is_err(), "{text}");
    }
}
