//! A "not run" outcome is correct when it is given and stays correct.

mod common;

use std::time::Duration;

use coltsfootport_rig::fleet::{Fleet, FleetPlan, ServicePlan};
use coltsfootport_rig::http::ClientCall;
use coltsfootport_rig::platform::{FaultMode, FaultScope};
use coltsfootport_rig::proxy::{Cut, DirectionFaults, LinkFaults};
use coltsfootport_rig::target::{KEY_HEADER, Settings};
use http::Method;
use serde_json::{Value, json};
use tokio::time::sleep;

use self::common::bids::{self, Bid, ENTRY_B, ENTRY_C, HOME, OTHER_HOME, Outcome, wait_until};

async fn fleet(target: Settings, node: Value) -> Fleet {
    Fleet::start(bids::plan(target, node))
        .await
        .expect("a fleet")
}

fn slow(service_ms: f64) -> Settings {
    Settings {
        service_ms,
        ..Settings::default()
    }
}

/// Waits until a node answers calls, whether or not it is ready.
async fn wait_until_answering(fleet: &Fleet, entry: &str) {
    wait_until("an answer", || async {
        let addr = fleet.member(entry).addresses.callers;
        let call = ClientCall::new(addr, Method::GET, "/bidding/lots/1");
        fleet.client.send(call).await.is_ok()
    })
    .await;
}

/// Why the second entry can't forward a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RefusalCause {
    /// The links between the entry and the home are cut.
    Cut,
    /// The entry has just started and has not read a document.
    NotReady,
    /// The request is malformed.
    Malformed,
}

/// Guards against "not run" from an entry that can't know of an earlier attempt which waits at a frozen entry.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_does_not_speak_for_another_frozen_one() {
    let mut fleet = fleet(slow(5.0), json!({})).await;
    let causes = [
        RefusalCause::Cut,
        RefusalCause::Malformed,
        RefusalCause::NotReady,
    ];
    let cases = causes.map(|cause| [(cause, true), (cause, false)]);
    for (serial, (cause, numbered)) in cases.into_iter().flatten().enumerate() {
        let name = format!("{cause:?}, numbered: {numbered}");
        let mut bid = Bid::for_home(&fleet, HOME, &format!("frozen-{serial}")).await;
        bid.numbered = numbered;
        fleet.member_mut(ENTRY_B).freeze().expect("frozen");
        let first = bid.send(&fleet, ENTRY_B);
        if cause != RefusalCause::Malformed {
            fleet.cut("a", "c", Cut::Blackhole);
            fleet.cut("b", "c", Cut::Blackhole);
        }
        if cause == RefusalCause::NotReady {
            let down = fleet.platform_fault_in("c", FaultMode::Down, FaultScope::All);
            down.await.expect("a platform");
            let entry = fleet.member_mut(ENTRY_C);
            entry.kill_node().expect("killed");
            entry.start_node().expect("started");
            wait_until_answering(&fleet, ENTRY_C).await;
        }
        bid.malformed_deadline = cause == RefusalCause::Malformed;
        let second = bid.send_and_wait(&fleet, ENTRY_C).await;
        bid.malformed_deadline = false;
        fleet.heal();
        let up = fleet.platform_fault(FaultMode::Up, FaultScope::All).await;
        up.expect("a platform");
        fleet.member_mut(ENTRY_B).wake().expect("awake");
        let first = first.await.expect("an attempt");
        fleet.all_ready().await.expect("a ready fleet");
        assert!(
            matches!(second, Outcome::Unknown { .. }),
            "{name}: {second:?}"
        );
        let outcomes = [first, second];
        let runs = bid.check_when_idle(&fleet, &outcomes, &name).await;
        assert_eq!(
            runs,
            [1],
            "{name}: the frozen entry did not forward attempt 1; outcomes {outcomes:?}"
        );
    }
}

/// Guards against a bid that its entry refuses or drops when it resumes after a freeze, although its caller is still
/// waiting and its home is reachable.
#[tokio::test(flavor = "multi_thread")]
async fn a_bid_that_waited_at_a_frozen_entry_runs() {
    let mut fleet = fleet(slow(5.0), json!({})).await;
    let freezes_ms = [200, 490, 510, 600, 750, 1000, 1500];
    for (serial, freeze_ms) in freezes_ms.into_iter().cycle().take(28).enumerate() {
        let mut bid = Bid::for_home(&fleet, HOME, &format!("waited-{serial}")).await;
        fleet.member_mut(ENTRY_B).freeze().expect("frozen");
        let attempt = bid.send(&fleet, ENTRY_B);
        sleep(Duration::from_millis(freeze_ms)).await;
        fleet.member_mut(ENTRY_B).wake().expect("awake");
        let outcome = attempt.await.expect("an attempt");
        let name = format!("frozen for {freeze_ms} ms");
        assert!(
            matches!(outcome, Outcome::Ran { .. }),
            "{name}: {outcome:?}"
        );
        assert_eq!(bid.check(&fleet, &[outcome], &name).await, [1], "{name}");
    }
}

