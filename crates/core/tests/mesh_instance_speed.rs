//! Tests of the speed of instances as reported by their hosts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{
    Fleet, FleetConfig, Instance, InstanceKey, InstanceSpeed, RequestKind, SendOutcome,
    SlownessChange,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A report of the mean service time of a kind at an instance.
#[derive(Clone, Copy)]
struct Reported {
    at_ms: u64,
    instance: usize,
    kind: u32,
    service_time: Duration,
}

fn reported(at_ms: u64, instance: usize, kind: u32, service_time_ms: u64) -> Reported {
    Reported {
        at_ms,
        instance,
        kind,
        service_time: ms(service_time_ms),
    }
}

struct Case {
    name: &'static str,
    /// Repeated ten times, 100 ms apart. The first round lacks the reports that come later in it, so it has an error.
    repeated: Vec<Reported>,
    then: Vec<Reported>,
    /// The instance that is removed in the end, if any.
    removed: Option<usize>,
    asked_at_ms: u64,
    expected: [Option<f64>; 4],
    uneven: bool,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            name: "",
            repeated: vec![
                reported(0, 0, 1, 100),
                reported(0, 1, 1, 50),
                reported(0, 2, 1, 50),
                reported(0, 3, 1, 25),
            ],
            then: Vec::new(),
            removed: None,
            asked_at_ms: 900,
            expected: [Some(2.0), Some(1.0), Some(1.0), Some(0.5)],
            uneven: true,
        }
    }
}

/// Guards against a slowness that follows the mix of requests, that outlasts its reports, or that one absurd, late or
/// missing report moves beyond all bounds.
#[test]
fn slowness_follows_the_reports() {
    let absurd = Reported {
        service_time: Duration::from_micros(u64::from(u32::MAX)),
        ..reported(900, 1, 1, 0)
    };
    let cases = [
        Case {
            name: "no reports",
            repeated: Vec::new(),
            expected: [None; 4],
            uneven: false,
            ..Default::default()
        },
        Case {
            name: "different speeds",
            ..Default::default()
        },
        Case {
            name: "a long kind at one instance only",
            then: vec![reported(900, 1, 2, 750)],
            ..Default::default()
        },
        Case {
            name: "zero is unknown",
            then: vec![reported(900, 0, 1, 0)],
            ..Default::default()
        },
        Case {
            name: "half of the deviation is left after 5 s",
            asked_at_ms: 5900,
            expected: [Some(1.5), Some(1.0), Some(1.0), Some(0.75)],
            ..Default::default()
        },
        Case {
            name: "reports that are gone",
            asked_at_ms: 10_900,
            expected: [None; 4],
            uneven: false,
            ..Default::default()
        },
        Case {
            name: "one absurd report of many moves the mean by a quarter of the range at most",
            then: vec![absurd],
            expected: [Some(2.0), Some(2.0), Some(1.0), Some(0.5)],
            ..Default::default()
        },
        Case {
            name: "absurd reports only",
            repeated: vec![
                absurd,
                reported(0, 0, 1, 1),
                reported(0, 2, 1, 1),
                reported(0, 3, 1, 1),
            ],
            expected: [Some(1.0), Some(5.0), Some(1.0), Some(1.0)],
            ..Default::default()
        },
        Case {
            name: "two of four instances have reported, one of them a slow first request",
            repeated: vec![reported(0, 0, 1, 250), reported(0, 1, 1, 10)],
            expected: [None; 4],
            uneven: false,
            ..Default::default()
        },
        Case {
            name: "three of four instances have reported",
            repeated: vec![
                reported(0, 0, 1, 100),
                reported(0, 1, 1, 50),
                reported(0, 2, 1, 50),
            ],
            expected: [Some(2.0), Some(1.0), Some(1.0), None],
            ..Default::default()
        },
        Case {
            name: "an instance that has ended",
            removed: Some(0),
            expected: [None, Some(1.0), Some(1.0), Some(0.5)],
            ..Default::default()
        },
        Case {
            name: "equal instances",
            repeated: (0..4).map(|i| reported(0, i, 1, 50)).collect(),
            expected: [Some(1.0); 4],
            uneven: false,
            ..Default::default()
        },
    ];
    let mut instances: SlotMap<InstanceKey, ()> = SlotMap::with_key();
    let keys: Vec<InstanceKey> = (0..4).map(|_| instances.insert(())).collect();
    let start = Instant::now();
    for case in cases {
        let mut speed = InstanceSpeed::default();
        let mut record = |report: Reported, at_ms: u64| {
            let at = start + ms(at_ms);
            speed.record(
                keys[report.instance],
                RequestKind(report.kind),
                report.service_time,
                keys.len(),
                at,
            );
        };
        for round in 0..10 {
            for report in &case.repeated {
                record(*report, round * 100);
            }
        }
        for report in &case.then {
            record(*report, report.at_ms);
        }
        if let Some(removed) = case.removed {
            speed.remove(keys[removed]);
        }
        let now = start + ms(case.asked_at_ms);
        for (key, expected) in keys.iter().zip(case.expected) {
            let slowness = speed.slowness(*key, now);
            let is_close = match (slowness, expected) {
                (Some(slowness), Some(expected)) => (slowness / expected - 1.0).abs() < 0.05,
                (slowness, expected) => slowness == expected,
            };
            assert!(is_close, "{}: {slowness:?}, not {expected:?}", case.name);
        }
        assert_eq!(speed.is_uneven(now), case.uneven, "{}", case.name);
    }
}

