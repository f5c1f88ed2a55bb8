//! Entries, homes and the links between them in virtual time.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use coltsfootport_core::workspace::{
    EntryQuotas, HomeQuotas, Quota, QuotaClaim, QuotaConfig, Verdict, homes_of,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;

use crate::links::Links;
use crate::scenario::{Found, Scenario, WINDOW_S, bound};

/// Time of a step.
pub const STEP: Duration = Duration::from_millis(10);

/// Steps between two reports of an entry.
const REPORT_STEPS: usize = 5;

/// Time after which a node that does not answer counts as silent, in seconds.
const ANSWERS_WITHIN_S: f64 = 0.3;

/// Time after a failure in which the same node is not waited for again, in seconds.
const SILENT_FOR_S: f64 = 0.4;

/// Share of notices that come late, and by how much, in seconds.
const LATE_NOTICES: (f64, f64) = (0.02, 1.0);

/// Time between two looks at the list and at silent nodes, in steps.
const LOOK_STEPS: usize = 10;

/// Homes by what a node takes to be published.
type Homes = Rc<Vec<usize>>;

/// A claim on its way to one home after the other.
#[derive(Clone, Debug)]
struct Routed {
    claim: QuotaClaim,
    homes: Homes,
    place: usize,
    step: usize,
    tried: usize,
}

/// What comes to an entry.
#[derive(Clone, Debug)]
enum Event {
    Confirmed(Routed, Verdict),
    Failed(Routed),
    Notice(usize, Verdict),
}

pub struct Model<'s> {
    scenario: &'s Scenario,
    rng: SmallRng,
    name: SmolStr,
    links: Links,
    all_homes: Vec<usize>,
    homes: Vec<Homes>,
    known_homes: BTreeMap<Vec<usize>, Homes>,
    entries: Vec<EntryQuotas>,
    keepers: Vec<HomeQuotas>,
    turns: Vec<usize>,
    /// When a node last failed to answer an entry.
    failed: BTreeMap<(usize, usize), f64>,
    coming: BTreeMap<(u64, u64), (usize, Event)>,
    sent: u64,
    steps: usize,
    now: Instant,
    at_s: f64,
    ran: VecDeque<(f64, f64)>,
    in_window: f64,
    came: f64,
    refused: f64,
    messages: f64,
    over: f64,
}

impl<'s> Model<'s> {
    pub fn new(scenario: &'s Scenario, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let turns = (0..scenario.nodes)
            .map(|_| rng.random_range(0..3))
            .collect();
        let links = Links::new(scenario, &mut rng);
        let everyone: Vec<usize> = (0..scenario.nodes).collect();
        let homes = Rc::new(homes_among(&everyone, scenario.nodes));
        let mut model = Self {
            scenario,
            rng,
            name: "w".into(),
            links,
            all_homes: homes.to_vec(),
            homes: vec![Rc::clone(&homes); scenario.nodes],
            known_homes: BTreeMap::from([(everyone, homes)]),
            entries: Vec::new(),
            keepers: Vec::new(),
            turns,
            failed: BTreeMap::new(),
            coming: BTreeMap::new(),
            sent: 0,
            steps: 0,
            now: Instant::now(),
            at_s: 0.0,
            ran: VecDeque::new(),
            in_window: 0.0,
            came: 0.0,
            refused: 0.0,
            messages: 0.0,
            over: 0.0,
        };
        model.start();
        model
    }

    fn start(&mut self) {
        let cfg = QuotaConfig::default();
        let nodes = self.scenario.nodes;
        let (rng, now) = (&mut self.rng, self.now);
        let entry = |_| {
            let mut entry = EntryQuotas::new(cfg, rng.random(), now);
            entry.set_node_count(nodes);
            entry
        };
        self.entries = (0..nodes).map(entry).collect();
        self.keepers = vec![HomeQuotas::new(cfg.bound, now); nodes];
        // What was on its way to the nodes' predecessors is lost.
        self.coming.clear();
    }

    pub fn run(mut self) -> Found {
        let steps = (self.scenario.seconds / STEP.as_secs_f64()) as usize;
        for _ in 0..steps {
            self.step();
        }
        Found {
            over: self.over,
            refused: self.refused / self.came.max(1.0),
            messages: self.messages / self.scenario.seconds / self.scenario.nodes as f64,
        }
    }

