//! Services and calls of the users' fleets, scaled down to run on one machine.

use serde_json::json;
use smol_str::SmolStr;

use crate::error::RigError;
use crate::fleet::ServicePlan;
use crate::load::Operation;
use crate::target::{PathCalls, Settings};

use super::user::User;

/// Failure domains of every fleet.
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Slots at scale 1 as a share of the slots in the users' own fleets.
const SLOT_SHARE: f64 = 0.4;

/// Service time in milliseconds of every service except the deepest one.
const SHALLOW_SERVICE_MS: f64 = 4.0;

/// Services of one user's fleet and the calls that its clients make.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Services to start.
    pub services: Vec<ServicePlan>,
    /// Calls that clients make, most important class first.
    pub operations: Vec<Operation>,
    /// Service at the end of every call chain; the bottleneck of the fleet.
    pub deepest: &'static str,
    /// Requests per second that the deepest service can complete: instances * slots / service time.
    pub capacity: f64,
}

/// Size and call pattern of one service.
struct Service {
    name: &'static str,
    document: &'static str,
    workers: usize,
    /// Slots of each worker in the user's own fleet, before scaling.
    slots: f64,
    service_ms: f64,
    downstream: &'static [&'static str],
    /// Path prefix and the call that requests under it make instead of `downstream`.
    path_override: Option<(&'static str, &'static str)>,
}

impl Deployment {
    /// Builds a user's fleet; `scale` multiplies the slots and therefore the capacity.
    pub fn new(user: User, scale: f64, target_retries: u32) -> Result<Self, RigError> {
        let (services, operations) = match user {
            User::Telmarino => (telmarino(), TELMARINO_CALLS),
            User::Nilestone => (nilestone(), NILESTONE_CALLS),
        };
        let deepest = &services[3];
        let slots = scaled_slots(deepest.slots, scale) as f64;
        let capacity = deepest.workers as f64 * slots / (deepest.service_ms / 1000.0);
        let plans = services
            .iter()
            .map(|service| service.plan(scale, target_retries));
        Ok(Self {
            services: plans.collect::<Result<_, _>>()?,
            operations: operations
                .iter()
                .map(|text| text.parse())
                .collect::<Result<_, _>>()?,
            deepest: deepest.name,
            capacity,
        })
    }

    /// Settings of a service's targets; the defaults for a service that isn't deployed.
    pub fn target_of(&self, service: &str) -> Settings {
        let plan = self.services.iter().find(|plan| plan.name == service);
        plan.map(|plan| plan.target.clone()).unwrap_or_default()
    }
}

impl Service {
    fn plan(&self, scale: f64, target_retries: u32) -> Result<ServicePlan, RigError> {
        let slots = scaled_slots(self.slots, scale);
        let calls = self.downstream.iter().map(|call| call.parse());
        let path_override = self.path_override.map(|(prefix, call)| {
            Ok::<_, RigError>(PathCalls {
                prefix: prefix.into(),
                calls: vec![call.parse()?],
            })
        });
        let target = Settings {
            slots,
            service_ms: self.service_ms,
            downstream: calls.collect::<Result<_, _>>()?,
            downstream_of: path_override.into_iter().collect::<Result<_, _>>()?,
            downstream_retries: target_retries,
            ..Settings::default()
        };
        let domains = (0..self.workers).map(|i| SmolStr::new(DOMAINS[i % DOMAINS.len()]));
        Ok(ServicePlan {
            document: self.document.into(),
            domains: domains.collect(),
            target,
            // The concurrency limits aren't set: by default they are derived from the slots.
            node: json!({
                "target": { "health_path": "/health" },
                "admission": {
                    "queue_length": slots.max(MIN_QUEUE_LENGTH),
                },
            }),
            ..ServicePlan::new(self.name, &DOMAINS)
        })
    }
}

/// Minimum queue length; a queue as short as the few slots of a scaled-down worker would hardly hold any call.
const MIN_QUEUE_LENGTH: usize = 10;

/// Scales a worker's slots, to at least one.
fn scaled_slots(slots: f64, scale: f64) -> usize {
    (slots * SLOT_SHARE * scale).round().max(1.0) as usize
}

/// A lot page takes a chain of five calls, a bid a chain of six.
const TELMARINO_CALLS: &[&str] = &[
    "POST /bidding/lots/1/bids class=bids weight=20 non-idempotent",
    "GET /watchlists/brokers/1/watchlist class=lot-pages weight=50",
    "GET /watchlists/internal/1 class=internal-lookups weight=30",
];

fn telmarino() -> [Service; 4] {
    [
        Service {
            name: "watchlists",
            document: include_str!("../../../../examples/telmarino/watchlists.jsonc"),
            workers: 4,
            slots: 60.0,
            service_ms: SHALLOW_SERVICE_MS,
            downstream: &["GET /price-history/domains/1/prices"],
            path_override: None,
        },
        Service {
            name: "bidding",
            document: include_str!("../../../../examples/telmarino/bidding.jsonc"),
            workers: 3,
            slots: 80.0,
            service_ms: SHALLOW_SERVICE_MS,
            downstream: &["GET /watchlists/brokers/1/watchlist"],
            path_override: Some((
                "/lots/1/standing",
                "GET /price-history/domains/1/prices/last",
            )),
        },
        Service {
            name: "price-history",
            document: include_str!("../../../../examples/telmarino/price-history.jsonc"),
            workers: 3,
            slots: 80.0,
            service_ms: SHALLOW_SERVICE_MS,
            downstream: &["GET /bidding/lots/1/standing"],
            path_override: Some(("/domains/1/prices/last", "GET /lot-catalog/lots/1")),
        },
        Service {
            name: "lot-catalog",
            document: include_str!("../../../../examples/telmarino/lot-catalog.jsonc"),
            workers: 3,
            slots: 10.0,
            service_ms: 60.0,
            downstream: &[],
            path_override: None,
        },
    ]
}

/// A proof's status takes a chain of five calls, a confirmation six, an outline two.
const NILESTONE_CALLS: &[&str] = &[
    "POST /orders/orders/1/confirmation class=engraving-confirmations weight=20 non-idempotent",
    "GET /archive/motifs/1/outline class=cutters weight=20",
    "GET /proofs/proofs/1/status class=families weight=40",
    "GET /proofs/internal/1 class=internal-lookups weight=20",
];

fn nilestone() -> [Service; 4] {
    [
        Service {
            name: "archive",
            document: include_str!("../../../../examples/nilestone/archive.jsonc"),
            workers: 4,
            slots: 170.0,
            service_ms: SHALLOW_SERVICE_MS,
            downstream: &["GET /orders/orders/1"],
            path_override: Some(("/motifs/1/outline", "GET /workshop/layouts/1")),
        },
        Service {
            name: "orders",
            document: include_str!("../../../../examples/nilestone/orders.jsonc"),
            workers: 3,
            slots: 220.0,
            service_ms: SHALLOW_SERVICE_MS,
            downstream: &["GET /archive/motifs/1/outline"],
            path_override: Some(("/orders/1/confirmation", "GET /proofs/proofs/1/status")),
        },
        Service {
            name: "proofs",
            document: include_str!("../../../../examples/nilestone/proofs.jsonc"),
            workers: 4,
            slots: 170.0,
            service_ms: SHALLOW_SERVICE_MS,
            downstream: &["GET /archive/motifs/1"],
            path_override: None,
        },
        Service {
            name: "workshop",
            document: include_str!("../../../../examples/nilestone/workshop.jsonc"),
            workers: 3,
            slots: 25.0,
            service_ms: 150.0,
            downstream: &[],
            path_override: None,
        },
    ]
}
