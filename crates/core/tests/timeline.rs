//! Timeline tests: stamp order, ring buffer, filters, merging and formats.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::id::RequestId;
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

/// Step of a simulation with three nodes.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An event occurs at a node.
    Tick(usize),
    /// The first node sends a message to the second.
    Send(usize, usize),
    /// The wall clock of a node is adjusted by a number of milliseconds.
    AdjustClock(usize, i64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..3_usize).prop_map(Step::Tick),
        (0..3_usize, 0..3_usize).prop_map(|(from, to)| Step::Send(from, to)),
        (0..3_usize, -5000..5000_i64).prop_map(|(node, ms)| Step::AdjustClock(node, ms)),
    ];
    prop::collection::vec(step, 1..200)
}

/// Simulated nodes: clock, wall time and last stamp of each.
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
        let unmerged = self.clocks[to].clone().tick(wall(self.walls[to]));
        let observed = self.clocks[to].observe(sent, wall(self.walls[to]));
        let received = self.tick(to)?;
        match observed {
            Observed::Merged => prop_assert!(received > sent),
            Observed::TooFarAhead => prop_assert_eq!(received, unmerged),
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(config())]

    // Guards against timelines that show an effect before its cause, or two events of a node with the same stamp. This
    // happens if stamps follow the wall clock alone and clocks step back and forth while nodes exchange messages.
    #[test]
    fn stamps_grow_at_a_node_and_along_messages(steps in steps()) {
        let clocks = std::array::from_fn(|_| Hlc::new());
        let mut cluster = Cluster { clocks, walls: [NOON_MS; 3], last: [Stamp::default(); 3] };
        for step in steps {
            match step {
                Step::Tick(node) => drop(cluster.tick(node)?),
                Step::Send(from, to) => cluster.send(from, to)?,
                Step::AdjustClock(node, ms) => {
                    cluster.walls[node] = cluster.walls[node].saturating_add_signed(ms);
                }
            }
        }
    }

    #[test]
    fn a_merge_is_ordered_and_keeps_every_record(
        timelines in prop::collection::vec(prop::collection::vec((0..50_u64, 0..4_usize), 0..40), 0..6)
    ) {
        let names = ["a", "b", "c", "d"];
        let record = |(ms, node): (u64, usize)| record(ms, names[node], 0, Event::ReaderBecame);
        let timelines: Vec<Vec<_>> = timelines
            .into_iter()
            .map(|timeline| timeline.into_iter().map(record).collect())
            .collect();
        let key = |record: Record| (record.at, record.node);
        let mut expected: Vec<_> = timelines.concat().into_iter().map(key).collect();
        expected.sort();
        let merged: Vec<_> = merge(timelines).into_iter().map(key).collect();
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

// Guards against timelines of all nodes running hours ahead for good. This happens if one node's clock steps forward,
// its messages carry the stamp to all others, and the hybrid clock accepts any greater stamp.
#[test]
fn a_far_stamp_is_ignored_and_a_near_one_taken_over() {
    let max = i64::try_from(Hlc::MAX_AHEAD.as_millis()).unwrap();
    let at = |ahead: i64, counter| stamp(NOON_MS.saturating_add_signed(ahead), counter);
    // Offset of the peer's stamp, which has counter 9, from the local time, the result and the next local stamp.
    let cases = [
        ("behind", -10, Observed::Merged, at(0, 0)),
        ("equal", 0, Observed::Merged, at(0, 10)),
        ("ahead", 10, Observed::Merged, at(10, 10)),
        ("at the bound", max, Observed::Merged, at(max, 10)),
        ("past the bound", max + 1, Observed::TooFarAhead, at(0, 0)),
        ("an hour ahead", 3_600_000, Observed::TooFarAhead, at(0, 0)),
        ("end of time", i64::MAX, Observed::TooFarAhead, at(0, 0)),
    ];
    for (name, ahead_ms, observed, next) in cases {
        let mut clock = Hlc::new();
        let seen = clock.observe(at(ahead_ms, 9), wall(NOON_MS));
        assert_eq!(
            (seen, clock.tick(wall(NOON_MS))),
            (observed, next),
            "{name}"
        );
    }
}

// Guards against two events of a node with the same or reversed stamps. This happens if the counter overflows while the
// wall time is constant: the clock steps back by an hour, and more events follow than the counter can distinguish.
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
    let mut ring = Ring::new(100);
    for ms in 1..=9 {
        let cancelled = Event::Cancelled { elapsed_us: ms };
        let event = if ms % 3 == 0 {
            Event::ReaderBecame
        } else {
            cancelled
        };
        ring.push(record(ms, "a", u128::from(ms % 2 + 1), event));
    }
    let by = |request, since, kind: Option<EventKind>, limit| {
        let (request, kinds) = (request, kind.into_iter().collect());
        Filter {
            request,
            since,
            kinds,
            limit,
        }
    };
    let (request, since) = (Some(RequestId(1)), Some(stamp(4, 0)));
    let kind = Some(EventKind::ReaderBecame);
    let cases: [(&str, Filter, &[u64]); 8] = [
        ("all", Filter::default(), &[1, 2, 3, 4, 5, 6, 7, 8, 9]),
        ("request", by(request, None, None, 9), &[2, 4, 6, 8]),
        ("since", by(None, since, None, 9), &[5, 6, 7, 8, 9]),
        ("kind", by(None, None, kind, 9), &[3, 6, 9]),
        ("newest", by(None, None, None, 2), &[8, 9]),
        ("oldest after a stamp", by(None, since, None, 2), &[5, 6]),
        ("zero limit", by(None, None, None, 0), &[]),
        ("all conditions", by(request, since, kind, 9), &[6]),
    ];
    for (name, filter, expected) in cases {
        assert_eq!(walls(&ring.select(filter)), expected, "{name}");
    }
}

