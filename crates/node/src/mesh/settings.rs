//! Settings of a mesh node.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use coltsfootport_core::id::{DomainName, NodeName, ServiceName};
use coltsfootport_core::jsonc::{self, Fault, Item, Section};
use coltsfootport_core::mesh::ReadersConfig;
use coltsfootport_core::quarantine::FingerprintKey;
use coltsfootport_core::workspace::QuotaBound;

use crate::log::LogLevel;
use crate::mesh::policy::PolicySettings;

/// Settings of a mesh node, as read at its start and whenever their file changes.
#[derive(Clone, Debug, PartialEq)]
pub struct MeshSettings {
    /// Who this node is and where it listens.
    pub node: MeshNodeSettings,
    /// Where configuration and instances are published.
    pub publisher: FeedSettings,
    /// Bounds of repeats.
    pub retries: RepeatSettings,
    /// How far workspaces may go beyond their quotas.
    pub quotas: QuotaBound,
    /// Requests that crash targets.
    pub quarantine: QuarantineSettings,
    /// Work that the node takes.
    pub load: LoadSettings,
    /// Decisions under load.
    pub policy: PolicySettings,
    /// Time from a request to stop to the forced end.
    pub grace: Duration,
    /// The least important line that is logged.
    pub log_level: LogLevel,
}

/// Who a node is and where it listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MeshNodeSettings {
    /// Its name, for logs.
    pub name: NodeName,
    /// The service of the target beside it.
    pub service: ServiceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The target beside it.
    pub target: SocketAddr,
    /// HTTP for callers on its machine.
    pub callers: SocketAddr,
    /// HTTP for the readiness check and metrics.
    pub ready: SocketAddr,
    /// QUIC for other nodes; they use the same port.
    pub peers: SocketAddr,
    /// HTTP for metrics, where they have an address of their own.
    pub metrics: Option<SocketAddr>,
}

/// Who publishes, and what it speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublisherKind {
    /// The users' platform.
    Platform,
}

/// Where configuration and instances are published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedSettings {
    /// What the publisher, callers and targets speak.
    pub kind: PublisherKind,
    /// Address of the publisher.
    pub address: SocketAddr,
    /// How long a watch waits for a change. An answer without changes shows that the connection and the node's view are
    /// alive, so this bounds for how long a silent connection is believed.
    pub watch: Duration,
    /// Longest time for an answer, beyond the wait of a watch.
    pub timeout: Duration,
    /// Who reads in a large fleet.
    pub readers: ReadersConfig,
}

/// Bounds of repeats over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatSettings {
    /// Repeats for each first request.
    pub ratio: f64,
    /// Repeats in a window besides.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// Requests that crash targets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuarantineSettings {
    /// Key of the fingerprints by which requests are recognised; the same on all nodes.
    pub key: FingerprintKey,
}

/// Work that a node takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSettings {
    /// Slots of the target until the list of instances tells them.
    pub slots: u32,
    /// Requests of one connection that are worked on at a time.
    pub pipelined: u32,
}

impl Default for MeshSettings {
    fn default() -> Self {
        Self {
            node: MeshNodeSettings::default(),
            publisher: FeedSettings::default(),
            retries: RepeatSettings::default(),
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
        let none = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Self {
            name: NodeName::default(),
            service: ServiceName::default(),
            domain: DomainName::default(),
            target: none,
            callers: none,
            ready: none,
            peers: none,
            metrics: None,
        }
    }
}

impl Default for FeedSettings {
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

impl Default for RepeatSettings {
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
        }
    }
}

impl MeshSettings {
    /// Reads settings, with the faults for which a default serves.
    ///
    /// # Errors
    ///
    /// Every fault, where a key without a usable default is missing or wrong.
    pub fn parse(text: &str) -> Result<(Self, Vec<Fault>), Vec<Fault>> {
        let parsed = jsonc::parse(text, Self::read);
        match parsed.value {
            Some(settings) if !parsed.fatal => Ok((settings, parsed.faults)),
            _ => Err(parsed.faults),
        }
    }

    /// Keys in which `new` differs and that hold from the next start on: addresses are bound and told to others already,
    /// and the log is set up once.
    pub fn at_next_start(&self, new: &Self) -> Vec<&'static str> {
        let (node, other) = (&self.node, &new.node);
        let keys = [
            ("node.name", node.name != other.name),
            ("node.domain", node.domain != other.domain),
            ("node.target", node.target != other.target),
            ("node.callers", node.callers != other.callers),
            ("node.ready", node.ready != other.ready),
            ("node.peers", node.peers != other.peers),
            ("node.metrics", node.metrics != other.metrics),
            ("quotas", self.quotas != new.quotas),
            ("quarantine", self.quarantine != new.quarantine),
            ("publisher", self.publisher != new.publisher),
            ("load.pipelined", self.load.pipelined != new.load.pipelined),
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
        let publisher = publisher.and_then(FeedSettings::read);
        let retries = root.section("retries", RepeatSettings::read);
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

impl FeedSettings {
    fn read(mut section: Section<'_, '_>) -> Option<Self> {
        let default = Self::default();
        let kind = section.choice("kind", &PUBLISHERS, default.kind);
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

impl RepeatSettings {
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
        };
        section.finish();
        settings
    }
}

const PUBLISHERS: [(&str, PublisherKind); 1] = [("platform", PublisherKind::Platform)];

const LOG_LEVELS: [(&str, LogLevel); 4] = [
    ("error", LogLevel::Error),
    ("warning", LogLevel::Warning),
    ("info", LogLevel::Info),
    ("debug", LogLevel::Debug),
];

/// Seconds with fractions, as the platform's own settings have them.
fn seconds(
    section: &mut Section<'_, '_>,
    key: &'static str,
    range: std::ops::RangeInclusive<f64>,
    default: Duration,
) -> Duration {
    Duration::from_secs_f64(section.number(key, range, default.as_secs_f64()))
}
