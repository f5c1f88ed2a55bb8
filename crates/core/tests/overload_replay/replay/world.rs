//! Simulated nodes, targets and clients.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;

use coltsfootport_core::id::ServiceName;
use coltsfootport_core::mesh::{
    Admission, CostShedder, Fleet, FleetConfig, GateConfig, Instance, InstanceKey,
    QueueTimeoutConfig, QueueTimeoutRequest, RequestKind, SendOutcome, Shedder, ShedderConfig,
    SlotRequest, TargetGate, Ticket,
};

use super::deployment::{Deployment, Pattern};
use super::outcome::{Outcome, Second};

/// Configuration of the production modules; the defaults are those of nodes.
#[derive(Clone, Debug)]
pub struct Policy {
    pub gate: GateConfig,
    pub shedder: ShedderConfig,
    pub fleet: FleetConfig,
    /// Instances that a request is sent to after one whose host has refused it.
    pub further_instances: usize,
    /// Whether requests are shed by the services that they use and by their cost there.
    pub cost_admission: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            gate: GateConfig::default(),
            shedder: ShedderConfig::default(),
            fleet: FleetConfig::default(),
            further_instances: 0,
            cost_admission: true,
        }
    }
}

/// One-way network delay in seconds.
const NETWORK_DELAY: f64 = 0.001;

/// Seconds between periodic updates of a node.
const TICK_INTERVAL: f64 = 0.05;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Retry(usize),
    Delivery(usize),
    WorkDone(usize),
    DeadlineExpired(usize),
    Reply(usize),
    ClientDisconnect(usize),
    Tick,
}

/// An external request and its attempts.
struct Request {
    kind: usize,
    entry: usize,
    arrived_at: f64,
    attempts: u32,
    path: String,
    retries_at_once: bool,
    slot_seconds: f64,
    done: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum RunState {
    Sent,
    Queued,
    Running,
    /// Whether the run succeeded.
    Ended(bool),
}

/// One execution at a target, for an external request or for a call of another run.
struct Run {
    kind: usize,
    request: usize,
    parent: Option<usize>,
    entry: usize,
    host: usize,
    key: InstanceKey,
    /// Instances whose hosts have refused it.
    refused_by: Vec<InstanceKey>,
    ticket: Option<Ticket>,
    state: RunState,
    admitted: f64,
    deadline: f64,
    sent: f64,
    started: f64,
    /// Calls made so far.
    called: u32,
    /// Slot time without waiting for calls, in seconds.
    work: f64,
    /// What the replies to its calls report of each service below this run.
    below: HashMap<usize, Calls>,
}

/// Calls at one service.
#[derive(Clone, Copy, Default)]
struct Calls {
    count: u32,
    /// Sum of the levels that they encountered.
    levels: f64,
    /// Sum of their slot times in seconds.
    work: f64,
}

struct Node {
    service: usize,
    fleet: Fleet,
    shedder: Shedder,
    cost_shedder: Option<CostShedder>,
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
    further_instances: usize,
    outcome: Outcome,
}

/// Replays a pattern and returns its results.
pub fn replay(deployment: &Deployment, pattern: &Pattern, policy: &Policy, seed: u64) -> Outcome {
    let mut world = World::new(deployment, pattern, policy, seed);
    for kind in 0..deployment.kinds.len() {
        if deployment.kinds[kind].calm_rate_per_s > 0.0 {
            world.next_arrival(kind);
        }
    }
    world.schedule(TICK_INTERVAL, Event::Tick);
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
            written: 1.into(),
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
            let gate = GateConfig {
                level_without_waits: policy.cost_admission,
                ..policy.gate
            };
            let mut gate = TargetGate::new(gate, start);
            gate.set_slots(deployment.services[hosts[host]].slots);
            Node {
                service: hosts[host],
                fleet,
                shedder: Shedder::new(policy.shedder, seed + host as u64, start),
                cost_shedder: policy
                    .cost_admission
                    .then(|| CostShedder::new(policy.shedder, start)),
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
            further_instances: policy.further_instances,
            outcome: Outcome {
                kinds: vec![(0, 0); deployment.kinds.len()],
                seconds: vec![Second::default(); pattern.end.ceil() as usize + 1],
                ..Default::default()
            },
        }
    }