    fn step(&mut self) {
        let step = STEP.as_secs_f64();
        let restarts = &self.scenario.restarts;
        if restarts
            .iter()
            .any(|at| (self.at_s..self.at_s + step).contains(at))
        {
            self.start();
        }
        if self.steps.is_multiple_of(LOOK_STEPS) && !self.scenario.cuts.is_empty() {
            self.look();
        }
        self.steps += 1;
        let quota = self.quota();
        self.arrive(quota);
        let demand = self.demand();
        // A sum of two draws keeps arrivals uneven enough for this purpose, and whole.
        let expected = demand * step * 2.0 * self.rng.random::<f64>();
        let mut requests = expected.floor();
        requests += f64::from(u8::from(self.rng.random::<f64>() < expected.fract()));
        for _ in 0..requests as usize {
            self.request(quota, demand <= quota.per_second);
        }
        let reporting = self.steps % REPORT_STEPS;
        for entry in (reporting..self.scenario.nodes).step_by(REPORT_STEPS) {
            self.report(entry, quota);
        }
        self.now += STEP;
        self.at_s += step;
        self.slide(quota);
    }

    fn request(&mut self, quota: Quota, allowed: bool) {
        let entry = self.rng.random_range(0..self.scenario.nodes);
        let admitted = self.entries[entry].admit(&self.name, quota, self.now);
        self.came += f64::from(u8::from(allowed));
        match admitted {
            Ok(()) => {
                self.ran.push_back((self.at_s, 1.0));
                self.in_window += 1.0;
            }
            Err(_) => self.refused += f64::from(u8::from(allowed)),
        }
    }

    /// Nodes take in who is published, and which nodes are silent.
    fn look(&mut self) {
        let nodes = self.scenario.nodes;
        for node in 0..nodes {
            let silent_s = self.links.publisher_silent_s(node, self.at_s);
            let reached = (0..nodes).filter(|other| self.answers(node, *other));
            let silent = 1.0 - reached.count() as f64 / nodes as f64;
            self.keepers[node].check_replaced(Duration::from_secs_f64(silent_s), silent, self.now);
            let Some(listed) = self.links.listed(node, self.at_s) else {
                continue;
            };
            let homes = self.known_homes.entry(listed);
            let homes = homes.or_insert_with_key(|listed| Rc::new(homes_among(listed, nodes)));
            if !Rc::ptr_eq(&self.homes[node], homes) {
                self.homes[node] = Rc::clone(homes);
                self.keepers[node].node_list_changed(self.now);
            }
        }
    }

    fn report(&mut self, entry: usize, quota: Quota) {
        for claim in self.entries[entry].take_claims(self.now) {
            self.turns[entry] += 1;
            let homes = Rc::clone(&self.homes[entry]);
            let routed = Routed {
                claim,
                place: self.turns[entry],
                step: if homes.len() == 3 {
                    1 + self.turns[entry] / 3 % 2
                } else {
                    1
                },
                homes,
                tried: 0,
            };
            self.tell(entry, quota, routed);
        }
    }

    /// Tells the home whose turn it is.
    fn tell(&mut self, entry: usize, quota: Quota, mut routed: Routed) {
        if routed.tried >= routed.homes.len() {
            self.entries[entry].requeue_claim(&routed.claim, self.now);
            return;
        }
        routed.place %= routed.homes.len();
        let home = routed.homes[routed.place];
        self.messages += 1.0;
        let verdict = self
            .delivers(entry, home)
            .then(|| self.claimed(home, quota, &routed));
        if let Some(verdict) = verdict.filter(|_| self.delivers(home, entry)) {
            self.failed.remove(&(entry, home));
            self.send(entry, 0.01, Event::Confirmed(routed, verdict));
            return;
        }
        let failed = self.failed.insert((entry, home), self.at_s);
        let is_silent = failed.is_some_and(|at| self.at_s - at < SILENT_FOR_S);
        let after_s = if is_silent { 0.0 } else { ANSWERS_WITHIN_S };
        self.send(entry, after_s, Event::Failed(routed));
    }

    fn claimed(&mut self, home: usize, quota: Quota, routed: &Routed) -> Verdict {
        let usage = &routed.claim.usage;
        let (asked, used) = (f64::from(usage.asked), f64::from(usage.used));
        let keeper = &mut self.keepers[home];
        let verdict = keeper.apply_claim(&self.name, quota, asked, used, self.now);
        let place = self.homes[home].iter().position(|other| *other == home);
        if let Some(place) =
            place.filter(|_| keeper.begin_broadcast(&self.name, &verdict, self.now))
        {
            self.tell_all(home, place, verdict);
        }
        verdict
    }

