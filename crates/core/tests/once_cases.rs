//! Regression tests for sequences in which a call could run twice, or run after its caller was told "not run".

use std::time::{Duration, Instant};

use coltsfootport_core::error_kind::ErrorKind::{self, *};
use coltsfootport_core::id::Incarnation;
use coltsfootport_core::invariant::Invariant;
use coltsfootport_core::once::{
    Arrival, Identity, Minter, OnceConfig, OnceTable, RecordKey, Refusal, Tick, Token, Try,
};
use coltsfootport_core::outcome::Outcome::{self, NotRun, Unknown};

const MINUTE: Duration = Duration::from_secs(60);

/// A home with a simulated clock.
struct Home {
    table: OnceTable<Vec<u8>>,
    now: Instant,
}

impl Home {
    fn new(cfg: OnceConfig, incarnation: u128) -> Self {
        let now = Instant::now();
        let table = OnceTable::new(cfg, Incarnation(incarnation), now);
        Self { table, now }
    }

    fn arrive(&mut self, token: &Token, number: u32) -> Arrival<Vec<u8>> {
        self.table.arrive(token, Try(number), self.now)
    }

    fn refuse(&mut self, token: &Token, up_to: u32) -> Refusal<Vec<u8>> {
        self.table.refuse(token, Try(up_to), self.now)
    }

    fn run(&mut self, token: &Token, number: u32) -> RecordKey {
        match self.arrive(token, number) {
            Arrival::Run(key) => key,
            other => panic!("{other:?} of token {} try {number}", token.id),
        }
    }

    fn dispatch(&mut self, key: RecordKey) -> Result<(), ErrorKind> {
        self.table.dispatch(key, self.now + MINUTE, self.now)
    }

    fn send(&mut self, token: &Token, number: u32) -> RecordKey {
        let key = self.run(token, number);
        assert_eq!(self.dispatch(key), Ok(()));
        key
    }

    fn answer(&mut self, key: RecordKey, size: usize) {
        self.table.answered(key, vec![7; size], self.now);
    }
}

fn cfg() -> OnceConfig {
    let (retention, record_margin) = (2 * MINUTE, MINUTE / 6);
    OnceConfig {
        retention,
        record_margin,
        ..OnceConfig::default()
    }
}

/// Configuration of a table with room for one call, and a single watermark.
fn tiny_table(refusal_capacity: usize) -> OnceConfig {
    OnceConfig {
        capacity: 1,
        refusal_capacity,
        watermarks: 1,
        ..cfg()
    }
}

fn token(id: u128) -> Token {
    minted(id, Duration::ZERO)
}

fn minted(id: u128, age: Duration) -> Token {
    let (service, home) = ("bidding".into(), "bidding-1".into());
    let tick = Tick(age.as_millis() as u64);
    Token {
        id,
        service,
        home,
        incarnation: Incarnation(1),
        tick,
    }
}

const fn refused<A>(kind: ErrorKind) -> Arrival<A> {
    Arrival::Refused(kind)
}

// An entry must not report "not run" for tries that it has not seen. Try 1 is buffered in a suspended entry, try 2 goes
// to another entry, which sheds it. If that entry reports "not run" and the first one then resumes and forwards try 1,
// the call runs although its caller was told otherwise.
#[test]
fn an_entry_speaks_for_a_first_try_only() {
    struct Case {
        identity: Identity,
        kind: ErrorKind,
        outcome: Outcome,
    }
    let first = Identity::of(true, Some(Try::FIRST));
    let second = Identity::of(true, Some(Try(2)));
    let unnumbered = Identity::of(true, None);
    let plain = Identity::of(false, Some(Try::FIRST));
    let cases = [
        (first, Shed, NotRun),
        (first, HomeLost, NotRun),
        (second, Shed, Unknown),
        (second, HomeLost, Unknown),
        (unnumbered, NotReady, Unknown),
        (plain, Shed, NotRun),
        (plain, AnswerLost, Unknown),
    ];
    let cases = cases.map(|(identity, kind, outcome)| Case {
        identity,
        kind,
        outcome,
    });
    for case in cases {
        assert_eq!(
            case.identity.outcome_unsent(case.kind),
            case.outcome,
            "{:?}",
            case.kind
        );
    }
    for kind in ErrorKind::ALL {
        assert_ne!(second.outcome_unsent(kind), NotRun, "{kind:?}");
    }

    // The entry asks the home to refuse tries 1 and 2, after which it may report "not run".
    let mut home = Home::new(cfg(), 1);
    assert_eq!(home.refuse(&token(1), 2), Refusal::RefusedForGood);
    for late in [1, 2] {
        assert_eq!(
            home.arrive(&token(1), late),
            refused(TokenRefused),
            "try {late}"
        );
    }
}

