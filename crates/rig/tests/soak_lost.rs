//! Soak test: the check for lost requests and the counts of what planned work strikes, on made-up observations.

use std::time::{Duration, Instant};

use coltsfootport_rig::soak::{
    Evidence, KeptRequest, Key, LASTING_WORKSPACE, RequestKind, RequestRecord, Span, Strike,
    StrikeCounts, WorkLimit, count_strikes, find_breaches,
};
use coltsfootport_stand_ins::{Answer, Arrival, RequestOutcome, workspace_header};

/// Observations of one request, `r`, on a kept connection of machine 0; times are in milliseconds.
struct Scene {
    start: Instant,
    evidence: Evidence,
}

/// The request is sent at 1,000 and its connection ends at 8,000. Machine 0 has stopped at 2,000.
fn closed() -> Scene {
    let start = Instant::now();
    let mut scene = Scene {
        start,
        evidence: Evidence {
            arrivals: vec![Vec::new(), Vec::new()],
            ..Default::default()
        },
    };
    scene.evidence.kept.push(KeptRequest {
        id: String::from("r"),
        machine: 0,
        sent: scene.at(1000),
        ended: scene.at(8000),
        limit: Duration::from_secs(9),
        behind: false,
        asked: RequestOutcome::Closed,
    });
    scene.stopped(0, 2000)
}

impl Scene {
    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn kept(mut self, change: fn(&mut KeptRequest)) -> Self {
        change(&mut self.evidence.kept[0]);
        self
    }

    /// Sets the times of the request.
    fn lasting(mut self, sent: u64, ended: u64) -> Self {
        let (sent, ended) = (self.at(sent), self.at(ended));
        let one = &mut self.evidence.kept[0];
        (one.sent, one.ended) = (sent, ended);
        self
    }

    fn stopped(mut self, machine: usize, ms: u64) -> Self {
        let stop = self.span(Some(machine), ms, ms + 6000);
        self.evidence.stops.push(stop);
        self
    }

    /// The target of machine 1 runs the request; without an end it is still at work.
    fn ran(mut self, from: u64, to: Option<u64>) -> Self {
        let mut run = Arrival::new("r", self.at(from), true);
        run.head.push_str(&workspace_header(LASTING_WORKSPACE));
        run.ended = to.map(|to| self.at(to));
        self.evidence.arrivals[1].push(run);
        self
    }

    fn aborted(mut self) -> Self {
        for run in self.evidence.arrivals.iter_mut().flatten() {
            run.aborted = true;
        }
        self
    }

    /// The target is that of machine 0.
    fn at_host_0(mut self) -> Self {
        self.evidence.arrivals.swap(0, 1);
        self.evidence.stops.clear();
        self
    }

    fn answered(mut self, status: u16, whole: bool) -> Self {
        self.evidence.kept[0].asked = RequestOutcome::Answered(Answer {
            status,
            head: String::new(),
            body: String::from("answer to r"),
            whole,
        });
        self
    }

    fn outage(mut self, machine: usize, from: u64, to: u64) -> Self {
        let outage = self.span(Some(machine), from, to);
        self.evidence.outages.push(outage);
        self
    }

    fn impaired(mut self, from: u64, to: u64) -> Self {
        let impairment = self.span(None, from, to);
        self.evidence.impairments.push(impairment);
        self
    }

    fn limited(mut self, at: u64, seconds: u64) -> Self {
        let at = self.at(at);
        let limit = Duration::from_secs(seconds);
        self.evidence.work_limits.push(WorkLimit { at, limit });
        self
    }

