//! Runs a soak test: starts machines and load, injects faults and checks the outcome.

use std::collections::{BTreeMap, HashSet};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coltsfootport_stand_ins::{
    Behavior, Caller, HOST, RequestOutcome, Store, StoreMode, config_with_workspaces, entry, get,
    key_header, route, workspace,
};
use serde::Serialize;
use tokio::sync::Mutex as AsyncMutex;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use super::callers::{ANSWER_TOLERANCE, CrashingRequest, LoadState, ROUTE_TIMEOUT, SoakCaller};
use super::long_bodies::{
    BODIES_PER_STOP, DOWNLOAD_PREFIX, LONG_TIMEOUT_S, LongBody, UPLOAD_PREFIX,
};
use super::machine::{CRASH_DOWNTIME, DOMAINS, Machine};
use super::pipelined::{MAX_PIPELINING, WORK_PREFIX};
use super::rolls::{FIRST_IDLE_S, KILL_AFTER_GRACE};
use super::strikes::never_struck;
use crate::error::RigError;
use crate::process::{Process, Signal, free_port};
use crate::proxy::{Cut, DirectionFaults, LinkFaults};
use crate::soak::{
    CHANGING_WORKSPACE, Evidence, Fault, Key, LASTING_WORKSPACE, Link, LongBodyCounts, NamedLimit,
    SoakPlan, Span, StopAt, StrikeCounts, count_strikes, find_breaches,
};

/// Number of callers per machine.
const CALLERS_PER_MACHINE: usize = 3;

/// Time limit for all machines to serve after the start and after the last fault.
const SERVING_LIMIT: Duration = Duration::from_secs(15);

/// Time limit for a graceful stop; the platform's own limit is the grace period of 6 s.
const STOP_LIMIT: Duration = Duration::from_secs(7);

/// Result of a soak test.
#[derive(Clone, Debug, Serialize)]
pub struct SoakReport {
    /// Seed of the plan.
    pub seed: u64,
    /// Number of requests sent.
    pub requests: usize,
    /// Number of requests answered with status 200.
    pub served: usize,
    /// Number of faults injected.
    #[serde(rename = "strikes")]
    pub faults: usize,
    /// Number of requests sent by callers that pipeline, and of those how many got a complete answer.
    pub kept: (usize, usize),
    /// How many nodes were killed at the end of their grace period.
    pub killed: usize,
    /// How often each kind of fault and planned work struck requests in each state.
    pub struck: BTreeMap<String, StrikeCounts>,
    /// Kinds that never struck a request in some state.
    pub never_struck: Vec<String>,
    /// What became of the long uploads and downloads.
    pub long_bodies: LongBodyCounts,
    /// Descriptions of violated guarantees.
    pub breaches: Vec<String>,
    /// Directory of the node logs, removed if no guarantee was violated.
    pub logs: PathBuf,
}

/// Running time that a process may need to install its signal handlers. An earlier signal would end the process
/// without testing anything.
const SIGNAL_HANDLER_DELAY: Duration = Duration::from_millis(1000);

/// A node process and its running time.
pub(super) struct NodeProcess {
    pub(super) process: Process,
    started_at: Instant,
    /// Time since its start for which it was suspended.
    suspended: Duration,
    /// Whether a supervisor waits for its end.
    pub(super) stopping: bool,
}

impl NodeProcess {
    pub(super) fn start(machine: &Machine) -> Result<Self, RigError> {
        Ok(Self {
            process: machine.start()?,
            started_at: Instant::now(),
            suspended: Duration::ZERO,
            stopping: false,
        })
    }

    /// Suspends the process for a time.
    async fn suspend(&mut self, time: Duration) -> Result<(), RigError> {
        let from = Instant::now();
        self.process.signal(Signal::STOP)?;
        sleep(time).await;
        self.process.signal(Signal::CONT)?;
        self.suspended += from.elapsed();
        Ok(())
    }

    /// Waits until the signal handlers are installed. A suspended process does not get closer to that.
    pub(super) async fn wait_for_signal_handlers(&self) {
        let ran = self.started_at.elapsed().saturating_sub(self.suspended);
        sleep(SIGNAL_HANDLER_DELAY.saturating_sub(ran)).await;
    }
}

/// Start time that the entries of targets name at first, in milliseconds.
const FIRST_START_MS: u64 = 1_700_000_000_000;

/// By how much a target's clock steps back between two starts, in milliseconds.
const CLOCK_STEP_MS: u64 = 60_000;

/// Time from the start of long bodies to the stop of the node that they pass through.
const IN_BODIES: Duration = Duration::from_millis(200);

