//! The retries of a request stay within its allowance across the whole call graph.

#[path = "common/flow.rs"]
mod flow;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootport_rig::fleet::{Fleet, FleetPlan, ServicePlan};
use coltsfootport_rig::load::Ending;
use coltsfootport_rig::proxy::{Cut, DirectionFaults, LinkFaults};
use coltsfootport_rig::target::{DownstreamMode, Settings};
use tokio::task::JoinSet;

use flow::Call;

/// Number of services in the chain.
const CHAIN_LENGTH: usize = 13;

/// Number of services that each inner service of the tree calls.
const FAN_OUT: usize = 3;

/// Retry allowance of each request.
const ALLOWANCE: u16 = 8;

/// Number of concurrent requests in each case.
const REQUESTS: usize = 12;

/// A service and the services that it calls.
#[derive(Clone, Debug)]
struct CallGraph {
    service: String,
    children: Vec<CallGraph>,
}

/// Modifies the settings of a target.
type SettingsChange = fn(&mut Settings);

/// The retries that a case must cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ExpectedRetries {
    /// None, and every request succeeds.
    #[default]
    None,
    /// At least one.
    Some,
    /// At least one. None if every lost answer carried off the remaining allowance of its request; then at least
    /// one request must fail.
    IfAllowanceLeft,
}

/// The faults of a test case and the retries it expects.
#[derive(Clone, Debug, Default)]
struct Case {
    name: &'static str,
    /// Changes to the settings of targets, by service; an empty name applies to all services.
    targets: Vec<(&'static str, SettingsChange)>,
    /// Retries that each target makes of its downstream calls.
    target_retries: u32,
    /// Timeout of a target for its downstream calls, multiplied by the height of the graph below it; 0 sets 10 s.
    target_timeout_ms: u64,
    /// Faults of the links from failure domain `a` to `b`.
    links: LinkFaults,
    /// Retries that the case must cause; without them it would test nothing.
    retries: ExpectedRetries,
}

/// How often targets started the calls of one request, retries included.
#[derive(Clone, Copy, Debug, Default)]
struct Starts {
    /// Most starts of a single call.
    max_per_call: u64,
    /// Starts in excess of one for each run of the calling target.
    retries: u64,
    /// Starts in excess of one for each call.
    unplanned: u64,
}

impl CallGraph {
    fn chain(from: usize) -> Self {
        let children = if from < CHAIN_LENGTH {
            vec![Self::chain(from + 1)]
        } else {
            vec![]
        };
        Self {
            service: format!("s{from}"),
            children,
        }
    }

    /// `r` calls `m0..m2`, each of which calls all of `l0..l2`.
    fn tree() -> Self {
        let leaf = |i| Self {
            service: format!("l{i}"),
            children: vec![],
        };
        let middle = |i| Self {
            service: format!("m{i}"),
            children: (0..FAN_OUT).map(leaf).collect(),
        };
        Self {
            service: "r".into(),
            children: (0..FAN_OUT).map(middle).collect(),
        }
    }

    /// Number of levels below this service.
    fn height(&self) -> u64 {
        let heights = self.children.iter().map(|child| child.height() + 1);
        heights.max().unwrap_or(0)
    }

    fn services(&self) -> BTreeMap<&str, &Self> {
        let mut services: BTreeMap<_, _> = self.children.iter().flat_map(Self::services).collect();
        services.insert(&self.service, self);
        services
    }

