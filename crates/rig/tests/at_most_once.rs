//! A call with a token runs at most once, whatever fails while it is sent again and again through other entries.

mod common;

use coltsfootport_rig::fleet::Fleet;
use coltsfootport_rig::platform::{FaultMode, FaultScope};
use coltsfootport_rig::proxy::{Cut, DirectionFaults, LinkFaults};
use coltsfootport_rig::target::Settings;
use http::Method;
use serde_json::json;

use self::common::bids::{self, Bid, ENTRY_B, ENTRY_C, HOME, OTHER_HOME, Outcome, wait_until};

/// How long a run takes: enough for faults to fall into it.
const WORK_MS: f64 = 400.0;

/// What is done to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The home's node is killed and started again only at the end.
    KillHome,
    /// The home's node is killed and started again at once, beside its target which works on.
    RestartHome,
    /// The home's node sleeps past every deadline.
    FreezeHome,
    /// The home's node is told to stop gracefully and started again when it has.
    StopHome,
    /// The first entry sleeps.
    FreezeEntry,
    /// The first entry is killed.
    KillEntry,
    /// Nothing passes between the home and all others.
    CutHome,
    /// Nothing passes between the home and the first entry; the other entry still reaches it.
    CutEntry,
    /// Answers of the home are lost, requests arrive.
    CutAnswers,
    /// Half of all datagrams come twice, half are overtaken by later ones.
    Scramble,
    /// No node can read the platform.
    PlatformDown,
}

/// When the faults strike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum When {
    /// Before the call is sent.
    Before,
    /// It waits at its home for another call.
    Queued,
    /// It is at its target.
    Running,
    /// It has run and been answered.
    Ran,
}

/// What the caller learns by its last sending, when all faults are over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Learns {
    /// The answer of the one run.
    Answer,
    /// The home's memory is gone with its process.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    when: When,
    faults: &'static [Fault],
    learns: Learns,
}

const fn case(when: When, faults: &'static [Fault], learns: Learns) -> Case {
    Case {
        when,
        faults,
        learns,
    }
}

impl Case {
    /// Whether the home that the token names is gone at the end.
    fn loses_home(&self) -> bool {
        let ends = [Fault::KillHome, Fault::RestartHome, Fault::StopHome];
        self.faults.iter().any(|fault| ends.contains(fault))
    }
}

async fn fleet() -> Fleet {
    let target = Settings {
        service_ms: WORK_MS,
        ignore_cancel: true,
        ..Settings::default()
    };
    let one = json!({"mode": "static", "initial_limit": 1, "min_limit": 1, "max_limit": 1});
    let node = json!({"admission": one, "shutdown": {"announce_ms": 100}});
    Fleet::start(bids::plan(target, node))
        .await
        .expect("a fleet")
}

async fn strike(fleet: &mut Fleet, home: &str, fault: Fault) {
    let both = LinkFaults::both;
    match fault {
        Fault::KillHome => fleet.member_mut(home).kill_node().expect("killed"),
        Fault::RestartHome => {
            let home = fleet.member_mut(home);
            home.kill_node().expect("killed");
            home.start_node().expect("started");
        }
        Fault::FreezeHome => fleet.member_mut(home).freeze().expect("frozen"),
        Fault::StopHome => {
            let stopped = fleet
                .member_mut(home)
                .stop_node(common::EVENT_TIMEOUT)
                .await;
            assert!(stopped.expect("a stop"), "the home has not stopped");
        }
        Fault::FreezeEntry => fleet.member_mut(ENTRY_B).freeze().expect("frozen"),
        Fault::KillEntry => fleet.member_mut(ENTRY_B).kill_node().expect("killed"),
        Fault::CutHome => {
            fleet.cut("a", "b", Cut::Blackhole);
            fleet.cut("a", "c", Cut::Blackhole);
        }
        Fault::CutEntry => fleet.cut("a", "b", Cut::Blackhole),
        Fault::CutAnswers => {
            let mut faults = LinkFaults::default();
            faults.backward.cut = Cut::Blackhole;
            let domain = fleet.member(home).domain.clone();
            for from in ["a", "b", "c"] {
                fleet.set_links(from, &domain, &faults);
            }
        }
        Fault::Scramble => {
            let scrambled = DirectionFaults {
                duplicate: 0.5,
                reorder: 0.5,
                reorder_ms: 15.0,
                ..DirectionFaults::default()
            };
            for (from, to) in [("a", "b"), ("b", "a"), ("a", "c"), ("c", "a")] {
                fleet.set_links(from, to, &both(scrambled));
            }
        }
        Fault::PlatformDown => {
            let down = fleet.platform_fault(FaultMode::Down, FaultScope::All).await;
            down.expect("a platform");
        }
    }
}

