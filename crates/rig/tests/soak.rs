//! Soak test: plan generation, the checks, and short runs with real processes.

use std::time::{Duration, Instant};

use coltsfootport_rig::soak::{
    self, CHANGING_WORKSPACE, Evidence, Fault, Key, LASTING_WORKSPACE, LONG_BODY, NamedLimit,
    RequestKind, RequestRecord, SoakPlan, Span, StopAt, find_breaches,
};
use coltsfootport_stand_ins::{
    Answer, Arrival, LEAVING_HEADER, RequestOutcome, key_header, long_text, workspace_header,
};

/// Seeds that once failed, each with the cause.
///
/// 1: a node that was told to stop right after its start was killed by the signal, because it
/// installed its signal handlers last.
const SEEDS: [u64; 1] = [1];

/// Duration of each run in seconds.
const SECONDS: u64 = 6;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_promise_is_broken() {
    for seed in SEEDS {
        let plan = SoakPlan::of_seed(seed, SECONDS, 6);
        let report = soak::run(&plan).await.expect("a run");
        assert!(report.breaches.is_empty(), "{report:#?}\n{plan:#?}");
        assert!(report.served > 100, "{report:#?}");
    }
}

#[test]
fn a_seed_has_one_plan() {
    let plan = SoakPlan::of_seed(7, 20, 6);
    assert_eq!(plan, SoakPlan::of_seed(7, 20, 6));
    assert_ne!(plan.faults, SoakPlan::of_seed(8, 20, 6).faults);
    assert!(plan.faults.len() >= 15, "{}", plan.faults.len());
    let in_order = plan
        .faults
        .windows(2)
        .all(|two| two[0].at_ms < two[1].at_ms);
    assert!(in_order);
}

/// Guards against two limits of one target, the first of which ends the second while the checks still count it.
#[test]
fn a_target_names_one_limit_in_a_run() {
    for seed in 0..1000 {
        let plan = SoakPlan::of_seed(seed, 10, 6);
        let limited = plan
            .faults
            .iter()
            .filter_map(|scheduled| match scheduled.fault {
                Fault::Limit { machine, .. } => Some(machine),
                _ => None,
            });
        let mut limited: Vec<usize> = limited.collect();
        let count = limited.len();
        limited.sort_unstable();
        limited.dedup();
        assert_eq!(limited.len(), count, "seed {seed}");
    }
}

/// Guards against a plan in which other faults always excuse what the checks of long bodies and of a target with a lower
/// start time find.
#[test]
fn a_plan_ends_with_a_calm_time() {
    for seed in 0..100 {
        let plan = SoakPlan::of_seed(seed, 10, 6);
        let calm = plan.faults.iter().filter(|one| one.at_ms >= 10_000);
        let calm: Vec<&Fault> = calm.map(|one| &one.fault).collect();
        assert!(
            matches!(
                calm[..],
                [
                    Fault::RestartEarlier { .. },
                    Fault::StopInBodies {
                        at: StopAt::Entry,
                        ..
                    },
                    Fault::StopInBodies {
                        at: StopAt::Host,
                        ..
                    },
                ]
            ),
            "seed {seed}: {calm:?}"
        );
    }
}

/// Builder for the evidence of a run; times are in milliseconds from its start.
struct EvidenceBuilder {
    start: Instant,
    /// Key sent with the requests.
    key: Key,
    /// Additional headers of requests that arrive at a target.
    headers: String,
    evidence: Evidence,
}

