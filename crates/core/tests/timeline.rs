//! The time line: order of stamps, bounds, filters, merge and form.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use coltsfootport_core::class::Class;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::id::RequestId;
use coltsfootport_core::invariant::Invariant;
use coltsfootport_core::timeline::{
    Event, EventKind, Filter, Hlc, Observed, Record, Ring, Stamp, merge, render,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const NOON_MS: u64 = 1_764_676_800_000;

fn config() -> Config {
    Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    }
}

fn wall(ms: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(ms)
}

fn stamp(wall_ms: u64, counter: u16) -> Stamp {
    Stamp { wall_ms, counter }
}

fn record(wall_ms: u64, node: &str, request: u128, event: Event) -> Record {
    let request = (request > 0).then_some(RequestId(request));
    Record {
        at: stamp(wall_ms, 0),
        node: node.into(),
        request,
        event,
    }
}

fn walls(records: &[Record]) -> Vec<u64> {
    records.iter().map(|record| record.at.wall_ms).collect()
}

/// One step of a cluster of three clocks.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Something happens at a node.
    Tick(usize),
    /// The first node sends to the second.
    Send(usize, usize),
    /// A node's wall clock moves by this many milliseconds.
    Move(usize, i64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..3_usize).prop_map(Step::Tick),
        (0..3_usize, 0..3_usize).prop_map(|(from, to)| Step::Send(from, to)),
        (0..3_usize, -5000..5000_i64).prop_map(|(node, ms)| Step::Move(node, ms)),
    ];
    prop::collection::vec(step, 1..200)
}

/// Clocks with their wall times and the last stamp of each.
struct Cluster {
    clocks: [Hlc; 3],
    walls: [u64; 3],
    last: [Stamp; 3],
}

impl Cluster {
    fn tick(&mut self, node: usize) -> Result<Stamp, TestCaseError> {
        let now = self.clocks[node].tick(wall(self.walls[node]));
        prop_assert!(now > self.last[node]);
        self.last[node] = now;
        Ok(now)
    }