pub(super) struct Soak {
    store: Store,
    pub(super) machines: Vec<Machine>,
    /// Start time of each target as published, in milliseconds.
    start_times: Vec<AtomicU64>,
    pub(super) nodes: Vec<AsyncMutex<NodeProcess>>,
    pub(super) shared: Arc<LoadState>,
    evidence: Mutex<Evidence>,
}

/// Runs a plan and checks every guarantee.
///
/// # Errors
///
/// Fails if the fleet can't be started or does not serve before the first fault, if a fault can't be
/// injected, or if a graceful stop fails.
pub async fn run(plan: &SoakPlan) -> Result<SoakReport, RigError> {
    let logs = std::env::temp_dir().join(format!(
        "coltsfootport-soak-{}-{}",
        std::process::id(),
        plan.seed
    ));
    std::fs::create_dir_all(&logs)?;
    let soak = Arc::new(Soak::start(plan, &logs).await?);
    let mut load = soak.start_load(plan);
    soak.inject_all(plan).await?;
    let mut breaches = soak.check_recovery().await;
    soak.shared.stopping.store(true, Ordering::SeqCst);
    while load.join_next().await.is_some() {}
    let evidence = soak.collect_evidence();
    breaches.extend(find_breaches(&evidence));
    if breaches.is_empty() {
        std::fs::remove_dir_all(&logs)?;
    }
    let struck = count_strikes(&evidence);
    let served = |asked: &RequestOutcome| matches!(asked, RequestOutcome::Answered(answer) if answer.status == 200);
    Ok(SoakReport {
        seed: plan.seed,
        requests: evidence.records.len(),
        served: evidence
            .records
            .iter()
            .filter(|record| served(&record.asked))
            .count(),
        faults: plan.faults.len(),
        kept: (
            evidence.kept.len(),
            evidence.kept.iter().filter(|one| one.is_answered()).count(),
        ),
        killed: struck.get(KILL_AFTER_GRACE).map_or(0, |one| one.times),
        never_struck: never_struck(&struck),
        struck,
        long_bodies: LongBodyCounts::of(&evidence),
        breaches,
        logs,
    })
}

impl Soak {
    async fn start(plan: &SoakPlan, folder: &std::path::Path) -> Result<Self, RigError> {
        let store = Store::start().await;
        let peers = free_port()?;
        let (mut machines, mut nodes) = (Vec::new(), Vec::new());
        for at in 0..plan.machines {
            let machine = Machine::prepare(at, peers, &store, folder, plan.shares_reading).await?;
            nodes.push(AsyncMutex::new(NodeProcess::start(&machine)?));
            machines.push(machine);
        }
        let soak = Self {
            store,
            start_times: machines
                .iter()
                .map(|_| AtomicU64::new(FIRST_START_MS))
                .collect(),
            machines,
            nodes,
            shared: Arc::default(),
            evidence: Mutex::default(),
        };
        soak.publish_work_limits(plan.work.first_timeout_s(), FIRST_IDLE_S);
        for at in 0..soak.machines.len() {
            soak.publish_entry(at, "ready");
        }
        match soak.wait_until_serving().await {
            true => Ok(soak),
            false => Err(RigError::NotReady(String::from("the fleet"))),
        }
    }

    fn start_load(&self, plan: &SoakPlan) -> JoinSet<()> {
        let mut load = JoinSet::new();
        for (machine, of) in self.machines.iter().enumerate() {
            let caller = |kind: char, caller: usize, seed: u64| SoakCaller {
                machine,
                address: of.callers,
                name: format!("{kind}{}m{machine}c{caller}", plan.seed),
                seed: plan.seed ^ seed,
                shared: Arc::clone(&self.shared),
            };
            for n in 0..CALLERS_PER_MACHINE {
                let number = (machine * CALLERS_PER_MACHINE + n) as u64 + 1;
                load.spawn(caller('s', n, number << 32).run());
            }
            for n in 0..plan.work.pipelining_callers() {
                let number = (machine * MAX_PIPELINING + n) as u64 + 1;
                load.spawn(caller('p', n, number << 40).run_pipelined());
            }
        }
        load
    }

    /// Injects each fault at its time and waits for all of them to end.
    async fn inject_all(self: &Arc<Self>, plan: &SoakPlan) -> Result<(), RigError> {
        let start = tokio::time::Instant::now();
        let mut faults: JoinSet<Result<(), RigError>> = JoinSet::new();
        for scheduled in &plan.faults {
            sleep_until(start + Duration::from_millis(scheduled.at_ms)).await;
            let (soak, fault) = (Arc::clone(self), scheduled.fault);
            faults.spawn(async move { soak.inject(fault).await });
        }
        sleep_until(start + Duration::from_secs(plan.seconds)).await;
        while let Some(ended) = faults.join_next().await {
            ended.map_err(|e| RigError::Settings(e.to_string()))??;
        }
        Ok(())
    }