async fn recover(fleet: &mut Fleet) {
    fleet.heal();
    let up = fleet.platform_fault(FaultMode::Up, FaultScope::All).await;
    up.expect("a platform");
    for name in [HOME, OTHER_HOME, ENTRY_B] {
        let member = fleet.member_mut(name);
        match member.node {
            Some(_) => member.wake().expect("awake"),
            None => member.start_node().expect("started"),
        }
    }
    fleet.all_ready().await.expect("a ready fleet");
}

/// Waits until the call is where the faults are to strike.
async fn reach(fleet: &Fleet, bid: &Bid, when: When) {
    wait_until("the call is under way", || async {
        let status = fleet.status(HOME).await.expect("a status");
        let started = !bid.runs(fleet).await.is_empty();
        match when {
            When::Before => true,
            When::Queued => status["admission"]["queued"] == 1,
            When::Running => started,
            When::Ran => started && status["admission"]["in_flight"] == 0,
        }
    })
    .await;
}

async fn run(fleet: &mut Fleet, case: &Case, serial: usize) {
    let name = format!("{case:?}");
    let mut bid = Bid::for_home(fleet, HOME, &format!("case-{serial}")).await;
    bid.deadline_ms = 1500;
    let mut blocker = Bid::for_home(fleet, HOME, &format!("blocker-{serial}")).await;
    let mut blocking = None;
    if case.when == When::Queued {
        blocking = Some(blocker.send(fleet, ENTRY_C));
        reach(fleet, &blocker, When::Running).await;
    }
    if case.when == When::Before {
        for fault in case.faults {
            strike(fleet, HOME, *fault).await;
        }
    }
    let first = bid.send(fleet, ENTRY_B);
    if case.when != When::Before {
        reach(fleet, &bid, case.when).await;
        for fault in case.faults {
            strike(fleet, HOME, *fault).await;
        }
    }
    // The caller tries again at once through each of the others while the faults last.
    let second = bid.send(fleet, ENTRY_C);
    let third = bid.send(fleet, OTHER_HOME);
    let frozen = [Fault::FreezeEntry, Fault::KillEntry];
    let mut told = Vec::new();
    let [second, third] = [second.await, third.await].map(|told| told.expect("a sending"));
    if case.faults.iter().any(|fault| frozen.contains(fault)) {
        recover(fleet).await;
        told.push(first.await.expect("a sending"));
    } else {
        told.push(first.await.expect("a sending"));
        recover(fleet).await;
    }
    told.extend([second, third]);
    bid.check(fleet, &told, &name).await;
    for entry in [ENTRY_B, HOME, ENTRY_C] {
        told.push(bid.send_and_wait(fleet, entry).await);
    }
    let mut runs = bid.check_when_idle(fleet, &told, &name).await;
    let mut last = told.last().expect("sendings").clone();
    if runs.is_empty() && !case.loses_home() {
        // Every sending so far was refused for good; one more runs.
        told.push(bid.send_and_wait(fleet, ENTRY_C).await);
        runs = bid.check_when_idle(fleet, &told, &name).await;
        last = told.last().expect("sendings").clone();
    }
    match case.learns {
        Learns::Answer => assert!(matches!(last, Outcome::Ran { .. }), "{name}: {told:?}"),
        Learns::Unknown => assert!(matches!(last, Outcome::Unknown { .. }), "{name}: {told:?}"),
    }
    if matches!(case.when, When::Running | When::Ran) {
        assert_eq!(runs, [1], "{name}: {told:?}");
    }
    if let Some(blocking) = blocking {
        let told = blocking.await.expect("a sending");
        blocker.check(fleet, &[told], &name).await;
    }
}

async fn run_all(cases: &[Case]) {
    let mut fleet = fleet().await;
    for (serial, case) in cases.iter().enumerate() {
        run(&mut fleet, case, serial).await;
    }
}