/// Guards against a call that runs after its caller has closed the connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_woken_entry_does_not_send_for_a_caller_that_has_gone() {
    let mut fleet = fleet(slow(5.0), json!({})).await;
    for entry in [ENTRY_B, HOME] {
        bids::token(&fleet, ENTRY_B, HOME).await;
        let mut bids = Vec::new();
        for serial in 0..40 {
            let token = bids::try_token(&fleet, HOME, HOME).await.expect("a token");
            bids.push(Bid::with_token(&format!("gone-{entry}-{serial}"), token));
        }
        fleet.member_mut(entry).freeze().expect("frozen");
        // A pipelined second request keeps the HTTP library from detecting that the connection is closed.
        let trailing = ["", "GET /bidding/lots/1 HTTP/1.1\r\nhost: node\r\n\r\n"];
        for (i, bid) in bids.iter_mut().enumerate() {
            bid.send_and_disconnect(&fleet, entry, trailing[i % 2]);
        }
        fleet.member_mut(entry).wake().expect("awake");
        bids::wait_until_idle(&fleet).await;
        for bid in &bids {
            assert_eq!(bid.runs(&fleet).await, [0; 0], "{entry}");
        }
    }
}

/// Guards against an earlier attempt that runs after the home has answered "not run" to a later one.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_by_the_home_covers_older_sendings() {
    let admission = json!({"mode": "static", "initial_limit": 1, "min_limit": 1, "max_limit": 1,
        "queue_length": 1, "level_shedding": false, "deadline_check": false});
    let mut fleet = fleet(slow(800.0), json!({"admission": admission})).await;
    for first_is_queued in [true, false] {
        let name = format!("queued: {first_is_queued}");
        let mut bid = Bid::for_home(&fleet, HOME, &format!("older-{first_is_queued}")).await;
        let mut blocker = Bid::for_home(&fleet, HOME, &format!("blocker-{first_is_queued}")).await;
        let mut waiting = Bid::for_home(&fleet, HOME, &format!("waiting-{first_is_queued}")).await;
        let blocking = blocker.send(&fleet, ENTRY_C);
        wait_until("the slot is taken", || async {
            blocker.runs(&fleet).await == [1]
        })
        .await;
        // The queue has one place. It is taken by attempt 1, whose entry keeps waiting for it, or by another call
        // while attempt 1 waits at its frozen entry.
        let (first, queued) = match first_is_queued {
            true => (bid.send(&fleet, ENTRY_B), None),
            false => {
                fleet.member_mut(ENTRY_B).freeze().expect("frozen");
                let first = bid.send(&fleet, ENTRY_B);
                (first, Some(waiting.send(&fleet, ENTRY_C)))
            }
        };
        wait_until("the queue is full", || async {
            fleet.status(HOME).await.expect("a status")["admission"]["queued"] == 1
        })
        .await;
        bid.deadline_ms = 100;
        let second = bid.send_and_wait(&fleet, ENTRY_C).await;
        assert!(second.is_not_run(), "{name}: {second:?}");
        let outcome = blocking.await.expect("an attempt");
        assert!(
            matches!(outcome, Outcome::Ran { .. }),
            "{name}: {outcome:?}"
        );
        if let Some(queued) = queued {
            // Either this call or attempt 2 was shed from the queue; its outcome must be correct too.
            let outcome = queued.await.expect("an attempt");
            waiting.check(&fleet, &[outcome], &name).await;
        }
        fleet.member_mut(ENTRY_B).wake().expect("awake");
        let first = first.await.expect("an attempt");
        let runs = bid.check_when_idle(&fleet, &[first, second], &name).await;
        assert_eq!(runs, [0; 0], "{name}");
    }
}

