//! Discrete-time simulation of entries, homes and the links between them.

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
use crate::scenario::{Scenario, Summary, WINDOW_S, bound};

/// Duration of a step.
pub const STEP: Duration = Duration::from_millis(10);

/// Number of steps between two reports of an entry.
const REPORT_STEPS: usize = 5;

/// Time without an answer after which a node counts as silent, in seconds.
const ANSWER_TIMEOUT_S: f64 = 0.3;

/// Time after a failure in which an entry does not wait for the same node again, in seconds.
const SILENT_FOR_S: f64 = 0.4;

/// Share of notices that are delayed, and their delay in seconds.
const DELAYED_NOTICES: (f64, f64) = (0.02, 1.0);

/// Number of steps between two updates of the node lists and of silent nodes.
const UPDATE_STEPS: usize = 10;

/// Indices of the homes, selected from the list of nodes that one node sees.
type Homes = Rc<Vec<usize>>;

/// A claim with the home that it is sent to, and the order in which the remaining homes are tried.
#[derive(Clone, Debug)]
struct Routed {
    claim: QuotaClaim,
    homes: Homes,
    home_index: usize,
    stride: usize,
    failed_homes: usize,
}

/// Event at an entry.
#[derive(Clone, Debug)]
enum Event {
    /// A home has confirmed a claim.
    Confirmed(Routed, Verdict),
    /// A home has not answered a claim.
    Failed(Routed),
    /// The home at this index has broadcast its verdict.
    Notice(usize, Verdict),
}

/// Simulated fleet with one workspace.
pub struct Model<'s> {
    scenario: &'s Scenario,
    rng: SmallRng,
    name: SmolStr,
    links: Links,
    /// Homes selected from all nodes.
    all_homes: Vec<usize>,
    /// Homes as seen by each node.
    homes: Vec<Homes>,
    /// Homes by list of nodes.
    homes_cache: BTreeMap<Vec<usize>, Homes>,
    entries: Vec<EntryQuotas>,
    home_quotas: Vec<HomeQuotas>,
    /// Round-robin counter of each entry.
    rotations: Vec<usize>,
    /// When a node last failed to answer an entry.
    failed: BTreeMap<(usize, usize), f64>,
    /// Scheduled events with their entries, by step and order of sending.
    scheduled: BTreeMap<(u64, u64), (usize, Event)>,
    sent: u64,
    steps: usize,
    now: Instant,
    at_s: f64,
    /// Times and counts of the requests admitted in the current window.
    admitted: VecDeque<(f64, f64)>,
    admitted_in_window: f64,
    /// Requests offered while the demand was within the quota.
    offered: f64,
    /// Requests refused while the demand was within the quota.
    refused: f64,
    messages: f64,
    max_load: f64,
}

impl<'s> Model<'s> {
    pub fn new(scenario: &'s Scenario, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let rotations = (0..scenario.nodes)
            .map(|_| rng.random_range(0..3))
            .collect();
        let links = Links::new(scenario, &mut rng);
        let all_nodes: Vec<usize> = (0..scenario.nodes).collect();
        let homes = Rc::new(homes_among(&all_nodes, scenario.nodes));
        let mut model = Self {
            scenario,
            rng,
            name: "w".into(),
            links,
            all_homes: homes.to_vec(),
            homes: vec![Rc::clone(&homes); scenario.nodes],
            homes_cache: BTreeMap::from([(all_nodes, homes)]),
            entries: Vec::new(),
            home_quotas: Vec::new(),
            rotations,
            failed: BTreeMap::new(),
            scheduled: BTreeMap::new(),
            sent: 0,
            steps: 0,
            now: Instant::now(),
            at_s: 0.0,
            admitted: VecDeque::new(),
            admitted_in_window: 0.0,
            offered: 0.0,
            refused: 0.0,
            messages: 0.0,
            max_load: 0.0,
        };
        model.restart();
        model
    }

    /// Replaces the state of all nodes by that of a fresh start.
    fn restart(&mut self) {
        let cfg = QuotaConfig::default();
        let nodes = self.scenario.nodes;
        let (rng, now) = (&mut self.rng, self.now);
        let entry = |_| {
            let mut entry = EntryQuotas::new(cfg, rng.random(), now);
            entry.set_node_count(nodes);
            entry
        };
        self.entries = (0..nodes).map(entry).collect();
        self.home_quotas = vec![HomeQuotas::new(cfg.bound, now); nodes];
        // Messages in flight are lost.
        self.scheduled.clear();
    }