// A call with a token must not run at another home than the one named in the token. Otherwise the first home refuses
// the call, the entry reroutes it to a second home, whose answer is lost, and when the caller repeats the token the
// first home reports "not run" for a call that ran.
#[test]
fn a_token_runs_at_no_second_home() {
    assert!(Identity::None.may_reroute());
    assert!(!Identity::FirstTry.may_reroute());
    assert!(!Identity::Repeat.may_reroute());

    let mut second = Home::new(cfg(), 2);
    assert_eq!(second.arrive(&token(1), 1), refused(HomeLost));
    assert_eq!(second.refuse(&token(1), 1), Refusal::Unknown);
    assert!(second.table.is_empty());
}

// Only the try number distinguishes a new try from a delayed copy of an old one. Try 1 is stuck in the socket buffer of
// a suspended entry and the home refuses it before it arrives, then try 2 runs, and finally the copy of try 1 arrives.
// It must not run again, and neither may a try whose caller did not increment the number. Once the call has been sent
// to the target, a refusal must not report "not run".
#[test]
fn a_number_tells_a_new_try_from_an_old_copy() {
    let mut home = Home::new(cfg(), 1);
    let token = token(1);
    assert_eq!(home.refuse(&token, 1), Refusal::RefusedForGood);
    assert_eq!(
        home.arrive(&token, 1),
        refused(TokenRefused),
        "number not incremented"
    );

    let key = home.send(&token, 2);
    assert_eq!(home.arrive(&token, 1), Arrival::Join(key));
    assert_eq!(home.refuse(&token, 2), Refusal::Running);
    home.answer(key, 1);
    assert_eq!(home.arrive(&token, 1), Arrival::Replay(vec![7]));
    assert_eq!(home.refuse(&token, 9), Refusal::Ran(vec![7]));
}

// The records of a home are lost when its node restarts. If the node dies while its target is working on a call and
// restarts beside the same target, a repeated token must not run again. The same holds for tokens minted for the old
// incarnation by an entry that does not know of the restart yet.
#[test]
fn a_restarted_home_does_not_know() {
    let mut home = Home::new(cfg(), 1);
    let mut minter = Minter::new();
    let (name, service) = ("bidding-1".into(), "bidding".into());
    assert_eq!(minter.mint(&name, &service, home.now), None);
    minter.update_home(
        name.clone(),
        Incarnation(1),
        home.table.tick(home.now),
        home.now,
    );
    let mint = |minter: &Minter, now| {
        minter
            .mint(&name, &service, now)
            .expect("the home is known")
    };
    let old = mint(&minter, home.now);
    home.send(&old, 1);

    let mut home = Home::new(cfg(), 2);
    for stale in [old, mint(&minter, home.now)] {
        for number in 1..3 {
            assert_eq!(home.arrive(&stale, number), refused(HomeLost));
            assert_eq!(home.refuse(&stale, number), Refusal::Unknown);
        }
    }
    assert_eq!(HomeLost.rule().outcome, Unknown);

    home.now += MINUTE;
    minter.update_home(
        name.clone(),
        Incarnation(2),
        home.table.tick(home.now),
        home.now,
    );
    minter.update_home(name.clone(), Incarnation(2), Tick(0), home.now);
    let fresh = mint(&minter, home.now);
    assert_eq!(
        fresh.tick,
        Tick(60_000),
        "a delayed report doesn't set the time back"
    );
    home.run(&fresh, 1);
}

// A new token must not be refused as expired because its home was silent. This happens if an entry receives no report
// of a home for longer than the retention and mints a token with the last reported time.
#[test]
fn a_silent_home_takes_fresh_tokens() {
    let mut home = Home::new(cfg(), 1);
    let mut minter = Minter::new();
    let (name, service) = ("bidding-1".into(), "bidding".into());
    minter.update_home("bidding-1".into(), Incarnation(1), Tick(0), home.now);
    home.now += 60 * MINUTE;
    let fresh = minter
        .mint(&name, &service, home.now)
        .expect("the home is known");
    assert!(
        fresh.tick < home.table.tick(home.now),
        "a clock may run slower"
    );
    home.run(&fresh, 1);
}

