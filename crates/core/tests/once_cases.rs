//! The known ways in which a call could run twice, or after "not run" was said, one by one.

use std::time::{Duration, Instant};

use coltsfootport_core::error_kind::ErrorKind::{self, *};
use coltsfootport_core::id::Incarnation;
use coltsfootport_core::invariant::Invariant;
use coltsfootport_core::once::{
    Arrival, Identity, Minter, OnceConfig, OnceTable, RecordKey, Refusal, Tick, Token, Try,
};
use coltsfootport_core::outcome::Outcome::{self, NotRun, Unknown};

const MINUTE: Duration = Duration::from_secs(60);

/// A home and its time.
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

/// A table for one call, one burned token, and one floor.
fn full(refusal_capacity: usize) -> OnceConfig {
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

// Symptom: "not run" was said, and the bid is in the books.
// Sequence: try 1 sits in a frozen entry; try 2 goes to another one, which sheds it by itself; the first one wakes up and
// sends try 1 on.
// Cause: an entry spoke for tries that it hadn't seen.
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

    // The entry that may not speak has the home refuse tries 1 and 2; then it may.
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

// Symptom: the first home says "not run" of a call that ran.
// Sequence: the first home refuses, the entry moves the call to a second home, whose answer is lost; the caller repeats the
// token at the first home.
// Cause: a call whose identity the caller holds ran where its token doesn't lead.
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

// Symptom: the caller sends again after "not run", and the call runs twice, or after a second "not run".
// Sequence: try 1 lies in the socket buffer of a frozen entry; the home refuses it unseen; try 2 runs; the copy of try 1
// arrives at last. Or: the caller doesn't raise the number.
// Cause: nothing but the number tells a new sending from an old copy.
#[test]
fn a_number_tells_a_new_try_from_an_old_copy() {
    let mut home = Home::new(cfg(), 1);
    let token = token(1);
    assert_eq!(home.refuse(&token, 1), Refusal::RefusedForGood);
    assert_eq!(home.arrive(&token, 1), refused(TokenRefused), "not raised");

    let key = home.send(&token, 2);
    assert_eq!(home.arrive(&token, 1), Arrival::Join(key));
    assert_eq!(home.refuse(&token, 2), Refusal::Running);
    home.answer(key, 1);
    assert_eq!(home.arrive(&token, 1), Arrival::Replay(vec![7]));
    assert_eq!(home.refuse(&token, 9), Refusal::Ran(vec![7]));
}

// Symptom: a second slab: the order ran before the node died, and again after.
// Sequence: the node dies while its target works and comes back beside the same target; the caller repeats its token. An
// entry that hasn't heard of the restart goes on minting for the old run.
// Cause: the record died with the node.
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
    let mint = |minter: &Minter, now| minter.mint(&name, &service, now).expect("it was heard");
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
        "a late message doesn't make tokens old"
    );
    home.run(&fresh, 1);
}

// Symptom: the first bid after a quiet hour is refused as expired.
// Sequence: an entry hears a home, and then nothing for longer than the retention; it mints a token, which is used at once.
// Cause: the token bears the time that was heard last.
#[test]
fn a_silent_home_takes_fresh_tokens() {
    let mut home = Home::new(cfg(), 1);
    let mut minter = Minter::new();
    let (name, service) = ("bidding-1".into(), "bidding".into());
    minter.update_home("bidding-1".into(), Incarnation(1), Tick(0), home.now);
    home.now += 60 * MINUTE;
    let fresh = minter
        .mint(&name, &service, home.now)
        .expect("it was heard");
    assert!(
        fresh.tick < home.table.tick(home.now),
        "a clock may run slower"
    );
    home.run(&fresh, 1);
}

// Symptom: a bid goes out for a caller who left, or was told "not run".
// Sequence: the call is queued, the home sleeps; meanwhile the caller leaves, its deadline passes or its entry has the try
// refused; the home wakes up and dispatches.
// Cause: what was true at arrival isn't true any more at dispatch.
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

// Symptom: a queued call is shed, a second caller who joined it is told "not run", and its try runs when a copy arrives.
// Sequence: try 1 waits, try 2 joins it, the call is withdrawn; a copy of try 2 comes late.
// Cause: only the try that was first in the queue was refused for good.
#[test]
fn a_withdrawal_refuses_all_who_joined() {
    let mut home = Home::new(cfg(), 1);
    let key = home.run(&token(1), 1);
    assert_eq!(home.arrive(&token(1), 2), Arrival::Join(key));
    home.table.withdrawn(key, home.now);
    assert_eq!(home.arrive(&token(1), 2), refused(TokenRefused));
}

// Symptom: a refused try takes a higher one with it, whose caller is told "not run" without need.
// Sequence: try 1 waits, try 2 joins it, the entry of try 1 loses contact and has it refused.
// Cause: the refusal closed the call and not only the tries that it named.
#[test]
fn a_refusal_leaves_a_higher_try_alone() {
    let mut home = Home::new(cfg(), 1);
    let key = home.run(&token(1), 1);
    assert_eq!(home.arrive(&token(1), 2), Arrival::Join(key));
    assert_eq!(home.refuse(&token(1), 1), Refusal::RefusedForGood);
    assert_eq!(home.dispatch(key), Ok(()));
}

// Symptom: the target is sent one call twice.
// Sequence: two tasks hold the key of one call, or a task that was told that the answer is lost tries again.
// Cause: a defect of the node around the table, which must show in the metrics and not in the books.
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

// Symptom: "not run: the table is full", and a copy of the call runs once there is room.
// Sequence: the table is full; the call is refused, or its entry has it refused; records expire; a copy arrives.
// Cause: a refusal that found no room was forgotten.
#[test]
fn a_full_table_forgets_no_refusal() {
    for refusal_capacity in [0, 1] {
        let mut home = Home::new(full(refusal_capacity), 1);
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

// Symptom: as above, of a higher try, and of a token in the floors.
// Sequence: a refused token comes back by a higher try while the table is full; a younger one is refused into the floors;
// then an older call is withdrawn into the same floor, which makes room; copies arrive.
// Cause: a refusal that isn't raised to the new try, or a floor that goes down.
#[test]
fn room_made_later_reopens_nothing() {
    let mut home = Home::new(full(1), 1);
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

// Symptom: an order runs again long after its record is gone.
// Sequence: the call ran, its record expired, a copy arrives, from a task which read the time before it slept.
// Cause: age was judged by a time older than the one by which the record was dropped.
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
        "from the future"
    );
}

// Symptom: memory grows with large answers, or a kept answer disappears.
// Sequence: answers larger than the limit of one, then more than the sum allows.
// Cause: a bound that is missing, or kept by dropping answers that callers still may ask for.
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