/// Guards against "not run" for a bid that may have reached its target before the home stopped responding: that the
/// deadline has passed does not prove that the bid did not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_passed_deadline_is_no_proof() {
    let mut fleet = fleet(slow(5.0), json!({})).await;
    for (serial, deadline_ms) in [50, 300, 900].into_iter().enumerate() {
        let name = format!("deadline {deadline_ms} ms");
        let mut bid = Bid::for_home(&fleet, HOME, &format!("late-{serial}")).await;
        bid.deadline_ms = deadline_ms;
        fleet.member_mut(HOME).freeze().expect("frozen");
        let first = bid.send_and_wait(&fleet, ENTRY_B).await;
        let second = bid.send_and_wait(&fleet, ENTRY_C).await;
        fleet.member_mut(HOME).wake().expect("awake");
        assert!(
            matches!(first, Outcome::Unknown { .. }),
            "{name}: {first:?}"
        );
        assert!(
            matches!(second, Outcome::Unknown { .. }),
            "{name}: {second:?}"
        );
        bid.check_when_idle(&fleet, &[first, second], &name).await;
    }
}

/// Guards against a call with an expired token that runs a second time, or gets "not run" although it ran.
#[tokio::test(flavor = "multi_thread")]
async fn a_token_past_its_retention_never_runs() {
    let once = json!({"once": {"retention_ms": 1000, "record_margin_ms": 1000}});
    let fleet = fleet(slow(1.0), once).await;
    let mut unused = Bid::for_home(&fleet, HOME, "unused").await;
    let mut bid = Bid::for_home(&fleet, HOME, "old").await;
    let mut outcomes = vec![bid.send_and_wait(&fleet, ENTRY_B).await];
    assert!(matches!(outcomes[0], Outcome::Ran { .. }), "{outcomes:?}");
    wait_until("the record has expired", || async {
        let kept = fleet.status(HOME).await.expect("a status")["tokens"]["kept"].clone();
        kept == 0
    })
    .await;
    for entry in [ENTRY_B, ENTRY_C, HOME, OTHER_HOME] {
        outcomes.push(bid.send_and_wait(&fleet, entry).await);
        assert_eq!(outcomes.last().map(Outcome::error), Some("token-expired"));
    }
    assert_eq!(bid.check_when_idle(&fleet, &outcomes, "old").await, [1]);
    let late = unused.send_and_wait(&fleet, ENTRY_B).await;
    assert_eq!(late.error(), "token-expired");
    assert_eq!(
        unused.check_when_idle(&fleet, &[late], "unused").await,
        [0; 0]
    );
}

/// Guards against a forged token that is accepted.
#[tokio::test(flavor = "multi_thread")]
async fn a_forged_token_never_runs() {
    let fleet = fleet(slow(1.0), json!({})).await;
    let bid = Bid::for_home(&fleet, HOME, "true").await;
    let text = bid.token();
    let altered = (0..text.len()).map(|i| {
        let other = if &text[i..=i] == "A" { "B" } else { "A" };
        format!("{}{other}{}", &text[..i], &text[i + 1..])
    });
    let forged = altered.chain([text[..text.len() - 2].to_owned(), format!("{text}AA")]);
    for (i, forged) in forged.enumerate() {
        let mut bid = Bid::with_token(&format!("forged-{i}"), forged);
        let outcome = bid.send_and_wait(&fleet, ENTRY_B).await;
        // The last character may hold unused bits; a token that differs only in these must be refused as well.
        assert_eq!(outcome.error(), "bad-token", "character {i}: {outcome:?}");
        assert_eq!(bid.check(&fleet, &[outcome], "forged").await, [0; 0]);
    }
    let mut call = ClientCall::new(
        fleet.member(ENTRY_B).addresses.callers,
        Method::POST,
        "/front/bids",
    );
    let token = text.parse().expect("a token that is a valid header value");
    call.headers.insert("coltsfootport-token", token);
    let answer = fleet.client.send(call).await.expect("an answer");
    assert_eq!(answer.header("coltsfootport-error"), Some("bad-token"));
    let front = fleet.counts("front").await.expect("counts");
    assert!(front.iter().all(|counts| counts.started == 0));
}

