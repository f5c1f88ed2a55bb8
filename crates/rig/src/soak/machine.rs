//! A real node, its target, and the proxy around both.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use coltsfootport_stand_ins::{Behavior, CrashTrigger, Store, Worker};

use crate::error::RigError;
use crate::fleet::Programs;
use crate::process::{Output, Process, ProcessSpec, free_port};
use crate::proxy::{LinkFaults, LinkPlan, Plan, Protocol, Proxy};
use crate::soak::Wire;

/// What a mesh node's settings name.
#[derive(Clone, Debug)]
pub struct NodeSettings<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
    /// Its target.
    pub target: SocketAddr,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Its readiness check.
    pub ready: SocketAddr,
    /// Where other nodes reach it.
    pub peers: SocketAddr,
    /// The store.
    pub store: SocketAddr,
    /// Further settings of the publisher, behind a comma.
    pub publisher: &'a str,
}

/// The text of a settings file. Watches are short, so that outages of the store are seen soon.
pub fn settings_text(node: &NodeSettings<'_>) -> String {
    format!(
        r#"{{
  "node": {{ "name": "{}", "service": "svc", "domain": "{}", "target": "{}",
    "callers": "{}", "ready": "{}", "peers": "{}" }},
  "publisher": {{ "address": "{}", "watch_ms": 300, "timeout_ms": 400{} }},
  "retries": {{ "ratio": 0.2, "slack": 50, "window_s": 10 }},
  "grace_s": 6
}}"#,
        node.name,
        node.domain,
        node.target,
        node.callers,
        node.ready,
        node.peers,
        node.store,
        node.publisher,
    )
}

/// Settings by which a fleet of any size shares the reading of the store.
const SHARES_READING: &str = r#", "direct_ratio": 0"#;

/// Time that a target works on a request.
const WORK: Duration = Duration::from_millis(8);

/// What stands in requests that crash targets.
pub const CRASHING: &str = "crashing";

/// Time after which a crashed target is back.
pub const CRASHED_FOR: Duration = Duration::from_millis(1200);

/// A machine of a soak.
pub struct Machine {
    /// Its target.
    pub worker: Worker,
    /// Where the list names the target: the proxy before it.
    pub target: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Where callers reach the node.
    pub callers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    wires: Proxy,
}

impl Machine {
    /// Prepares a machine; its node is not running yet.
    ///
    /// Others reach a node at its target's IP number and the port that all nodes share, so each machine has an outer
    /// number, where the proxy listens, and an inner one, where the node does.
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
                .map_err(|_| RigError::Settings(format!("no address: {text}")))
        };
        let worker = Worker::start(&inner, &format!("i-{at}")).await;
        worker.set_default(Behavior::Work(WORK));
        worker.set_crash_trigger(CrashTrigger {
            pattern: CRASHING.to_owned(),
            after: WORK,
            downtime: CRASHED_FOR,
        });
        let peers = address(&inner, peers_port)?;
        let links = vec![
            LinkPlan {
                listen: address(&outer, peers_port)?,
                ..LinkPlan::new(name(Wire::Peers), Protocol::Tcp, peers)
            },
            LinkPlan::new(name(Wire::Store), Protocol::Tcp, store.addr),
            LinkPlan {
                listen: address(&outer, 0)?,
                mirrors_refusal: true,
                ..LinkPlan::new(name(Wire::Target), Protocol::Tcp, worker.addr)
            },
        ];
        let wires = Proxy::start(Plan {
            control: None,
            links,
        })
        .await?;
        let end = |wire: Wire| {
            let found = wires.addr(name(wire));
            found.ok_or_else(|| RigError::Settings(format!("no wire {wire:?}")))
        };
        let domain = format!("domain-{}", at % 3);
        let callers = address(&inner, free_port()?)?;
        let target = end(Wire::Target)?;
        let text = settings_text(&NodeSettings {
            name: &format!("node-{at}"),
            domain: &domain,
            target,
            callers,
            ready: address(&inner, free_port()?)?,
            peers,
            store: end(Wire::Store)?,
            publisher: match shares_reading {
                true => SHARES_READING,
                false => "",
            },
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
            wires,
        })
    }

    /// Starts the node.
    pub fn start(&self) -> Result<Process, RigError> {
        let settings = self.settings.display().to_string();
        let args = ["mesh", "--settings", settings.as_str()];
        Process::start(ProcessSpec {
            output: Output::File(self.log.clone()),
            ..ProcessSpec::new("node", Programs::beside_this()?.node, args)
        })
    }

    /// Sets the faults of a wire.
    pub fn set(&self, wire: Wire, faults: &LinkFaults) {
        self.wires.set(name(wire), faults);
    }
}

fn name(wire: Wire) -> &'static str {
    match wire {
        Wire::Peers => "peers",
        Wire::Store => "store",
        Wire::Target => "target",
    }
}
