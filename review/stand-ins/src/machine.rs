//! Machines on loopback addresses of their own: a node process, started by the command of the deploy file, and its worker.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime};

use coltsfootport_stand_ins::Store;
use rustix::process::{Pid, Signal, kill_process};
use tokio::time::sleep;

use crate::{Client, Outcome, Record, Worker, WorkerSpec};

/// First port for the traffic between nodes, and the port of the metrics that the template names.
const PEERS_PORT: u16 = 7620;
const METRICS_PORT: u16 = 7621;

/// Longest wait for a condition at the start.
const START_LIMIT: Duration = Duration::from_secs(20);

/// What a fleet is started with.
pub struct FleetSpec {
    /// The worker of each machine, and its zone.
    pub workers: Vec<(WorkerSpec, &'static str)>,
    /// The first configuration.
    pub config: String,
}

/// A machine.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: &'static str,
    pub callers: SocketAddr,
    pub worker: Worker,
    pub spec: WorkerSpec,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    node: Option<Child>,
}

/// The store and the machines.
pub struct Fleet {
    pub store: Store,
    pub machines: Vec<Machine>,
    pub record: Record,
    folder: PathBuf,
}

impl Fleet {
    /// Starts the store, the workers and the nodes, and waits until every node is ready and knows all workers.
    ///
    /// # Panics
    ///
    /// They can't be started.
    pub async fn start(spec: FleetSpec, record: Record) -> Self {
        let store = Store::start().await;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let network = free_network(spec.workers.len());
        let mut fleet = Self {
            store,
            machines: Vec::new(),
            record,
            folder,
        };
        for (at, (worker, zone)) in spec.workers.into_iter().enumerate() {
            let ip = Ipv4Addr::new(127, network.0, network.1, at as u8 + 1);
            fleet.add(at, ip, worker, zone);
        }
        fleet.store.put_config(&spec.config);
        for machine in &fleet.machines {
            fleet.publish(machine, "ready", machine.spec.born);
        }
        for at in 0..fleet.machines.len() {
            fleet.start_node(at);
        }
        for at in 0..fleet.machines.len() {
            fleet.wait_until_ready(at).await;
        }
        fleet
    }

    fn add(&mut self, at: usize, ip: Ipv4Addr, spec: WorkerSpec, zone: &'static str) {
        let worker = Worker::start((ip, 0).into(), spec.clone());
        let name = format!("node-{}", at + 1);
        self.machines.push(Machine {
            ip,
            zone,
            callers: free_address(ip),
            ready: free_address(ip),
            settings: self.folder.join(format!("{name}.json")),
            log: self.folder.join(format!("{name}.log")),
            worker,
            spec,
            node: None,
            name,
        });
    }

