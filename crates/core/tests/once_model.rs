//! Any interleaving of calls, refusals, sleeps and restarts against the table of a home.

use std::time::{Duration, Instant};

use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::id::Incarnation;
use coltsfootport_core::invariant::Invariant;
use coltsfootport_core::once::{
    Arrival, Identity, Minter, OnceConfig, OnceTable, RecordKey, Refusal, Token, Try,
};
use coltsfootport_core::outcome::Outcome;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RETENTION_MS: u64 = 1_000;
const MARGIN_MS: u64 = 100;
const ANSWER_LIMIT: usize = 50;

/// What happens next.
#[derive(Clone, Copy, Debug)]
enum Act {
    Heard,
    Mint,
    /// The caller sends a token, through an entry which may freeze with it.
    Send,
    /// An entry sheds a sending by itself.
    EntrySheds,
    /// An entry which lost contact asks for a refusal.
    AskRefusal,
    /// A message reaches the home; a copy of it may stay under way.
    Deliver,
    Dispatch,
    Answer,
    Lose,
    Withdraw,
    Expire,
    Sleep(u64),
    Restart,
}

#[derive(Clone, Debug)]
struct Op {
    act: Act,
    /// Which token, message or job.
    pick: usize,
    /// Age of the home's reading of its clock.
    lag_ms: u64,
    /// A copy stays under way, or the deadline has passed.
    flag: bool,
    size: usize,
}

fn op() -> impl Strategy<Value = Op> {
    let sleep = prop_oneof![4 => 1..50_u64, 1 => 1..2 * RETENTION_MS];
    let act = prop_oneof![
        2 => Just(Act::Heard),
        3 => Just(Act::Mint),
        8 => Just(Act::Send),
        1 => Just(Act::EntrySheds),
        3 => Just(Act::AskRefusal),
        12 => Just(Act::Deliver),
        6 => Just(Act::Dispatch),
        3 => Just(Act::Answer),
        1 => Just(Act::Lose),
        2 => Just(Act::Withdraw),
        1 => Just(Act::Expire),
        2 => sleep.prop_map(Act::Sleep),
        1 => Just(Act::Restart),
    ];
    let lag_ms = prop_oneof![3 => Just(0), 1 => 1..2 * RETENTION_MS];
    let flag = prop::bool::weighted(0.3);
    let rest = (0..1_000_usize, lag_ms, flag, 0..2 * ANSWER_LIMIT);
    (act, rest).prop_map(|(act, (pick, lag_ms, flag, size))| Op {
        act,
        pick,
        lag_ms,
        flag,
        size,
    })
}

/// What the world knows of one token, whatever the home remembers.
struct Fate {
    token: Token,
    numbered: bool,
    sent: u32,
    not_run_up_to: u32,
    /// Tries that the present home has refused.
    burned: u32,
    dispatches: u32,
    /// How the token's latest job ended at its home, if there was one.
    job: Option<usize>,
}

#[derive(Clone, Copy)]
enum Message {
    Call { token: usize, number: u32 },
    Refuse { token: usize, up_to: u32 },
}

#[derive(Clone, PartialEq, Debug)]
enum Phase {
    Waiting,
    Running,
    Ran(Vec<u8>),
    Lost,
    Closed,
}

struct Job {
    key: RecordKey,
    token: usize,
    seen: u32,
    phase: Phase,
}

struct World {
    cfg: OnceConfig,
    start: Instant,
    now_ms: u64,
    latest_ms: u64,
    boot_ms: u64,
    restarts: u128,
    table: OnceTable<Vec<u8>>,
    minter: Minter,
    fates: Vec<Fate>,
    messages: Vec<Message>,
    jobs: Vec<Job>,
}

impl World {
    fn new(cfg: OnceConfig) -> Self {
        let start = Instant::now();
        let mut world = Self {
            table: OnceTable::new(cfg.clone(), Incarnation(0), start),
            cfg,
            start,
            now_ms: 0,
            latest_ms: 0,
            boot_ms: 0,
            restarts: 0,
            minter: Minter::new(),
            fates: Vec::new(),
            messages: Vec::new(),
            jobs: Vec::new(),
        };
        world.hear();
        world
    }