    fn send(&mut self, from: usize, to: usize) -> Result<(), TestCaseError> {
        let sent = self.tick(from)?;
        let unmoved = self.clocks[to].clone().tick(wall(self.walls[to]));
        let observed = self.clocks[to].observe(sent, wall(self.walls[to]));
        let received = self.tick(to)?;
        match observed {
            Observed::Merged => prop_assert!(received > sent),
            Observed::TooFarAhead => prop_assert_eq!(received, unmoved),
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(config())]

    // Symptom: the time line shows an effect before its cause, or two events of a node at one stamp.
    // Sequence: clocks step to and fro while nodes send to each other.
    // Cause: stamps that follow the wall clock alone.
    #[test]
    fn stamps_grow_at_a_node_and_along_messages(steps in steps()) {
        let clocks = std::array::from_fn(|_| Hlc::new());
        let mut cluster = Cluster { clocks, walls: [NOON_MS; 3], last: [Stamp::default(); 3] };
        for step in steps {
            match step {
                Step::Tick(node) => drop(cluster.tick(node)?),
                Step::Send(from, to) => cluster.send(from, to)?,
                Step::Move(node, ms) => {
                    cluster.walls[node] = cluster.walls[node].saturating_add_signed(ms);
                }
            }
        }
    }

    #[test]
    fn a_merge_is_ordered_and_keeps_every_record(
        lines in prop::collection::vec(prop::collection::vec((0..50_u64, 0..4_usize), 0..40), 0..6)
    ) {
        let names = ["a", "b", "c", "d"];
        let record = |(ms, node): (u64, usize)| record(ms, names[node], 0, Event::ReaderBecame);
        let lines: Vec<Vec<_>> =
            lines.into_iter().map(|line| line.into_iter().map(record).collect()).collect();
        let key = |record: Record| (record.at, record.node);
        let mut expected: Vec<_> = lines.concat().into_iter().map(key).collect();
        expected.sort();
        let merged: Vec<_> = merge(lines).into_iter().map(key).collect();
        prop_assert_eq!(merged, expected);
    }

    #[test]
    fn a_ring_keeps_the_newest_and_counts_the_rest(capacity in 0..20_usize, pushed in 0..60_u64) {
        let mut ring = Ring::new(capacity);
        for ms in 0..pushed {
            ring.push(record(ms, "a", 0, Event::ReaderBecame));
        }
        let kept = pushed.min(capacity as u64);
        let newest: Vec<_> = (pushed - kept..pushed).collect();
        prop_assert_eq!(walls(&ring.select(Filter::default())), newest);
        prop_assert_eq!(ring.len() as u64, kept);
        prop_assert_eq!(ring.dropped(), pushed - kept);
    }
}

// Symptom: every node's time line runs hours ahead of the time of day and stays there.
// Sequence: one node's clock steps forward; its messages carry the far stamp to all others.
// Cause: a hybrid clock that takes over any higher stamp.
#[test]
fn a_far_stamp_is_ignored_and_a_near_one_taken_over() {
    struct Case {
        name: &'static str,
        ahead_ms: i64,
        observed: Observed,
        next: Stamp,
    }
    let max = i64::try_from(Hlc::MAX_AHEAD.as_millis()).unwrap();
    let at = |ahead: i64, counter| stamp(NOON_MS.saturating_add_signed(ahead), counter);
    let (merged, ignored) = (Observed::Merged, Observed::TooFarAhead);
    let cases = [
        Case {
            name: "behind",
            ahead_ms: -10,
            observed: merged,
            next: at(0, 0),
        },
        Case {
            name: "equal",
            ahead_ms: 0,
            observed: merged,
            next: at(0, 10),
        },
        Case {
            name: "ahead",
            ahead_ms: 10,
            observed: merged,
            next: at(10, 10),
        },
        Case {
            name: "at the bound",
            ahead_ms: max,
            observed: merged,
            next: at(max, 10),
        },
        Case {
            name: "past it",
            ahead_ms: max + 1,
            observed: ignored,
            next: at(0, 0),
        },
        Case {
            name: "far",
            ahead_ms: 3_600_000,
            observed: ignored,
            next: at(0, 0),
        },
        Case {
            name: "end of time",
            ahead_ms: i64::MAX,
            observed: ignored,
            next: at(0, 0),
        },
    ];
    for case in cases {
        let mut clock = Hlc::new();
        let observed = clock.observe(at(case.ahead_ms, 9), wall(NOON_MS));
        assert_eq!(observed, case.observed, "{}", case.name);
        assert_eq!(clock.tick(wall(NOON_MS)), case.next, "{}", case.name);
    }
}

// Symptom: two events of a node have one stamp, or the later sorts first.
// Sequence: the clock steps back by an hour and more events follow than the counter can number.
// Cause: the counter runs over while the wall part stands.
#[test]
fn stamps_grow_through_a_step_back_and_a_full_counter() {
    let mut clock = Hlc::new();
    let mut last = clock.tick(wall(NOON_MS));
    for _ in 0..u32::from(u16::MAX) + 2 {
        let next = clock.tick(wall(NOON_MS - 3_600_000));
        assert!(next > last);
        last = next;
    }
    assert_eq!(last, stamp(NOON_MS + 1, 1));
    assert_eq!(clock.tick(wall(NOON_MS + 5)), stamp(NOON_MS + 5, 0));
    assert!(Hlc::new().tick(UNIX_EPOCH - Duration::from_secs(1)) > Stamp::default());
}

#[test]
fn a_filter_selects_by_all_its_conditions() {
    struct Case {
        name: &'static str,
        filter: Filter,
        walls: &'static [u64],
    }
    let mut ring = Ring::new(100);
    for ms in 1..=9 {
        let event = match ms % 3 {
            0 => Event::ReaderBecame,
            _ => Event::Cancelled { elapsed_us: ms },
        };
        ring.push(record(ms, "a", u128::from(ms % 2 + 1), event));
    }
    let all = Filter::default();
    let request = Some(RequestId(1));
    let since = Some(stamp(4, 0));
    let kinds = vec![EventKind::ReaderBecame];
    let by_request = Filter {
        request,
        ..all.clone()
    };
    let by_since = Filter {
        since,
        ..all.clone()
    };
    let by_kind = Filter {
        kinds: kinds.clone(),
        ..all.clone()
    };
    let newest = Filter {
        limit: 2,
        ..all.clone()
    };
    let next = Filter {
        since,
        limit: 2,
        ..all.clone()
    };
    let none = Filter {
        limit: 0,
        ..all.clone()
    };
    let together = Filter {
        request,
        since,
        kinds,
        limit: 9,
    };
    let cases = [
        Case {
            name: "all",
            filter: all,
            walls: &[1, 2, 3, 4, 5, 6, 7, 8, 9],
        },
        Case {
            name: "request",
            filter: by_request,
            walls: &[2, 4, 6, 8],
        },
        Case {
            name: "since",
            filter: by_since,
            walls: &[5, 6, 7, 8, 9],
        },
        Case {
            name: "kinds",
            filter: by_kind,
            walls: &[3, 6, 9],
        },
        Case {
            name: "the newest",
            filter: newest,
            walls: &[8, 9],
        },
        Case {
            name: "the next after a stamp",
            filter: next,
            walls: &[5, 6],
        },
        Case {
            name: "none",
            filter: none,
            walls: &[],
        },
        Case {
            name: "together",
            filter: together,
            walls: &[6],
        },
    ];
    for case in cases {
        assert_eq!(
            walls(&ring.select(case.filter)),
            case.walls,
            "{}",
            case.name
        );
    }
}

/// One event of each kind, in the order of [`EventKind::ALL`].
fn every_event() -> Vec<Event> {
    let (peer, service, class) = (|| "p-1".into(), || "bidding".into(), Class(2));
    let (attempt, elapsed_us, error) = (2, 1500, ErrorKind::AnswerLost);
    vec![
        Event::Received {
            service: service(),
            class,
            depth: 3,
            allowance: 4,
        },
        Event::Routed {
            service: service(),
            peer: peer(),
            attempt,
        },
        Event::Sent {
            peer: peer(),
            attempt,
        },
        Event::Admitted { class, elapsed_us },
        Event::Queued { class, ahead: 7 },
        Event::Shed {
            service: service(),
            class,
            level: 9,
        },
        Event::Dispatched {
            attempt,
            elapsed_us,
        },
        Event::Answered {
            status: 200,
            elapsed_us,
            allowance: 1,
        },
        Event::Retried {
            error,
            attempt,
            allowance: 3,
        },
        Event::Cancelled { elapsed_us },
        Event::Lost {
            peer: peer(),
            attempt,
            elapsed_us,
        },
        Event::Refused {
            error: ErrorKind::Shed,
            elapsed_us,
        },
        Event::TokenMinted {
            service: service(),
            count: 8,
        },
        Event::TokenReplayed { attempt },
        Event::TokenJoined { attempt },
        Event::TokenBurned { attempt },
        Event::DocumentInForce {
            service: service(),
            revision: 12,
        },
        Event::DocumentRejected {
            service: service(),
            revision: 13,
            fault: "line 1\n\u{9b}".into(),
        },
        Event::Phase {
            phase: "serving".into(),
        },
        Event::PeerUp { peer: peer() },
        Event::PeerDown { peer: peer() },
        Event::PeerLeaving { peer: peer() },
        Event::ReaderBecame,
        Event::ReaderCeased,
        Event::InvariantBreached {
            invariant: Invariant::DispatchedTwice,
        },
        Event::SettingsWarning {
            text: "no peers".into(),
        },
    ]
}

#[test]
fn every_event_keeps_its_name_and_fields_in_json_and_fills_one_line() {
    let events = every_event();
    assert!(events.iter().map(Event::kind).eq(EventKind::ALL));
    for event in events {
        let kind = event.kind();
        assert_eq!(kind.as_str().parse(), Ok(kind));
        for request in [0, u128::MAX] {
            let record = record(NOON_MS, "bidding\n1", request, event.clone());
            let json = serde_json::to_value(&record).unwrap();
            assert_eq!(json["event"]["kind"], kind.as_str());
            assert_eq!(serde_json::from_value::<Record>(json).unwrap(), record);
            let line = render(&record);
            assert!(line.contains(&format!(" {kind}")), "{line}");
            assert!(!line.contains(char::is_control), "{line}");
        }
    }
}

#[test]
fn a_line_shows_time_place_request_and_fields() {
    let cases = [
        (0, "1970-01-01T00:00:00.000Z"),
        (951_782_399_999, "2000-02-28T23:59:59.999Z"),
        (951_782_400_000, "2000-02-29T00:00:00.000Z"),
        (951_868_800_000, "2000-03-01T00:00:00.000Z"),
        (NOON_MS, "2025-12-02T12:00:00.000Z"),
        (4_107_542_399_001, "2100-02-28T23:59:59.001Z"),
        (4_107_542_400_000, "2100-03-01T00:00:00.000Z"),
    ];
    for (ms, time) in cases {
        let line = render(&record(ms, "a", 0, Event::ReaderBecame));
        assert_eq!(line, format!("{time}+0 a - reader_became"));
    }
    let event = Event::Retried {
        error: ErrorKind::Shed,
        attempt: 2,
        allowance: 3,
    };
    let line = render(&record(NOON_MS, "bidding-1", 255, event));
    let request = "000000000000000000000000000000ff";
    let fields = "retried allowance=3 attempt=2 error=\"shed\"";
    assert_eq!(
        line,
        format!("2025-12-02T12:00:00.000Z+0 bidding-1 {request} {fields}")
    );
}

#[test]
fn a_stamp_is_read_as_it_is_written() {
    let cases = [
        ("12.3", Some(stamp(12, 3))),
        ("12", Some(stamp(12, 0))),
        ("12.65536", None),
        ("12.", None),
        ("-1.0", None),
        ("", None),
    ];
    for (text, expected) in cases {
        assert_eq!(text.parse().ok(), expected, "{text}");
    }
    assert_eq!(stamp(12, 3).to_string(), "12.3");
}