    /// Writes the entry of a machine's worker to the store.
    pub fn publish(&self, machine: &Machine, state: &str, born: Option<u64>) {
        let Machine {
            spec, worker, zone, ..
        } = machine;
        let born = born.map(|born| format!(r#","born":{born}"#));
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{zone}","version":"v1","slots":{},"state":"{state}","cold_remaining_s":0,"sequence":1{}}}"#,
            spec.service,
            worker.addr,
            spec.slots,
            born.unwrap_or_default()
        );
        self.store.put_entry(worker.id(), &entry);
        let line = format!(
            "store: {} of {} is {state} {entry}",
            worker.id(),
            machine.name
        );
        self.record.line(&line);
    }

    /// Ends the worker of a machine, and starts it again after `downtime` at its address and under its id.
    pub async fn restart_worker(&mut self, at: usize, downtime: Duration) {
        let machine = &mut self.machines[at];
        let addr = machine.worker.addr;
        machine.worker.end();
        self.record.line(&format!("{} crashes", machine.spec.id));
        sleep(downtime).await;
        machine.worker = Worker::start(addr, machine.spec.clone());
        self.record
            .line(&format!("{} starts again", machine.spec.id));
    }

    /// Starts the node of a machine by the command of the deploy file.
    ///
    /// # Panics
    ///
    /// It can't be started.
    pub fn start_node(&mut self, at: usize) {
        let store = self.store.addr;
        let machine = &mut self.machines[at];
        fs::write(&machine.settings, settings(machine, store)).expect("settings written");
        let command = deploy_command();
        let log = File::options().create(true).append(true).open(&machine.log);
        let log = log.expect("a log file");
        let node = Command::new(&command[0])
            .args(&command[1..])
            .env_clear()
            .envs(std::env::vars().filter(|(name, _)| name == "PATH" || name == "HOME"))
            .env("COLTSFOOTPORT_SETTINGS", &machine.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log file"))
            .stdout(log)
            .spawn();
        machine.node = Some(node.expect("a node"));
        self.record.line(&format!("{} starts", machine.name));
    }

    /// Waits until the node of a machine is ready and knows all workers.
    ///
    /// # Panics
    ///
    /// It takes too long.
    pub async fn wait_until_ready(&self, at: usize) {
        let machine = &self.machines[at];
        let known = format!("coltsfootport_mesh_instances {}", self.machines.len());
        let deadline = Instant::now() + START_LIMIT;
        while !(machine.is_ready().await && machine.metrics().await.contains(&known)) {
            assert!(Instant::now() < deadline, "{} isn't ready", machine.name);
            sleep(Duration::from_millis(50)).await;
        }
        self.record.line(&format!("{} is ready", machine.name));
    }

    /// Sends a signal to the node of a machine.
    ///
    /// # Panics
    ///
    /// It isn't running.
    pub fn signal(&self, at: usize, signal: Signal) {
        let machine = &self.machines[at];
        let node = machine.node.as_ref().expect("a node");
        kill_process(Pid::from_child(node), signal).expect("a signal");
        self.record
            .line(&format!("{} gets {signal:?}", machine.name));
    }

    /// Waits until the node of a machine has ended; kills it after `grace`.
    pub async fn wait_for_end(&mut self, at: usize, grace: Duration) {
        let record = self.record.clone();
        let machine = &mut self.machines[at];
        let node = machine.node.as_mut().expect("a node");
        let deadline = Instant::now() + grace;
        while node.try_wait().expect("state of a node").is_none() {
            if Instant::now() >= deadline {
                record.line(&format!(
                    "{} is killed after its grace period",
                    machine.name
                ));
                node.kill().expect("a signal");
                break;
            }
            sleep(Duration::from_millis(10)).await;
        }
        node.wait().expect("end of a node");
        machine.node = None;
        record.line(&format!("{} has ended", machine.name));
    }

    /// Adds the lines of the nodes' logs that contain one of `marks` to the record.
    pub fn copy_logs(&self, marks: &[&str]) {
        for machine in &self.machines {
            let text = fs::read_to_string(&machine.log).unwrap_or_default();
            let lines = text
                .lines()
                .filter(|line| marks.iter().any(|mark| line.contains(mark)));
            for line in lines.take(60) {
                self.record
                    .line(&format!("log of {}: {line}", machine.name));
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(node) = &mut machine.node {
                let _ = node.kill();
                let _ = node.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Machine {
    async fn is_ready(&self) -> bool {
        let check = "GET /coltsfootport/readiness HTTP/1.1\r\nHost: node\r\n\r\n";
        let answer = Client::once(self.ready, check, Duration::from_secs(1)).await;
        matches!(answer, Outcome::Answered { status: 200, .. })
    }

    async fn metrics(&self) -> String {
        let get = format!("GET /metrics HTTP/1.1\r\nHost: {}\r\n\r\n", self.ip);
        let address = SocketAddr::from((self.ip, METRICS_PORT));
        let answer = coltsfootport_stand_ins::Caller::once(address, &get).await;
        answer.map(|answer| answer.body).unwrap_or_default()
    }
}

/// Fills in the deploy file's template of the settings with the figures of a small deployment.
fn settings(machine: &Machine, store: SocketAddr) -> String {
    let template = fs::read_to_string("deploy/node.jsonc").expect("deploy/node.jsonc");
    let (before, rest) = template
        .split_once("{{#bounds.quota_window_s}}")
        .expect("a section");
    let (_, after) = rest
        .split_once("{{/bounds.quota_window_s}}")
        .expect("its end");
    let text = |value: &dyn std::fmt::Display| format!("\"{value}\"");
    let values = [
        ("{{node_name|json}}", text(&machine.name)),
        ("{{service|json}}", text(&machine.spec.service)),
        ("{{zone|json}}", text(&machine.zone)),
        ("{{application_address|json}}", text(&machine.worker.addr)),
        ("{{listen_addresses.outbound|json}}", text(&machine.callers)),
        ("{{listen_addresses.ready|json}}", text(&machine.ready)),
        ("{{ip_address}}", machine.ip.to_string()),
        ("{{internal_port_range.0}}", PEERS_PORT.to_string()),
        ("{{platform.address|json}}", text(&store)),
        ("{{bounds.retry_budget_ratio|json}}", String::from("0.2")),
        ("{{bounds.budget_slack|json}}", String::from("47")),
        ("{{bounds.budget_window_s|json}}", String::from("10")),
        ("{{bounds.grace_period_s|json}}", String::from("6")),
        ("{{limits.file_descriptors|json}}", String::from("4100")),
    ];
    let template = format!("{before}{after}");
    values
        .iter()
        .fold(template, |text, (name, value)| text.replace(name, value))
}

/// The words of the deploy file's `run`.
fn deploy_command() -> Vec<String> {
    let text = fs::read_to_string("deploy/system.toml").expect("deploy/system.toml");
    let run = text.lines().find_map(|line| line.strip_prefix("run = "));
    let run = run.expect("a run command").trim().trim_matches('"');
    run.split(' ').map(str::to_owned).collect()
}

/// A loopback network of which no address is in use at the ports that all nodes share.
fn free_network(machines: usize) -> (u8, u8) {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let seed = now.expect("a clock").subsec_nanos() / 1000 + std::process::id();
    for step in 0..200 {
        let seed = seed.wrapping_add(step * 7919);
        let network = ((64 + seed % 128) as u8, (seed / 128 % 256) as u8);
        let mut ips = (1..=machines).map(|at| Ipv4Addr::new(127, network.0, network.1, at as u8));
        let is_free = |ip| {
            [PEERS_PORT, METRICS_PORT]
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
        };
        if ips.all(is_free) {
            return network;
        }
    }
    panic!("no free loopback network");
}

fn free_address(ip: Ipv4Addr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}