    /// The time as read by a task which slept for `lag_ms` since.
    fn at(&mut self, lag_ms: u64) -> Instant {
        let ms = self.now_ms.saturating_sub(lag_ms).max(self.boot_ms);
        self.latest_ms = self.latest_ms.max(ms);
        self.start + Duration::from_millis(ms)
    }

    fn apply(&mut self, op: &Op) {
        let pick = |len: usize| op.pick.checked_rem(len);
        let (token, job) = (pick(self.fates.len()), pick(self.jobs.len()));
        match (op.act, token, job) {
            (Act::Heard, ..) => self.hear(),
            (Act::Mint, ..) => self.mint(),
            (Act::Sleep(ms), ..) => self.now_ms += ms,
            (Act::Restart, ..) => self.restart(),
            (Act::Expire, ..) => {
                let now = self.at(op.lag_ms);
                self.table.expire(now);
            }
            (Act::Send, Some(token), _) => {
                let number = self.fates[token].next_number();
                self.messages.push(Message::Call { token, number });
            }
            (Act::AskRefusal, Some(token), _) => {
                let up_to = self.fates[token].last_number();
                self.messages.push(Message::Refuse { token, up_to });
            }
            (Act::EntrySheds, Some(token), _) => self.entry_sheds(token),
            (Act::Deliver, ..) => self.deliver(op),
            (Act::Dispatch, _, Some(job)) => self.dispatch(job, op.flag),
            (Act::Answer, _, Some(job)) => self.answer(job, op.size),
            (Act::Lose, _, Some(job)) => self.lose(job),
            (Act::Withdraw, _, Some(job)) => self.withdraw(job),
            _ => {}
        }
        let bound = self.cfg.capacity + self.cfg.refusal_capacity;
        assert!(self.table.len() <= bound, "{} records", self.table.len());
        assert!(self.table.answer_bytes() <= self.cfg.answer_bytes);
    }

    fn hear(&mut self) {
        let now = self.at(0);
        let (incarnation, tick) = (self.table.incarnation(), self.table.tick(now));
        self.minter.update_home("n".into(), incarnation, tick, now);
    }

    fn mint(&mut self) {
        let now = self.start + Duration::from_millis(self.now_ms);
        let token = self.minter.mint(&"n".into(), &"s".into(), now);
        self.fates.push(Fate {
            token: token.expect("the home was heard"),
            numbered: !self.fates.len().is_multiple_of(4),
            sent: 0,
            not_run_up_to: 0,
            burned: 0,
            dispatches: 0,
            job: None,
        });
    }

    fn deliver(&mut self, op: &Op) {
        let Some(index) = op.pick.checked_rem(self.messages.len()) else {
            return;
        };
        let message = self.messages[index];
        if !op.flag {
            self.messages.swap_remove(index);
        }
        match message {
            Message::Call { token, number } => self.call(token, number, op.lag_ms),
            Message::Refuse { token, up_to } => self.refuse(token, up_to, op.lag_ms),
        }
    }

    fn restart(&mut self) {
        self.restarts += 1;
        self.boot_ms = self.now_ms;
        self.latest_ms = self.now_ms;
        let now = self.at(0);
        self.table = OnceTable::new(self.cfg.clone(), Incarnation(self.restarts), now);
        self.jobs.clear();
        self.fates.iter_mut().for_each(|fate| fate.job = None);
    }

    fn say_not_run(&mut self, token: usize, up_to: u32) {
        let fate = &mut self.fates[token];
        assert_eq!(fate.dispatches, 0, "said not run of {token}, which ran");
        fate.not_run_up_to = fate.not_run_up_to.max(up_to);
    }

    fn entry_sheds(&mut self, token: usize) {
        let number = self.fates[token].next_number();
        let header = self.fates[token].numbered.then_some(Try(number));
        if Identity::of(true, header).outcome_unsent(ErrorKind::Shed) == Outcome::NotRun {
            self.say_not_run(token, number);
        }
    }

    fn call(&mut self, index: usize, number: u32, lag_ms: u64) {
        let now = self.at(lag_ms);
        let token = self.fates[index].token.clone();
        let arrival = self.table.arrive(&token, Try(number), now);
        self.check_arrival(index, number, &arrival);
        match arrival {
            Arrival::Run(key) => {
                let job = Job {
                    key,
                    token: index,
                    seen: number,
                    phase: Phase::Waiting,
                };
                self.fates[index].job = Some(self.jobs.len());
                self.jobs.push(job);
            }
            Arrival::Refused(kind) if kind.rule().outcome == Outcome::NotRun => {
                self.fates[index].burned = self.fates[index].burned.max(number);
                self.say_not_run(index, number);
            }
            Arrival::Join(_) | Arrival::Replay(_) | Arrival::Refused(_) => {}
        }
    }

