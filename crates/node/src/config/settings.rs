//! Complete settings of a node.

use std::net::SocketAddr;

use coltsfootport_core::jsonc::{self, Fault, FaultKind, Item, Presence, Section};

use super::{
    AdmissionSettings, AdvertiseSettings, FleetKey, LimitsSettings, ListenSettings, LoadedSettings,
    LogSettings, NodeSettings, OnceSettings, PlatformSettings, RetriesSettings, RoutingSettings,
    RuntimeSettings, ShutdownSettings, SpreadSettings, TargetSettings, TimelineSettings,
    TlsSettings,
};

/// Complete settings of a node, read once at startup.
///
/// The default has no names, keys or certificates and is only meant for struct update syntax.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Identity of the node.
    pub node: NodeSettings,
    /// Addresses of the listeners.
    pub listen: ListenSettings,
    /// Advertised addresses, if they differ from `listen`.
    pub advertise: AdvertiseSettings,
    /// Target of the node.
    pub target: TargetSettings,
    /// Access to the platform's configuration service and instance list.
    pub platform: PlatformSettings,
    /// Certificates of the fleet.
    pub tls: TlsSettings,
    /// Keys that authenticate tokens and contexts. The first one signs; all of them verify.
    pub fleet_keys: Vec<FleetKey>,
    /// Maximum sizes, counts and times.
    pub limits: LimitsSettings,
    /// Retries made by the nodes.
    pub retries: RetriesSettings,
    /// Admission control in front of the target.
    pub admission: AdmissionSettings,
    /// Records that prevent a call with a token from running twice.
    pub once: OnceSettings,
    /// Selection of targets.
    pub routing: RoutingSettings,
    /// Dissemination of documents between nodes.
    pub spread: SpreadSettings,
    /// Graceful shutdown.
    pub shutdown: ShutdownSettings,
    /// Logging.
    pub log: LogSettings,
    /// Ring buffer of events shown by `timeline`.
    pub timeline: TimelineSettings,
    /// Async runtime.
    pub runtime: RuntimeSettings,
}

impl Settings {
    /// Maximum number of fleet keys. More than one is needed only during a rotation.
    const MAX_FLEET_KEYS: usize = 8;

    /// Parses settings.
    ///
    /// An unknown key, or an invalid value that has a default, yields a warning. If a name, address, certificate or key
    /// is missing or invalid, all faults of the text are returned as the error.
    pub fn parse(text: &str) -> Result<LoadedSettings, Vec<Fault>> {
        let parsed = jsonc::parse(text, Self::read);
        match parsed.value {
            Some(settings) if !parsed.fatal => Ok(LoadedSettings {
                settings,
                warnings: parsed.faults,
            }),
            _ => Err(parsed.faults),
        }
    }

    /// Returns the address at which other nodes reach this one.
    pub fn advertised_peers(&self) -> SocketAddr {
        self.advertise.peers.unwrap_or(self.listen.peers)
    }

    /// Returns the address at which operators reach this node.
    pub fn advertised_operators(&self) -> SocketAddr {
        self.advertise.operators.unwrap_or(self.listen.operators)
    }

    fn read(mut root: Section<'_, '_>) -> Option<Self> {
        let node = read_required(&mut root, "node", NodeSettings::read);
        let listen = read_required(&mut root, "listen", ListenSettings::read);
        let advertise = read_advertise(&mut root, listen.as_ref());
        let target = read_required(&mut root, "target", TargetSettings::read);
        let platform = read_required(&mut root, "platform", PlatformSettings::read);
        let tls = read_required(&mut root, "tls", TlsSettings::read);
        let fleet_keys = read_fleet_keys(&mut root);
        let target_or_default = target.clone().unwrap_or_default();
        let settings = Self {
            advertise,
            limits: root.section("limits", LimitsSettings::read),
            retries: root.section("retries", RetriesSettings::read),
            admission: read_admission(&mut root, &target_or_default),
            once: root.section("once", OnceSettings::read),
            routing: root.section("routing", RoutingSettings::read),
            spread: root.section("spread", SpreadSettings::read),
            shutdown: root.section("shutdown", ShutdownSettings::read),
            log: root.section("log", LogSettings::read),
            timeline: root.section("timeline", TimelineSettings::read),
            runtime: root.section("runtime", RuntimeSettings::read),
            ..Self::default()
        };
        root.finish();
        Some(Self {
            node: node?,
            listen: listen?,
            target: target?,
            platform: platform?,
            tls: tls?,
            fleet_keys: fleet_keys?,
            ..settings
        })
    }
}

fn read_required<T, F>(root: &mut Section<'_, '_>, key: &'static str, read: F) -> Option<T>
where
    F: FnOnce(Section<'_, '_>) -> Option<T>,
{
    root.required(key).and_then(Item::section).and_then(read)
}

fn read_advertise(
    root: &mut Section<'_, '_>,
    listen: Option<&ListenSettings>,
) -> AdvertiseSettings {
    let section = root.optional_strict("advertise").and_then(Item::section);
    let advertise = section.map(AdvertiseSettings::read).unwrap_or_default();
    if let Some(listen) = listen {
        advertise.check(listen, root);
    }
    advertise
}

fn read_fleet_keys(root: &mut Section<'_, '_>) -> Option<Vec<FleetKey>> {
    let lengths = 1..=Settings::MAX_FLEET_KEYS;
    let keys = root
        .required("fleet_keys")?
        .list(lengths, |item| FleetKey::read(item.section()?))?;
    let repeats = |index: usize| keys[..index].iter().any(|key| key.id == keys[index].id);
    if (1..keys.len()).any(repeats) {
        let message = "two keys have the same id";
        root.fault(
            "fleet_keys",
            Presence::Required,
            FaultKind::Duplicate,
            message,
        );
    }
    Some(keys)
}

/// Default maximum limit as a multiple of the target's slots: five quarters.
const MAX_LIMIT_NUMERATOR: u32 = 5;
const MAX_LIMIT_DENOMINATOR: u32 = 4;

/// Reads `admission`, with defaults derived from the target's slots and cold start time.
fn read_admission(root: &mut Section<'_, '_>, target: &TargetSettings) -> AdmissionSettings {
    let initial_limit = target.slots;
    let default = AdmissionSettings {
        initial_limit,
        // A limit below the slots leaves slots idle. A target whose calls take longer looks congested, and lowering the
        // limit for that reason would lose goodput that a fixed limit keeps.
        min_limit: initial_limit,
        // Far above the slots, calls would only queue inside the target, where neither priorities nor deadlines apply.
        max_limit: (initial_limit * MAX_LIMIT_NUMERATOR).div_ceil(MAX_LIMIT_DENOMINATOR),
        cold_start: target.cold_start,
        ..Default::default()
    };
    match root.optional("admission").and_then(Item::section) {
        Some(section) => AdmissionSettings::read(section, default),
        None => default,
    }
}
