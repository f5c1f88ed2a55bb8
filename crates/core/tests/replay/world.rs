//! The simulated nodes, targets and callers.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;

use coltsfootport_core::mesh::{
    Admission, Fleet, FleetConfig, GateConfig, Instance, InstanceKey, QueueTimeoutConfig,
    QueueTimeoutRequest, RequestKind, SendOutcome, Shedder, ShedderConfig, SlotRequest, TargetGate,
    Ticket,
};

use super::deployment::{Deployment, Pattern};
use super::outcome::{Outcome, Second};

/// What is replayed with; the defaults are those of nodes.
#[derive(Clone, Debug, Default)]
pub struct Policy {
    pub gate: GateConfig,
    pub shedder: ShedderConfig,
    pub fleet: FleetConfig,
}

/// Network time of one way.
const HOP: f64 = 0.001;

/// Time between looks of a node at what only time changes.
const TICK: f64 = 0.05;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Back(usize),
    Enter(usize),
    Worked(usize),
    Over(usize),
    Reply(usize),
    Cut(usize),
    Tick,
}

/// A request from outside.
struct Request {
    kind: usize,
    entry: usize,
    asked: f64,
    attempts: u32,
    path: String,
    abuses: bool,
    held: f64,
    done: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum State {
    Sent,
    Waits,
    Runs,
    Ended(bool),
}

/// A run at a target, for a request or for another run.
struct Run {
    kind: usize,
    request: usize,
    parent: Option<usize>,
    entry: usize,
    host: usize,
    key: InstanceKey,
    ticket: Option<Ticket>,
    state: State,
    admitted: f64,
    deadline: f64,
    sent: f64,
    began: f64,
    /// Calls made so far.
    called: u32,
    /// Sum of levels met at each service, and their number.
    levels: HashMap<usize, (f64, u32)>,
}

struct Node {
    service: usize,
    fleet: Fleet,
    shedder: Shedder,
    gate: TargetGate,
    waiting: HashMap<Ticket, usize>,
    running: u32,
    cold_until: f64,
}

struct World<'d> {
    deployment: &'d Deployment,
    pattern: &'d Pattern,
    start: Instant,
    now: f64,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    rng: SmallRng,
    nodes: Vec<Node>,
    requests: Vec<Request>,
    runs: Vec<Run>,
    outcome: Outcome,
}

/// Replays a pattern and tells what it brought.
pub fn replay(deployment: &Deployment, pattern: &Pattern, policy: &Policy, seed: u64) -> Outcome {
    let mut world = World::new(deployment, pattern, policy, seed);
    for kind in 0..deployment.kinds.len() {
        if deployment.kinds[kind].per_s > 0.0 {
            world.next_arrival(kind);
        }
    }
    world.at(TICK, Event::Tick);
    while let Some(Reverse((at, _, event))) = world.queue.pop() {
        world.now = at as f64 / 1e6;
        if world.now > pattern.end {
            break;
        }
        world.handle(event);
    }
    world.outcome
}

impl<'d> World<'d> {
    fn new(deployment: &'d Deployment, pattern: &'d Pattern, policy: &Policy, seed: u64) -> Self {
        let start = Instant::now();
        let mut hosts = Vec::new();
        for (service, spec) in deployment.services.iter().enumerate() {
            hosts.extend((0..spec.hosts).map(|_| service));
        }
        let instance = |host: usize| Instance {
            id: format!("i-{host}").into(),
            started_at_ms: None,
            service: format!("s{}", hosts[host]).as_str().into(),
            address: address(host),
            domain: format!("d{}", host % 3).as_str().into(),
            slots: deployment.services[hosts[host]].slots,
            leaving: false,
            created: 1.into(),
            warm_up: Duration::ZERO,
        };
        let node = |host: usize| {
            let mut fleet = Fleet::new(FleetConfig {
                domain: format!("d{}", host % 3).as_str().into(),
                ..policy.fleet.clone()
            });
            for other in 0..hosts.len() {
                fleet.put(instance(other), start);
            }
            let mut gate = TargetGate::new(policy.gate, start);
            gate.set_slots(deployment.services[hosts[host]].slots);
            Node {
                service: hosts[host],
                fleet,
                shedder: Shedder::new(policy.shedder, seed + host as u64, start),
                gate,
                waiting: HashMap::new(),
                running: 0,
                cold_until: 0.0,
            }
        };
        Self {
            deployment,
            pattern,
            start,
            now: 0.0,
            queue: BinaryHeap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
            nodes: (0..hosts.len()).map(node).collect(),
            requests: Vec::new(),
            runs: Vec::new(),
            outcome: Outcome {
                kinds: vec![(0, 0); deployment.kinds.len()],
                seconds: vec![Second::default(); pattern.end.ceil() as usize + 1],
                ..Default::default()
            },
        }
    }