const KIND: RequestKind = RequestKind(3);

fn instance(index: u8, started_at_ms: u64) -> Instance {
    Instance {
        id: format!("i-{index}").into(),
        started_at_ms: Some(started_at_ms),
        service: "svc".into(),
        address: SocketAddr::from(([10, 0, 0, index], 8000)),
        domain: "a".into(),
        slots: 10,
        leaving: false,
        created: started_at_ms.into(),
        written: started_at_ms.into(),
        warm_up: Duration::ZERO,
    }
}

struct Harness {
    fleet: Fleet,
    rng: SmallRng,
    now: Instant,
}

impl Harness {
    fn new(instances: u8, reported_speed: bool) -> Self {
        let now = Instant::now();
        let mut fleet = Fleet::new(FleetConfig {
            domain: "a".into(),
            reported_speed,
            ..Default::default()
        });
        for index in 0..instances {
            fleet.put(instance(index, 1000), now);
        }
        Self {
            fleet,
            rng: SmallRng::seed_from_u64(3),
            now,
        }
    }

    fn key(&self, id: &str) -> InstanceKey {
        self.fleet.key_of(id).expect("known")
    }

    /// Reports of all instances: one service time for the `slow` instance, and 50 ms for the others.
    fn report_all(&mut self, instances: u8, slow: u8, slow_time: Duration) {
        for _ in 0..10 {
            for index in 0..instances {
                let key = self.key(&format!("i-{index}"));
                let service_time = if index == slow { slow_time } else { ms(50) };
                self.fleet
                    .service_time_reported(key, KIND, service_time, self.now);
            }
            self.now += ms(20);
        }
    }

    /// Sends 1000 requests that end immediately, and returns how many went to an instance.
    fn share(&mut self, id: &str, relative_latency: fn(&str) -> f64) -> usize {
        let mut count = 0;
        for _ in 0..1000 {
            let selected = self
                .fleet
                .select(&"svc".into(), &[], self.now, &mut self.rng)
                .expect("an instance");
            count += usize::from(selected.id == id);
            let outcome = SendOutcome::Answered {
                relative_latency: relative_latency(&selected.id),
            };
            self.fleet.request_sent(selected.key, self.now);
            self.fleet
                .request_ended(selected.key, outcome, Some(4), self.now);
            self.now += ms(1);
        }
        count
    }
}

/// Guards against instances that this node alone has seen as slow, or has not heard of for a while, being judged by
/// anything else than the rules for reports. Case: 12 instances, of which `i-0` is reported as slow.
#[test]
fn missing_and_stale_reports_leave_the_choice_to_the_own_latencies() {
    fn first_is_slow(id: &str) -> f64 {
        if id == "i-0" { 4.0 } else { 1.0 }
    }
    let fair = 1000 / 12;
    let mut harness = Harness::new(12, true);
    harness.report_all(12, 0, ms(150));
    let share = harness.share("i-0", |_| 1.0);
    assert!(share < fair / 2, "{share} requests to a slow instance");
    harness.now += Duration::from_secs(15);
    let share = harness.share("i-0", |_| 1.0);
    assert!(share > fair / 2, "{share} requests without fresh reports");
    let share = harness.share("i-0", first_is_slow);
    assert!(share < fair / 2, "{share} requests by the own latencies");
    // A fresh report outweighs what this node alone has seen.
    harness.report_all(12, 1, ms(150));
    harness.report_all(12, 1, ms(150));
    let share = harness.share("i-0", first_is_slow);
    assert!(share > fair / 2, "{share} requests with fresh reports");
}

struct UnaffectedCase {
    name: &'static str,
    reported_speed: bool,
    slow_time: Duration,
}