    /// Checks the decision against what is known of the token; with a roomy table it is known exactly.
    fn check_arrival(&mut self, index: usize, number: u32, arrival: &Arrival<Vec<u8>>) {
        use Arrival::{Join, Refused, Replay, Run};
        let fate = &self.fates[index];
        if fate.token.incarnation != self.table.incarnation() {
            return assert_eq!(*arrival, Refused(ErrorKind::HomeLost));
        }
        if self.latest_ms - self.boot_ms < fate.token.tick.0 {
            return assert_eq!(*arrival, Refused(ErrorKind::BadToken));
        }
        if self.latest_ms - self.boot_ms > fate.token.tick.0 + RETENTION_MS {
            return assert_eq!(*arrival, Refused(ErrorKind::TokenExpired));
        }
        let burned = fate.burned;
        let job = fate
            .job
            .map(|job| &mut self.jobs[job])
            .filter(|job| job.phase != Phase::Closed);
        let Some(job) = job else {
            match arrival {
                Run(_) => assert!(
                    number > burned,
                    "try {number} runs after {burned} was burned"
                ),
                Refused(ErrorKind::TokenRefused) => {
                    assert!(
                        number <= burned || !self.cfg.is_roomy(),
                        "refused for nothing"
                    );
                }
                Refused(ErrorKind::TableFull) => assert!(!self.cfg.is_roomy()),
                other => panic!("{other:?} of a call that never ran"),
            }
            return;
        };
        match &job.phase {
            Phase::Waiting => {
                job.seen = job.seen.max(number);
                let refused = job.seen <= burned;
                let want = if refused {
                    Refused(ErrorKind::TokenRefused)
                } else {
                    Join(job.key)
                };
                assert_eq!(*arrival, want);
            }
            Phase::Running => assert_eq!(*arrival, Join(job.key)),
            Phase::Lost => assert_eq!(*arrival, Refused(ErrorKind::AnswerLost)),
            Phase::Ran(answer) if *arrival == Refused(ErrorKind::AnswerGone) => {
                assert!(answer.len() > ANSWER_LIMIT || !self.cfg.is_roomy());
            }
            Phase::Ran(answer) => assert_eq!(*arrival, Replay(answer.clone())),
            Phase::Closed => unreachable!("filtered above"),
        }
    }

    fn refuse(&mut self, index: usize, up_to: u32, lag_ms: u64) {
        let now = self.at(lag_ms);
        let token = self.fates[index].token.clone();
        let phase = self.fates[index].job.map(|job| &self.jobs[job].phase);
        let live = matches!(phase, Some(Phase::Waiting | Phase::Running));
        assert_eq!(self.table.is_live(&token), live);
        let refusal = self.table.refuse(&token, Try(up_to), now);
        match (&refusal, phase) {
            (Refusal::RefusedForGood, None | Some(Phase::Waiting | Phase::Closed)) => {
                self.fates[index].burned = self.fates[index].burned.max(up_to);
                self.say_not_run(index, up_to);
            }
            (Refusal::Running, Some(Phase::Running)) | (Refusal::Unknown, _) => {}
            (Refusal::Ran(told), Some(Phase::Ran(answer))) => assert_eq!(told, answer),
            (Refusal::AnswerGone, Some(Phase::Ran(_))) => {}
            (refusal, phase) => panic!("{refusal:?} of a call that is {phase:?}"),
        }
    }

