//! Settings of a mesh node, parsed from its settings file.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use coltsfootport_core::id::{DomainName, NodeName, ServiceName};
use coltsfootport_core::jsonc::{self, Fault, Item, Section};
use coltsfootport_core::mesh::ReadersConfig;
use coltsfootport_core::quarantine::FingerprintKey;
use coltsfootport_core::workspace::QuotaBound;

use crate::log::LogLevel;
use crate::mesh::policy::PolicySettings;

/// Settings of a mesh node, read at startup and whenever the settings file changes.
#[derive(Clone, Debug, PartialEq)]
pub struct MeshSettings {
    /// Identity and addresses of this node.
    pub node: MeshNodeSettings,
    /// Connection to the publisher of configuration and instances.
    pub publisher: PublisherSettings,
    /// Retry budget.
    pub retries: RetrySettings,
    /// Bound on how far workspaces may exceed their quotas.
    pub quotas: QuotaBound,
    /// Quarantine of requests that crash targets.
    pub quarantine: QuarantineSettings,
    /// Concurrency limits.
    pub load: LoadSettings,
    /// Overload policy.
    pub policy: PolicySettings,
    /// Grace period from the stop signal until the supervisor kills the process.
    pub grace: Duration,
    /// Minimum level of log lines.
    pub log_level: LogLevel,
}

/// Identity and addresses of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MeshNodeSettings {
    /// Node name, used in logs.
    pub name: NodeName,
    /// Service of the local target.
    pub service: ServiceName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Address of the local target.
    pub target: SocketAddr,
    /// HTTP listener for callers on the same machine.
    pub callers: SocketAddr,
    /// HTTP listener for the readiness check and metrics.
    pub ready: SocketAddr,
    /// TCP listener for other nodes. All nodes use the same port.
    pub peers: SocketAddr,
    /// Additional HTTP listener for metrics, if they have a separate address.
    pub metrics: Option<SocketAddr>,
}

/// Kind of publisher, which determines its protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublisherKind {
    /// The users' platform, see [`coltsfootport_platform`].
    Platform,
}

/// Connection to the publisher of configuration and instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublisherSettings {
    /// Kind of publisher. Also selects the HTTP dialect of callers and targets.
    pub kind: PublisherKind,
    /// Address of the publisher.
    pub address: SocketAddr,
    /// How long a watch request waits for a change. A response without changes proves that the connection works and
    /// that the node's state is current, so this bounds how long a silent connection is trusted.
    pub watch: Duration,
    /// Response timeout, in addition to the wait time of a watch request.
    pub timeout: Duration,
    /// Which nodes read the publisher in a large fleet.
    pub readers: ReadersConfig,
}

/// Retry budget of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries allowed per first attempt of a request.
    pub ratio: f64,
    /// Additional retries allowed per window, independent of the traffic.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Quarantine of requests that crash targets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuarantineSettings {
    /// Key of the request fingerprints; must be the same on all nodes.
    pub key: FingerprintKey,
}

/// Concurrency limits of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSettings {
    /// Concurrency limit of the target until the published list of instances gives its own.
    pub slots: u32,
    /// Maximum number of pipelined requests of one connection that are processed concurrently.
    pub pipelined: u32,
    /// Maximum number of descriptors that the process may have open; 0 takes the limit that the system sets for it.
    pub descriptors: u32,
    /// Memory that the process may take, in units of 1,000,000 bytes.
    pub memory_mb: u32,
}

impl Default for MeshSettings {
    fn default() -> Self {
        Self {
            node: MeshNodeSettings::default(),
            publisher: PublisherSettings::default(),
            retries: RetrySettings::default(),
            quotas: QuotaBound::default(),
            quarantine: QuarantineSettings::default(),
            load: LoadSettings::default(),
            policy: PolicySettings::default(),
            grace: Duration::from_secs(6),
            log_level: LogLevel::Info,
        }
    }
}

impl Default for MeshNodeSettings {
    fn default() -> Self {
        let unset = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Self {
            name: NodeName::default(),
            service: ServiceName::default(),
            domain: DomainName::default(),
            target: unset,
            callers: unset,
            ready: unset,
            peers: unset,
            metrics: None,
        }
    }
}

impl Default for PublisherSettings {
    fn default() -> Self {
        Self {
            kind: PublisherKind::Platform,
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0),
            watch: Duration::from_millis(1800),
            timeout: Duration::from_millis(600),
            readers: ReadersConfig::default(),
        }
    }
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 40.0,
            window: Duration::from_secs(10),
        }
    }
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            slots: 16,
            pipelined: 64,
            descriptors: 0,
            memory_mb: 160,
        }
    }
}

impl MeshSettings {
    /// Parses settings. Returns them with the non-fatal faults, each of which was replaced by a default.
    ///
    /// # Errors
    ///
    /// Returns all faults if a key without a usable default is missing or invalid.
    pub fn parse(text: &str) -> Result<(Self, Vec<Fault>), Vec<Fault>> {
        let parsed = jsonc::parse(text, Self::read);
        match parsed.value {
            Some(settings) if !parsed.fatal => Ok((settings, parsed.faults)),
            _ => Err(parsed.faults),
        }
    }