/// Guards against reports having any effect while the setting is off or where the instances are equally fast: the same
/// requests are sent to the same instances as without reports.
#[test]
fn equal_instances_and_the_setting_off_leave_the_choice_as_it_was() {
    let cases = [
        UnaffectedCase {
            name: "off",
            reported_speed: false,
            slow_time: ms(150),
        },
        UnaffectedCase {
            name: "equally fast",
            reported_speed: true,
            slow_time: ms(50),
        },
        UnaffectedCase {
            name: "variation of the reports",
            reported_speed: true,
            slow_time: ms(60),
        },
    ];
    let share =
        |mut harness: Harness| harness.share("i-0", |id| if id == "i-0" { 1.1 } else { 1.0 });
    let expected = share(Harness::new(12, false));
    for case in cases {
        let mut harness = Harness::new(12, case.reported_speed);
        harness.report_all(12, 0, case.slow_time);
        assert_eq!(share(harness), expected, "{}", case.name);
    }
}

/// Guards against the speed of a process counting for the next one under its id, also by a reply that arrives late.
#[test]
fn a_restart_under_the_same_id_is_of_unknown_speed() {
    let mut harness = Harness::new(12, true);
    harness.report_all(12, 0, ms(200));
    let earlier = harness.key("i-0");
    assert!(harness.fleet.slowness(earlier, harness.now) > 3.0);
    harness.fleet.put(instance(0, 2000), harness.now);
    let key = harness.key("i-0");
    harness
        .fleet
        .service_time_reported(earlier, KIND, ms(200), harness.now);
    assert_eq!(harness.fleet.slowness(key, harness.now), 1.0);
    let share = harness.share("i-0", |_| 1.0);
    let fair = 1000 / 12;
    assert!(share > fair / 2, "{share} requests to the new process");
    assert!(share < fair * 2, "{share} requests to the new process");
}

/// Guards against a fleet in which an instance joins or leaves losing the requests of a service, where all of its other
/// instances are avoided or were tried.
#[test]
fn avoided_and_tried_instances_are_the_last_resort() {
    let mut harness = Harness::new(12, true);
    harness.report_all(12, 0, ms(150));
    let keys: Vec<InstanceKey> = (0..12).map(|i| harness.key(&format!("i-{i}"))).collect();
    for key in &keys[1..] {
        harness.fleet.request_sent(*key, harness.now);
        harness
            .fleet
            .request_ended(*key, SendOutcome::TargetGone, None, harness.now);
    }
    let Harness { fleet, rng, now } = &mut harness;
    let service = "svc".into();
    let select = |tried: &[InstanceKey], rng: &mut SmallRng| {
        let selected = fleet.select(&service, tried, *now, rng);
        selected.map(|selected| selected.key)
    };
    for _ in 0..50 {
        assert_eq!(select(&[], rng), Some(keys[0]));
    }
    assert!(select(&keys[..1], rng).is_some_and(|key| key != keys[0]));
    assert_eq!(select(&keys, rng), None);
}

/// Guards against requests leaving their failure domain because a random draw did not contain an instance of it. The
/// slow instance is in the other domain.
#[test]
fn a_draw_prefers_the_own_failure_domain() {
    let mut harness = Harness::new(12, true);
    for index in [0, 2, 4, 6, 8, 10] {
        let far = Instance {
            domain: "b".into(),
            ..instance(index, 2000)
        };
        harness.fleet.put(far, harness.now);
    }
    harness.report_all(12, 0, ms(150));
    let far: usize = [0, 2, 4, 6, 8, 10]
        .map(|index| harness.share(&format!("i-{index}"), |_| 1.0))
        .iter()
        .sum();
    assert_eq!(far, 0, "requests to the other failure domain");
}

/// Guards against a host that is shutting down getting requests because a random draw contained no better instance.
#[test]
fn a_draw_leaves_out_stopping_hosts() {
    let mut harness = Harness::new(12, true);
    harness.report_all(12, 0, ms(150));
    for index in 1..6 {
        let key = harness.key(&format!("i-{index}"));
        harness.fleet.host_stopping(key, harness.now);
    }
    assert_eq!(harness.share("i-1", |_| 1.0), 0);
}

/// Guards against a line in the log for each report of an instance whose slowness is near the threshold.
#[test]
fn a_slow_instance_is_reported_once() {
    let mut harness = Harness::new(5, true);
    let change = |harness: &mut Harness| {
        let changes = harness.fleet.slowness_changes(harness.now);
        let to_pair = |change: SlownessChange| (change.id.to_string(), change.is_slow);
        changes.into_iter().map(to_pair).collect::<Vec<_>>()
    };
    harness.report_all(5, 0, ms(70));
    assert_eq!(change(&mut harness), []);
    harness.report_all(5, 0, ms(90));
    assert_eq!(change(&mut harness), [("i-0".into(), true)]);
    harness.report_all(5, 0, ms(70));
    assert_eq!(change(&mut harness), []);
    harness.report_all(5, 0, ms(90));
    assert_eq!(change(&mut harness), []);
    // Without further reports the slowness decays.
    harness.now += Duration::from_secs(11);
    assert_eq!(change(&mut harness), [("i-0".into(), false)]);
}