    /// Adds the starts of the call `key` and of all calls below it. Each run of a target makes every downstream call
    /// once, so any start in excess of `caller_runs` is a retry.
    fn count_starts(&self, key: &str, runs: &Runs, caller_runs: u64, starts: &mut Starts) {
        let started = runs
            .get(&(self.service.clone(), key.to_owned()))
            .copied()
            .unwrap_or(0);
        starts.max_per_call = starts.max_per_call.max(started);
        starts.retries += started.saturating_sub(caller_runs);
        starts.unplanned += started.saturating_sub(1);
        for (i, child) in self.children.iter().enumerate() {
            child.count_starts(&format!("{key}.{i}"), runs, started, starts);
        }
    }
}

/// Starts at targets by service and key.
type Runs = BTreeMap<(String, String), u64>;

fn settings(graph: &CallGraph, case: &Case) -> Settings {
    Settings {
        slots: 1000,
        service_ms: 1.0,
        downstream: graph
            .children
            .iter()
            .map(|child| format!("GET /{}/x", child.service).parse().expect("a call"))
            .collect(),
        downstream_mode: DownstreamMode::Parallel,
        downstream_retries: case.target_retries,
        downstream_timeout_ms: match case.target_timeout_ms {
            0 => 10_000,
            ms => ms * graph.height(),
        },
        ..Settings::default()
    }
}

async fn start(graph: &CallGraph) -> Fleet {
    let services = graph.services();
    let plans = services.iter().map(|(name, subgraph)| ServicePlan {
        document: ServicePlan::document(name, ALLOWANCE),
        target: settings(subgraph, &Case::default()),
        ..ServicePlan::new(name, &["a", "b"])
    });
    let plan = FleetPlan {
        services: plans.collect(),
        node: flow::allowance_only_settings(),
        proxied: true,
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(plan).await.expect("a fleet");
    let entries = [entry(&fleet, graph)];
    flow::wait_until_settled(&fleet, &format!("/{}/x", graph.service), &entries).await;
    fleet
}

fn entry(fleet: &Fleet, graph: &CallGraph) -> SocketAddr {
    let root = fleet.member(&format!("{}-1", graph.service));
    root.addresses.callers
}

async fn prepare(fleet: &mut Fleet, graph: &CallGraph, case: &Case) {
    for (service, subgraph) in graph.services() {
        let mut settings = settings(subgraph, case);
        for (name, change) in &case.targets {
            if name.is_empty() || *name == service {
                change(&mut settings);
            }
        }
        flow::set_targets(fleet, service, &settings).await;
    }
    fleet.set_links("a", "b", &case.links);
}

async fn runs(fleet: &Fleet) -> Runs {
    let mut runs = Runs::new();
    for member in fleet.members.values() {
        let counts = member.counts(&fleet.client).await.expect("counts");
        for (key, of_key) in counts.keys {
            *runs
                .entry((member.service.to_string(), key.to_string()))
                .or_default() += of_key.started;
        }
    }
    runs
}

async fn run(fleet: &mut Fleet, graph: &CallGraph, case: &Case) {
    prepare(fleet, graph, case).await;
    let mut calls = JoinSet::new();
    for i in 0..REQUESTS {
        let entry = entry(fleet, graph);
        let call = Call {
            deadline: Duration::from_secs(3),
            ..Call::get(
                entry,
                &format!("/{}/x", graph.service),
                &format!("{}#{i}", case.name),
            )
        };
        let client = fleet.client.clone();
        calls.spawn(async move { call.send(&client).await });
    }
    let results = calls.join_all().await;
    fleet.heal();
    flow::wait_until_idle(fleet).await;

    let runs = runs(fleet).await;
    let (mut max_per_call, mut retries, mut unplanned) = (0, 0, 0);
    for result in &results {
        assert_ne!(result.ending, Ending::Wrong, "{}", result.describe());
        let is_whole = result.ending == Ending::Whole;
        assert!(
            is_whole || case.retries != ExpectedRetries::None,
            "{}",
            result.describe()
        );
        let mut starts = Starts::default();
        graph.count_starts(&result.key, &runs, 1, &mut starts);
        let bound = u64::from(ALLOWANCE);
        assert!(
            starts.max_per_call <= 1 + bound,
            "{}: {starts:?}",
            result.describe()
        );
        assert!(starts.retries <= bound, "{}: {starts:?}", result.describe());
        max_per_call = max_per_call.max(starts.max_per_call);
        retries = retries.max(starts.retries);
        unplanned = unplanned.max(starts.unplanned);
    }
    println!(
        "{}: {max_per_call} starts of a call at most, {retries} retries, {unplanned} unplanned starts",
        case.name
    );
    let any_failed = results.iter().any(|result| result.ending != Ending::Whole);
    let is_as_expected = match case.retries {
        ExpectedRetries::None => retries == 0,
        ExpectedRetries::Some => retries > 0,
        ExpectedRetries::IfAllowanceLeft => retries > 0 || any_failed,
    };
    assert!(
        is_as_expected,
        "{}: unexpected number of retries: {retries}",
        case.name
    );
}

fn fails(settings: &mut Settings) {
    settings.fail_ratio = 1.0;
}

fn fails_often(settings: &mut Settings) {
    settings.fail_ratio = 0.3;
}

fn truncates_answers(settings: &mut Settings) {
    settings.truncate_bytes = Some(20);
}

fn hangs(settings: &mut Settings) {
    settings.hang = true;
}

fn is_slow(settings: &mut Settings) {
    settings.service_ms = 400.0;
}

fn answers_lost() -> LinkFaults {
    LinkFaults {
        backward: DirectionFaults::cut(Cut::Blackhole),
        ..LinkFaults::default()
    }
}

fn lossy() -> LinkFaults {
    LinkFaults::both(DirectionFaults {
        loss: 0.1,
        duplicate: 0.1,
        ..DirectionFaults::default()
    })
}

/// Builds the cases for a graph with the service `last` at its lowest level and `middle` at an intermediate one.
fn cases(last: &'static str, middle: &'static str) -> Vec<Case> {
    let case = Case {
        retries: ExpectedRetries::Some,
        ..Case::default()
    };
    let retrying = Case {
        target_retries: 3,
        ..case.clone()
    };
    let short_timeout = Case {
        target_timeout_ms: 60,
        ..retrying.clone()
    };
    vec![
        Case {
            name: "no-fault",
            retries: ExpectedRetries::None,
            target_retries: 3,
            ..Case::default()
        },
        Case {
            name: "last-cuts",
            targets: vec![(last, truncates_answers)],
            ..case.clone()
        },
        Case {
            name: "last-fails",
            targets: vec![(last, fails)],
            ..retrying.clone()
        },
        Case {
            name: "last-cuts-own",
            targets: vec![(last, truncates_answers)],
            ..retrying.clone()
        },
        Case {
            name: "all-fail-often",
            targets: vec![("", fails_often)],
            ..retrying.clone()
        },
        Case {
            name: "last-hangs",
            targets: vec![(last, hangs)],
            ..short_timeout.clone()
        },
        Case {
            name: "last-slow",
            targets: vec![(last, is_slow)],
            ..short_timeout.clone()
        },
        Case {
            name: "answers-lost",
            links: answers_lost(),
            retries: ExpectedRetries::IfAllowanceLeft,
            ..short_timeout.clone()
        },
        Case {
            name: "middle-cuts-last-fails",
            targets: vec![(middle, truncates_answers), (last, fails)],
            ..retrying.clone()
        },
        Case {
            name: "all-fail-lossy",
            targets: vec![("", fails_often)],
            links: lossy(),
            ..retrying.clone()
        },
        Case {
            name: "hang-answers-lost",
            targets: vec![(last, hangs)],
            links: answers_lost(),
            retries: ExpectedRetries::IfAllowanceLeft,
            ..short_timeout
        },
    ]
}

/// Guards against retries that multiply along a chain and overload a failing service at its end. The service fails, or
/// its answers are truncated or lost, and each of the 12 hops above it, or each target by itself, retries. If retries
/// were limited for each hop only, three per hop would amount to 4 to the power of 12 calls.
#[tokio::test(flavor = "multi_thread")]
async fn a_chain_of_13_stays_within_the_allowance() {
    let graph = CallGraph::chain(1);
    let mut fleet = start(&graph).await;
    for case in cases("s13", "s7") {
        run(&mut fleet, &graph, &case).await;
    }
    flow::assert_no_breaches(&fleet).await;
}

/// Guards against a request with fan-out that exceeds the retry allowance of its document. `r` calls three services
/// concurrently, each of which calls three more, and several branches fail and retry at the same time. An allowance
/// that is copied to each branch would be multiplied by the fan-out.
#[tokio::test(flavor = "multi_thread")]
async fn a_tree_stays_within_the_allowance() {
    let graph = CallGraph::tree();
    let mut fleet = start(&graph).await;
    for case in cases("l1", "m1") {
        run(&mut fleet, &graph, &case).await;
    }
    flow::assert_no_breaches(&fleet).await;
}