    async fn inject(&self, fault: Fault) -> Result<(), RigError> {
        let from = Instant::now();
        let time = Duration::from_millis;
        if !fault.is_signal() {
            self.record_strike(&fault.name(), fault.machine());
        }
        match fault {
            Fault::Kill { machine, down_ms } => {
                let mut node = self.nodes[machine].lock().await;
                node.process.kill()?;
                sleep(time(down_ms)).await;
                *node = NodeProcess::start(&self.machines[machine])?;
                self.record_span(|e| &mut e.outages, Some(machine), from);
            }
            Fault::Pause { machine, ms } => {
                let mut node = self.nodes[machine].lock().await;
                node.suspend(time(ms)).await?;
                self.record_span(|e| &mut e.outages, Some(machine), from);
            }
            Fault::Stop { machine } => self.restart_gracefully(machine).await?,
            Fault::Hangup { machine } => {
                let node = self.nodes[machine].lock().await;
                node.wait_for_signal_handlers().await;
                node.process.signal(Signal::HUP)?;
                self.record_strike(&fault.name(), Some(machine));
            }
            Fault::Roll { machine } => self.roll(machine).await?,
            Fault::Crowd {
                machine,
                count,
                work_ms,
                over_ms,
            } => self.send_crowd(machine, count, work_ms, over_ms).await,
            Fault::WorkLimits { timeout_s, idle_s } => {
                self.shared.version.fetch_add(1, Ordering::SeqCst);
                self.publish_work_limits(timeout_s, idle_s);
            }
            Fault::Store { silent, ms } => {
                let mood = if silent {
                    StoreMode::Silent
                } else {
                    StoreMode::Busy
                };
                self.set_store_mood(mood, ms, from).await;
            }
            Fault::Forget { ms } => self.set_store_mood(StoreMode::Compacted, ms, from).await,
            Fault::Configs { count, gap_ms } => {
                for _ in 0..count {
                    self.shared.version.fetch_add(1, Ordering::SeqCst);
                    self.publish_config();
                    sleep(time(gap_ms)).await;
                }
            }
            Fault::Leave { machine, ms } => self.drain_target(machine, time(ms)).await,
            Fault::RestartEarlier {
                machine,
                down_ms,
                serving_ms,
                draining_ms,
            } => {
                self.machines[machine].worker.crash(time(down_ms));
                sleep(time(down_ms)).await;
                self.record_span(|e| &mut e.impairments, None, from);
                self.start_times[machine].fetch_sub(CLOCK_STEP_MS, Ordering::SeqCst);
                self.publish_entry(machine, "ready");
                sleep(time(serving_ms)).await;
                self.drain_target(machine, time(draining_ms)).await;
            }
            Fault::StopInBodies { machine, at } => {
                let mut open = JoinSet::new();
                for number in 0..BODIES_PER_STOP {
                    let entry = match (at, number % 2) {
                        (StopAt::Entry, 0) => machine,
                        (StopAt::Entry, _) => (machine + number) % self.machines.len(),
                        // The only other one in its failure domain, whose target has too few slots for them.
                        (StopAt::Host, _) => (machine + DOMAINS) % self.machines.len(),
                    };
                    let body = LongBody {
                        machine: entry,
                        address: self.machines[entry].callers,
                        number: self.shared.long_bodies.fetch_add(1, Ordering::SeqCst),
                    };
                    if at == StopAt::Host && body.is_upload() {
                        continue;
                    }
                    let shared = Arc::clone(&self.shared);
                    open.spawn(async move { body.send(&shared).await });
                }
                sleep(IN_BODIES).await;
                let stopped = self.restart_gracefully(machine).await;
                while open.join_next().await.is_some() {}
                stopped?;
            }
            Fault::Target {
                machine,
                act,
                count,
            } => {
                let acts = std::iter::repeat_n(target_act(act), count);
                self.machines[machine].worker.queue(acts);
                self.record_span(|e| &mut e.impairments, None, from);
            }
            Fault::Slow {
                machine,
                link,
                latency_ms,
                ms,
            } => {
                let faults = LinkFaults::both(DirectionFaults::latency(time(latency_ms)));
                self.set_link_faults(machine, link, faults, ms, from).await;
            }
            Fault::Silence {
                machine,
                link,
                forward,
                backward,
                ms,
            } => {
                let cut = |cut: bool| match cut {
                    true => DirectionFaults::cut(Cut::Blackhole),
                    false => DirectionFaults::default(),
                };
                let faults = LinkFaults {
                    forward: cut(forward),
                    backward: cut(backward),
                    ..Default::default()
                };
                self.set_link_faults(machine, link, faults, ms, from).await;
            }
            Fault::GoBack { lost, again_ms } => {
                let lost = self.store.restore_backup(lost);
                sleep(time(again_ms)).await;
                self.store.repeat_lost(lost);
            }
            Fault::CrashTarget { machine, down_ms } => {
                self.machines[machine].worker.crash(time(down_ms));
                sleep(time(down_ms)).await;
                self.record_span(|e| &mut e.impairments, None, from);
            }
            Fault::Limit {
                machine,
                per_second,
                ms,
            } => {
                let worker = &self.machines[machine].worker;
                let limit = f64::from(per_second);
                worker.announce_limit(Some(&limit.to_string()));
                sleep(time(ms)).await;
                self.record_limit(machine, limit, from);
                worker.announce_limit(None);
            }
            Fault::AnnounceLeaving { machine } => {
                self.machines[machine].worker.announce_leaving(true);
                self.evidence().leaving = Some(machine);
            }
            Fault::StandStill { machine, ms } => {
                let worker = &self.machines[machine].worker;
                worker.set_paused(true);
                sleep(time(ms)).await;
                worker.set_paused(false);
                self.record_span(|e| &mut e.impairments, None, from);
            }
            Fault::Crashing {
                request,
                copies,
                gap_ms,
            } => {
                for copy in 0..copies {
                    let machine = copy % self.machines.len();
                    let sender = CrashingRequest {
                        machine,
                        address: self.machines[machine].callers,
                        request,
                    };
                    sender.send(copy, &self.shared).await;
                    sleep(time(gap_ms)).await;
                }
            }
            Fault::Reset { machine, link, ms } => {
                let faults = LinkFaults::both(DirectionFaults::cut(Cut::Close));
                self.set_link_faults(machine, link, faults, ms, from).await;
            }
        }
        Ok(())
    }