// A call may become invalid between arrival and dispatch. While the call is queued and the home is suspended, its
// caller disconnects, its deadline passes, or its entry has the try refused. When the home resumes, it must not
// dispatch the call.
#[test]
fn a_woken_home_checks_before_dispatch() {
    struct Case {
        name: &'static str,
        meanwhile: fn(&mut Home, RecordKey),
        error: ErrorKind,
    }
    let withdraw: fn(&mut Home, RecordKey) = |home, key| home.table.withdrawn(key, home.now);
    let refuse: fn(&mut Home, RecordKey) = |home, _| {
        assert_eq!(home.refuse(&token(1), 1), Refusal::RefusedForGood);
    };
    let sleep: fn(&mut Home, RecordKey) = |home, _| home.now += MINUTE;
    let cases = [
        ("cancelled", withdraw, TokenRefused),
        ("refused for its entry", refuse, TokenRefused),
        ("past its deadline", sleep, ExpiredBeforeDispatch),
    ];
    let cases = cases.map(|(name, meanwhile, error)| Case {
        name,
        meanwhile,
        error,
    });
    for Case {
        name,
        meanwhile,
        error,
    } in cases
    {
        let mut home = Home::new(cfg(), 1);
        let deadline = home.now + MINUTE;
        let key = home.run(&token(1), 1);
        meanwhile(&mut home, key);
        assert_eq!(
            home.table.dispatch(key, deadline, home.now),
            Err(error),
            "{name}"
        );
        assert_eq!(error.rule().outcome, NotRun, "{name}");
        assert_eq!(home.arrive(&token(1), 1), refused(TokenRefused), "{name}");
        let higher = home.run(&token(1), 2);
        assert!(home.dispatch(key).is_err(), "{name}: the old key");
        assert_eq!(home.dispatch(higher), Ok(()), "{name}");
        assert_eq!(home.table.take_breach(), None, "{name}");
    }
}

// Withdrawing a queued call must refuse all tries that joined it, not only the first one. Try 1 is waiting, try 2 joins
// it and the call is withdrawn. Both callers are told "not run", so a delayed copy of try 2 must not run.
#[test]
fn a_withdrawal_refuses_all_who_joined() {
    let mut home = Home::new(cfg(), 1);
    let key = home.run(&token(1), 1);
    assert_eq!(home.arrive(&token(1), 2), Arrival::Join(key));
    home.table.withdrawn(key, home.now);
    assert_eq!(home.arrive(&token(1), 2), refused(TokenRefused));
}

// A refusal must close only the tries that it names. Try 1 is waiting, try 2 joins it, and the entry of try 1 loses
// contact and has try 1 refused. Try 2 must still run; its caller must not be told "not run" without need.
#[test]
fn a_refusal_leaves_a_higher_try_alone() {
    let mut home = Home::new(cfg(), 1);
    let key = home.run(&token(1), 1);
    assert_eq!(home.arrive(&token(1), 2), Arrival::Join(key));
    assert_eq!(home.refuse(&token(1), 1), Refusal::RefusedForGood);
    assert_eq!(home.dispatch(key), Ok(()));
}

// A call must not be sent to the target twice. A fault of the node around the table, such as two tasks that hold the
// key of one call, or a retry after the answer was reported as lost, must be rejected and reported as a violated
// invariant.
#[test]
fn a_second_dispatch_is_an_error_and_a_breach() {
    let mut home = Home::new(cfg(), 1);
    let key = home.send(&token(1), 1);
    assert_eq!(home.table.take_breach(), None);
    home.table.withdrawn(key, home.now);
    assert_eq!(
        home.arrive(&token(1), 2),
        refused(AnswerLost),
        "sent, so not withdrawn"
    );
    assert_eq!(home.dispatch(key), Err(AnswerLost));
    assert_eq!(home.table.take_breach(), Some(Invariant::DispatchedTwice));
}

