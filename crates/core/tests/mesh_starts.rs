//! Tests of the order of entries that different starts of targets have published.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{Era, Fleet, FleetConfig, Instance, Position};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What an entry says of a target at the common address.
#[derive(Clone, Copy)]
struct Entry {
    id: &'static str,
    started_at_ms: Option<u64>,
    created: u64,
    written: u64,
    leaving: bool,
}

const fn entry(id: &'static str, started_at_ms: u64, created: u64, written: u64) -> Entry {
    Entry {
        id,
        started_at_ms: Some(started_at_ms),
        created,
        written,
        leaving: false,
    }
}

const fn leaving(entry: Entry) -> Entry {
    Entry {
        leaving: true,
        ..entry
    }
}

impl Entry {
    fn instance(self) -> Instance {
        Instance {
            id: self.id.into(),
            started_at_ms: self.started_at_ms,
            service: "svc".into(),
            address: SocketAddr::from(([10, 0, 0, 1], 8000)),
            domain: "a".into(),
            slots: 4,
            leaving: self.leaving,
            created: self.created.into(),
            written: self.written.into(),
            warm_up: Duration::ZERO,
        }
    }
}

#[derive(Clone, Copy)]
enum Event {
    Written(Entry),
    Removed(&'static str),
    Listed(&'static [Entry]),
    /// The given number of milliseconds passes.
    Pass(u64),
}

fn play(events: &[Event]) -> Fleet {
    let mut now = Instant::now();
    let mut fleet = Fleet::new(FleetConfig::default());
    for event in events {
        match event {
            Event::Written(entry) => drop(fleet.put(entry.instance(), now)),
            Event::Removed(id) => drop(fleet.entry_removed(id, now)),
            Event::Listed(entries) => {
                let listed = entries.iter().map(|entry| entry.instance());
                fleet.replace_all(listed.collect(), now);
            }
            Event::Pass(passed) => {
                now += ms(*passed);
                fleet.tick(now);
            }
        }
    }
    fleet
}

/// Ids of the instances that are used for new requests.
fn used(fleet: &Fleet) -> Vec<String> {
    let ready = fleet.iter().filter(|(_, state)| state.accepts_requests());
    ready.map(|(instance, _)| instance.id.to_string()).collect()
}

/// A target that started again under its former id, after another id had its address, was not used: the revision at
/// which its key was first written was taken for its start.
#[test]
fn a_return_to_a_former_id_is_a_new_start() {
    use Event::{Listed, Removed, Written};
    struct Case {
        name: &'static str,
        events: &'static [Event],
        used: &'static [&'static str],
    }
    const FIRST: Entry = entry("i-1", 100, 2, 2);
    const SECOND: Entry = entry("i-2", 200, 3, 3);
    const THIRD: Entry = entry("i-1", 300, 2, 4);
    /// The time of day was set back before it started.
    const THIRD_SET_BACK: Entry = entry("i-1", 50, 2, 4);
    const THIRD_LEAVES: Entry = leaving(entry("i-1", 300, 2, 5));
    const LATE_WRITE: Entry = entry("i-1", 100, 2, 4);
    const WITHOUT_START: Entry = Entry {
        started_at_ms: None,
        ..entry("i-2", 0, 3, 3)
    };
    let cases = [
        Case {
            name: "back under the former id",
            events: &[Written(FIRST), Written(SECOND), Written(THIRD)],
            used: &["i-1"],
        },
        Case {
            name: "back after the clock was set back",
            events: &[Written(FIRST), Written(SECOND), Written(THIRD_SET_BACK)],
            used: &["i-1"],
        },
        Case {
            name: "back and leaving",
            events: &[
                Written(FIRST),
                Written(SECOND),
                Written(THIRD),
                Written(THIRD_LEAVES),
            ],
            used: &[],
        },
        Case {
            name: "late write of the ended process",
            events: &[Written(FIRST), Written(SECOND), Written(LATE_WRITE)],
            used: &["i-2"],
        },
        Case {
            name: "listed, oldest first",
            events: &[Listed(&[SECOND, THIRD])],
            used: &["i-1"],
        },
        Case {
            name: "listed, newest first",
            events: &[Listed(&[THIRD, SECOND])],
            used: &["i-1"],
        },
        Case {
            name: "listed again",
            events: &[
                Written(FIRST),
                Written(SECOND),
                Written(THIRD),
                Listed(&[SECOND, THIRD]),
            ],
            used: &["i-1"],
        },
        Case {
            name: "listed with a late write of the ended process",
            events: &[Listed(&[SECOND, THIRD]), Removed("i-1")],
            used: &["i-2"],
        },
        Case {
            name: "the entry of the other id lapses",
            events: &[
                Written(FIRST),
                Written(SECOND),
                Written(LATE_WRITE),
                Removed("i-2"),
            ],
            used: &["i-1"],
        },
        Case {
            name: "both entries lapse",
            events: &[
                Written(FIRST),
                Written(SECOND),
                Removed("i-1"),
                Removed("i-2"),
            ],
            used: &[],
        },
        Case {
            name: "the ended one is not listed when the other lapses",
            events: &[
                Written(FIRST),
                Written(SECOND),
                Listed(&[SECOND]),
                Listed(&[]),
            ],
            used: &[],
        },
        Case {
            name: "without start times an id has one start",
            events: &[
                Written(FIRST),
                Written(WITHOUT_START),
                Written(THIRD),
                Removed("i-2"),
            ],
            used: &["i-1"],
        },
    ];
    for case in cases {
        assert_eq!(used(&play(case.events)), case.used, "{}", case.name);
    }
}

/// A target whose start time equals that of an earlier start under its id got requests for seconds after it had
/// announced that it leaves: its entries were held as late writes of the earlier process.
#[test]
fn an_announced_end_is_believed_within_seconds_whoever_wrote_it() {
    use Event::{Pass, Written};
    /// Shorter than the time within which leaving targets must get no more requests.
    const BELIEVED_WITHIN: u64 = 1500;
    let first = entry("i-1", 100, 2, 2);
    let second = entry("i-1", 200, 2, 3);
    let same_start_as_first = entry("i-1", 100, 2, 4);
    let restarts = [
        Written(first),
        Written(second),
        Written(same_start_as_first),
    ];
    let leaves = Written(leaving(entry("i-1", 100, 2, 5)));
    for held in [0, 3000] {
        let mut events = restarts.to_vec();
        events.extend([Pass(held), leaves, Pass(BELIEVED_WITHIN)]);
        assert!(used(&play(&events)).is_empty(), "after {held} ms");
    }
    // A read of an entry that was written before changes nothing.
    let mut events = restarts.to_vec();
    events.extend([leaves, Written(second), Pass(BELIEVED_WITHIN)]);
    assert!(used(&play(&events)).is_empty(), "stale read");
    // The running process writes its entry again, in time or later.
    let mut events = restarts.to_vec();
    events.extend([leaves, Written(entry("i-1", 200, 2, 6)), Pass(10_000)]);
    assert_eq!(used(&play(&events)), ["i-1"], "late write");
    let mut events = restarts.to_vec();
    let rewritten = Written(entry("i-1", 200, 2, 6));
    events.extend([leaves, Pass(BELIEVED_WITHIN), rewritten]);
    assert_eq!(
        used(&play(&events)),
        ["i-1"],
        "late write, believed for a while"
    );
}

/// Guards against a target of a restored publisher that gets requests for seconds after it announced that it leaves: an
/// entry with an earlier start time was held as one of the older copy.
#[test]
fn an_end_announced_after_a_restore_is_believed_within_seconds() {
    let mut now = Instant::now();
    let mut fleet = Fleet::new(FleetConfig::default());
    fleet.put(entry("i-1", 200, 2, 9).instance(), now);
    let listed = Instance {
        written: Position::new(Era(1), 5),
        ..leaving(entry("i-1", 100, 2, 5)).instance()
    };
    fleet.restore(vec![listed], now);
    assert_eq!(used(&fleet), ["i-1"]);
    now += ms(1500);
    fleet.tick(now);
    assert!(used(&fleet).is_empty());
}

/// A leaving target got requests again: a write that was delayed until after the announcement or the end of its entry
/// said that it is ready.
#[test]
fn a_process_that_leaves_is_not_ready_again_at_once() {
    use Event::{Listed, Pass, Removed, Written};
    const LEAVES: Entry = leaving(entry("i-1", 100, 2, 3));
    const LATE: Entry = entry("i-1", 100, 2, 4);
    const LATE_AFTER_END: Entry = entry("i-1", 100, 5, 5);
    const NEXT_START: Entry = entry("i-1", 90, 6, 6);
    /// The process writes its entry again, or its lease ends, within this time.
    const HEARTBEATS: Event = Pass(4500);
    let before = [Written(entry("i-1", 100, 2, 2)), Written(LEAVES)];
    let sequences: [&[Event]; 4] = [
        &[Written(LATE)],
        &[Listed(&[LATE])],
        &[Removed("i-1"), Written(LATE_AFTER_END)],
        &[Listed(&[]), Listed(&[LATE_AFTER_END])],
    ];
    for (index, events) in sequences.into_iter().enumerate() {
        let with = |end: &[Event]| used(&play(&[&before[..], events, end].concat()));
        assert!(with(&[HEARTBEATS]).is_empty(), "sequence {index}");
        let next = [HEARTBEATS, Written(NEXT_START)];
        assert_eq!(with(&next), ["i-1"], "sequence {index}, next start");
        let lapsed = [HEARTBEATS, Removed("i-1"), Pass(60_000)];
        assert!(with(&lapsed).is_empty(), "sequence {index}, lapsed");
        let lasting = [HEARTBEATS, HEARTBEATS];
        assert_eq!(with(&lasting), ["i-1"], "sequence {index}, still ready");
    }
}

/// After the restart of a large fleet, a late write brought an ended process back: all replaced starts had been
/// forgotten at once.
#[test]
fn the_latest_replaced_starts_are_remembered() {
    const TARGETS: u64 = 3000;
    let now = Instant::now();
    let mut fleet = Fleet::new(FleetConfig::default());
    let entry_of = |n: u64, started_at_ms: u64, written: u64| Instance {
        id: format!("i-{n}").into(),
        address: SocketAddr::from(([10, 1, (n / 250) as u8, (n % 250) as u8], 8000)),
        ..entry("", started_at_ms, 1, written).instance()
    };
    for n in 0..TARGETS {
        fleet.put(entry_of(n, 100, 1), now);
    }
    for n in 0..TARGETS {
        fleet.put(entry_of(n, 50, 2), now);
    }
    for n in 0..TARGETS {
        fleet.put(entry_of(n, 100, 3), now);
    }
    let returned = fleet
        .iter()
        .filter(|(instance, _)| instance.started_at_ms == Some(100));
    assert_eq!(returned.count(), 0);
}
