//! Runs a soak: machines, load, strikes, and the checks at its end.

use std::collections::HashSet;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use coltsfootport_stand_ins::{
    Behavior, Caller, HOST, RequestOutcome, Store, StoreMode, config_with_workspaces, entry, get,
    key_header, route, workspace,
};
use serde::Serialize;
use tokio::sync::Mutex as AsyncMutex;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use super::callers::{CrashingRequest, LATE, ROUTE_LIMIT, Shared, SoakCaller};
use super::machine::{CRASHED_FOR, Machine};
use crate::error::RigError;
use crate::process::{Process, Signal, free_port};
use crate::proxy::{Cut, DirectionFaults, LinkFaults};
use crate::soak::{CHANGING, Evidence, Key, LASTING, SoakPlan, Span, Strike, Wire, breaches_of};

/// Callers of each machine.
const CALLERS: usize = 3;

/// Longest time for a fleet to serve at its start, and again after the last strike.
const SERVES_WITHIN: Duration = Duration::from_secs(15);

/// Longest time for a planned stop; the platform's own limit is the grace time of 6 s.
const STOPS_WITHIN: Duration = Duration::from_secs(7);

/// What a soak has shown.
#[derive(Clone, Debug, Serialize)]
pub struct SoakReport {
    /// The seed.
    pub seed: u64,
    /// Requests sent.
    pub requests: usize,
    /// Of these, served.
    pub served: usize,
    /// Strikes.
    pub strikes: usize,
    /// Promises that were broken.
    pub breaches: Vec<String>,
    /// Where the nodes' logs stand; removed where nothing was broken.
    pub logs: PathBuf,
}

/// Age up to which a process may not have taken over its signals yet: one that comes sooner ends it, which says nothing.
const TAKES_SIGNALS: Duration = Duration::from_millis(1000);

/// A node's process.
struct Running {
    process: Process,
    since: Instant,
}

impl Running {
    fn start(machine: &Machine) -> Result<Self, RigError> {
        Ok(Self {
            process: machine.start()?,
            since: Instant::now(),
        })
    }

    /// Waits until signals are taken over.
    async fn takes_signals(&self) {
        sleep(TAKES_SIGNALS.saturating_sub(self.since.elapsed())).await;
    }
}

struct Soak {
    store: Store,
    machines: Vec<Machine>,
    nodes: Vec<AsyncMutex<Running>>,
    shared: Arc<Shared>,
    spans: Mutex<Evidence>,
}