// A refusal must be permanent even if the table has no room to record it. The table is full and refuses a call, or an
// entry has the call refused. Then records expire and a copy of the call arrives, which must not run.
#[test]
fn a_full_table_forgets_no_refusal() {
    for refusal_capacity in [0, 1] {
        let mut home = Home::new(tiny_table(refusal_capacity), 1);
        let key = home.send(&token(1), 1);
        home.answer(key, 1);

        home.now += MINUTE;
        let young = [minted(2, MINUTE), minted(3, MINUTE)];
        assert_eq!(home.arrive(&young[0], 1), refused(TableFull));
        assert_eq!(home.refuse(&young[1], 1), Refusal::RefusedForGood);
        assert_eq!(home.arrive(&token(1), 2), Arrival::Replay(vec![7]));

        home.now += 2 * MINUTE;
        for token in &young {
            assert_eq!(
                home.arrive(token, 1),
                refused(TokenRefused),
                "token {}",
                token.id
            );
        }
        home.run(&minted(4, MINUTE + Duration::from_millis(1)), 1);
    }
}

// Room that becomes free must not reopen a refused try. A refused token returns with a higher try while the table is
// full, and a younger token is refused by raising a watermark. Then an older call with the same watermark is withdrawn,
// which makes room, and copies arrive. This fails if the refusal is not extended to the higher try, or if the watermark
// goes down.
#[test]
fn room_made_later_reopens_nothing() {
    let mut home = Home::new(tiny_table(1), 1);
    assert_eq!(home.refuse(&token(1), 1), Refusal::RefusedForGood);
    let old = home.run(&token(2), 1);
    home.now += MINUTE;
    let young = minted(3, MINUTE);
    assert_eq!(home.arrive(&token(1), 2), refused(TableFull));
    assert_eq!(home.arrive(&young, 1), refused(TableFull));
    home.table.withdrawn(old, home.now);
    for (token, number) in [(&token(1), 2), (&young, 1), (&token(2), 2)] {
        assert_eq!(
            home.arrive(token, number),
            refused(TokenRefused),
            "token {}",
            token.id
        );
    }
    home.run(&token(1), 3);
}

// A call must not run again after its record has expired. A copy arrives through a task that read the clock, was
// suspended and passes the old time. This fails if the age of the token is checked against an older time than the one
// by which the record was removed.
#[test]
fn an_expired_token_stays_expired_for_a_task_that_slept() {
    let mut home = Home::new(cfg(), 1);
    let key = home.send(&token(1), 1);
    home.table.expire(home.now + 10 * MINUTE);
    assert_eq!(home.table.len(), 1, "a running call is kept");
    home.answer(key, 1);
    home.table.expire(home.now + 10 * MINUTE);
    assert!(home.table.is_empty());
    assert_eq!(home.arrive(&token(1), 1), refused(TokenExpired));
    assert_eq!(home.refuse(&token(1), 1), Refusal::Unknown);
    assert_eq!(
        home.arrive(&minted(2, 99 * MINUTE), 1),
        refused(BadToken),
        "tick in the future"
    );
}

// Memory for stored answers is limited per answer and in total. Answers beyond a limit are not stored; answers that are
// already stored must not be dropped to make room, as callers may still ask for them.
#[test]
fn kept_answers_are_bounded_and_stay() {
    struct Case {
        size: usize,
        kept: bool,
    }
    let mut home = Home::new(
        OnceConfig {
            answer_limit: 10,
            answer_bytes: 15,
            ..cfg()
        },
        1,
    );
    let cases = [(11, false), (10, true), (6, false), (5, true), (1, false)];
    let cases = cases.map(|(size, kept)| Case { size, kept });
    for (id, case) in (1..).zip(&cases) {
        let key = home.send(&token(id), 1);
        home.answer(key, case.size);
    }
    for (id, case) in (1..).zip(&cases) {
        let answer = vec![7; case.size];
        let (arrival, refusal) = match case.kept {
            true => (Arrival::Replay(answer.clone()), Refusal::Ran(answer)),
            false => (refused(AnswerGone), Refusal::AnswerGone),
        };
        assert_eq!(home.arrive(&token(id), 1), arrival, "token {id}");
        assert_eq!(home.refuse(&token(id), 1), refusal, "token {id}");
    }
    assert_eq!(home.table.answer_bytes(), 15);
}