/// Guards against a call that runs although a full table refused it, and against eviction of the record of a call that
/// ran.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_table_refuses_for_good_and_evicts_nothing() {
    let once = json!({"once": {"capacity": 1}});
    let fleet = fleet(slow(1.0), once).await;
    let token = async || bids::try_token(&fleet, HOME, HOME).await.expect("a token");
    let mut held = Bid::with_token("held", token().await);
    let mut refused = Bid::with_token("refused", token().await);
    let mut outcomes = vec![held.send_and_wait(&fleet, ENTRY_B).await];
    assert!(matches!(outcomes[0], Outcome::Ran { .. }), "{outcomes:?}");
    let full = refused.send_and_wait(&fleet, ENTRY_C).await;
    let Outcome::NotRun { error, fresh_token } = &full else {
        panic!("{full:?}");
    };
    assert_eq!(error, "table-full");
    assert!(fresh_token.is_some(), "no fresh token");
    outcomes.push(held.send_and_wait(&fleet, ENTRY_C).await);
    assert!(
        matches!(outcomes[1], Outcome::Ran { replayed: true, .. }),
        "{outcomes:?}"
    );
    // Repeats the attempt number, as a delayed duplicate of the refused attempt would.
    let mut copy = refused.clone();
    copy.restart_numbering("copy");
    let again = copy.send_and_wait(&fleet, ENTRY_B).await;
    assert_eq!(again.error(), "token-refused", "{again:?}");
    copy.check_when_idle(&fleet, &[again], "copy").await;
    refused.check_when_idle(&fleet, &[full], "refused").await;
    held.check_when_idle(&fleet, &outcomes, "held").await;
}

/// Guards against a call that runs at two targets because it has a key of its caller instead of a token.
#[tokio::test(flavor = "multi_thread")]
async fn a_plain_key_is_answered_with_a_token() {
    let fleet = fleet(slow(1.0), json!({})).await;
    for (i, entry) in [ENTRY_B, ENTRY_C, HOME, OTHER_HOME].into_iter().enumerate() {
        let mut call = ClientCall::new(
            fleet.member(entry).addresses.callers,
            Method::POST,
            "/bidding/bids",
        );
        let key = "plain#1".parse().expect("a key");
        call.headers.insert(KEY_HEADER, key);
        let key = "plain".parse().expect("a key");
        call.headers.insert("idempotency-key", key);
        let answer = fleet.client.send(call).await;
        let outcome = Outcome::from_answer(&answer);
        assert_eq!(answer.expect("an answer").status, 428);
        let Outcome::NotRun { fresh_token, .. } = outcome else {
            panic!("{outcome:?}");
        };
        assert_eq!(fleet.runs("bidding", "plain#1").await.expect("counts"), 0);
        let mut bid = Bid::with_token(&format!("fresh-{i}"), fresh_token.expect("a fresh token"));
        let outcomes = [
            bid.send_and_wait(&fleet, entry).await,
            bid.send_and_wait(&fleet, ENTRY_C).await,
        ];
        assert!(matches!(outcomes[0], Outcome::Ran { .. }), "{outcomes:?}");
        assert_eq!(bid.check(&fleet, &outcomes, entry).await, [1]);
    }
}

/// Guards against a leaving node that has recorded an answer but does not return it.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_home_gives_the_answers_that_it_keeps() {
    let node = json!({"shutdown": {"announce_ms": 0}});
    let mut fleet = fleet(slow(1.0), node).await;
    let mut ran = Bid::for_home(&fleet, HOME, "ran").await;
    let mut running = Bid::for_home(&fleet, HOME, "running").await;
    let mut new = Bid::for_home(&fleet, HOME, "new").await;
    let mut outcomes = vec![ran.send_and_wait(&fleet, ENTRY_B).await];
    let home = fleet.member(HOME);
    let set = home.set_target(&fleet.client, &slow(2000.0)).await;
    set.expect("settings");
    let first = running.send(&fleet, ENTRY_B);
    wait_until("it runs", || async { running.runs(&fleet).await == [1] }).await;
    let drain = fleet
        .client
        .post_json(home.addresses.operators, "/drain", &Value::Null);
    drain.await.expect("draining");
    wait_until("the home leaves", || async {
        fleet.status(HOME).await.expect("a status")["phase"] == "leaving"
    })
    .await;
    for entry in [ENTRY_B, ENTRY_C, OTHER_HOME] {
        outcomes.push(ran.send_and_wait(&fleet, entry).await);
        let replayed = matches!(outcomes.last(), Some(Outcome::Ran { replayed: true, .. }));
        assert!(replayed, "{outcomes:?}");
    }
    let refused = new.send_and_wait(&fleet, ENTRY_C).await;
    assert_eq!(refused.error(), "leaving", "{refused:?}");
    let second = running.send(&fleet, ENTRY_C);
    let both = [first, second].map(|attempt| async { attempt.await.expect("an attempt") });
    let [first, second] = both;
    let both = [first.await, second.await];
    assert!(
        both.iter()
            .all(|outcome| matches!(outcome, Outcome::Ran { .. })),
        "{both:?}"
    );
    running.check(&fleet, &both, "running").await;
    ran.check(&fleet, &outcomes, "ran").await;
    let home = fleet.member_mut(HOME).node().expect("a process");
    home.wait(common::EVENT_TIMEOUT)
        .await
        .expect("the end of the home");
    fleet.member_mut(HOME).node = None;
    assert_eq!(new.check(&fleet, &[refused], "new").await, [0; 0]);
}

