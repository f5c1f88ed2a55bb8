//! Model-based test of the instance states after the publisher was restored from an older copy.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{Era, Fleet, FleetConfig, Instance, MemberState, Position};
use proptest::prelude::*;

/// Number of instances in a sequence.
const IDS: u8 = 6;

/// Time between two steps of a sequence.
const STEP: Duration = Duration::from_millis(200);

fn instance(n: u8, leaving: bool, created: Position) -> Instance {
    Instance {
        id: format!("i-{n}").into(),
        started_at_ms: None,
        service: "svc".into(),
        address: SocketAddr::from(([10, 0, 0, n + 1], 8080)),
        domain: "a".into(),
        slots: 4,
        leaving,
        created,
        written: created,
        warm_up: Duration::ZERO,
    }
}

/// An event at the publisher, which the fleet follows.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An instance announces that it is ready.
    Ready(u8),
    /// An instance announces that it leaves.
    Leaves(u8),
    /// The entry of an instance is removed.
    Removed(u8),
    /// The publisher is restored to its state of this many steps before; lost entries are written again later.
    Restored(usize),
    /// No event.
    Idle,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..IDS).prop_map(Step::Ready),
        3 => (0..IDS).prop_map(Step::Leaves),
        3 => (0..IDS).prop_map(Step::Removed),
        2 => (1_usize..8).prop_map(Step::Restored),
        4 => Just(Step::Idle),
    ]
}

/// The publisher, and a fleet that receives each of its changes.
struct Simulation {
    fleet: Fleet,
    /// Published entries: whether the instance leaves, and when its entry was first written.
    entries: BTreeMap<u8, (bool, Position)>,
    history: Vec<BTreeMap<u8, (bool, Position)>>,
    position: Position,
    /// Whether each instance leaves by its own last announcement, which the publisher may have lost.
    announced: BTreeMap<u8, bool>,
    now: Instant,
    /// When the publisher was last restored.
    restored_at: Instant,
}

impl Simulation {
    fn new() -> Self {
        Self {
            fleet: Fleet::new(FleetConfig::default()),
            entries: BTreeMap::new(),
            history: Vec::new(),
            position: 1.into(),
            announced: BTreeMap::new(),
            now: Instant::now(),
            restored_at: Instant::now(),
        }
    }

    fn write(&mut self, n: u8, leaving: bool) {
        self.position.revision += 1;
        let position = self.position;
        let entry = self.entries.entry(n).or_insert((leaving, position));
        entry.0 = leaving;
        let created = entry.1;
        self.fleet.put(instance(n, leaving, created), self.now);
    }

    fn remove(&mut self, n: u8) {
        if self.entries.remove(&n).is_some() {
            self.position.revision += 1;
            self.fleet.entry_removed(&format!("i-{n}"), self.now);
        }
    }

    fn restore(&mut self, steps: usize) {
        let at = self.history.len().saturating_sub(steps);
        let Some(copy) = self.history.get(at).cloned() else {
            return;
        };
        self.entries = copy;
        self.position = Position::new(
            Era(self.position.era.0 + 1),
            self.position.revision.saturating_sub(steps as u64),
        );
        let era = self.position.era;
        for (_, created) in self.entries.values_mut() {
            created.era = era;
        }
        let listed = self.entries.iter();
        let listed = listed.map(|(n, (leaving, created))| instance(*n, *leaving, *created));
        self.restored_at = self.now;
        self.fleet.restore(listed.collect(), self.now);
    }

    /// Instances rewrite entries that the publisher has lost; entries of ended instances are removed.
    fn reconcile(&mut self) {
        for n in 0..IDS {
            let published = self.entries.get(&n).map(|(leaving, _)| *leaving);
            match self.announced.get(&n).copied() {
                Some(leaving) if published != Some(leaving) => self.write(n, leaving),
                None if published.is_some() => self.remove(n),
                _ => {}
            }
        }
    }

    fn step(&mut self, step: Step) {
        self.history.push(self.entries.clone());
        match step {
            Step::Ready(n) if self.announced.get(&n) != Some(&true) => {
                self.announced.insert(n, false);
                self.write(n, false);
            }
            Step::Leaves(n) if self.announced.contains_key(&n) => {
                self.announced.insert(n, true);
                self.write(n, true);
            }
            Step::Removed(n) => {
                self.announced.remove(&n);
                self.remove(n);
            }
            Step::Restored(steps) => self.restore(steps),
            Step::Ready(_) | Step::Leaves(_) | Step::Idle => {}
        }
        self.pass(STEP);
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.fleet.tick(self.now);
    }

    fn states(&self) -> BTreeMap<String, bool> {
        let members = self.fleet.iter();
        members
            .map(|(instance, state)| (instance.id.to_string(), state == MemberState::Draining))
            .collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: proptest::test_runner::RngSeed::Fixed(30), ..Default::default() })]

    /// The publisher is restored from older copies repeatedly: instances that were leaving or had ended received
    /// requests, or their states remained wrong.
    #[test]
    fn the_fleet_converges_to_the_announced_states(steps in proptest::collection::vec(step(), 1..40)) {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.step(step);
            for (instance, state) in simulation.fleet.iter() {
                let n = instance.id.as_bytes()[2] - b'0';
                // Shortly after a restore, removals are treated as leases that expired in the meantime.
                let is_held = matches!(state, MemberState::Missing { .. })
                    && simulation.now < simulation.restored_at + FleetConfig::default().lapse_hold;
                let may_accept_requests = is_held || simulation.announced.get(&n) == Some(&false);
                prop_assert!(
                    may_accept_requests || !state.accepts_requests(),
                    "{} accepts requests, announced leaving: {:?}", instance.id, simulation.announced.get(&n)
                );
            }
        }
        simulation.reconcile();
        let cfg = FleetConfig::default();
        simulation.pass(cfg.outdated_entry_hold.max(cfg.lapse_hold));
        simulation.pass(STEP);
        let announced: BTreeMap<String, bool> =
            simulation.announced.iter().map(|(n, leaving)| (format!("i-{n}"), *leaving)).collect();
        prop_assert_eq!(simulation.states(), announced);
    }
}