    /// Runs the scenario to its end.
    pub fn run(mut self) -> Summary {
        let steps = (self.scenario.seconds / STEP.as_secs_f64()) as usize;
        for _ in 0..steps {
            self.step();
        }
        Summary {
            max_load: self.max_load,
            refused: self.refused / self.offered.max(1.0),
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
            self.restart();
        }
        if self.steps.is_multiple_of(UPDATE_STEPS) && !self.scenario.partitions.is_empty() {
            self.update_nodes();
        }
        self.steps += 1;
        let quota = self.quota();
        self.process_events(quota);
        let demand = self.demand();
        // The random factor keeps arrivals uneven enough for this purpose, and the second draw rounds to whole
        // requests.
        let expected = demand * step * 2.0 * self.rng.random::<f64>();
        let mut requests = expected.floor();
        requests += f64::from(u8::from(self.rng.random::<f64>() < expected.fract()));
        for _ in 0..requests as usize {
            self.request(quota, demand <= quota.per_second);
        }
        let offset = self.steps % REPORT_STEPS;
        for entry in (offset..self.scenario.nodes).step_by(REPORT_STEPS) {
            self.report(entry, quota);
        }
        self.now += STEP;
        self.at_s += step;
        self.update_window(quota);
    }

    /// Offers one request to a random entry.
    fn request(&mut self, quota: Quota, within_quota: bool) {
        let entry = self.rng.random_range(0..self.scenario.nodes);
        let result = self.entries[entry].admit(&self.name, quota, self.now);
        self.offered += f64::from(u8::from(within_quota));
        match result {
            Ok(()) => {
                self.admitted.push_back((self.at_s, 1.0));
                self.admitted_in_window += 1.0;
            }
            Err(_) => self.refused += f64::from(u8::from(within_quota)),
        }
    }

    /// Updates the published nodes and the silent nodes that each node sees.
    fn update_nodes(&mut self) {
        let nodes = self.scenario.nodes;
        for node in 0..nodes {
            let silent_s = self.links.publisher_silent_s(node, self.at_s);
            let reachable = (0..nodes).filter(|other| self.answers(node, *other));
            let silent = 1.0 - reachable.count() as f64 / nodes as f64;
            self.home_quotas[node].check_replaced(
                Duration::from_secs_f64(silent_s),
                silent,
                self.now,
            );
            let Some(listed) = self.links.listed(node, self.at_s) else {
                continue;
            };
            let homes = self.homes_cache.entry(listed);
            let homes = homes.or_insert_with_key(|listed| Rc::new(homes_among(listed, nodes)));
            if !Rc::ptr_eq(&self.homes[node], homes) {
                self.homes[node] = Rc::clone(homes);
                self.home_quotas[node].node_list_changed(self.now);
            }
        }
    }

    /// Sends the claims of an entry that are due.
    fn report(&mut self, entry: usize, quota: Quota) {
        for claim in self.entries[entry].take_claims(self.now) {
            self.rotations[entry] += 1;
            let homes = Rc::clone(&self.homes[entry]);
            let routed = Routed {
                claim,
                home_index: self.rotations[entry],
                stride: if homes.len() == 3 {
                    1 + self.rotations[entry] / 3 % 2
                } else {
                    1
                },
                homes,
                failed_homes: 0,
            };
            self.send_claim(entry, quota, routed);
        }
    }

    /// Sends a claim to its home, or requeues it if all homes have been tried.
    fn send_claim(&mut self, entry: usize, quota: Quota, mut routed: Routed) {
        if routed.failed_homes >= routed.homes.len() {
            self.entries[entry].requeue_claim(&routed.claim, self.now);
            return;
        }
        routed.home_index %= routed.homes.len();
        let home = routed.homes[routed.home_index];
        self.messages += 1.0;
        let verdict = self
            .delivers(entry, home)
            .then(|| self.apply_claim(home, quota, &routed));
        if let Some(verdict) = verdict.filter(|_| self.delivers(home, entry)) {
            self.failed.remove(&(entry, home));
            self.schedule(entry, 0.01, Event::Confirmed(routed, verdict));
            return;
        }
        let failed = self.failed.insert((entry, home), self.at_s);
        let is_silent = failed.is_some_and(|at| self.at_s - at < SILENT_FOR_S);
        let after_s = if is_silent { 0.0 } else { ANSWER_TIMEOUT_S };
        self.schedule(entry, after_s, Event::Failed(routed));
    }

    /// Applies a claim at a home and returns its verdict.
    fn apply_claim(&mut self, home: usize, quota: Quota, routed: &Routed) -> Verdict {
        let usage = &routed.claim.usage;
        let (asked, used) = (f64::from(usage.asked), f64::from(usage.used));
        let home_quotas = &mut self.home_quotas[home];
        let verdict = home_quotas.apply_claim(&self.name, quota, asked, used, self.now);
        let index = self.homes[home].iter().position(|other| *other == home);
        if let Some(index) =
            index.filter(|_| home_quotas.begin_broadcast(&self.name, &verdict, self.now))
        {
            self.broadcast(home, index, verdict);
        }
        verdict
    }