/// Guards against a shed call that runs because a copy of it was left in the queue.
#[tokio::test(flavor = "multi_thread")]
async fn what_is_shed_does_not_run() {
    let admission = json!({"mode": "static", "initial_limit": 1, "min_limit": 1, "max_limit": 1,
        "queue_length": 4});
    let fleet = fleet(slow(40.0), json!({"admission": admission})).await;
    let mut bids: Vec<Bid> = Vec::new();
    for i in 0..60 {
        let token = bids::try_token(&fleet, HOME, HOME).await.expect("a token");
        let mut bid = Bid::with_token(&format!("shed-{i}"), token);
        bid.deadline_ms = [60, 200, 2000][i % 3];
        bid.client_timeout = [common::EVENT_TIMEOUT, Duration::from_millis(50)][i % 2];
        bids.push(bid);
    }
    let mut attempts = Vec::new();
    for bid in &mut bids {
        attempts.push((bid.send(&fleet, ENTRY_B), bid.send(&fleet, ENTRY_C)));
    }
    let mut shed = 0;
    let mut outcomes = Vec::new();
    for (first, second) in attempts {
        let both = [
            first.await.expect("an attempt"),
            second.await.expect("an attempt"),
        ];
        shed += both.iter().filter(|outcome| outcome.is_not_run()).count();
        outcomes.push(both);
    }
    assert!(shed > 0, "nothing was shed: {outcomes:?}");
    bids::wait_until_idle(&fleet).await;
    for (bid, outcomes) in bids.iter().zip(&outcomes) {
        bid.check(&fleet, outcomes, "shed").await;
    }
}

/// Guards against "not run" that holds for the last attempt of the node only, although an earlier one ran.
#[tokio::test(flavor = "multi_thread")]
async fn not_run_counts_every_attempt() {
    let services = vec![ServicePlan::new("bidding", &["a", "a"])];
    let plan = FleetPlan {
        services,
        ..FleetPlan::default()
    };
    let mut fleet = Fleet::start(plan).await.expect("a fleet");
    let broken = Settings {
        truncate_bytes: Some(20),
        ..Settings::default()
    };
    let client = fleet.client.clone();
    let set = fleet.member(HOME).set_target(&client, &broken).await;
    set.expect("settings");
    fleet.member_mut(OTHER_HOME).target = None;
    let mut ran_count = 0;
    for i in 0..60 {
        let key = format!("attempts-{i}");
        let addr = fleet.member(HOME).addresses.callers;
        let call = common::get_with_key(addr, "/bidding/lots/1", &key, common::EVENT_TIMEOUT);
        let outcome = Outcome::from_answer(&fleet.client.send(call).await);
        let counts = fleet.member(HOME).counts(&fleet.client).await;
        let counts = counts.expect("counts");
        let ran = counts.keys.contains_key(key.as_str());
        assert!(!(ran && outcome.is_not_run()), "{key} ran: {outcome:?}");
        ran_count += usize::from(ran);
        sleep(Duration::from_millis(5)).await;
    }
    assert!(ran_count > 0, "no call reached the first target");
}

/// Guards against answers that are cut off when a stopping node closes its connections.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_home_delivers_its_last_answers() {
    let target = Settings {
        answer_bytes: 400_000,
        ..slow(300.0)
    };
    let mut fleet = fleet(target, json!({"shutdown": {"announce_ms": 0}})).await;
    let mut bid = Bid::for_home(&fleet, HOME, "last").await;
    let latency = DirectionFaults::latency(Duration::from_millis(15));
    fleet.set_links("b", "a", &LinkFaults::both(latency));
    let first = bid.send(&fleet, ENTRY_B);
    wait_until("it runs", || async { bid.runs(&fleet).await == [1] }).await;
    let stopped = fleet
        .member_mut(HOME)
        .stop_node(common::EVENT_TIMEOUT)
        .await;
    assert!(stopped.expect("a stop"), "the home has not stopped");
    let first = first.await.expect("an attempt");
    assert!(matches!(first, Outcome::Ran { .. }), "{first:?}");
    assert_eq!(bid.check(&fleet, &[first], "last").await, [1]);
}