/// JSON of one event of each kind, in the order of [`EventKind::ALL`].
const EVERY_EVENT: &str = r#"
{"kind":"received","service":"bidding","class":2,"depth":3,"allowance":4}
{"kind":"routed","service":"bidding","peer":"p-1","attempt":2}
{"kind":"sent","peer":"p-1","attempt":2}
{"kind":"admitted","class":2,"elapsed_us":1500}
{"kind":"queued","class":2,"ahead":7}
{"kind":"shed","service":"bidding","class":2,"level":9}
{"kind":"dispatched","attempt":2,"elapsed_us":1500}
{"kind":"answered","status":200,"elapsed_us":1500,"allowance":1}
{"kind":"retried","error":"answer-lost","attempt":2,"allowance":3}
{"kind":"cancelled","elapsed_us":1500}
{"kind":"lost","peer":"p-1","attempt":2,"elapsed_us":1500}
{"kind":"refused","error":"shed","elapsed_us":1500}
{"kind":"token_minted","service":"bidding","count":8}
{"kind":"token_replayed","attempt":2}
{"kind":"token_joined","attempt":2}
{"kind":"token_burned","attempt":2}
{"kind":"document_in_force","service":"bidding","revision":12}
{"kind":"document_rejected","service":"bidding","revision":13,"fault":"line 1\n\u009b2J"}
{"kind":"phase","phase":"serving"}
{"kind":"peer_up","peer":"p-1"}
{"kind":"peer_down","peer":"p-1"}
{"kind":"peer_leaving","peer":"p-1"}
{"kind":"reader_became"}
{"kind":"reader_ceased"}
{"kind":"invariant_breached","invariant":"dispatched-twice"}
{"kind":"settings_warning","text":"no peers"}
"#;

#[test]
fn every_event_keeps_its_name_and_fields_in_json_and_fills_one_line() {
    let texts: Vec<_> = EVERY_EVENT.trim().lines().collect();
    assert_eq!(texts.len(), EventKind::ALL.len());
    for (text, kind) in texts.into_iter().zip(EventKind::ALL) {
        let event: Event = serde_json::from_str(text).unwrap();
        assert_eq!((event.kind(), kind.as_str().parse()), (kind, Ok(kind)));
        let json: serde_json::Value = serde_json::from_str(text).unwrap();
        assert_eq!(serde_json::to_value(&event).unwrap(), json);
        for request in [0, u128::MAX] {
            let record = record(NOON_MS, "bidding\n1", request, event.clone());
            let json = serde_json::to_string(&record).unwrap();
            assert_eq!(serde_json::from_str::<Record>(&json).unwrap(), record);
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