    fn at(&mut self, after: f64, event: Event) {
        let at = ((self.now + after.max(0.0)) * 1e6) as u64;
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, event)));
    }

    fn instant(&self, at: f64) -> Instant {
        self.start + Duration::from_secs_f64(at)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(kind) => self.arrive(kind),
            Event::Back(request) => self.attempt(request),
            Event::Enter(run) => self.enter(run),
            Event::Worked(run) => self.go_on(run),
            Event::Over(run) => self.over(run),
            Event::Reply(run) => self.reply(run),
            Event::Cut(run) => self.leave(run),
            Event::Tick => self.tick(),
        }
    }

    fn next_arrival(&mut self, kind: usize) {
        let rate = self.deployment.kinds[kind].per_s * self.pattern.load(self.now);
        let pause = -self.rng.random::<f64>().max(1e-9).ln() / rate;
        self.at(pause, Event::Arrive(kind));
    }

    fn arrive(&mut self, kind: usize) {
        self.next_arrival(kind);
        let request = self.requests.len();
        self.requests.push(Request {
            kind,
            entry: self.rng.random_range(0..self.nodes.len()),
            asked: self.now,
            attempts: 0,
            path: format!("/{request}"),
            abuses: self.rng.random_bool(self.pattern.abuse),
            held: 0.0,
            done: false,
        });
        let spec = &self.deployment.kinds[kind];
        self.outcome.kinds[kind].0 += 1;
        let second = self.second(request);
        second.asked += 1;
        second.urgent.0 += u32::from(spec.rank == 0);
        self.attempt(request);
    }

    fn second(&mut self, request: usize) -> &mut Second {
        let at = self.requests[request].asked as usize;
        &mut self.outcome.seconds[at]
    }

    /// One attempt of a caller.
    fn attempt(&mut self, request: usize) {
        let now = self.instant(self.now);
        let Request { kind, entry, .. } = self.requests[request];
        self.requests[request].attempts += 1;
        let spec = &self.deployment.kinds[kind];
        let node = &self.nodes[entry];
        let path = &self.requests[request].path;
        match node.shedder.admit(&route(kind), spec.order, "h", path, now) {
            Err(shed) => self.refused(request, shed.retry_after.as_secs_f64()),
            Ok(admitted) => {
                let deadline = self.now + spec.timeout_ms as f64 / 1000.0;
                let run = self.send(kind, request, None, admitted, deadline);
                let leaves = self.rng.random_bool(self.pattern.leave);
                if let Some(run) = run.filter(|_| leaves) {
                    self.at(spec.aim_ms as f64 / 2000.0, Event::Cut(run));
                }
            }
        }
    }

    /// An attempt was refused; its caller comes back once, or three times at once.
    fn refused(&mut self, request: usize, retry_after: f64) {
        let Request {
            attempts, abuses, ..
        } = self.requests[request];
        let most = if abuses { 4 } else { 2 };
        self.outcome.back.0 += u32::from(attempts == 1);
        self.outcome.back.1 += u32::from(attempts == 2);
        if attempts < most {
            let wait = if abuses { 0.01 } else { retry_after };
            return self.at(wait, Event::Back(request));
        }
        self.requests[request].done = true;
        self.second(request).refused += 1;
    }

    fn send(
        &mut self,
        kind: usize,
        request: usize,
        parent: Option<usize>,
        admitted: f64,
        deadline: f64,
    ) -> Option<usize> {
        let now = self.instant(self.now);
        let entry = parent.map_or(self.requests[request].entry, |parent| {
            self.runs[parent].host
        });
        let service = self.deployment.kinds[kind].service;
        let name = format!("s{service}").as_str().into();
        let fleet = &mut self.nodes[entry].fleet;
        let chosen = fleet.select(&name, &[], now, &mut self.rng);
        let Some(chosen) = chosen else {
            match parent {
                Some(parent) => self.end(parent, false),
                None => self.refused(request, 0.5),
            }
            return None;
        };
        fleet.request_sent(chosen.key, now);
        let run = self.runs.len();
        self.runs.push(Run {
            kind,
            request,
            parent,
            entry,
            host: host_of(chosen.address),
            key: chosen.key,
            ticket: None,
            state: State::Sent,
            admitted,
            deadline,
            sent: self.now,
            began: 0.0,
            called: 0,
            levels: HashMap::new(),
        });
        self.at(HOP, Event::Enter(run));
        Some(run)
    }

    fn enter(&mut self, run: usize) {
        let Run {
            kind,
            request,
            host,
            deadline,
            admitted,
            sent,
            ..
        } = self.runs[run];
        if self.runs[run].state != State::Sent {
            return;
        }
        let spec = &self.deployment.kinds[kind];
        let root = &self.deployment.kinds[self.requests[request].kind];
        let inner = self.runs[run].parent.is_some();
        let now = self.instant(self.now);
        let queue_req = QueueTimeoutRequest {
            inner,
            arrived: self.instant(sent),
            latency_target: Duration::from_millis(spec.aim_ms),
            deadline: self.instant(deadline),
        };
        let waiting = SlotRequest {
            rank: root.rank,
            shed_order: root.order,
            admitted,
            kind: RequestKind(kind as u32),
            inner,
            began: self.instant(self.requests[request].asked),
            deadline: self.instant(deadline),
            queue_timeout: QueueTimeoutConfig::default().timeout_for(&queue_req, now),
        };
        match self.nodes[host].gate.admit(waiting, now) {
            Admission::Dispatched(ticket) => self.start(run, ticket),
            Admission::Queued(ticket) => {
                self.runs[run].state = State::Waits;
                self.runs[run].ticket = Some(ticket);
                self.nodes[host].waiting.insert(ticket, run);
            }
            Admission::Refused { .. } | Admission::DeadlineUnreachable => self.end(run, false),
        }
    }

    fn start(&mut self, run: usize, ticket: Ticket) {
        let Run {
            kind,
            host,
            deadline,
            ..
        } = self.runs[run];
        self.runs[run].state = State::Runs;
        self.runs[run].ticket = Some(ticket);
        self.runs[run].began = self.now;
        let node = &mut self.nodes[host];
        node.running += 1;
        let spec = &self.deployment.services[node.service];
        let full = f64::from(node.running) >= 0.95 * f64::from(spec.slots);
        let mut work = self.deployment.kinds[kind].work_ms / 1000.0;
        work *= if full { spec.knee } else { 1.0 };
        work *= if self.now < node.cold_until { 2.0 } else { 1.0 };
        let is_last = node.service + 1 == self.deployment.services.len();
        if let Some((from, to, factor)) = self.pattern.slow
            && is_last
            && (from..to).contains(&self.now)
        {
            work *= factor;
        }
        // Log-normal with a mean of one.
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        work *= (0.6 * normal - 0.18).exp();
        self.at(work, Event::Worked(run));
        self.at(deadline - self.now, Event::Over(run));
    }

    /// Own work or a call has ended well: the next call, or the end.
    fn go_on(&mut self, run: usize) {
        if self.runs[run].state != State::Runs {
            return;
        }
        let Run {
            kind,
            request,
            admitted,
            deadline,
            called,
            ..
        } = self.runs[run];
        let mut before = 0;
        for (next, times) in &self.deployment.kinds[kind].calls {
            if called < before + times {
                self.runs[run].called += 1;
                let own = self.now + self.deployment.kinds[*next].timeout_ms as f64 / 1000.0;
                let outer = deadline - self.pattern.hop_margin;
                self.send(*next, request, Some(run), admitted, own.min(outer));
                return;
            }
            before += times;
        }
        self.end(run, true);
    }

    fn over(&mut self, run: usize) {
        if self.runs[run].state == State::Runs {
            self.end(run, false);
        }
    }

    /// The caller of a request leaves: what waits or runs for it is broken off.
    fn leave(&mut self, run: usize) {
        if matches!(self.runs[run].state, State::Ended(_)) {
            return;
        }
        let request = self.runs[run].request;
        let of_request = |other: &usize| self.runs[*other].request == request;
        let all: Vec<usize> = (run..self.runs.len()).filter(of_request).collect();
        for other in all.into_iter().rev() {
            if !matches!(self.runs[other].state, State::Ended(_)) {
                self.free(other);
                self.runs[other].state = State::Ended(false);
                let Run { entry, key, .. } = self.runs[other];
                let now = self.instant(self.now);
                let fleet = &mut self.nodes[entry].fleet;
                fleet.request_ended(key, SendOutcome::Abandoned, None, now);
            }
        }
        self.finish(request, false);
    }

    /// A run has ended at its host.
    fn end(&mut self, run: usize, well: bool) {
        self.free(run);
        self.runs[run].state = State::Ended(well);
        self.at(HOP, Event::Reply(run));
    }

    /// Gives back what a run holds.
    fn free(&mut self, run: usize) {
        let now = self.instant(self.now);
        let Run {
            host,
            ticket,
            state,
            began,
            request,
            ..
        } = self.runs[run];
        let Some(ticket) = ticket else {
            return;
        };
        let node = &mut self.nodes[host];
        match state {
            State::Runs => {
                let held = self.now - began;
                node.running -= 1;
                node.gate
                    .release(ticket, Duration::from_secs_f64(held), now);
                self.requests[request].held += held;
                self.outcome.used += held;
                self.pump(host);
            }
            State::Waits => {
                node.gate.cancel(ticket);
                node.waiting.remove(&ticket);
            }
            State::Sent | State::Ended(_) => {}
        }
    }

    fn pump(&mut self, host: usize) {
        let now = self.instant(self.now);
        for ticket in self.nodes[host].gate.expire(now) {
            if let Some(run) = self.nodes[host].waiting.remove(&ticket) {
                self.runs[run].ticket = None;
                self.end(run, false);
            }
        }
        while let Some(ticket) = self.nodes[host].gate.dispatch_next() {
            match self.nodes[host].waiting.remove(&ticket) {
                Some(run) => self.start(run, ticket),
                None => self.nodes[host].gate.release_unused(ticket),
            }
        }
    }

    /// The entry of a run hears how it ended.
    fn reply(&mut self, run: usize) {
        let now = self.instant(self.now);
        let State::Ended(well) = self.runs[run].state else {
            return;
        };
        let Run {
            kind,
            request,
            parent,
            entry,
            host,
            key,
            sent,
            ..
        } = self.runs[run];
        let usual = self.deployment.kinds[kind].work_ms / 1000.0;
        let outcome = match well {
            true => SendOutcome::Answered {
                relative_latency: ((self.now - sent) / usual.max(0.02)).clamp(0.5, 2.0),
            },
            false => SendOutcome::Abandoned,
        };
        let busy = self.nodes[host].gate.in_flight();
        let level = self.nodes[host].gate.level();
        let service = self.nodes[host].service;
        self.nodes[entry]
            .fleet
            .request_ended(key, outcome, Some(busy), now);
        let met = std::mem::take(&mut self.runs[run].levels);
        let Some(parent) = parent else {
            let below = met.values().map(|(sum, count)| sum / f64::from(*count));
            let highest = below.fold(level, f64::max);
            self.nodes[entry].shedder.report(&route(kind), highest, now);
            return self.finish(request, well);
        };
        let own = [(service, (level, 1))];
        for (service, (sum, count)) in own.into_iter().chain(met) {
            let levels = self.runs[parent].levels.entry(service).or_default();
            levels.0 += sum;
            levels.1 += count;
        }
        match well {
            true => self.go_on(parent),
            false if self.runs[parent].state == State::Runs => self.end(parent, false),
            false => {}
        }
    }

    /// A request from outside has its answer.
    fn finish(&mut self, request: usize, well: bool) {
        if std::mem::replace(&mut self.requests[request].done, true) {
            return;
        }
        let Request {
            kind, asked, held, ..
        } = self.requests[request];
        let spec = &self.deployment.kinds[kind];
        let in_aim = (self.now - asked) * 1000.0 <= spec.aim_ms as f64;
        let urgent = u32::from(spec.rank == 0 && well);
        self.outcome.kinds[kind].1 += u32::from(well && in_aim);
        let second = self.second(request);
        second.urgent.1 += urgent;
        match (well, in_aim) {
            (true, true) => second.well += 1,
            (true, false) => second.late += 1,
            (false, _) => {
                second.failed += 1;
                self.outcome.wasted += held;
            }
        }
    }

    fn tick(&mut self) {
        self.at(TICK, Event::Tick);
        let now = self.instant(self.now);
        let last = self.deployment.services.len() - 1;
        let of_last = |nodes: &[Node]| nodes.iter().position(|node| node.service == last);
        let first = of_last(&self.nodes).expect("hosts of the last service");
        self.restart(first, now);
        self.cut_off(first, now);
        for host in 0..self.nodes.len() {
            self.nodes[host].fleet.tick(now);
            self.nodes[host].gate.update_level(now);
            self.pump(host);
        }
    }

    /// Whether a moment of the pattern has come since the last tick.
    fn has_come(&self, at: f64) -> bool {
        (self.now - TICK..self.now).contains(&at)
    }

    /// Hosts of the last service leave and come back cold.
    fn restart(&mut self, first: usize, now: Instant) {
        for (n, from, to) in &self.pattern.restarts {
            let host = first + n;
            let leaves = self.has_come(*from);
            if !leaves && !self.has_come(*to) {
                continue;
            }
            self.nodes[host].cold_until = to + 3.0;
            for node in &mut self.nodes {
                let mut instance = node.fleet.at_address(address(host)).expect("known").clone();
                instance.leaving = leaves;
                node.fleet.put(instance, now);
            }
        }
    }

    /// Entries of the last service lapse; the nodes beside its targets say that they are cut off with all that they send.
    fn cut_off(&mut self, first: usize, now: Instant) {
        let Some((hosts, from, to)) = self.pattern.cut_off else {
            return;
        };
        let (lapse, relist) = (self.has_come(from), self.has_come(to));
        for host in first..first + hosts {
            let id = format!("i-{host}");
            for other in 0..self.nodes.len() {
                if other == host {
                    continue;
                }
                let listed = self.nodes[host].fleet.at_address(address(host)).cloned();
                let fleet = &mut self.nodes[other].fleet;
                if (from - 1.0..to).contains(&self.now) {
                    fleet.mark_partitioned_by_id(&id, now);
                }
                if lapse {
                    fleet.entry_removed(&id, now);
                }
                if let Some(instance) = listed.filter(|_| relist) {
                    fleet.put(instance, now);
                }
            }
        }
    }
}

fn route(kind: usize) -> SmolStr {
    SmolStr::new(format!("r{kind}"))
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (host / 250) as u8, (host % 250) as u8], 80))
}

fn host_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let octets = address.ip().octets();
            usize::from(octets[2]) * 250 + usize::from(octets[3])
        }
        SocketAddr::V6(_) => unreachable!("addresses are made above"),
    }
}
