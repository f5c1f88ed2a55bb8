//! Startup of a mesh node.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use coltsfootport_core::mesh::{
    CallerLimits, Dialect, DrainConfig, FleetConfig, GateConfig, LevelConfig, Publisher,
    RetryBudgetConfig, ShedderConfig,
};
use coltsfootport_core::quarantine::Fingerprinter;
use coltsfootport_core::workspace::QuotaConfig;
use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use super::boot_clock::BootClock;
use super::callers::{self, CallersConfig};
use super::connection_registry::ConnectionRegistry;
use super::controller::{
    Controller, ControllerChannels, ControllerConfig, ControllerEvent, ControllerHandle,
    run_controller,
};
use super::entry::Entry;
use super::feed::{ChangeLog, FeedServer, FeedTask};
use super::findings::FindingsExchange;
use super::held_bytes::ByteLimiter;
use super::host::Host;
use super::journal::Journal;
use super::lifecycle::{Lifecycle, Signals};
use super::link::{self, PeerPool, ServerContext, monitor_peers};
use super::metrics::MeshMetrics;
use super::quotas::QuotaSender;
use super::ready::{self, StatusServer};
use super::resource_shares::ResourceShares;
use super::settings::{MeshSettings, PublisherKind};
use super::settings_file::SettingsFile;
use super::shutdown::shutdown;
use super::target::TargetPool;
use crate::clock::SharedClock;

