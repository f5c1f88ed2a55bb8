//! What a fleet believes after the publisher has come back from an older copy.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{Era, Fleet, FleetConfig, Instance, MemberState, Position};
use proptest::prelude::*;

/// Instances that a sequence is about.
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
        warm_up: Duration::ZERO,
    }
}

/// What happens to the publisher, and so to a fleet that follows it.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An instance writes that it is ready.
    Ready(u8),
    /// It writes that it leaves.
    Leaves(u8),
    /// Its entry is removed.
    Removed(u8),
    /// The publisher goes back to what it was so many steps before; what it has lost is written again after a while.
    GoesBack(usize),
    /// Nothing.
    Rests,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..IDS).prop_map(Step::Ready),
        3 => (0..IDS).prop_map(Step::Leaves),
        3 => (0..IDS).prop_map(Step::Removed),
        2 => (1_usize..8).prop_map(Step::GoesBack),
        4 => Just(Step::Rests),
    ]
}

/// The publisher, and a fleet that hears each of its changes.
struct World {
    fleet: Fleet,
    /// What is published: whether an instance leaves, and when its entry was first written.
    entries: BTreeMap<u8, (bool, Position)>,
    history: Vec<BTreeMap<u8, (bool, Position)>>,
    position: Position,
    /// What instances have last said, whether the publisher has it or not.
    said: BTreeMap<u8, bool>,
    now: Instant,
    /// When the publisher last came back.
    back: Instant,
}

impl World {
    fn new() -> Self {
        Self {
            fleet: Fleet::new(FleetConfig::default()),
            entries: BTreeMap::new(),
            history: Vec::new(),
            position: 1.into(),
            said: BTreeMap::new(),
            now: Instant::now(),
            back: Instant::now(),
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

    fn go_back(&mut self, steps: usize) {
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
        self.back = self.now;
        self.fleet.restore(listed.collect(), self.now);
    }

    /// Instances write again what the publisher has lost of them; what has ended is removed.
    fn write_again(&mut self) {
        for n in 0..IDS {
            let published = self.entries.get(&n).map(|(leaving, _)| *leaving);
            match self.said.get(&n).copied() {
                Some(leaving) if published != Some(leaving) => self.write(n, leaving),
                None if published.is_some() => self.remove(n),
                _ => {}
            }
        }
    }

    fn step(&mut self, step: Step) {
        self.history.push(self.entries.clone());
        match step {
            Step::Ready(n) if self.said.get(&n) != Some(&true) => {
                self.said.insert(n, false);
                self.write(n, false);
            }
            Step::Leaves(n) if self.said.contains_key(&n) => {
                self.said.insert(n, true);
                self.write(n, true);
            }
            Step::Removed(n) => {
                self.said.remove(&n);
                self.remove(n);
            }
            Step::GoesBack(steps) => self.go_back(steps),
            Step::Ready(_) | Step::Leaves(_) | Step::Rests => {}
        }
        self.pass(STEP);
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.fleet.tick(self.now);
    }

    fn believed(&self) -> BTreeMap<String, bool> {
        let members = self.fleet.iter();
        members
            .map(|(instance, state)| (instance.id.to_string(), state == MemberState::Draining))
            .collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: proptest::test_runner::RngSeed::Fixed(30), ..Default::default() })]

    /// A publisher that goes back again and again: an instance that leaves or has ended gets work, or beliefs stay wrong.
    #[test]
    fn a_fleet_believes_what_instances_have_said(steps in proptest::collection::vec(step(), 1..40)) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
            for (instance, state) in world.fleet.iter() {
                let n = instance.id.as_bytes()[2] - b'0';
                // Right after its return, removals are taken for leases that ran out meanwhile.
                let is_held = matches!(state, MemberState::Missing { .. })
                    && world.now < world.back + FleetConfig::default().lapse_hold;
                let may_take_work = is_held || world.said.get(&n) == Some(&false);
                prop_assert!(
                    may_take_work || !state.accepts_requests(),
                    "{} takes work, {:?}", instance.id, world.said.get(&n)
                );
            }
        }
        world.write_again();
        let calm = FleetConfig::default();
        world.pass(calm.copy_hold.max(calm.lapse_hold));
        world.pass(STEP);
        let said: BTreeMap<String, bool> =
            world.said.iter().map(|(n, leaving)| (format!("i-{n}"), *leaving)).collect();
        prop_assert_eq!(world.believed(), said);
    }
}
