//! A machine of a soak test: a real node, its target, and a proxy on the links of both.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use coltsfootport_stand_ins::{Behavior, CrashTrigger, Store, Worker};

use super::long_bodies::{
    DOWNLOAD_PREFIX, LONG_BODY, SLOW_READ_PAUSE, SLOW_WRITE_PAUSE, UPLOAD_PREFIX,
};
use super::pipelined::{WORK_MS, work_path};
use crate::error::RigError;
use crate::fleet::Programs;
use crate::process::{Output, Process, ProcessSpec, free_port};
use crate::proxy::{LinkFaults, LinkPlan, Plan, Protocol, Proxy};
use crate::soak::Link;

/// Values filled into the settings file of a mesh node.
#[derive(Clone, Debug)]
pub struct NodeSettings<'a> {
    /// Name of the node.
    pub name: &'a str,
    /// Failure domain of the node.
    pub domain: &'a str,
    /// Address of the target.
    pub target: SocketAddr,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address of the readiness check.
    pub ready: SocketAddr,
    /// Listen address for other nodes.
    pub peers: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Additional publisher settings, starting with a comma, or empty.
    pub publisher: &'a str,
    /// Limits of its machine.
    pub limits: NodeLimits,
}

/// Limits of a node's machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeLimits {
    /// Maximum number of open descriptors; `None` leaves it to the limit of the process.
    pub descriptors: Option<u64>,
    /// Memory of the process in MB; `None` leaves it to the node's default.
    pub memory_mb: Option<u64>,
}

/// Formats a settings file. Watches are short, so that nodes detect store outages quickly.
pub fn settings_text(node: &NodeSettings<'_>) -> String {
    let limits = [
        ("descriptors", node.limits.descriptors),
        ("memory_mb", node.limits.memory_mb),
    ];
    let limits = limits
        .into_iter()
        .filter_map(|(key, limit)| Some((key, limit?)));
    let limits: Vec<String> = limits
        .map(|(key, limit)| format!(r#""{key}": {limit}"#))
        .collect();
    let load = match limits.is_empty() {
        true => String::new(),
        false => format!("  \"load\": {{ {} }},\n", limits.join(", ")),
    };
    format!(
        r#"{{
  "node": {{ "name": "{}", "service": "svc", "domain": "{}", "target": "{}",
    "callers": "{}", "ready": "{}", "peers": "{}" }},
  "publisher": {{ "address": "{}", "watch_ms": 300, "timeout_ms": 400{} }},
  "retries": {{ "ratio": 0.2, "slack": 50, "window_s": 10 }},
{}  "grace_s": 6
}}"#,
        node.name,
        node.domain,
        node.target,
        node.callers,
        node.ready,
        node.peers,
        node.store,
        node.publisher,
        load,
    )
}

/// Publisher settings that enable shared store reads whatever the fleet size.
const SHARED_READS: &str = r#", "direct_ratio": 0"#;

/// Service time of a target.
const SERVICE_TIME: Duration = Duration::from_millis(8);

/// Number of failure domains.
pub const DOMAINS: usize = 3;

/// Marks requests that crash targets.
pub const CRASHING_MARK: &str = "crashing";

/// Time until a crashed target is back.
pub const CRASH_DOWNTIME: Duration = Duration::from_millis(1200);

/// A node with its target, settings and proxied links.
pub struct Machine {
    /// The target.
    pub worker: Worker,
    /// Published address of the target, which is the proxy's.
    pub target: SocketAddr,
    /// Failure domain of the machine.
    pub domain: String,
    /// Caller address of the node.
    pub callers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    proxy: Proxy,
}

impl Machine {
    /// Starts the target and the proxy and writes the node's settings, without starting the node.
    ///
    /// Peers connect to a node at its target's IP address and a port common to all nodes, so each
    /// machine has an outer address for the proxy and an inner one for the node.
    pub async fn prepare(
        at: usize,
        peers_port: u16,
        store: &Store,
        folder: &Path,
        shares_reading: bool,
    ) -> Result<Self, RigError> {
        let outer = format!("127.0.2.{}", at + 1);
        let inner = format!("127.0.3.{}", at + 1);
        let address = |ip: &str, port: u16| -> Result<SocketAddr, RigError> {
            let text = format!("{ip}:{port}");
            text.parse()
                .map_err(|_| RigError::Settings(format!("invalid address: {text}")))
        };
        let worker = Worker::start(&inner, &format!("i-{at}")).await;
        worker.set_default(Behavior::Work(SERVICE_TIME));
        worker.set_crash_trigger(CrashTrigger {
            pattern: CRASHING_MARK.to_owned(),
            after: SERVICE_TIME,
            downtime: CRASH_DOWNTIME,
        });
        worker.set_for_prefix(UPLOAD_PREFIX, Behavior::SlowRead(SLOW_READ_PAUSE));
        worker.set_for_prefix(
            DOWNLOAD_PREFIX,
            Behavior::SlowLong(LONG_BODY, SLOW_WRITE_PAUSE),
        );
        for ms in WORK_MS {
            worker.set_for_prefix(&work_path(ms), Behavior::Work(Duration::from_millis(ms)));
        }
        let peers = address(&inner, peers_port)?;
        let links = vec![
            LinkPlan {
                listen: address(&outer, peers_port)?,
                ..LinkPlan::new(link_name(Link::Peers), Protocol::Tcp, peers)
            },
            LinkPlan::new(link_name(Link::Store), Protocol::Tcp, store.addr),
            LinkPlan {
                listen: address(&outer, 0)?,
                mirrors_refusal: true,
                ..LinkPlan::new(link_name(Link::Target), Protocol::Tcp, worker.addr)
            },
        ];
        let proxy = Proxy::start(Plan {
            control: None,
            links,
        })
        .await?;
        let end = |link: Link| {
            let found = proxy.addr(link_name(link));
            found.ok_or_else(|| {
                RigError::Settings(format!("proxy has no link {:?}", link_name(link)))
            })
        };
        let domain = format!("domain-{}", at % DOMAINS);
        let callers = address(&inner, free_port()?)?;
        let target = end(Link::Target)?;
        let text = settings_text(&NodeSettings {
            name: &format!("node-{at}"),
            domain: &domain,
            target,
            callers,
            ready: address(&inner, free_port()?)?,
            peers,
            store: end(Link::Store)?,
            publisher: match shares_reading {
                true => SHARED_READS,
                false => "",
            },
            limits: NodeLimits::default(),
        });
        let settings = folder.join(format!("node-{at}.jsonc"));
        fs::write(&settings, text)?;
        Ok(Self {
            worker,
            target,
            domain,
            callers,
            settings,
            log: folder.join(format!("node-{at}.log")),
            proxy,
        })
    }

    /// Starts the node process.
    pub fn start(&self) -> Result<Process, RigError> {
        let settings = self.settings.display().to_string();
        let args = ["mesh", "--settings", settings.as_str()];
        Process::start(ProcessSpec {
            output: Output::File(self.log.clone()),
            ..ProcessSpec::new("node", Programs::beside_this()?.node, args)
        })
    }

    /// Replaces the faults of a link.
    pub fn set_faults(&self, link: Link, faults: &LinkFaults) {
        self.proxy.set(link_name(link), faults);
    }
}

fn link_name(link: Link) -> &'static str {
    match link {
        Link::Peers => "peers",
        Link::Store => "store",
        Link::Target => "target",
    }
}