    /// Stops a node gracefully and starts it again.
    async fn restart_gracefully(&self, machine: usize) -> Result<(), RigError> {
        let mut node = self.nodes[machine].lock().await;
        node.wait_for_signal_handlers().await;
        let from = Instant::now();
        self.record_strike("stop", Some(machine));
        let stopped = node.process.stop(STOP_LIMIT).await;
        self.record_span(|e| &mut e.stops, Some(machine), from);
        *node = NodeProcess::start(&self.machines[machine])?;
        let status = stopped?;
        match status.success() {
            true => Ok(()),
            false => Err(RigError::Breach(format!(
                "graceful stop ended with {status}"
            ))),
        }
    }

    /// Publishes a target as draining, and as ready again after a time.
    async fn drain_target(&self, machine: usize, time: Duration) {
        let from = Instant::now();
        self.publish_entry(machine, "draining");
        sleep(time).await;
        self.record_span(|e| &mut e.drains, Some(machine), from);
        self.publish_entry(machine, "ready");
    }

    async fn set_store_mood(&self, mood: StoreMode, ms: u64, from: Instant) {
        self.store.set_mode(mood);
        sleep(Duration::from_millis(ms)).await;
        self.store.set_mode(StoreMode::Normal);
        self.record_span(|e| &mut e.impairments, None, from);
    }

    async fn set_link_faults(
        &self,
        machine: usize,
        link: Link,
        faults: LinkFaults,
        ms: u64,
        from: Instant,
    ) {
        self.machines[machine].set_faults(link, &faults);
        sleep(Duration::from_millis(ms)).await;
        self.machines[machine].set_faults(link, &LinkFaults::default());
        self.record_span(|e| &mut e.impairments, None, from);
    }

    /// Evidence collected so far.
    pub(super) fn evidence(&self) -> MutexGuard<'_, Evidence> {
        self.evidence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a time span from `from` until now.
    pub(super) fn record_span<F>(&self, which: F, machine: Option<usize>, from: Instant)
    where
        F: FnOnce(&mut Evidence) -> &mut Vec<Span>,
    {
        which(&mut self.evidence()).push(Span {
            machine,
            from,
            to: Instant::now(),
        });
    }

    /// Records a rate limit that a target named from `from` until now.
    fn record_limit(&self, machine: usize, per_second: f64, from: Instant) {
        self.evidence().limits.push(NamedLimit {
            machine,
            per_second,
            from,
            to: Instant::now(),
        });
    }