    fn schedule(&mut self, delay: f64, event: Event) {
        let at = ((self.now + delay.max(0.0)) * 1e6) as u64;
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, event)));
    }

    fn instant(&self, at: f64) -> Instant {
        self.start + Duration::from_secs_f64(at)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(kind) => self.arrive(kind),
            Event::Retry(request) => self.attempt(request),
            Event::Delivery(run) => self.deliver(run),
            Event::WorkDone(run) => self.advance(run),
            Event::DeadlineExpired(run) => self.expire_deadline(run),
            Event::Reply(run) => self.reply(run),
            Event::ClientDisconnect(run) => self.disconnect_client(run),
            Event::Tick => self.tick(),
        }
    }

    fn next_arrival(&mut self, kind: usize) {
        let rate = self.deployment.kinds[kind].calm_rate_per_s * self.pattern.load(self.now);
        let pause = -self.rng.random::<f64>().max(1e-9).ln() / rate;
        self.schedule(pause, Event::Arrival(kind));
    }

    fn arrive(&mut self, kind: usize) {
        self.next_arrival(kind);
        let request = self.requests.len();
        self.requests.push(Request {
            kind,
            entry: self.rng.random_range(0..self.nodes.len()),
            arrived_at: self.now,
            attempts: 0,
            path: format!("/{request}"),
            retries_at_once: self.rng.random_bool(self.pattern.immediate_retry_share),
            slot_seconds: 0.0,
            done: false,
        });
        let spec = &self.deployment.kinds[kind];
        self.outcome.kinds[kind].0 += 1;
        let second = self.arrival_second(request);
        second.arrived += 1;
        second.urgent.0 += u32::from(spec.rank == 0);
        self.attempt(request);
    }

    fn arrival_second(&mut self, request: usize) -> &mut Second {
        let at = self.requests[request].arrived_at as usize;
        &mut self.outcome.seconds[at]
    }

    /// Sends one attempt of a client through its entry node.
    fn attempt(&mut self, request: usize) {
        let now = self.instant(self.now);
        let Request { kind, entry, .. } = self.requests[request];
        self.requests[request].attempts += 1;
        let spec = &self.deployment.kinds[kind];
        let node = &mut self.nodes[entry];
        let path = &self.requests[request].path;
        let (route, order) = (route(kind), spec.shed_order);
        let by_cost = node
            .cost_shedder
            .as_mut()
            .and_then(|shedder| shedder.share(&route, order, now));
        let judged = match by_cost {
            Some(share) => node.shedder.admit_share(share, "h", path, now),
            None => node.shedder.admit(&route, order, "h", path, now),
        };
        match judged {
            Err(shed) => self.attempt_refused(request, shed.retry_after.as_secs_f64()),
            Ok(admitted) => {
                let deadline = self.now + spec.timeout_ms as f64 / 1000.0;
                let run = self.send(kind, request, None, admitted, deadline);
                let disconnects = self.rng.random_bool(self.pattern.disconnect_share);
                if let Some(run) = run.filter(|_| disconnects) {
                    self.schedule(
                        spec.latency_target_ms as f64 / 2000.0,
                        Event::ClientDisconnect(run),
                    );
                }
            }
        }
    }

    /// Handles a refused attempt. Clients retry once after the given delay; those that ignore it retry three times.
    fn attempt_refused(&mut self, request: usize, retry_after: f64) {
        let Request {
            attempts,
            retries_at_once,
            ..
        } = self.requests[request];
        let max_attempts = if retries_at_once { 4 } else { 2 };
        self.outcome.refusals.0 += u32::from(attempts == 1);
        self.outcome.refusals.1 += u32::from(attempts == 2);
        if attempts < max_attempts {
            let wait = if retries_at_once { 0.01 } else { retry_after };
            return self.schedule(wait, Event::Retry(request));
        }
        self.requests[request].done = true;
        self.arrival_second(request).refused += 1;
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
                Some(parent) => self.end_run(parent, false),
                None => self.attempt_refused(request, 0.5),
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
            refused_by: Vec::new(),
            ticket: None,
            state: RunState::Sent,
            admitted,
            deadline,
            sent: self.now,
            started: 0.0,
            called: 0,
            work: 0.0,
            below: HashMap::new(),
        });
        self.schedule(NETWORK_DELAY, Event::Delivery(run));
        Some(run)
    }

    fn deliver(&mut self, run: usize) {
        let Run {
            kind,
            request,
            host,
            deadline,
            admitted,
            sent,
            ..
        } = self.runs[run];
        if self.runs[run].state != RunState::Sent {
            return;
        }
        let spec = &self.deployment.kinds[kind];
        let root = &self.deployment.kinds[self.requests[request].kind];
        let inner = self.runs[run].parent.is_some();
        let now = self.instant(self.now);
        let queue_req = QueueTimeoutRequest {
            inner,
            arrived: self.instant(sent),
            latency_target: Duration::from_millis(spec.latency_target_ms),
            deadline: self.instant(deadline),
        };
        let waiting = SlotRequest {
            rank: root.rank,
            shed_order: root.shed_order,
            admitted,
            kind: RequestKind(kind as u32),
            inner,
            began: self.instant(self.requests[request].arrived_at),
            deadline: self.instant(deadline),
            queue_timeout: QueueTimeoutConfig::default().timeout_for(&queue_req, now),
        };
        match self.nodes[host].gate.admit(waiting, now) {
            Admission::Dispatched(ticket) => self.start_run(run, ticket),
            Admission::Queued(ticket) => {
                self.runs[run].state = RunState::Queued;
                self.runs[run].ticket = Some(ticket);
                self.nodes[host].waiting.insert(ticket, run);
            }
            Admission::Refused { .. } if self.send_elsewhere(run) => {}
            Admission::Refused { .. } | Admission::DeadlineUnreachable => self.end_run(run, false),
        }
    }

    /// Sends a run that its host has refused to another instance. Returns whether there is one.
    fn send_elsewhere(&mut self, run: usize) -> bool {
        let now = self.instant(self.now);
        let Run {
            kind,
            entry,
            host,
            key,
            ..
        } = self.runs[run];
        self.runs[run].refused_by.push(key);
        if self.runs[run].refused_by.len() > self.further_instances {
            return false;
        }
        let busy = self.nodes[host].gate.reported_load();
        let service = self.deployment.kinds[kind].service;
        let name = format!("s{service}").as_str().into();
        let fleet = &mut self.nodes[entry].fleet;
        let refused_by = &self.runs[run].refused_by;
        let Some(chosen) = fleet.select(&name, refused_by, now, &mut self.rng) else {
            return false;
        };
        fleet.request_ended(key, SendOutcome::HostBusy, Some(busy), now);
        fleet.request_sent(chosen.key, now);
        self.runs[run].key = chosen.key;
        self.runs[run].host = host_of(chosen.address);
        self.schedule(2.0 * NETWORK_DELAY, Event::Delivery(run));
        true
    }

    fn start_run(&mut self, run: usize, ticket: Ticket) {
        let Run {
            kind,
            host,
            deadline,
            ..
        } = self.runs[run];
        self.runs[run].state = RunState::Running;
        self.runs[run].ticket = Some(ticket);
        self.runs[run].started = self.now;
        let node = &mut self.nodes[host];
        node.running += 1;
        let spec = &self.deployment.services[node.service];
        let full = f64::from(node.running) >= 0.95 * f64::from(spec.slots);
        let mut work = self.deployment.kinds[kind].work_ms / 1000.0;
        work *= if full { spec.saturation_slowdown } else { 1.0 };
        work *= if self.now < node.cold_until { 2.0 } else { 1.0 };
        let is_last = node.service + 1 == self.deployment.services.len();
        if let Some((from, to, factor)) = self.pattern.slowdown
            && is_last
            && (from..to).contains(&self.now)
        {
            work *= factor;
        }
        // Log-normal with a mean of one.
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        work *= (0.6 * normal - 0.18).exp();
        self.runs[run].work = work;
        self.schedule(work, Event::WorkDone(run));
        self.schedule(deadline - self.now, Event::DeadlineExpired(run));
    }

    /// Makes the next call after own work or a call has succeeded, or ends the run after the last one.
    fn advance(&mut self, run: usize) {
        if self.runs[run].state != RunState::Running {
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
                let inherited = deadline - self.pattern.hop_margin;
                self.send(*next, request, Some(run), admitted, own.min(inherited));
                return;
            }
            before += times;
        }
        self.end_run(run, true);
    }

    fn expire_deadline(&mut self, run: usize) {
        if self.runs[run].state == RunState::Running {
            self.end_run(run, false);
        }
    }

    /// Handles the disconnect of a client: cancels all queued and running work of its request.
    fn disconnect_client(&mut self, run: usize) {
        if matches!(self.runs[run].state, RunState::Ended(_)) {
            return;
        }
        let request = self.runs[run].request;
        let of_request = |other: &usize| self.runs[*other].request == request;
        let all: Vec<usize> = (run..self.runs.len()).filter(of_request).collect();
        for other in all.into_iter().rev() {
            if !matches!(self.runs[other].state, RunState::Ended(_)) {
                self.release_slot(other);
                self.runs[other].state = RunState::Ended(false);
                let Run { entry, key, .. } = self.runs[other];
                let now = self.instant(self.now);
                let fleet = &mut self.nodes[entry].fleet;
                fleet.request_ended(key, SendOutcome::Abandoned, None, now);
            }
        }
        self.finish(request, false);
    }

    /// Ends a run at its host and schedules the reply.
    fn end_run(&mut self, run: usize, succeeded: bool) {
        self.release_slot(run);
        if succeeded {
            let Run {
                kind, host, work, ..
            } = self.runs[run];
            let gate = &mut self.nodes[host].gate;
            gate.record_work(RequestKind(kind as u32), Duration::from_secs_f64(work));
        }
        self.runs[run].state = RunState::Ended(succeeded);
        self.schedule(NETWORK_DELAY, Event::Reply(run));
    }

    /// Releases the slot or the queue entry of a run.
    fn release_slot(&mut self, run: usize) {
        let now = self.instant(self.now);
        let Run {
            host,
            ticket,
            state,
            started,
            request,
            ..
        } = self.runs[run];
        let Some(ticket) = ticket else {
            return;
        };
        let node = &mut self.nodes[host];
        match state {
            RunState::Running => {
                let slot_seconds = self.now - started;
                node.running -= 1;
                node.gate
                    .release(ticket, Duration::from_secs_f64(slot_seconds), now);
                self.requests[request].slot_seconds += slot_seconds;
                self.outcome.used += slot_seconds;
                self.dispatch_queued(host);
            }
            RunState::Queued => {
                node.gate.cancel(ticket);
                node.waiting.remove(&ticket);
            }
            RunState::Sent | RunState::Ended(_) => {}
        }
    }

    fn dispatch_queued(&mut self, host: usize) {
        let now = self.instant(self.now);
        for ticket in self.nodes[host].gate.expire(now) {
            if let Some(run) = self.nodes[host].waiting.remove(&ticket) {
                self.runs[run].ticket = None;
                self.end_run(run, false);
            }
        }
        while let Some(ticket) = self.nodes[host].gate.dispatch_next() {
            match self.nodes[host].waiting.remove(&ticket) {
                Some(run) => self.start_run(run, ticket),
                None => self.nodes[host].gate.release_unused(ticket),
            }
        }
    }

    /// Handles the reply to a run at the node that sent it.
    fn reply(&mut self, run: usize) {
        let now = self.instant(self.now);
        let RunState::Ended(succeeded) = self.runs[run].state else {
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
        let expected_latency = self.deployment.kinds[kind].work_ms / 1000.0;
        let outcome = match succeeded {
            true => SendOutcome::Answered {
                relative_latency: ((self.now - sent) / expected_latency.max(0.02)).clamp(0.5, 2.0),
            },
            false => SendOutcome::Abandoned,
        };
        let busy = self.nodes[host].gate.reported_load();
        let level = self.nodes[host].gate.level();
        let service = self.nodes[host].service;
        self.nodes[entry]
            .fleet
            .request_ended(key, outcome, Some(busy), now);
        let below = std::mem::take(&mut self.runs[run].below);
        let own = Calls {
            count: 1,
            levels: level,
            work: self.runs[run].work,
        };
        self.learn_costs(run, succeeded, own, &below);
        let Some(parent) = parent else {
            let means = below
                .values()
                .map(|calls| calls.levels / f64::from(calls.count));
            let highest = means.fold(level, f64::max);
            self.nodes[entry].shedder.report(&route(kind), highest, now);
            return self.finish(request, succeeded);
        };
        for (service, calls) in std::iter::once((service, own)).chain(below) {
            let sum = self.runs[parent].below.entry(service).or_default();
            sum.count += calls.count;
            sum.levels += calls.levels;
            sum.work += calls.work;
        }
        match succeeded {
            true => self.advance(parent),
            false if self.runs[parent].state == RunState::Running => self.end_run(parent, false),
            false => {}
        }
    }

    /// Records the levels and slot times that a reply reports at the node that sent the run.
    fn learn_costs(
        &mut self,
        run: usize,
        succeeded: bool,
        own: Calls,
        below: &HashMap<usize, Calls>,
    ) {
        let now = self.instant(self.now);
        let Run {
            kind, entry, host, ..
        } = self.runs[run];
        let first = (self.nodes[host].service, own);
        let Some(shedder) = &mut self.nodes[entry].cost_shedder else {
            return;
        };
        let below = below.iter().map(|(service, calls)| (*service, *calls));
        let used: Vec<(ServiceName, Calls)> = std::iter::once(first)
            .chain(below)
            .map(|(service, calls)| (format!("s{service}").as_str().into(), calls))
            .collect();
        for (service, calls) in &used {
            shedder.report(service, calls.levels / f64::from(calls.count), now);
        }
        if succeeded {
            let work = used.iter().map(|(service, calls)| (service, calls.work));
            shedder.record_answered(&route(kind), work);
        }
    }

    /// Records the result of an external request.
    fn finish(&mut self, request: usize, succeeded: bool) {
        if std::mem::replace(&mut self.requests[request].done, true) {
            return;
        }
        let Request {
            kind,
            arrived_at,
            slot_seconds,
            ..
        } = self.requests[request];
        let spec = &self.deployment.kinds[kind];
        let within_target = (self.now - arrived_at) * 1000.0 <= spec.latency_target_ms as f64;
        let urgent = u32::from(spec.rank == 0 && succeeded);
        self.outcome.kinds[kind].1 += u32::from(succeeded && within_target);
        let second = self.arrival_second(request);
        second.urgent.1 += urgent;
        match (succeeded, within_target) {
            (true, true) => second.on_time += 1,
            (true, false) => second.late += 1,
            (false, _) => {
                second.failed += 1;
                self.outcome.wasted += slot_seconds;
            }
        }
    }

    fn tick(&mut self) {
        self.schedule(TICK_INTERVAL, Event::Tick);
        let now = self.instant(self.now);
        let last = self.deployment.services.len() - 1;
        let first_of_last = |nodes: &[Node]| nodes.iter().position(|node| node.service == last);
        let first = first_of_last(&self.nodes).expect("hosts of the last service");
        self.apply_restarts(first, now);
        self.apply_partition(first, now);
        self.apply_rate_limit(first, now);
        for host in 0..self.nodes.len() {
            self.nodes[host].fleet.tick(now);
            self.nodes[host].gate.update_level(now);
            self.dispatch_queued(host);
        }
    }

    /// Whether a time of the pattern has passed since the last tick.
    fn is_due(&self, at: f64) -> bool {
        (self.now - TICK_INTERVAL..self.now).contains(&at)
    }

    /// Takes hosts of the last service out for a restart and brings them back cold.
    fn apply_restarts(&mut self, first: usize, now: Instant) {
        for (n, from, to) in &self.pattern.restarts {
            let host = first + n;
            let leaving = self.is_due(*from);
            if !leaving && !self.is_due(*to) {
                continue;
            }
            self.nodes[host].cold_until = to + 3.0;
            for node in &mut self.nodes {
                let mut instance = node.fleet.at_address(address(host)).expect("known").clone();
                instance.leaving = leaving;
                node.fleet.put(instance, now);
            }
        }
    }

    /// Sets and ends the rate limits of hosts of the last service.
    fn apply_rate_limit(&mut self, first: usize, now: Instant) {
        let Some((hosts, from, to, per_second)) = self.pattern.rate_limit else {
            return;
        };
        let limit = (from..to).contains(&self.now).then_some(per_second);
        for node in &mut self.nodes[first..first + hosts] {
            node.gate.set_rate_limit(limit, now);
        }
    }

    /// Lets entries of the last service lapse. The nodes of these hosts report in all their messages that they are
    /// partitioned from the publisher.
    fn apply_partition(&mut self, first: usize, now: Instant) {
        let Some((hosts, from, to)) = self.pattern.partition else {
            return;
        };
        let (lapse, relist) = (self.is_due(from), self.is_due(to));
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