    fn struck(mut self, kind: &str, machine: Option<usize>, at: u64) -> Self {
        let at = self.at(at);
        let kind = kind.to_owned();
        self.evidence.strikes.push(Strike { kind, machine, at });
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

/// Guards against a soak that misses a lost request, or that reports one which the rules allow.
#[test]
fn lost_requests_are_found() {
    struct Case {
        name: &'static str,
        seen: fn() -> Scene,
        lost: bool,
    }
    let cases = [
        Case {
            name: "answered",
            seen: || closed().ran(1010, Some(1500)).answered(200, true),
            lost: false,
        },
        Case {
            name: "refused",
            seen: || closed().answered(503, true),
            lost: false,
        },
        Case {
            name: "the answer is cut",
            seen: || closed().ran(1010, Some(1500)).answered(200, false),
            lost: true,
        },
        Case {
            name: "neither an answer nor the end of the connection",
            seen: || closed().kept(|one| one.asked = RequestOutcome::Nothing),
            lost: true,
        },
        Case {
            name: "ran, not answered",
            seen: || closed().ran(1010, Some(1500)),
            lost: true,
        },
        Case {
            name: "ran, not answered, without planned work",
            seen: || {
                let mut seen = closed().ran(1010, Some(1500));
                seen.evidence.stops.clear();
                seen
            },
            lost: true,
        },
        Case {
            name: "ran, sent just before the end",
            seen: || closed().lasting(7900, 8000).ran(7950, Some(7960)),
            lost: true,
        },
        Case {
            name: "ran only after the end",
            seen: || closed().lasting(7900, 8000).ran(8010, Some(8020)),
            lost: false,
        },
        Case {
            name: "waited until the end",
            seen: closed,
            lost: true,
        },
        Case {
            name: "sent 0.25 s before the end",
            seen: || closed().lasting(7750, 8000),
            lost: true,
        },
        Case {
            name: "sent 0.15 s before the end",
            seen: || closed().lasting(7850, 8000),
            lost: false,
        },
        Case {
            name: "at work at the end of the grace period",
            seen: || closed().ran(1010, None),
            lost: false,
        },
        Case {
            name: "at work until the last sixth of the grace period",
            seen: || closed().ran(1010, Some(7100)),
            lost: false,
        },
        Case {
            name: "at work until just before the last sixth",
            seen: || closed().ran(1010, Some(6900)),
            lost: true,
        },
        Case {
            name: "at work in the last sixth, sent 2.9 s after the signal",
            seen: || closed().lasting(4900, 8000).ran(4910, None),
            lost: false,
        },
        Case {
            name: "at work in the last sixth, sent 3.1 s after the signal",
            seen: || closed().lasting(5100, 8000).ran(5110, None),
            lost: true,
        },
        Case {
            name: "at work in the last sixth of another node's stop",
            seen: || {
                let mut seen = closed().ran(1010, None);
                seen.evidence.stops.clear();
                seen.stopped(1, 2000)
            },
            lost: true,
        },
        Case {
            name: "cut off long after the stop",
            seen: || closed().lasting(9000, 10_000).ran(9010, None),
            lost: true,
        },
        Case {
            name: "cut off before the stop",
            seen: || closed().lasting(1000, 1900).ran(1010, Some(1900)),
            lost: true,
        },
        Case {
            name: "at its deadline",
            seen: || closed().kept(|one| one.limit = Duration::from_secs(7)),
            lost: false,
        },
        Case {
            name: "within a node's margin before its deadline",
            seen: || closed().kept(|one| one.limit = Duration::from_millis(7014)),
            lost: false,
        },
        Case {
            name: "just before its deadline",
            seen: || closed().kept(|one| one.limit = Duration::from_millis(7016)),
            lost: true,
        },
        Case {
            name: "at the timeout of its route",
            seen: || closed().limited(0, 7),
            lost: false,
        },
        Case {
            name: "before the timeout of its route",
            seen: || closed().limited(0, 8),
            lost: true,
        },
        Case {
            name: "at a timeout that has just been replaced",
            seen: || {
                closed()
                    .lasting(3000, 10_000)
                    .limited(0, 7)
                    .limited(1500, 9)
            },
            lost: false,
        },
        Case {
            name: "at a timeout that was replaced long ago",
            seen: || closed().lasting(3000, 10_000).limited(0, 7).limited(500, 9),
            lost: true,
        },
        Case {
            name: "at a timeout that comes later",
            seen: || closed().limited(0, 9).limited(8500, 4),
            lost: true,
        },
        Case {
            name: "behind another one, not passed on",
            seen: || closed().kept(|one| one.behind = true),
            lost: false,
        },
        Case {
            name: "behind another one, ran",
            seen: || closed().kept(|one| one.behind = true).ran(1010, Some(1500)),
            lost: true,
        },
        Case {
            name: "behind another one, neither passed on nor answered nor closed",
            seen: || {
                closed().kept(|one| {
                    one.behind = true;
                    one.asked = RequestOutcome::Nothing;
                })
            },
            lost: false,
        },
        Case {
            name: "a node was down 2.9 s before it",
            seen: || closed().lasting(4000, 9000).outage(1, 500, 1100),
            lost: false,
        },
        Case {
            name: "a node was down 3.1 s before it",
            seen: || closed().lasting(4000, 9000).outage(1, 500, 900),
            lost: true,
        },
        Case {
            name: "a link failed until its end",
            seen: || closed().impaired(7900, 9000),
            lost: false,
        },
        Case {
            name: "a link failed after its end",
            seen: || closed().impaired(8100, 9000),
            lost: true,
        },
        Case {
            name: "broken off at work with an answer of the node's own",
            seen: || {
                let seen = closed().lasting(1000, 4000).answered(502, true);
                seen.ran(1010, Some(4000)).aborted()
            },
            lost: true,
        },
        Case {
            name: "given up early with an answer of the node's own, at work until later",
            seen: || {
                let seen = closed().lasting(1000, 4000).answered(502, true);
                seen.ran(1010, Some(6000))
            },
            lost: true,
        },
        Case {
            name: "broken off at work in the last sixth",
            seen: || {
                let seen = closed().lasting(1000, 7500).answered(502, true);
                seen.ran(1010, Some(7500)).aborted()
            },
            lost: false,
        },
        Case {
            name: "broken off at work at the end of the host's grace period",
            seen: || {
                let seen = closed().lasting(2500, 7000).answered(502, true);
                seen.ran(2510, Some(7000)).aborted().stopped(1, 1500)
            },
            lost: false,
        },
        Case {
            name: "broken off at work at the end of the grace period of an entry that is the host, sent late",
            seen: || {
                let seen = closed().lasting(4900, 7000).answered(502, true);
                seen.ran(4910, Some(7000))
                    .aborted()
                    .at_host_0()
                    .stopped(0, 1500)
            },
            lost: true,
        },
        Case {
            name: "broken off at work before the last sixth of the host's grace period",
            seen: || {
                let seen = closed().lasting(2500, 6400).answered(502, true);
                seen.ran(2510, Some(6400)).aborted().stopped(1, 1500)
            },
            lost: true,
        },
        Case {
            name: "broken off at work before the stop",
            seen: || {
                let seen = closed().lasting(1000, 1900).answered(502, true);
                seen.ran(1010, Some(1900)).aborted()
            },
            lost: false,
        },
        Case {
            name: "the target failed beside a stop",
            seen: || {
                let seen = closed().lasting(1000, 4000).answered(500, true);
                seen.ran(1010, Some(4000))
            },
            lost: false,
        },
    ];
    for case in cases {
        let found = find_breaches(&(case.seen)().evidence);
        let lost = found.iter().filter(|what| what.contains("LOST")).count();
        assert_eq!(lost, usize::from(case.lost), "{}: {found:?}", case.name);
    }
}

/// Guards against a check that looks at pipelined requests only.
#[test]
fn a_lost_request_without_pipelining_is_found() {
    let mut seen = closed();
    let one = seen.evidence.kept.remove(0);
    seen.evidence.records.push(RequestRecord {
        id: one.id,
        kind: RequestKind::Bid,
        key: Key::Lasting,
        machine: 0,
        sent: one.sent,
        ended: one.sent + Duration::from_millis(2900),
        asked: RequestOutcome::Closed,
    });
    let found = find_breaches(&seen.evidence);
    assert!(found.len() == 1 && found[0].contains("LOST"), "{found:?}");
}

/// Guards against a response that goes to another request of its connection.
#[test]
fn a_pipelined_answer_to_another_request_is_found() {
    let seen = closed().answered(200, true).kept(|one| {
        if let RequestOutcome::Answered(answer) = &mut one.asked {
            answer.body = String::from("answer to s");
        }
    });
    let found = find_breaches(&seen.evidence);
    assert_eq!(found.len(), 1, "{found:?}");
}

/// Guards against a run that seems to test a moment of a request that nothing struck.
#[test]
fn strikes_are_counted_by_the_state_of_the_request() {
    struct Case {
        name: &'static str,
        seen: fn() -> Scene,
        counts: StrikeCounts,
    }
    let none = StrikeCounts {
        times: 1,
        ..Default::default()
    };
    let cases = [
        Case {
            name: "before its sending",
            seen: || closed().struck("x", Some(0), 900),
            counts: none,
        },
        Case {
            name: "after its end",
            seen: || closed().struck("x", Some(0), 8100),
            counts: none,
        },
        Case {
            name: "at another machine",
            seen: || closed().struck("x", Some(1), 3000),
            counts: none,
        },
        Case {
            name: "queued",
            seen: || closed().struck("x", Some(0), 3000).ran(4000, Some(5000)),
            counts: StrikeCounts { queued: 1, ..none },
        },
        Case {
            name: "queued at the machine that is struck",
            seen: || closed().struck("x", Some(1), 3000).ran(4000, Some(5000)),
            counts: StrikeCounts { queued: 1, ..none },
        },
        Case {
            name: "at work, whatever the machine",
            seen: || closed().struck("x", None, 4500).ran(4000, Some(5000)),
            counts: StrikeCounts { at_work: 1, ..none },
        },
        Case {
            name: "ready behind another",
            seen: || {
                let seen = closed().struck("x", Some(0), 6000).ran(4000, Some(5000));
                seen.kept(|one| one.behind = true)
            },
            counts: StrikeCounts {
                ready_behind: 1,
                ..none
            },
        },
        Case {
            name: "ready, behind no other",
            seen: || closed().struck("x", Some(0), 6000).ran(4000, Some(5000)),
            counts: none,
        },
    ];
    for case in cases {
        let counts = count_strikes(&(case.seen)().evidence);
        assert_eq!(counts.get("x"), Some(&case.counts), "{}", case.name);
    }
}
