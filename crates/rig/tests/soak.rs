//! The soak: its plans, its checks, and a short run of real processes.

use std::time::{Duration, Instant};

use coltsfootport_rig::soak::{
    self, CHANGING, Evidence, Key, Kind, LASTING, Record, SoakPlan, Span, breaches_of,
};
use coltsfootport_stand_ins::{Answer, Arrival, RequestOutcome, key_header, workspace_header};

/// Seeds that have broken something, each with its cause; they are played again here.
///
/// 1: a node that was asked to stop right after its start was ended by the signal, since it took its signals over last.
const SEEDS: [u64; 1] = [1];

/// Length of the runs here, in seconds.
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
    assert_ne!(plan.strikes, SoakPlan::of_seed(8, 20, 6).strikes);
    assert!(plan.strikes.len() >= 15, "{}", plan.strikes.len());
    let in_order = plan
        .strikes
        .windows(2)
        .all(|two| two[0].at_ms < two[1].at_ms);
    assert!(in_order);
}

/// One run as callers and targets saw it, in milliseconds from its start.
struct Seen {
    start: Instant,
    /// Key of the requests.
    key: Key,
    /// What stands in the heads of arrivals beside their id.
    headers: String,
    evidence: Evidence,
}

impl Seen {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            key: Key::Lasting,
            headers: workspace_header(LASTING),
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