impl EvidenceBuilder {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            key: Key::Lasting,
            headers: workspace_header(LASTING_WORKSPACE),
            evidence: Evidence {
                arrivals: vec![Vec::new(), Vec::new()],
                ..Default::default()
            },
        }
    }

    fn with_key(self, key: Key) -> Self {
        Self { key, ..self }
    }

    fn with_headers(self, headers: String) -> Self {
        Self { headers, ..self }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    /// Adds a request to machine 0. The first lasts from 1,000 to 1,100, and each later one starts
    /// 200 after the one before.
    fn asked(mut self, kind: RequestKind, asked: RequestOutcome) -> Self {
        let number = self.evidence.records.len() as u64;
        self.evidence.records.push(RequestRecord {
            id: String::from("r"),
            kind,
            key: self.key,
            machine: 0,
            sent: self.at(1000 + number * 200),
            ended: self.at(1100 + number * 200),
            asked,
        });
        self
    }

    /// The request arrives at a machine's target and runs.
    fn arrived(self, machine: usize, ms: u64) -> Self {
        self.at_target(machine, ms, true)
    }

    /// The request arrives at a machine's target, which refuses to run it.
    fn refused(self, machine: usize, ms: u64) -> Self {
        self.at_target(machine, ms, false)
    }

    fn at_target(mut self, machine: usize, ms: u64, ran: bool) -> Self {
        let mut arrival = Arrival::new("r", self.at(ms), ran);
        arrival.head.push_str(&self.headers);
        self.evidence.arrivals[machine].push(arrival);
        self
    }

    /// An upload arrives at the target of machine 1 with this body and runs.
    fn uploaded(self, body: String) -> Self {
        let mut seen = self.arrived(1, 1050);
        if let Some(arrival) = seen.evidence.arrivals[1].last_mut() {
            arrival.body = body;
        }
        seen
    }

    fn span(&self, machine: Option<usize>, from: u64, to: u64) -> Span {
        Span {
            machine,
            from: self.at(from),
            to: self.at(to),
        }
    }
}

fn answer(status: u16, body: &str) -> RequestOutcome {
    RequestOutcome::Answered(Answer {
        status,
        head: String::new(),
        body: body.to_owned(),
        whole: true,
    })
}

/// Target 1 names a limit of 5 a second from the start on and gets 36 requests from `ms` on, where 35 are allowed.
fn limited(ms: u64) -> EvidenceBuilder {
    let mut seen = EvidenceBuilder::new();
    for n in 0..36 {
        let id = format!("limited-{n}");
        let mut arrival = Arrival::new(&id, seen.at(ms + n * 20), true);
        arrival.head.push_str(&seen.headers);
        seen.evidence.arrivals[1].push(arrival);
        seen.evidence.records.push(RequestRecord {
            asked: answer(200, &format!("answer to {id}")),
            id,
            kind: RequestKind::Read,
            key: seen.key,
            machine: 0,
            sent: seen.at(ms + n * 20),
            ended: seen.at(ms + n * 20),
        });
    }
    seen.evidence.limits.push(NamedLimit {
        machine: 1,
        per_second: 5.0,
        from: seen.at(0),
        to: seen.at(9000),
    });
    seen
}

/// Target 1 is leaving. Machine 0 passes that on at 1,100; its request of `sent` reaches the target.
fn leaving(sent: u64) -> EvidenceBuilder {
    let mut seen = EvidenceBuilder::new();
    for (id, sent, head) in [
        ("first", 1000, format!("HTTP/1.1 200 X\r\n{LEAVING_HEADER}")),
        ("next", sent, String::new()),
    ] {
        let mut arrival = Arrival::new(id, seen.at(sent + 50), true);
        arrival.head.push_str(&seen.headers);
        seen.evidence.arrivals[1].push(arrival);
        seen.evidence.records.push(RequestRecord {
            id: String::from(id),
            kind: RequestKind::Read,
            key: seen.key,
            machine: 0,
            sent: seen.at(sent),
            ended: seen.at(sent + 100),
            asked: RequestOutcome::Answered(Answer {
                status: 200,
                head,
                body: format!("answer to {id}"),
                whole: true,
            }),
        });
    }
    seen.evidence.leaving = Some(1);
    seen
}

/// A download is cut while machine 1 stops, from `from` on.
fn cut_download(from: u64) -> EvidenceBuilder {
    let cut = RequestOutcome::Answered(Answer {
        status: 200,
        head: String::new(),
        body: String::from("r"),
        whole: false,
    });
    let mut seen = EvidenceBuilder::new()
        .asked(RequestKind::Download, cut)
        .arrived(1, 1050);
    seen.evidence
        .stops
        .push(seen.span(Some(1), from, from + 6400));
    seen
}

fn upload(finished: bool) -> EvidenceBuilder {
    EvidenceBuilder::new().asked(RequestKind::Upload { finished }, answer(200, "answer to r"))
}

