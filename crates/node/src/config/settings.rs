//! All settings of one node.

use std::net::SocketAddr;

use coltsfootport_core::jsonc::{self, Fault, FaultKind, Item, Need, Section};

use super::{
    AdmissionSettings, AdvertiseSettings, FleetKey, LimitsSettings, ListenSettings, LoadedSettings,
    LogSettings, NodeSettings, OnceSettings, PlatformSettings, RetriesSettings, RoutingSettings,
    RuntimeSettings, ShutdownSettings, SpreadSettings, TargetSettings, TimelineSettings,
    TlsSettings,
};

/// All settings of one node, as read at its start.
///
/// The default is a start for update syntax only: it has no names, keys or certificates.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Who this node is.
    pub node: NodeSettings,
    /// Where it listens.
    pub listen: ListenSettings,
    /// What others are told to connect to, where that differs.
    pub advertise: AdvertiseSettings,
    /// The target beside the node.
    pub target: TargetSettings,
    /// The platform's configuration service and instance list.
    pub platform: PlatformSettings,
    /// Certificates of the fleet.
    pub tls: TlsSettings,
    /// Keys that authenticate tokens and contexts: the first one signs, all of them verify.
    pub fleet_keys: Vec<FleetKey>,
    /// Bounds of sizes and counts.
    pub limits: LimitsSettings,
    /// Retries within the system.
    pub retries: RetriesSettings,
    /// Admission of calls to the target.
    pub admission: AdmissionSettings,
    /// The records that keep a token from running twice.
    pub once: OnceSettings,
    /// The choice of targets.
    pub routing: RoutingSettings,
    /// The spread of documents between nodes.
    pub spread: SpreadSettings,
    /// A planned stop.
    pub shutdown: ShutdownSettings,
    /// Logs.
    pub log: LogSettings,
    /// The ring of events that `timeline` shows.
    pub timeline: TimelineSettings,
    /// Threads of the process.
    pub runtime: RuntimeSettings,
}

impl Settings {
    /// Most fleet keys: one in use, and others during a rotation.
    const MAX_FLEET_KEYS: usize = 8;

    /// Reads settings.
    ///
    /// A wrong key or value that a default can replace is a warning; without usable names, addresses, certificates and
    /// keys the text is refused with every fault in it.
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

    /// The address at which other nodes reach this one.
    pub fn advertised_peers(&self) -> SocketAddr {
        self.advertise.peers.unwrap_or(self.listen.peers)
    }

    /// The address at which operators reach this node.
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
        let hints = target.clone().unwrap_or_default();
        let settings = Self {
            advertise,
            limits: root.section("limits", LimitsSettings::read),
            retries: root.section("retries", RetriesSettings::read),
            admission: read_admission(&mut root, &hints),
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
        root.fault("fleet_keys", Need::Required, FaultKind::Duplicate, message);
    }
    Some(keys)
}

/// How far the limit may grow above the target's slots by default: by a quarter.
const GROWTH_NUMERATOR: u32 = 5;
const GROWTH_DENOMINATOR: u32 = 4;

/// Reads `admission`, which begins with the target's slots and cold start unless it says otherwise.
fn read_admission(root: &mut Section<'_, '_>, target: &TargetSettings) -> AdmissionSettings {
    let initial_limit = target.slots;
    let default = AdmissionSettings {
        initial_limit,
        // Below its slots a target only idles: one that takes longer for each call looks congested, and a limit that follows
        // it down gives up goodput that a fixed limit keeps.
        min_limit: initial_limit,
        // Far above its slots calls only queue inside the target, out of the reach of order and deadlines.
        max_limit: (initial_limit * GROWTH_NUMERATOR).div_ceil(GROWTH_DENOMINATOR),
        cold_start: target.cold_start,
        ..Default::default()
    };
    match root.optional("admission").and_then(Item::section) {
        Some(section) => AdmissionSettings::read(section, default),
        None => default,
    }
}
