//! A call with a token runs at most once, whatever fails while its caller retries it through other entries.

mod common;

use coltsfootport_rig::fleet::Fleet;
use coltsfootport_rig::platform::{FaultMode, FaultScope};
use coltsfootport_rig::proxy::{Cut, DirectionFaults, LinkFaults};
use coltsfootport_rig::target::Settings;
use http::Method;
use serde_json::json;

use self::common::bids::{self, Bid, ENTRY_B, ENTRY_C, HOME, OTHER_HOME, Outcome, wait_until};

/// Service time of the targets, long enough to inject faults while a call runs.
const SERVICE_TIME_MS: f64 = 400.0;

/// A fault injected into the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The node of the home is killed, and restarted only when all faults are lifted.
    KillHome,
    /// The node of the home is killed and restarted at once, while its target keeps running.
    RestartHome,
    /// The node of the home is frozen beyond every deadline.
    FreezeHome,
    /// The node of the home is stopped gracefully, and restarted when all faults are lifted.
    StopHome,
    /// The first entry is frozen.
    FreezeEntry,
    /// The first entry is killed.
    KillEntry,
    /// The links between the home and all other nodes drop everything.
    CutHome,
    /// The link between the home and the first entry drops everything; the other entry still reaches the home.
    CutEntry,
    /// Requests reach the home, but its answers are lost.
    CutAnswers,
    /// Half of all datagrams are duplicated and half are reordered.
    Scramble,
    /// No node can read the platform.
    PlatformDown,
}

/// The state of the call when the faults are injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallState {
    NotSent,
    /// Queued at its home behind another call.
    Queued,
    /// Running at its target.
    Running,
    /// Finished at its target and answered.
    Ran,
}

/// The expected outcome of the last attempt, after all faults are lifted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FinalOutcome {
    /// The answer of the one run.
    Answer,
    /// "Unknown", since the records of the home were lost with its process.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    call_state: CallState,
    faults: &'static [Fault],
    final_outcome: FinalOutcome,
}

const fn case(
    call_state: CallState,
    faults: &'static [Fault],
    final_outcome: FinalOutcome,
) -> Case {
    Case {
        call_state,
        faults,
        final_outcome,
    }
}

impl Case {
    /// Whether the incarnation of the home that the token names has ended.
    fn loses_home(&self) -> bool {
        let home_faults = [Fault::KillHome, Fault::RestartHome, Fault::StopHome];
        self.faults.iter().any(|fault| home_faults.contains(fault))
    }
}

async fn fleet() -> Fleet {
    let target = Settings {
        service_ms: SERVICE_TIME_MS,
        ignore_cancel: true,
        ..Settings::default()
    };
    let one_slot = json!({"mode": "static", "initial_limit": 1, "min_limit": 1, "max_limit": 1});
    let node = json!({"admission": one_slot, "shutdown": {"announce_ms": 100}});
    Fleet::start(bids::plan(target, node))
        .await
        .expect("a fleet")
}

async fn inject(fleet: &mut Fleet, home: &str, fault: Fault) {
    let both_directions = LinkFaults::both;
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
                fleet.set_links(from, to, &both_directions(scrambled));
            }
        }
        Fault::PlatformDown => {
            let down = fleet.platform_fault(FaultMode::Down, FaultScope::All).await;
            down.expect("a platform");
        }
    }
}

/// Lifts all faults, wakes or restarts the nodes and waits until all of them are ready.
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