#[test]
fn each_broken_promise_is_found() {
    struct Case {
        name: &'static str,
        seen: fn() -> EvidenceBuilder,
        breaches: usize,
    }
    let cases = [
        Case {
            name: "more requests than a limit allows",
            seen: || limited(4000),
            breaches: 1,
        },
        Case {
            name: "as many requests before a limit binds",
            seen: || limited(500),
            breaches: 0,
        },
        Case {
            name: "a leaving target receives a request",
            seen: || leaving(4000),
            breaches: 1,
        },
        Case {
            name: "a leaving target receives a request within the time allowed",
            seen: || leaving(3000),
            breaches: 0,
        },
        Case {
            name: "a leaving target receives a request from a node that has started again",
            seen: || {
                let mut seen = leaving(4000);
                seen.evidence.outages.push(seen.span(Some(0), 2000, 2500));
                seen
            },
            breaches: 0,
        },
        Case {
            name: "an upload runs",
            seen: || upload(true).uploaded(long_text("r", LONG_BODY)),
            breaches: 0,
        },
        Case {
            name: "the first part of an upload runs",
            seen: || upload(true).uploaded(long_text("r", LONG_BODY - 1)),
            breaches: 1,
        },
        Case {
            name: "an upload runs with the bytes of another one",
            seen: || upload(true).uploaded(long_text("s", LONG_BODY)),
            breaches: 1,
        },
        Case {
            name: "an upload runs that its caller did not finish",
            seen: || upload(false).uploaded(long_text("r", LONG_BODY)),
            breaches: 1,
        },
        Case {
            name: "an upload runs twice",
            seen: || {
                let seen = upload(true).uploaded(long_text("r", LONG_BODY));
                seen.uploaded(long_text("r", LONG_BODY))
            },
            breaches: 1,
        },
        Case {
            name: "a response is cut by a planned stop",
            seen: || cut_download(500),
            breaches: 1,
        },
        Case {
            name: "a response is cut before a planned stop",
            seen: || cut_download(1200),
            breaches: 0,
        },
        Case {
            name: "a response is cut by a planned stop and a link that fails",
            seen: || {
                let mut seen = cut_download(500);
                let fault = seen.span(None, 1000, 1050);
                seen.evidence.impairments.push(fault);
                seen
            },
            breaches: 0,
        },
        Case {
            name: "a download is whole",
            seen: || {
                let body = long_text("r", LONG_BODY);
                let seen = EvidenceBuilder::new().asked(RequestKind::Download, answer(200, &body));
                seen.arrived(1, 1050)
            },
            breaches: 0,
        },
        Case {
            name: "served once",
            seen: || {
                EvidenceBuilder::new()
                    .asked(RequestKind::Bid, answer(200, "answer to r"))
                    .arrived(0, 1050)
            },
            breaches: 0,
        },
        Case {
            name: "non-idempotent request ran twice",
            seen: || {
                let seen =
                    EvidenceBuilder::new().asked(RequestKind::Bid, answer(200, "answer to r"));
                seen.arrived(0, 1020).arrived(1, 1050)
            },
            breaches: 1,
        },
        Case {
            name: "refused by one target and run by the next",
            seen: || {
                let seen =
                    EvidenceBuilder::new().asked(RequestKind::Bid, answer(200, "answer to r"));
                seen.refused(0, 1020).arrived(1, 1050)
            },
            breaches: 0,
        },
        Case {
            name: "idempotent request repeated",
            seen: || {
                let seen =
                    EvidenceBuilder::new().asked(RequestKind::Read, answer(200, "answer to r"));
                seen.arrived(0, 1020).arrived(1, 1050)
            },
            breaches: 0,
        },
        Case {
            name: "too many attempts",
            seen: || {
                let seen =
                    EvidenceBuilder::new().asked(RequestKind::Read, answer(200, "answer to r"));
                seen.arrived(0, 1020).arrived(1, 1030).arrived(0, 1050)
            },
            breaches: 1,
        },
        Case {
            name: "answered as not run but ran",
            seen: || {
                EvidenceBuilder::new()
                    .asked(RequestKind::Bid, answer(503, ""))
                    .arrived(0, 1050)
            },
            breaches: 1,
        },
        Case {
            name: "refused and did not run",
            seen: || EvidenceBuilder::new().asked(RequestKind::Bid, answer(503, "")),
            breaches: 0,
        },
        Case {
            name: "answer to another request",
            seen: || EvidenceBuilder::new().asked(RequestKind::Read, answer(200, "answer to s")),
            breaches: 1,
        },
        Case {
            name: "ran for another workspace",
            seen: || {
                let seen =
                    EvidenceBuilder::new().with_headers(workspace_header(CHANGING_WORKSPACE));
                seen.asked(RequestKind::Read, answer(200, "answer to r"))
                    .arrived(0, 1050)
            },
            breaches: 1,
        },
        Case {
            name: "key passed on to a target",
            seen: || {
                let headers = workspace_header(LASTING_WORKSPACE) + &key_header("key-lasting");
                let seen = EvidenceBuilder::new().with_headers(headers);
                seen.asked(RequestKind::Read, answer(200, "answer to r"))
                    .arrived(0, 1050)
            },
            breaches: 1,
        },
        Case {
            name: "ran with an unknown key",
            seen: || {
                let seen = EvidenceBuilder::new()
                    .with_key(Key::Unknown)
                    .with_headers(String::new());
                seen.asked(RequestKind::Read, answer(200, "answer to r"))
                    .arrived(0, 1050)
            },
            breaches: 1,
        },
        Case {
            name: "unknown key refused",
            seen: || {
                let seen = EvidenceBuilder::new().with_key(Key::Unknown);
                seen.asked(RequestKind::Read, answer(401, ""))
            },
            breaches: 0,
        },
        Case {
            name: "valid key refused as unknown",
            seen: || EvidenceBuilder::new().asked(RequestKind::Read, answer(401, "")),
            breaches: 1,
        },
        Case {
            name: "no final answer",
            seen: || EvidenceBuilder::new().asked(RequestKind::Read, RequestOutcome::Nothing),
            breaches: 1,
        },
        Case {
            name: "no final answer from a suspended node",
            seen: || {
                let mut seen =
                    EvidenceBuilder::new().asked(RequestKind::Read, RequestOutcome::Nothing);
                seen.evidence.outages.push(seen.span(Some(0), 900, 1050));
                seen
            },
            breaches: 0,
        },
        Case {
            name: "aborted by a graceful stop",
            seen: || {
                let mut seen = EvidenceBuilder::new()
                    .asked(RequestKind::Bid, RequestOutcome::Closed)
                    .arrived(1, 1050);
                seen.evidence.stops.push(seen.span(Some(0), 500, 4000));
                seen
            },
            breaches: 1,
        },
        Case {
            name: "connection closed by a graceful stop before the request arrived",
            seen: || {
                let mut seen =
                    EvidenceBuilder::new().asked(RequestKind::Bid, RequestOutcome::Closed);
                seen.evidence.stops.push(seen.span(Some(0), 500, 4000));
                seen
            },
            breaches: 0,
        },
        Case {
            name: "configuration version regressed",
            seen: || {
                let seen = EvidenceBuilder::new()
                    .asked(RequestKind::Version(3), answer(200, "answer to r"));
                seen.asked(RequestKind::Version(2), answer(404, ""))
            },
            breaches: 1,
        },
        Case {
            name: "configuration version not in force yet",
            seen: || {
                let seen = EvidenceBuilder::new()
                    .asked(RequestKind::Version(2), answer(200, "answer to r"));
                seen.asked(RequestKind::Version(3), answer(404, ""))
            },
            breaches: 0,
        },
        Case {
            name: "draining target receives a new request",
            seen: || {
                let mut seen = EvidenceBuilder::new().arrived(1, 7000);
                seen.evidence.drains.push(seen.span(Some(1), 4000, 9000));
                seen
            },
            breaches: 1,
        },
        Case {
            name: "draining target receives a request during a store outage",
            seen: || {
                let mut seen = EvidenceBuilder::new().arrived(1, 7000);
                seen.evidence.drains.push(seen.span(Some(1), 4000, 9000));
                seen.evidence.impairments.push(seen.span(None, 4500, 5000));
                seen
            },
            breaches: 0,
        },
    ];
    for case in cases {
        let found = find_breaches(&(case.seen)().evidence);
        assert_eq!(found.len(), case.breaches, "{}: {found:?}", case.name);
    }
}