    pub(super) fn publish_config(&self) {
        let version = self.shared.version.load(Ordering::SeqCst);
        let mut more: Vec<String> = (0..=version)
            .map(|n| route(&format!("v{n}"), &format!("/v{n}/"), "idempotent", 1))
            .collect();
        for (kind, prefix) in [("upload", UPLOAD_PREFIX), ("download", DOWNLOAD_PREFIX)] {
            let timeout = format!("\"timeout_s\":{LONG_TIMEOUT_S}");
            more.push(route(kind, prefix, kind, 1).replace("\"timeout_s\":3", &timeout));
        }
        let timeout_s = self.shared.work_timeout_s.load(Ordering::SeqCst);
        let work = route("work", WORK_PREFIX, "idempotent", 1);
        more.push(work.replace("\"timeout_s\":3", &format!("\"timeout_s\":{timeout_s}")));
        // High limits keep quotas from refusing requests; a model covers quotas under faults.
        let workspaces = [
            workspace(LASTING_WORKSPACE, &[&Key::Lasting.text()], 0, 1e6),
            workspace(
                CHANGING_WORKSPACE,
                &[&Key::OfVersion(version).text()],
                1,
                1e6,
            ),
        ];
        let config = config_with_workspaces(version + 1, &workspaces);
        let routes = format!("\"routes\":[{},", more.join(","));
        let config = config.replacen("\"routes\":[", &routes, 1);
        let idle = self.shared.idle_s.load(Ordering::SeqCst);
        let idle = format!("\"idle_timeout_s\":{idle}");
        self.store
            .put_config(&config.replace("\"idle_timeout_s\":8", &idle));
    }

    fn publish_entry(&self, at: usize, state: &str) {
        let machine = &self.machines[at];
        let text = entry(machine.target, &machine.domain, state);
        let started_at = self.start_times[at].load(Ordering::SeqCst);
        let text = text.replacen('{', &format!("{{\"born\":{started_at},"), 1);
        self.store.put_entry(&machine.worker.id, &text);
    }

    /// Reports a breach unless every machine serves again after the last fault.
    async fn check_recovery(&self) -> Vec<String> {
        match self.wait_until_serving().await {
            true => Vec::new(),
            false => vec![format!(
                "some machines did not serve again within {SERVING_LIMIT:?}"
            )],
        }
    }

    async fn wait_until_serving(&self) -> bool {
        let deadline = Instant::now() + SERVING_LIMIT;
        let mut missing: HashSet<usize> = (0..self.machines.len()).collect();
        while Instant::now() < deadline && !missing.is_empty() {
            for at in missing.clone() {
                if self.is_serving(at).await {
                    missing.remove(&at);
                }
            }
            sleep(Duration::from_millis(50)).await;
        }
        missing.is_empty()
    }

    async fn is_serving(&self, at: usize) -> bool {
        let address = self.machines[at].callers;
        let Some(mut caller) = Caller::try_connect(address, Duration::from_millis(500)).await
        else {
            return false;
        };
        let version = self.shared.version.load(Ordering::SeqCst);
        let key = key_header(&Key::Lasting.text());
        let request = get(HOST, &format!("/v{version}/x"), "", &key);
        let asked = caller
            .request(&request, ROUTE_TIMEOUT + ANSWER_TOLERANCE)
            .await;
        matches!(asked, RequestOutcome::Answered(answer) if answer.status == 200)
    }

    fn collect_evidence(&self) -> Evidence {
        let spans = self.evidence();
        let records = self.shared.records.lock();
        let kept = self.shared.kept.lock();
        let workers = self.machines.iter().map(|machine| &machine.worker);
        let crashes = workers
            .flat_map(|worker| worker.crash_times())
            .map(|from| Span {
                machine: None,
                from,
                to: from + CRASH_DOWNTIME,
            });
        let impairments = spans.impairments.iter().copied().chain(crashes).collect();
        Evidence {
            impairments,
            records: records.unwrap_or_else(PoisonError::into_inner).clone(),
            kept: kept.unwrap_or_else(PoisonError::into_inner).clone(),
            arrivals: self
                .machines
                .iter()
                .map(|machine| machine.worker.arrivals())
                .collect(),
            ..spans.clone()
        }
    }
}

/// Maps the number in [`Fault::Target`] to a target's misbehaviour.
fn target_act(act: u8) -> Behavior {
    match act {
        0 => Behavior::LoseAnswer,
        1 => Behavior::Status(500),
        2 => Behavior::Refuse,
        3 => Behavior::Unsigned,
        4 => Behavior::CutBody,
        5 => Behavior::Garbage,
        _ => Behavior::Twice(Duration::from_millis(2)),
    }
}