    fn tell_all(&mut self, home: usize, place: usize, verdict: Verdict) {
        self.messages += (self.scenario.nodes - 1) as f64;
        for entry in 0..self.scenario.nodes {
            if self.delivers(home, entry) {
                let is_late = self.rng.random_bool(LATE_NOTICES.0);
                let after_s = if is_late { LATE_NOTICES.1 } else { 0.01 };
                self.send(entry, after_s, Event::Notice(place, verdict));
            }
        }
    }

    fn send(&mut self, entry: usize, after_s: f64, event: Event) {
        let due = ((self.at_s + after_s) / STEP.as_secs_f64()).round() as u64;
        self.sent += 1;
        self.coming.insert((due, self.sent), (entry, event));
    }

    /// Takes in what has come.
    fn arrive(&mut self, quota: Quota) {
        let now = (self.at_s / STEP.as_secs_f64()).round() as u64;
        while let Some(first) = self
            .coming
            .first_entry()
            .filter(|first| first.key().0 <= now)
        {
            let (entry, event) = first.remove();
            self.take_in(entry, quota, event);
        }
    }

    fn take_in(&mut self, entry: usize, quota: Quota, event: Event) {
        match event {
            Event::Confirmed(routed, verdict) => {
                if routed.homes[routed.place] != entry {
                    self.entries[entry].node_answered(self.now);
                }
                self.entries[entry].confirm_claim(&routed.claim, routed.place, verdict, self.now);
            }
            Event::Notice(place, verdict) => {
                let name = self.name.clone();
                self.entries[entry].apply_verdict(&name, place, verdict, self.now);
            }
            Event::Failed(routed) => {
                self.entries[entry].discard_verdict(&self.name, routed.place);
                let next = Routed {
                    place: routed.place + routed.step,
                    tried: routed.tried + 1,
                    ..routed
                };
                self.tell(entry, quota, next);
            }
        }
    }

    fn delivers(&self, from: usize, to: usize) -> bool {
        self.links.delivers(from, to, &self.all_homes, self.at_s)
    }

    fn answers(&self, entry: usize, node: usize) -> bool {
        self.delivers(entry, node) && self.delivers(node, entry)
    }

    fn slide(&mut self, quota: Quota) {
        while let Some((at, count)) = self.ran.front().copied() {
            if at > self.at_s - WINDOW_S {
                break;
            }
            self.in_window -= count;
            self.ran.pop_front();
        }
        // A lower limit binds once a window has passed since it was heard of.
        let heard = self.scenario.lowered.map(|(at, _)| at);
        let settling = heard.is_some_and(|at| (at..at + WINDOW_S + 2.5).contains(&self.at_s));
        if !settling {
            self.over = self.over.max(self.in_window / bound(quota));
        }
    }

    fn demand(&self) -> f64 {
        let warm_s = self.scenario.warm_s;
        let starting = |from: &f64| (*from..*from + warm_s).contains(&self.at_s);
        if self.scenario.restarts.iter().any(starting) {
            return 0.0;
        }
        let past = self.scenario.demand.iter();
        let now = past.filter(|(from, _)| *from <= self.at_s);
        now.max_by(|a, b| a.0.total_cmp(&b.0))
            .map_or(0.0, |(_, demand)| *demand)
    }

    fn quota(&self) -> Quota {
        match self.scenario.lowered {
            Some((at, lower)) if self.at_s >= at => lower,
            _ => self.scenario.quota,
        }
    }
}

/// Homes among some of the nodes of a fleet.
fn homes_among(listed: &[usize], nodes: usize) -> Vec<usize> {
    let domains = ["a", "b", "c"];
    let names: Vec<String> = listed.iter().map(|at| format!("i-{at}")).collect();
    let domain = |at: &usize| domains[at * domains.len() / nodes];
    let named = names.iter().map(String::as_str);
    let found = homes_of("w", named.zip(listed.iter().map(domain)));
    let place = |name: &str| names.iter().position(|other| other == name);
    found
        .into_iter()
        .filter_map(place)
        .map(|at| listed[at])
        .collect()
}