/// Runs a plan and checks every promise.
///
/// # Errors
///
/// The fleet can't be started, or does not serve before the first strike.
pub async fn run(plan: &SoakPlan) -> Result<SoakReport, RigError> {
    let logs = std::env::temp_dir().join(format!(
        "coltsfootport-soak-{}-{}",
        std::process::id(),
        plan.seed
    ));
    std::fs::create_dir_all(&logs)?;
    let soak = Arc::new(Soak::start(plan, &logs).await?);
    let mut load = soak.load(plan);
    soak.strike(plan).await?;
    let mut breaches = soak.at_rest().await;
    soak.shared.over.store(true, Ordering::SeqCst);
    while load.join_next().await.is_some() {}
    let evidence = soak.evidence();
    breaches.extend(breaches_of(&evidence));
    if breaches.is_empty() {
        std::fs::remove_dir_all(&logs)?;
    }
    let served = |asked: &RequestOutcome| matches!(asked, RequestOutcome::Answered(answer) if answer.status == 200);
    Ok(SoakReport {
        seed: plan.seed,
        requests: evidence.records.len(),
        served: evidence
            .records
            .iter()
            .filter(|record| served(&record.asked))
            .count(),
        strikes: plan.strikes.len(),
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
            nodes.push(AsyncMutex::new(Running::start(&machine)?));
            machines.push(machine);
        }
        let soak = Self {
            store,
            machines,
            nodes,
            shared: Arc::default(),
            spans: Mutex::default(),
        };
        soak.publish();
        for at in 0..soak.machines.len() {
            soak.list(at, "ready");
        }
        match soak.serves().await {
            true => Ok(soak),
            false => Err(RigError::NotReady(String::from("the fleet"))),
        }
    }

    fn load(&self, plan: &SoakPlan) -> JoinSet<()> {
        let mut load = JoinSet::new();
        for (machine, of) in self.machines.iter().enumerate() {
            for caller in 0..CALLERS {
                let caller = SoakCaller {
                    machine,
                    address: of.callers,
                    name: format!("s{}m{machine}c{caller}", plan.seed),
                    seed: plan.seed ^ ((machine * CALLERS + caller) as u64 + 1) << 32,
                    shared: Arc::clone(&self.shared),
                };
                load.spawn(caller.run());
            }
        }
        load
    }

    /// Lets every strike begin at its time and waits for the last to end.
    async fn strike(self: &Arc<Self>, plan: &SoakPlan) -> Result<(), RigError> {
        let start = tokio::time::Instant::now();
        let mut strikes: JoinSet<Result<(), RigError>> = JoinSet::new();
        for timed in &plan.strikes {
            sleep_until(start + Duration::from_millis(timed.at_ms)).await;
            let (soak, strike) = (Arc::clone(self), timed.strike);
            strikes.spawn(async move { soak.hit(strike).await });
        }
        sleep_until(start + Duration::from_secs(plan.seconds)).await;
        while let Some(ended) = strikes.join_next().await {
            ended.map_err(|e| RigError::Settings(e.to_string()))??;
        }
        Ok(())
    }

    async fn hit(&self, strike: Strike) -> Result<(), RigError> {
        let from = Instant::now();
        let time = Duration::from_millis;
        match strike {
            Strike::Kill { machine, down_ms } => {
                let mut node = self.nodes[machine].lock().await;
                node.process.kill()?;
                sleep(time(down_ms)).await;
                *node = Running::start(&self.machines[machine])?;
                self.note(|e| &mut e.away, Some(machine), from);
            }
            Strike::Pause { machine, ms } => {
                let node = self.nodes[machine].lock().await;
                node.process.signal(Signal::STOP)?;
                sleep(time(ms)).await;
                node.process.signal(Signal::CONT)?;
                self.note(|e| &mut e.away, Some(machine), from);
            }
            Strike::Stop { machine } => self.stop(machine).await?,
            Strike::Hangup { machine } => {
                let node = self.nodes[machine].lock().await;
                node.takes_signals().await;
                node.process.signal(Signal::HUP)?;
            }
            Strike::Store { silent, ms } => {
                let mood = if silent {
                    StoreMode::Silent
                } else {
                    StoreMode::Busy
                };
                self.mood(mood, ms, from).await;
            }
            Strike::Forget { ms } => self.mood(StoreMode::Compacted, ms, from).await,
            Strike::Configs { count, gap_ms } => {
                for _ in 0..count {
                    self.shared.version.fetch_add(1, Ordering::SeqCst);
                    self.publish();
                    sleep(time(gap_ms)).await;
                }
            }
            Strike::Leave { machine, ms } => {
                self.list(machine, "draining");
                sleep(time(ms)).await;
                self.note(|e| &mut e.leaves, Some(machine), from);
                self.list(machine, "ready");
            }
            Strike::Target {
                machine,
                act,
                count,
            } => {
                let acts = std::iter::repeat_n(act_of(act), count);
                self.machines[machine].worker.queue(acts);
                self.note(|e| &mut e.troubled, None, from);
            }
            Strike::Slow {
                machine,
                wire,
                latency_ms,
                ms,
            } => {
                let faults = LinkFaults::both(DirectionFaults::latency(time(latency_ms)));
                self.wire(machine, wire, faults, ms, from).await;
            }
            Strike::Silence {
                machine,
                wire,
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
                self.wire(machine, wire, faults, ms, from).await;
            }
            Strike::GoBack { lost, again_ms } => {
                let lost = self.store.restore_backup(lost);
                sleep(time(again_ms)).await;
                self.store.repeat_lost(lost);
            }
            Strike::CrashTarget { machine, down_ms } => {
                self.machines[machine].worker.crash(time(down_ms));
                sleep(time(down_ms)).await;
                self.note(|e| &mut e.troubled, None, from);
            }
            Strike::Crashing {
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
            Strike::Reset { machine, wire, ms } => {
                let faults = LinkFaults::both(DirectionFaults::cut(Cut::Close));
                self.wire(machine, wire, faults, ms, from).await;
            }
        }
        Ok(())
    }

    /// Asks a node to stop; its target leaves before, as it does when machines are stopped in turn.
    async fn stop(&self, machine: usize) -> Result<(), RigError> {
        let mut node = self.nodes[machine].lock().await;
        node.takes_signals().await;
        let from = Instant::now();
        let stopped = node.process.stop(STOPS_WITHIN).await;
        self.note(|e| &mut e.stops, Some(machine), from);
        *node = Running::start(&self.machines[machine])?;
        let status = stopped?;
        match status.success() {
            true => Ok(()),
            false => Err(RigError::Breach(format!(
                "a planned stop ended with {status}"
            ))),
        }
    }

    async fn mood(&self, mood: StoreMode, ms: u64, from: Instant) {
        self.store.set_mode(mood);
        sleep(Duration::from_millis(ms)).await;
        self.store.set_mode(StoreMode::Normal);
        self.note(|e| &mut e.troubled, None, from);
    }

    async fn wire(&self, machine: usize, wire: Wire, faults: LinkFaults, ms: u64, from: Instant) {
        self.machines[machine].set(wire, &faults);
        sleep(Duration::from_millis(ms)).await;
        self.machines[machine].set(wire, &LinkFaults::default());
        self.note(|e| &mut e.troubled, None, from);
    }

    /// Notes that something held from a moment until now.
    fn note<F>(&self, which: F, machine: Option<usize>, from: Instant)
    where
        F: FnOnce(&mut Evidence) -> &mut Vec<Span>,
    {
        let mut spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        which(&mut spans).push(Span {
            machine,
            from,
            to: Instant::now(),
        });
    }

    fn publish(&self) {
        let version = self.shared.version.load(Ordering::SeqCst);
        let more: Vec<String> = (0..=version)
            .map(|n| route(&format!("v{n}"), &format!("/v{n}/"), "idempotent", 1))
            .collect();
        // High limits: how far quotas hold under faults is shown by a model; here nobody is to be refused by them.
        let workspaces = [
            workspace(LASTING, &[&Key::Lasting.text()], 0, 1e6),
            workspace(CHANGING, &[&Key::OfVersion(version).text()], 1, 1e6),
        ];
        let config = config_with_workspaces(version + 1, &workspaces);
        let routes = format!("\"routes\":[{},", more.join(","));
        self.store
            .put_config(&config.replacen("\"routes\":[", &routes, 1));
    }

    fn list(&self, at: usize, state: &str) {
        let machine = &self.machines[at];
        let text = entry(machine.target, &machine.domain, state);
        self.store.put_entry(&machine.worker.id, &text);
    }

    /// After the last strike every machine must serve again.
    async fn at_rest(&self) -> Vec<String> {
        match self.serves().await {
            true => Vec::new(),
            false => vec![format!("not served again within {SERVES_WITHIN:?}")],
        }
    }

    async fn serves(&self) -> bool {
        let deadline = Instant::now() + SERVES_WITHIN;
        let mut missing: HashSet<usize> = (0..self.machines.len()).collect();
        while Instant::now() < deadline && !missing.is_empty() {
            for at in missing.clone() {
                if self.is_served(at).await {
                    missing.remove(&at);
                }
            }
            sleep(Duration::from_millis(50)).await;
        }
        missing.is_empty()
    }

    async fn is_served(&self, at: usize) -> bool {
        let address = self.machines[at].callers;
        let Some(mut caller) = Caller::try_connect(address, Duration::from_millis(500)).await
        else {
            return false;
        };
        let version = self.shared.version.load(Ordering::SeqCst);
        let key = key_header(&Key::Lasting.text());
        let request = get(HOST, &format!("/v{version}/x"), "", &key);
        let asked = caller.request(&request, ROUTE_LIMIT + LATE).await;
        matches!(asked, RequestOutcome::Answered(answer) if answer.status == 200)
    }

    fn evidence(&self) -> Evidence {
        let spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        let records = self.shared.records.lock();
        let workers = self.machines.iter().map(|machine| &machine.worker);
        let crashes = workers
            .flat_map(|worker| worker.crash_times())
            .map(|from| Span {
                machine: None,
                from,
                to: from + CRASHED_FOR,
            });
        let troubled = spans.troubled.iter().copied().chain(crashes).collect();
        Evidence {
            troubled,
            records: records.unwrap_or_else(PoisonError::into_inner).clone(),
            arrivals: self
                .machines
                .iter()
                .map(|machine| machine.worker.arrivals())
                .collect(),
            ..spans.clone()
        }
    }
}

/// Ways in which targets fail.
fn act_of(act: u8) -> Behavior {
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