/// Error that prevents a mesh node from starting.
#[derive(Debug, thiserror::Error)]
pub enum MeshError {
    /// A listener address cannot be bound, or a signal handler cannot be installed.
    #[error("cannot start node: {0}")]
    Io(#[from] std::io::Error),
    /// Metrics cannot be registered.
    #[error("cannot register metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// Interval at which connections to the target are pruned after being idle for too long.
const PRUNE_INTERVAL: Duration = Duration::from_millis(500);

/// Runs a node until it has shut down.
///
/// `path` and `text` are the path and the content of the settings file, which is reloaded when it changes.
///
/// # Errors
///
/// Returns an error if the node cannot start.
pub async fn run(
    settings: MeshSettings,
    path: PathBuf,
    text: String,
    log: Logger,
) -> Result<(), MeshError> {
    let signals = Signals::install()?;
    let clock: SharedClock = Arc::new(BootClock::start());
    let metrics = MeshMetrics::new()?;
    let journal = Journal::new(log.clone(), Arc::clone(&clock), metrics.clone());
    let (dialect, publisher) = dialect_and_publisher(settings.publisher.kind);
    let (events_tx, events) = mpsc::unbounded_channel();
    let controller = ControllerHandle::new(events_tx.clone());
    let (quota_messages_tx, quota_messages) = mpsc::unbounded_channel();
    let (findings_tx, findings) = mpsc::unbounded_channel();
    let (limits_tx, limits) = watch::channel(CallerLimits::default());
    let state = Controller::new(
        controller_config(&settings),
        Arc::clone(&clock),
        ControllerChannels {
            events: events_tx,
            limits: limits_tx,
            quota_messages: quota_messages_tx,
            findings: findings_tx,
        },
        journal.clone(),
        metrics.clone(),
    );
    let callers_listener = TcpListener::bind(settings.node.callers).await?;
    let ready_listener = TcpListener::bind(settings.node.ready).await?;
    let peers_listener = TcpListener::bind(settings.node.peers).await?;
    let host = Host {
        controller: controller.clone(),
        pool: TargetPool::new(settings.node.target, Arc::clone(&clock)),
        dialect: Arc::clone(&dialect),
        clock: Arc::clone(&clock),
        journal: journal.clone(),
    };
    let (shutdown_tx, shutdown) = shutdown();
    let (service_tx, service) = watch::channel(settings.node.service.clone());
    let links = PeerPool::new(Arc::clone(&clock));
    let entry = Entry {
        controller: controller.clone(),
        links: links.clone(),
        host: host.clone(),
        dialect: Arc::clone(&dialect),
        clock: Arc::clone(&clock),
        journal: journal.clone(),
        service,
        shutdown: shutdown.clone(),
        queue_timeout: settings.policy.queue_timeout,
        limits: settings.policy.limits,
        peers_port: settings.node.peers.port(),
        fingerprinter: Fingerprinter::new(&settings.quarantine.key),
    };
    let open = Arc::new(AtomicUsize::new(0));
    let shares = ResourceShares::from(settings.load);
    let bytes = ByteLimiter::new(shares.held_bytes(), metrics.held_bytes.clone());
    let callers_config = CallersConfig {
        entry,
        limits,
        shutdown: shutdown.clone(),
        pipelined: settings.load.pipelined as usize,
        open_requests: Arc::clone(&open),
        connections: ConnectionRegistry::new(shares.callers(), metrics.caller_connections.clone()),
        bytes: bytes.clone(),
        receive_buffers: shares.receive_buffers(),
    };
    let status_server = StatusServer {
        controller: controller.clone(),
        dialect,
        journal: journal.clone(),
        metrics: metrics.clone(),
        shutdown: shutdown.clone(),
    };
    let (change_log_tx, change_log) = watch::channel(ChangeLog::default());
    let sharing = FeedServer {
        change_log,
        followers: Arc::default(),
    };
    let feed = FeedTask {
        cfg: settings.publisher,
        publisher,
        controller: controller.clone(),
        links: links.clone(),
        peers_port: settings.node.peers.port(),
        change_log: change_log_tx,
        followers: Arc::clone(&sharing.followers),
        metrics: metrics.clone(),
        clock: Arc::clone(&clock),
        log: log.clone(),
    };
    let quota_sender = QuotaSender {
        controller: controller.clone(),
        links: links.clone(),
        peers_port: settings.node.peers.port(),
        log: log.clone(),
    };
    let findings_exchange = FindingsExchange {
        controller: controller.clone(),
        links: links.clone(),
        peers_port: settings.node.peers.port(),
        log: log.clone(),
    };
    let server_context = ServerContext {
        host: host.clone(),
        sharing,
        connections: ConnectionRegistry::new(shares.peers(), metrics.peer_connections.clone()),
        bytes,
        open_requests: Arc::clone(&open),
        shutdown,
        boot: rand::random(),
        log: log.clone(),
    };
    info!(log, "started"; "callers" => settings.node.callers, "target" => settings.node.target,
        "domain" => settings.node.domain.as_str(), "version" => env!("CARGO_PKG_VERSION"));
    tokio::spawn(run_controller(state, events));
    tokio::spawn(monitor_peers(links, log.clone()));
    tokio::spawn(link::serve(peers_listener, server_context));
    tokio::spawn(quota_sender.run(quota_messages));
    tokio::spawn(findings_exchange.run(findings));
    tokio::spawn(feed.run());
    tokio::spawn(ready::serve(ready_listener, status_server.clone()));
    if let Some(address) = settings.node.metrics {
        tokio::spawn(ready::serve(
            TcpListener::bind(address).await?,
            status_server,
        ));
    }
    tokio::spawn(callers::listen(callers_listener, callers_config));
    tokio::spawn(prune_idle_connections(host.pool.clone()));
    let (settings_tx, settings_rx) = watch::channel(settings);
    tokio::spawn(apply_settings(settings_rx, service_tx, controller.clone()));
    let lifecycle = Lifecycle {
        signals,
        controller,
        shutdown: shutdown_tx,
        open,
        settings: SettingsFile::new(path, text, settings_tx, Arc::clone(&clock), log.clone()),
        clock,
        log,
    };
    lifecycle.run().await;
    Ok(())
}

/// Applies changed settings to the running node, except for those that need a restart; see
/// [`MeshSettings::at_next_start`].
async fn apply_settings(
    mut settings: watch::Receiver<MeshSettings>,
    service: watch::Sender<coltsfootport_core::id::ServiceName>,
    controller: ControllerHandle,
) {
    let policy = settings.borrow().policy;
    while settings.changed().await.is_ok() {
        let new = settings.borrow_and_update().clone();
        // Changes to the policy take effect at the next start.
        let cfg = controller_config(&MeshSettings { policy, ..new });
        service.send_replace(cfg.service.clone());
        controller.notify(ControllerEvent::SettingsChanged(Box::new(cfg)));
    }
}

async fn prune_idle_connections(pool: TargetPool) {
    loop {
        tokio::time::sleep(PRUNE_INTERVAL).await;
        pool.prune();
    }
}

/// Returns the HTTP dialect and the [`Publisher`] implementation for `kind`.
fn dialect_and_publisher(kind: PublisherKind) -> (Arc<Dialect>, Arc<dyn Publisher>) {
    match kind {
        PublisherKind::Platform => (
            Arc::new(coltsfootport_platform::DIALECT),
            Arc::new(coltsfootport_platform::Store),
        ),
    }
}

fn controller_config(settings: &MeshSettings) -> ControllerConfig {
    let policy = &settings.policy;
    ControllerConfig {
        service: settings.node.service.clone(),
        target: settings.node.target,
        budget: RetryBudgetConfig {
            ratio: settings.retries.ratio,
            slack: settings.retries.slack,
            window: settings.retries.window,
            used_share: policy.repeat_share,
        },
        fleet: FleetConfig {
            domain: settings.node.domain.clone(),
            far_penalty: policy.far_penalty,
            lapse_hold: policy.lapse_hold,
            reported_speed: policy.reported_speed,
            ..Default::default()
        },
        shedder: ShedderConfig {
            epoch: policy.shed_epoch,
            min_retry_after: policy.min_retry_after,
            extra_retry_after: policy.extra_retry_after,
            ..Default::default()
        },
        cost_admission: policy.cost_admission,
        gate: GateConfig {
            slots: settings.load.slots,
            start_share: policy.start_share,
            headroom: policy.headroom,
            level_without_waits: policy.cost_admission,
            limits: policy.limits,
            level: LevelConfig {
                target_load: policy.target_load,
                ..Default::default()
            },
            ..Default::default()
        },
        drain: DrainConfig {
            grace_period: settings.grace,
            ..Default::default()
        },
        quotas: QuotaConfig {
            bound: settings.quotas,
            ..Default::default()
        },
        no_repeat_level: policy.no_repeat_level,
        ..Default::default()
    }
}