    /// A request from 1,000 to 1,100 at machine 0.
    fn asked(mut self, kind: Kind, asked: RequestOutcome) -> Self {
        let number = self.evidence.records.len() as u64;
        self.evidence.records.push(Record {
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

    /// It arrives at the target of a machine.
    fn arrived(self, machine: usize, ms: u64) -> Self {
        self.at_target(machine, ms, true)
    }

    /// It arrives, and the target says that it does not run it.
    fn turned_away(self, machine: usize, ms: u64) -> Self {
        self.at_target(machine, ms, false)
    }

    fn at_target(mut self, machine: usize, ms: u64, ran: bool) -> Self {
        let mut arrival = Arrival::new("r", self.at(ms), ran);
        arrival.head.push_str(&self.headers);
        self.evidence.arrivals[machine].push(arrival);
        self
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

#[test]
fn each_broken_promise_is_found() {
    struct Case {
        name: &'static str,
        seen: fn() -> Seen,
        breaches: usize,
    }
    let cases = [
        Case {
            name: "served once",
            seen: || {
                Seen::new()
                    .asked(Kind::Bid, answer(200, "answer to r"))
                    .arrived(0, 1050)
            },
            breaches: 0,
        },
        Case {
            name: "ran twice",
            seen: || {
                let seen = Seen::new().asked(Kind::Bid, answer(200, "answer to r"));
                seen.arrived(0, 1020).arrived(1, 1050)
            },
            breaches: 1,
        },
        Case {
            name: "turned away by one target and run by the next",
            seen: || {
                let seen = Seen::new().asked(Kind::Bid, answer(200, "answer to r"));
                seen.turned_away(0, 1020).arrived(1, 1050)
            },
            breaches: 0,
        },
        Case {
            name: "repeated where it may be",
            seen: || {
                let seen = Seen::new().asked(Kind::Read, answer(200, "answer to r"));
                seen.arrived(0, 1020).arrived(1, 1050)
            },
            breaches: 0,
        },
        Case {
            name: "too many attempts",
            seen: || {
                let seen = Seen::new().asked(Kind::Read, answer(200, "answer to r"));
                seen.arrived(0, 1020).arrived(1, 1030).arrived(0, 1050)
            },
            breaches: 1,
        },
        Case {
            name: "said not to have run",
            seen: || {
                Seen::new()
                    .asked(Kind::Bid, answer(503, ""))
                    .arrived(0, 1050)
            },
            breaches: 1,
        },
        Case {
            name: "refused and did not run",
            seen: || Seen::new().asked(Kind::Bid, answer(503, "")),
            breaches: 0,
        },
        Case {
            name: "another request's answer",
            seen: || Seen::new().asked(Kind::Read, answer(200, "answer to s")),
            breaches: 1,
        },
        Case {
            name: "ran for another workspace",
            seen: || {
                let seen = Seen::new().with_headers(workspace_header(CHANGING));
                seen.asked(Kind::Read, answer(200, "answer to r"))
                    .arrived(0, 1050)
            },
            breaches: 1,
        },
        Case {
            name: "brought its key to a target",
            seen: || {
                let headers = workspace_header(LASTING) + &key_header("key-lasting");
                let seen = Seen::new().with_headers(headers);
                seen.asked(Kind::Read, answer(200, "answer to r"))
                    .arrived(0, 1050)
            },
            breaches: 1,
        },
        Case {
            name: "ran with a key that nobody ever had",
            seen: || {
                let seen = Seen::new()
                    .with_key(Key::Unknown)
                    .with_headers(String::new());
                seen.asked(Kind::Read, answer(200, "answer to r"))
                    .arrived(0, 1050)
            },
            breaches: 1,
        },
        Case {
            name: "a key that nobody ever had is unknown",
            seen: || {
                let seen = Seen::new().with_key(Key::Unknown);
                seen.asked(Kind::Read, answer(401, ""))
            },
            breaches: 0,
        },
        Case {
            name: "a lasting key is called unknown",
            seen: || Seen::new().asked(Kind::Read, answer(401, "")),
            breaches: 1,
        },
        Case {
            name: "no final answer",
            seen: || Seen::new().asked(Kind::Read, RequestOutcome::Nothing),
            breaches: 1,
        },
        Case {
            name: "no final answer of a node that stood still",
            seen: || {
                let mut seen = Seen::new().asked(Kind::Read, RequestOutcome::Nothing);
                seen.evidence.away.push(seen.span(Some(0), 900, 1050));
                seen
            },
            breaches: 0,
        },
        Case {
            name: "cut off by a planned stop",
            seen: || {
                let mut seen = Seen::new()
                    .asked(Kind::Bid, RequestOutcome::Closed)
                    .arrived(1, 1050);
                seen.evidence.stops.push(seen.span(Some(0), 500, 4000));
                seen
            },
            breaches: 1,
        },
        Case {
            name: "crossed the close of a planned stop",
            seen: || {
                let mut seen = Seen::new().asked(Kind::Bid, RequestOutcome::Closed);
                seen.evidence.stops.push(seen.span(Some(0), 500, 4000));
                seen
            },
            breaches: 0,
        },
        Case {
            name: "back behind a version",
            seen: || {
                let seen = Seen::new().asked(Kind::Version(3), answer(200, "answer to r"));
                seen.asked(Kind::Version(2), answer(404, ""))
            },
            breaches: 1,
        },
        Case {
            name: "a version that is not in force yet",
            seen: || {
                let seen = Seen::new().asked(Kind::Version(2), answer(200, "answer to r"));
                seen.asked(Kind::Version(3), answer(404, ""))
            },
            breaches: 0,
        },
        Case {
            name: "a leaving target gets something new",
            seen: || {
                let mut seen = Seen::new().arrived(1, 7000);
                seen.evidence.leaves.push(seen.span(Some(1), 4000, 9000));
                seen
            },
            breaches: 1,
        },
        Case {
            name: "a leaving target while the store is in trouble",
            seen: || {
                let mut seen = Seen::new().arrived(1, 7000);
                seen.evidence.leaves.push(seen.span(Some(1), 4000, 9000));
                seen.evidence.troubled.push(seen.span(None, 4500, 5000));
                seen
            },
            breaches: 0,
        },
    ];
    for case in cases {
        let found = breaches_of(&(case.seen)().evidence);
        assert_eq!(found.len(), case.breaches, "{}: {found:?}", case.name);
    }
}
