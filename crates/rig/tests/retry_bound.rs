//! Retries stay within the allowance of their request over the whole call graph.

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

/// Services of the chain.
const DEPTH: usize = 13;

/// Children of each service of the tree.
const FAN_OUT: usize = 3;

/// Retries that a request brings.
const ALLOWANCE: u16 = 8;

/// Requests of each case, at once.
const REQUESTS: usize = 12;

/// A service of the graph and its position.
#[derive(Clone, Debug)]
struct Node {
    service: String,
    children: Vec<Node>,
}

/// Changes the behaviour of a target.
type Change = fn(&mut Settings);

/// Retries that a case brings about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Retries {
    /// None, and every request succeeds.
    #[default]
    None,
    /// At least one.
    Some,
    /// One, unless each lost answer took what was left of its request's allowance along; some request is met then.
    WhereLeft,
}

/// What goes wrong.
#[derive(Clone, Debug, Default)]
struct Case {
    name: &'static str,
    /// Changes to the targets, by service; the empty name stands for all.
    targets: Vec<(&'static str, Change)>,
    /// Retries that every target makes by itself.
    own_retries: u32,
    /// Time after which a target gives up a call of its own, for each level below it; 0 for never.
    own_timeout_ms: u64,
    /// Faults of the links from failure domain `a` to `b`.
    links: LinkFaults,
    /// What the case brings about; one that doesn't proves nothing.
    retries: Retries,
}

/// Starts of the planned calls of one request and of its retries.
#[derive(Clone, Copy, Debug, Default)]
struct Starts {
    most_of_a_call: u64,
    repeats: u64,
    extra: u64,
}

impl Node {
    fn chain(from: usize) -> Self {
        let children = if from < DEPTH {
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

    fn height(&self) -> u64 {
        let below = self.children.iter().map(|child| child.height() + 1);
        below.max().unwrap_or(0)
    }

    fn services(&self) -> BTreeMap<&str, &Self> {
        let mut found: BTreeMap<_, _> = self.children.iter().flat_map(Self::services).collect();
        found.insert(&self.service, self);
        found
    }

    /// Every start beyond those of the calling runs is a retry: a run of a target plans each call below it once.
    fn count(&self, key: &str, runs: &Runs, above: u64, starts: &mut Starts) {
        let started = runs
            .get(&(self.service.clone(), key.to_owned()))
            .copied()
            .unwrap_or(0);
        starts.most_of_a_call = starts.most_of_a_call.max(started);
        starts.repeats += started.saturating_sub(above);
        starts.extra += started.saturating_sub(1);
        for (i, child) in self.children.iter().enumerate() {
            child.count(&format!("{key}.{i}"), runs, started, starts);
        }
    }
}

type Runs = BTreeMap<(String, String), u64>;

fn settings(node: &Node, case: &Case) -> Settings {
    Settings {
        slots: 1000,
        service_ms: 1.0,
        downstream: node
            .children
            .iter()
            .map(|child| format!("GET /{}/x", child.service).parse().expect("a call"))
            .collect(),
        downstream_mode: DownstreamMode::Parallel,
        downstream_retries: case.own_retries,
        downstream_timeout_ms: match case.own_timeout_ms {
            0 => 10_000,
            ms => ms * node.height(),
        },
        ..Settings::default()
    }
}

async fn start(graph: &Node) -> Fleet {
    let services = graph.services();
    let plans = services.iter().map(|(name, node)| ServicePlan {
        document: ServicePlan::document(name, ALLOWANCE),
        target: settings(node, &Case::default()),
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

fn entry(fleet: &Fleet, graph: &Node) -> SocketAddr {
    let root = fleet.member(&format!("{}-1", graph.service));
    root.addresses.callers
}

async fn prepare(fleet: &mut Fleet, graph: &Node, case: &Case) {
    for (service, node) in graph.services() {
        let mut settings = settings(node, case);
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

async fn run(fleet: &mut Fleet, graph: &Node, case: &Case) {
    prepare(fleet, graph, case).await;
    let mut asked = JoinSet::new();
    for i in 0..REQUESTS {
        let entry = entry(fleet, graph);
        let ask = Call {
            deadline: Duration::from_secs(3),
            ..Call::get(
                entry,
                &format!("/{}/x", graph.service),
                &format!("{}#{i}", case.name),
            )
        };
        let client = fleet.client.clone();
        asked.spawn(async move { ask.send(&client).await });
    }
    let told = asked.join_all().await;
    fleet.heal();
    flow::wait_until_idle(fleet).await;

    let runs = runs(fleet).await;
    let (mut most, mut repeats, mut extra) = (0, 0, 0);
    for told in &told {
        assert_ne!(told.ending, Ending::Wrong, "{}", told.describe());
        let is_whole = told.ending == Ending::Whole;
        assert!(
            is_whole || case.retries != Retries::None,
            "{}",
            told.describe()
        );
        let mut starts = Starts::default();
        graph.count(&told.key, &runs, 1, &mut starts);
        let bound = u64::from(ALLOWANCE);
        assert!(
            starts.most_of_a_call <= 1 + bound,
            "{}: {starts:?}",
            told.describe()
        );
        assert!(starts.repeats <= bound, "{}: {starts:?}", told.describe());
        most = most.max(starts.most_of_a_call);
        repeats = repeats.max(starts.repeats);
        extra = extra.max(starts.extra);
    }
    println!(
        "{}: most starts of a call {most}, retries {repeats}, starts beyond the plan {extra}",
        case.name
    );
    let is_met = told.iter().any(|told| told.ending != Ending::Whole);
    let is_as_said = match case.retries {
        Retries::None => repeats == 0,
        Retries::Some => repeats > 0,
        Retries::WhereLeft => repeats > 0 || is_met,
    };
    assert!(is_as_said, "{}: {repeats} retries", case.name);
}

fn fails(settings: &mut Settings) {
    settings.fail_ratio = 1.0;
}

fn fails_often(settings: &mut Settings) {
    settings.fail_ratio = 0.3;
}

fn cuts_answers(settings: &mut Settings) {
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

/// Cases for a graph, with the services near its end, in its middle and at its root.
fn cases(last: &'static str, middle: &'static str) -> Vec<Case> {
    let case = Case {
        retries: Retries::Some,
        ..Case::default()
    };
    let own = Case {
        own_retries: 3,
        ..case.clone()
    };
    let impatient = Case {
        own_timeout_ms: 60,
        ..own.clone()
    };
    vec![
        Case {
            name: "no-fault",
            retries: Retries::None,
            own_retries: 3,
            ..Case::default()
        },
        Case {
            name: "last-cuts",
            targets: vec![(last, cuts_answers)],
            ..case.clone()
        },
        Case {
            name: "last-fails",
            targets: vec![(last, fails)],
            ..own.clone()
        },
        Case {
            name: "last-cuts-own",
            targets: vec![(last, cuts_answers)],
            ..own.clone()
        },
        Case {
            name: "all-fail-often",
            targets: vec![("", fails_often)],
            ..own.clone()
        },
        Case {
            name: "last-hangs",
            targets: vec![(last, hangs)],
            ..impatient.clone()
        },
        Case {
            name: "last-slow",
            targets: vec![(last, is_slow)],
            ..impatient.clone()
        },
        Case {
            name: "answers-lost",
            links: answers_lost(),
            retries: Retries::WhereLeft,
            ..impatient.clone()
        },
        Case {
            name: "middle-cuts-last-fails",
            targets: vec![(middle, cuts_answers), (last, fails)],
            ..own.clone()
        },
        Case {
            name: "all-fail-lossy",
            targets: vec![("", fails_often)],
            links: lossy(),
            ..own.clone()
        },
        Case {
            name: "hang-answers-lost",
            targets: vec![(last, hangs)],
            links: answers_lost(),
            retries: Retries::WhereLeft,
            ..impatient
        },
    ]
}

/// Symptom: a failing service deep in a chain gets many times its planned calls, and fails the more.
/// Sequence: the service fails, cuts or loses answers; each of 12 hops above it, or each target by itself, tries again.
/// Cause: retries that are bounded at each hop multiply over the hops, 4 to the power of 12 with three retries each.
#[tokio::test(flavor = "multi_thread")]
async fn a_chain_of_13_stays_within_the_allowance() {
    let graph = Node::chain(1);
    let mut fleet = start(&graph).await;
    for case in cases("s13", "s7") {
        run(&mut fleet, &graph, &case).await;
    }
    flow::assert_no_breaches(&fleet).await;
}

/// Symptom: a request that fans out makes more retries than its document allows.
/// Sequence: `r` calls three services at once, each of which calls three; several branches fail and retry together.
/// Cause: an allowance that is copied to each branch is multiplied by the fan-out.
#[tokio::test(flavor = "multi_thread")]
async fn a_tree_stays_within_the_allowance() {
    let graph = Node::tree();
    let mut fleet = start(&graph).await;
    for case in cases("l1", "m1") {
        run(&mut fleet, &graph, &case).await;
    }
    flow::assert_no_breaches(&fleet).await;
}