    /// Returns the keys that differ in `new` and take effect only at the next start: addresses are already bound and
    /// known to other nodes, and the logger is set up once.
    pub fn at_next_start(&self, new: &Self) -> Vec<&'static str> {
        let (node, new_node) = (&self.node, &new.node);
        let keys = [
            ("node.name", node.name != new_node.name),
            ("node.domain", node.domain != new_node.domain),
            ("node.target", node.target != new_node.target),
            ("node.callers", node.callers != new_node.callers),
            ("node.ready", node.ready != new_node.ready),
            ("node.peers", node.peers != new_node.peers),
            ("node.metrics", node.metrics != new_node.metrics),
            ("quotas", self.quotas != new.quotas),
            ("quarantine", self.quarantine != new.quarantine),
            ("publisher", self.publisher != new.publisher),
            ("load.pipelined", self.load.pipelined != new.load.pipelined),
            (
                "load.descriptors",
                self.load.descriptors != new.load.descriptors,
            ),
            ("load.memory_mb", self.load.memory_mb != new.load.memory_mb),
            ("policy", self.policy != new.policy),
            ("log_level", self.log_level != new.log_level),
        ];
        let changed = keys.into_iter().filter(|(_, changed)| *changed);
        changed.map(|(key, _)| key).collect()
    }

    fn read(mut root: Section<'_, '_>) -> Option<Self> {
        let default = Self::default();
        let node = root.required("node").and_then(Item::section);
        let node = node.and_then(MeshNodeSettings::read);
        let publisher = root.required("publisher").and_then(Item::section);
        let publisher = publisher.and_then(PublisherSettings::read);
        let retries = root.section("retries", RetrySettings::read);
        let quotas = root.section("quotas", read_quotas);
        let quarantine = root.section("quarantine", QuarantineSettings::read);
        let load = root.section("load", LoadSettings::read);
        let policy = root.section("policy", PolicySettings::read);
        let grace = seconds(&mut root, "grace_s", 0.5..=600.0, default.grace);
        let log_level = root.choice("log_level", &LOG_LEVELS, default.log_level);
        root.finish();
        Some(Self {
            node: node?,
            publisher: publisher?,
            retries,
            quotas,
            quarantine,
            load,
            policy,
            grace,
            log_level,
        })
    }
}

impl MeshNodeSettings {
    fn read(mut section: Section<'_, '_>) -> Option<Self> {
        let name = section.required("name").and_then(Item::text);
        let service = section.required("service").and_then(Item::text);
        let domain = section.required("domain").and_then(Item::text);
        let target = section.required("target").and_then(Item::peer_address);
        let callers = section.required("callers").and_then(Item::address);
        let ready = section.required("ready").and_then(Item::address);
        let peers = section.required("peers").and_then(Item::peer_address);
        let metrics = section.optional("metrics").and_then(Item::address);
        section.finish();
        Some(Self {
            name: name?.into(),
            service: service?.into(),
            domain: domain?.into(),
            target: target?,
            callers: callers?,
            ready: ready?,
            peers: peers?,
            metrics,
        })
    }
}

impl PublisherSettings {
    fn read(mut section: Section<'_, '_>) -> Option<Self> {
        let default = Self::default();
        let kind = section.choice("kind", &PUBLISHER_KINDS, default.kind);
        let address = section.required("address").and_then(Item::peer_address);
        let watch = section.millis("watch_ms", 50..=30_000, default.watch);
        let timeout = section.millis("timeout_ms", 50..=60_000, default.timeout);
        let readers = ReadersConfig {
            appointed: section.integer("appointed", 2..=64, default.readers.appointed),
            direct_ratio: section.integer("direct_ratio", 0..=1_000, default.readers.direct_ratio),
            ..default.readers
        };
        section.finish();
        Some(Self {
            kind,
            address: address?,
            watch,
            timeout,
            readers,
        })
    }
}

impl RetrySettings {
    fn read(mut section: Section<'_, '_>) -> Self {
        let default = Self::default();
        let settings = Self {
            ratio: section.number("ratio", 0.0..=1.0, default.ratio),
            slack: section.number("slack", 0.0..=1e6, default.slack),
            window: seconds(&mut section, "window_s", 0.1..=600.0, default.window),
        };
        section.finish();
        settings
    }
}

fn read_quotas(mut section: Section<'_, '_>) -> QuotaBound {
    let default = QuotaBound::default();
    let bound = QuotaBound {
        window: seconds(&mut section, "window_s", 0.1..=600.0, default.window),
        overage: section.number("overage", 0.0..=10.0, default.overage),
        slack: section.number("slack", 0.0..=1e6, default.slack),
    };
    section.finish();
    bound
}

impl QuarantineSettings {
    fn read(mut section: Section<'_, '_>) -> Self {
        let key = section.optional("key").and_then(Item::text);
        section.finish();
        Self {
            key: FingerprintKey(key.unwrap_or_default().into()),
        }
    }
}

impl LoadSettings {
    fn read(mut section: Section<'_, '_>) -> Self {
        let default = Self::default();
        let settings = Self {
            slots: section.integer("slots", 1..=65_535, default.slots),
            pipelined: section.integer("pipelined", 1..=1024, default.pipelined),
            descriptors: section.integer("descriptors", 0..=1_048_576, default.descriptors),
            memory_mb: section.integer("memory_mb", 32..=1_048_576, default.memory_mb),
        };
        section.finish();
        settings
    }
}

const PUBLISHER_KINDS: [(&str, PublisherKind); 1] = [("platform", PublisherKind::Platform)];

const LOG_LEVELS: [(&str, LogLevel); 4] = [
    ("error", LogLevel::Error),
    ("warning", LogLevel::Warning),
    ("info", LogLevel::Info),
    ("debug", LogLevel::Debug),
];

/// Reads a duration in fractional seconds, the unit of the platform's own settings.
fn seconds(
    section: &mut Section<'_, '_>,
    key: &'static str,
    range: std::ops::RangeInclusive<f64>,
    default: Duration,
) -> Duration {
    Duration::from_secs_f64(section.number(key, range, default.as_secs_f64()))
}