/// Waits until the call is in `state`.
async fn wait_for_state(fleet: &Fleet, bid: &Bid, state: CallState) {
    wait_until("the call reaches its state", || async {
        let status = fleet.status(HOME).await.expect("a status");
        let started = !bid.runs(fleet).await.is_empty();
        match state {
            CallState::NotSent => true,
            CallState::Queued => status["admission"]["queued"] == 1,
            CallState::Running => started,
            CallState::Ran => started && status["admission"]["in_flight"] == 0,
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
    if case.call_state == CallState::Queued {
        blocking = Some(blocker.send(fleet, ENTRY_C));
        wait_for_state(fleet, &blocker, CallState::Running).await;
    }
    if case.call_state == CallState::NotSent {
        for fault in case.faults {
            inject(fleet, HOME, *fault).await;
        }
    }
    let first = bid.send(fleet, ENTRY_B);
    if case.call_state != CallState::NotSent {
        wait_for_state(fleet, &bid, case.call_state).await;
        for fault in case.faults {
            inject(fleet, HOME, *fault).await;
        }
    }
    // While the faults last, the caller retries at once through both other nodes.
    let second = bid.send(fleet, ENTRY_C);
    let third = bid.send(fleet, OTHER_HOME);
    let entry_faults = [Fault::FreezeEntry, Fault::KillEntry];
    let mut outcomes = Vec::new();
    let [second, third] = [second.await, third.await].map(|outcome| outcome.expect("an attempt"));
    if case.faults.iter().any(|fault| entry_faults.contains(fault)) {
        recover(fleet).await;
        outcomes.push(first.await.expect("an attempt"));
    } else {
        outcomes.push(first.await.expect("an attempt"));
        recover(fleet).await;
    }
    outcomes.extend([second, third]);
    bid.check(fleet, &outcomes, &name).await;
    for entry in [ENTRY_B, HOME, ENTRY_C] {
        outcomes.push(bid.send_and_wait(fleet, entry).await);
    }
    let mut runs = bid.check_when_idle(fleet, &outcomes, &name).await;
    let mut last = outcomes.last().expect("attempts").clone();
    if runs.is_empty() && !case.loses_home() {
        // Every attempt so far was told "not run", so a further one has to run.
        outcomes.push(bid.send_and_wait(fleet, ENTRY_C).await);
        runs = bid.check_when_idle(fleet, &outcomes, &name).await;
        last = outcomes.last().expect("attempts").clone();
    }
    match case.final_outcome {
        FinalOutcome::Answer => {
            assert!(matches!(last, Outcome::Ran { .. }), "{name}: {outcomes:?}")
        }
        FinalOutcome::Unknown => assert!(
            matches!(last, Outcome::Unknown { .. }),
            "{name}: {outcomes:?}"
        ),
    }
    if matches!(case.call_state, CallState::Running | CallState::Ran) {
        assert_eq!(runs, [1], "{name}: {outcomes:?}");
    }
    if let Some(blocking) = blocking {
        let outcome = blocking.await.expect("an attempt");
        blocker.check(fleet, &[outcome], &name).await;
    }
}

async fn run_all(cases: &[Case]) {
    let mut fleet = fleet().await;
    for (serial, case) in cases.iter().enumerate() {
        run(&mut fleet, case, serial).await;
    }
}

// Guards against a bid that is placed twice after its answer was lost: the home, the entry or the links between them
// fail while the bid runs, and the caller retries it through every other entry, during and after the fault. The bid
// runs twice if a retry is accepted where the first attempt is not recorded: at another target, or at a new
// incarnation of the home.
#[tokio::test(flavor = "multi_thread")]
async fn one_fault_at_the_target() {
    use CallState::*;
    use Fault::*;
    use FinalOutcome::*;
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

// Guards against the same failure as `one_fault_at_the_target`, with faults before the bid reaches its target or after
// it has run.
#[tokio::test(flavor = "multi_thread")]
async fn one_fault_before_or_after() {
    use CallState::*;
    use Fault::*;
    use FinalOutcome::*;
    run_all(&[
        case(Queued, &[KillHome], Unknown),
        case(Queued, &[FreezeHome], Answer),
        case(Queued, &[CutHome], Answer),
        case(Queued, &[RestartHome], Unknown),
        case(Ran, &[KillHome], Unknown),
        case(Ran, &[CutHome], Answer),
        case(Ran, &[PlatformDown], Answer),
        case(NotSent, &[Scramble], Answer),
        case(NotSent, &[FreezeHome], Answer),
        case(NotSent, &[FreezeEntry], Answer),
        case(NotSent, &[KillHome], Unknown),
    ])
    .await;
}

// Guards against a bid that is placed twice when a second fault hides what could be known after the first: a rule that
// holds under each fault alone may depend on the absence of the other, such as on a reachable home.
#[tokio::test(flavor = "multi_thread")]
async fn two_faults_at_once() {
    use CallState::*;
    use Fault::*;
    use FinalOutcome::*;
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
        case(NotSent, &[Scramble, FreezeHome], Answer),
        case(NotSent, &[Scramble, KillHome], Unknown),
        case(NotSent, &[CutAnswers, FreezeEntry], Answer),
    ])
    .await;
}

// Guards against a bid without token or key that is placed twice: its answer is lost, or its node is killed, stopped
// or frozen, while the bid runs, and the entry retries it at the second target without proof that it has not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_without_identity_is_not_sent_twice() {
    use Fault::*;
    let mut fleet = fleet().await;
    let faults = [KillHome, RestartHome, FreezeHome, CutAnswers, StopHome];
    for (serial, fault) in faults.into_iter().cycle().take(10).enumerate() {
        let name = format!("{fault:?} {serial}");
        for home in [HOME, OTHER_HOME] {
            // Once a probe has run, the entry has detected that its previous connections to the home are closed.
            bids::token(&fleet, ENTRY_C, home).await;
        }
        let key = format!("plain-{serial}");
        let addr = fleet.member(ENTRY_C).addresses.callers;
        let mut call = common::get_with_key(addr, "/bidding/bids", &key, common::EVENT_TIMEOUT);
        call.method = Method::POST;
        call.headers
            .insert("coltsfootport-deadline-ms", 2000.into());
        let client = fleet.client.clone();
        let attempt = tokio::spawn(async move { Outcome::from_answer(&client.send(call).await) });
        let runs = async || fleet.runs("bidding", &key).await.expect("counts");
        wait_until("it runs", async || runs().await == 1).await;
        let of_home = fleet.member(HOME).counts(&fleet.client).await;
        let at_home = of_home.expect("counts").keys.contains_key(key.as_str());
        let home = if at_home { HOME } else { OTHER_HOME };
        inject(&mut fleet, home, fault).await;
        let outcome = attempt.await.expect("an attempt");
        recover(&mut fleet).await;
        bids::wait_until_idle(&fleet).await;
        let runs = fleet.runs("bidding", &key).await.expect("counts");
        assert_eq!(runs, 1, "{name}: {outcome:?}");
        assert!(
            !outcome.is_not_run() && outcome != Outcome::Nothing,
            "{name}: {outcome:?}"
        );
    }
}