    fn dispatch(&mut self, index: usize, late: bool) {
        let now = self.at(0);
        let deadline = if late {
            now
        } else {
            now + Duration::from_millis(1)
        };
        let job = &mut self.jobs[index];
        let fate = &mut self.fates[job.token];
        let result = self.table.dispatch(job.key, deadline, now);
        let was_sent = matches!(job.phase, Phase::Running | Phase::Ran(_) | Phase::Lost);
        let breach = self.table.take_breach();
        assert!(
            was_sent || breach.is_none(),
            "{breach:?} without a second dispatch"
        );
        match result {
            Ok(()) => {
                fate.dispatches += 1;
                assert_eq!(fate.dispatches, 1, "dispatched twice");
                assert!(job.seen > fate.not_run_up_to, "ran after not run was said");
                assert!(!late);
                job.phase = Phase::Running;
            }
            Err(kind) => {
                let live = self.cfg.is_roomy() && job.phase == Phase::Waiting && !late;
                assert!(
                    !live || job.seen <= fate.burned,
                    "{kind:?} of a call free to run"
                );
                if was_sent {
                    // An expired record took the breach's memory with it; nothing can run by then.
                    assert!(breach.is_none_or(|breach| breach == Invariant::DispatchedTwice));
                    return assert_eq!(kind.rule().outcome, Outcome::Unknown);
                }
                job.phase = Phase::Closed;
                if kind.rule().outcome == Outcome::NotRun {
                    fate.burned = fate.burned.max(job.seen);
                    let (token, seen) = (job.token, job.seen);
                    self.say_not_run(token, seen);
                }
            }
        }
    }

    fn answer(&mut self, index: usize, size: usize) {
        let now = self.at(0);
        let job = &mut self.jobs[index];
        let answer = vec![job.token as u8; size];
        self.table.answered(job.key, answer.clone(), now);
        if matches!(job.phase, Phase::Running | Phase::Lost) {
            job.phase = Phase::Ran(answer);
        }
    }

    fn lose(&mut self, index: usize) {
        if self.jobs[index].phase != Phase::Running {
            return;
        }
        let now = self.at(0);
        let job = &mut self.jobs[index];
        self.table.lost(job.key, now);
        job.phase = Phase::Lost;
    }

    fn withdraw(&mut self, index: usize) {
        let now = self.at(0);
        let job = &mut self.jobs[index];
        self.table.withdrawn(job.key, now);
        match job.phase {
            Phase::Waiting => {
                job.phase = Phase::Closed;
                let (token, seen) = (job.token, job.seen);
                self.fates[token].burned = self.fates[token].burned.max(seen);
                self.say_not_run(token, seen);
            }
            Phase::Running => job.phase = Phase::Lost,
            Phase::Ran(_) | Phase::Lost | Phase::Closed => {}
        }
    }

    /// Ends all calls and lets all tokens expire: nothing may stay behind.
    fn finish(mut self) {
        for index in 0..self.jobs.len() {
            self.withdraw(index);
        }
        self.now_ms += RETENTION_MS + MARGIN_MS + 1;
        let now = self.at(0);
        self.table.expire(now);
        assert!(
            self.table.is_empty(),
            "{} records stay behind",
            self.table.len()
        );
        assert_eq!(self.table.answer_bytes(), 0);
    }
}

impl Fate {
    fn next_number(&mut self) -> u32 {
        self.sent += 1;
        self.last_number()
    }

    fn last_number(&self) -> u32 {
        if self.numbered { self.sent.max(1) } else { 1 }
    }
}

/// Whether all that a run of this test can bring finds room.
trait Roomy {
    fn is_roomy(&self) -> bool;
}

impl Roomy for OnceConfig {
    fn is_roomy(&self) -> bool {
        self.capacity > 100
    }
}

fn roomy() -> OnceConfig {
    OnceConfig {
        retention: Duration::from_millis(RETENTION_MS),
        record_margin: Duration::from_millis(MARGIN_MS),
        answer_limit: ANSWER_LIMIT,
        ..OnceConfig::default()
    }
}

fn tight() -> OnceConfig {
    OnceConfig {
        capacity: 3,
        refusal_capacity: 2,
        watermarks: 2,
        answer_bytes: 80,
        ..roomy()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_024,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(2),
        ..ProptestConfig::default()
    })]

    // Symptom: a call runs twice, or runs after its caller was told "not run".
    // Sequence: any order of sendings, copies, refusals, sleeps, restarts and late answers.
    // Cause: a record forgotten or reopened while a copy of its call is still under way.
    #[test]
    fn a_token_runs_at_most_once(ops in prop::collection::vec(op(), 1..250), full in any::<bool>()) {
        let mut world = World::new(if full { tight() } else { roomy() });
        for op in &ops {
            world.apply(op);
        }
        world.finish();
    }
}