    /// Sends the verdict of a home to all entries.
    fn broadcast(&mut self, home: usize, home_index: usize, verdict: Verdict) {
        self.messages += (self.scenario.nodes - 1) as f64;
        for entry in 0..self.scenario.nodes {
            if self.delivers(home, entry) {
                let is_delayed = self.rng.random_bool(DELAYED_NOTICES.0);
                let after_s = if is_delayed { DELAYED_NOTICES.1 } else { 0.01 };
                self.schedule(entry, after_s, Event::Notice(home_index, verdict));
            }
        }
    }

    /// Schedules an event at an entry.
    fn schedule(&mut self, entry: usize, after_s: f64, event: Event) {
        let due = ((self.at_s + after_s) / STEP.as_secs_f64()).round() as u64;
        self.sent += 1;
        self.scheduled.insert((due, self.sent), (entry, event));
    }

    /// Processes the events that are due.
    fn process_events(&mut self, quota: Quota) {
        let now = (self.at_s / STEP.as_secs_f64()).round() as u64;
        while let Some(first) = self
            .scheduled
            .first_entry()
            .filter(|first| first.key().0 <= now)
        {
            let (entry, event) = first.remove();
            self.process_event(entry, quota, event);
        }
    }

    fn process_event(&mut self, entry: usize, quota: Quota, event: Event) {
        match event {
            Event::Confirmed(routed, verdict) => {
                if routed.homes[routed.home_index] != entry {
                    self.entries[entry].node_answered(self.now);
                }
                self.entries[entry].confirm_claim(
                    &routed.claim,
                    routed.home_index,
                    verdict,
                    self.now,
                );
            }
            Event::Notice(home_index, verdict) => {
                let name = self.name.clone();
                self.entries[entry].apply_verdict(&name, home_index, verdict, self.now);
            }
            Event::Failed(routed) => {
                self.entries[entry].discard_verdict(&self.name, routed.home_index);
                let next = Routed {
                    home_index: routed.home_index + routed.stride,
                    failed_homes: routed.failed_homes + 1,
                    ..routed
                };
                self.send_claim(entry, quota, next);
            }
        }
    }

    fn delivers(&self, from: usize, to: usize) -> bool {
        self.links.delivers(from, to, &self.all_homes, self.at_s)
    }

    /// Returns whether a node receives requests of an entry and its answers arrive.
    fn answers(&self, entry: usize, node: usize) -> bool {
        self.delivers(entry, node) && self.delivers(node, entry)
    }

    /// Drops admitted requests that have left the window, and updates the maximum load.
    fn update_window(&mut self, quota: Quota) {
        while let Some((at, count)) = self.admitted.front().copied() {
            if at > self.at_s - WINDOW_S {
                break;
            }
            self.admitted_in_window -= count;
            self.admitted.pop_front();
        }
        // A lowered quota applies once a window has passed since the nodes received it.
        let lowered_at = self.scenario.lowered.map(|(at, _)| at);
        let settling = lowered_at.is_some_and(|at| (at..at + WINDOW_S + 2.5).contains(&self.at_s));
        if !settling {
            self.max_load = self.max_load.max(self.admitted_in_window / bound(quota));
        }
    }

    /// Returns the requests per second at the current time.
    fn demand(&self) -> f64 {
        let warmup_s = self.scenario.warmup_s;
        let is_starting = |from: &f64| (*from..*from + warmup_s).contains(&self.at_s);
        if self.scenario.restarts.iter().any(is_starting) {
            return 0.0;
        }
        let past = self.scenario.demand.iter();
        let now = past.filter(|(from, _)| *from <= self.at_s);
        now.max_by(|a, b| a.0.total_cmp(&b.0))
            .map_or(0.0, |(_, demand)| *demand)
    }

    /// Returns the quota at the current time.
    fn quota(&self) -> Quota {
        match self.scenario.lowered {
            Some((at, lower)) if self.at_s >= at => lower,
            _ => self.scenario.quota,
        }
    }
}

/// Returns the homes selected from some of the nodes of a fleet.
fn homes_among(listed: &[usize], nodes: usize) -> Vec<usize> {
    let domains = ["a", "b", "c"];
    let names: Vec<String> = listed.iter().map(|at| format!("i-{at}")).collect();
    let domain = |at: &usize| domains[at * domains.len() / nodes];
    let named = names.iter().map(String::as_str);
    let found = homes_of("w", named.zip(listed.iter().map(domain)));
    let index = |name: &str| names.iter().position(|other| other == name);
    found
        .into_iter()
        .filter_map(index)
        .map(|at| listed[at])
        .collect()
}