// Symptom: a bid is placed twice after its answer was lost.
// Sequence: the home or the way to it fails before, while or after the bid is at the target; the caller sends it again
// through every other entry, during the fault and after it.
// Cause: a sending runs where the record of the first one is not: at another target, or at a new run of the home.
#[tokio::test(flavor = "multi_thread")]
async fn one_fault_at_the_target() {
    use Fault::*;
    use Learns::*;
    use When::*;
    run_all(&[
        case(Running, &[CutAnswers], Answer),
        case(Running, &[CutHome], Answer),
        case(Running, &[CutEntry], Answer),
        case(Running, &[FreezeHome], Answer),
        case(Running, &[FreezeEntry], Answer),
        case(Running, &[KillEntry], Answer),
        case(Running, &[StopHome], Unknown),
        case(Running, &[KillHome], Unknown),
        case(Running, &[RestartHome], Unknown),
    ])
    .await;
}

// Symptom, sequence and cause: as before, where the bid has not reached its target or has left it.
#[tokio::test(flavor = "multi_thread")]
async fn one_fault_before_or_after() {
    use Fault::*;
    use Learns::*;
    use When::*;
    run_all(&[
        case(Queued, &[KillHome], Unknown),
        case(Queued, &[FreezeHome], Answer),
        case(Queued, &[CutHome], Answer),
        case(Queued, &[RestartHome], Unknown),
        case(Ran, &[KillHome], Unknown),
        case(Ran, &[CutHome], Answer),
        case(Ran, &[PlatformDown], Answer),
        case(Before, &[Scramble], Answer),
        case(Before, &[FreezeHome], Answer),
        case(Before, &[FreezeEntry], Answer),
        case(Before, &[KillHome], Unknown),
    ])
    .await;
}

// Symptom and sequence: as with one fault, where the second one hides what the first left known.
// Cause: a rule that holds for each fault by itself rests on the other's absence, such as on a reachable home.
#[tokio::test(flavor = "multi_thread")]
async fn two_faults_at_once() {
    use Fault::*;
    use Learns::*;
    use When::*;
    run_all(&[
        case(Running, &[KillHome, FreezeEntry], Unknown),
        case(Running, &[RestartHome, PlatformDown], Unknown),
        case(Running, &[RestartHome, CutEntry], Unknown),
        case(Running, &[FreezeHome, CutEntry], Answer),
        case(Running, &[CutHome, FreezeEntry], Answer),
        case(Running, &[CutAnswers, KillEntry], Answer),
        case(Running, &[StopHome, CutEntry], Unknown),
        case(Queued, &[FreezeHome, CutEntry], Answer),
        case(Queued, &[KillHome, FreezeEntry], Unknown),
        case(Before, &[Scramble, FreezeHome], Answer),
        case(Before, &[Scramble, KillHome], Unknown),
        case(Before, &[CutAnswers, FreezeEntry], Answer),
    ])
    .await;
}

// Symptom: a bid without token or key is placed twice.
// Sequence: its answer is lost, or the home is killed or sleeps, while the bid is at the target; there is another target.
// Cause: the entry sends on what it does not know not to have run.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_without_identity_is_not_sent_twice() {
    use Fault::*;
    let mut fleet = fleet().await;
    let faults = [KillHome, RestartHome, FreezeHome, CutAnswers, StopHome];
    for (serial, fault) in faults.into_iter().cycle().take(10).enumerate() {
        let name = format!("{fault:?} {serial}");
        for home in [HOME, OTHER_HOME] {
            // The entry has noticed by then that its former connections to the home have ended.
            bids::token(&fleet, ENTRY_C, home).await;
        }
        let key = format!("plain-{serial}");
        let addr = fleet.member(ENTRY_C).addresses.callers;
        let mut call = common::get_with_key(addr, "/bidding/bids", &key, common::EVENT_TIMEOUT);
        call.method = Method::POST;
        call.headers
            .insert("coltsfootport-deadline-ms", 2000.into());
        let client = fleet.client.clone();
        let sending = tokio::spawn(async move { Outcome::from_answer(&client.send(call).await) });
        let runs = async || fleet.runs("bidding", &key).await.expect("counts");
        wait_until("it runs", async || runs().await == 1).await;
        let of_home = fleet.member(HOME).counts(&fleet.client).await;
        let at_home = of_home.expect("counts").keys.contains_key(key.as_str());
        let home = if at_home { HOME } else { OTHER_HOME };
        strike(&mut fleet, home, fault).await;
        let told = sending.await.expect("a sending");
        recover(&mut fleet).await;
        bids::wait_until_idle(&fleet).await;
        let runs = fleet.runs("bidding", &key).await.expect("counts");
        assert_eq!(runs, 1, "{name}: {told:?}");
        assert!(
            !told.is_not_run() && told != Outcome::Nothing,
            "{name}: {told:?}"
        );
    }
}
