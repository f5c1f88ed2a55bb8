//! Simulation of ways to split an allowance between a hop and its attempt: prints the success rates and asserts that
//! the split used by the library is the best where calls are shed, within the tolerance given below.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use coltsfootport_core::allowance::Allowance;

const DEPTH: u32 = 13;
const RETRIES: u16 = 3;
const PARALLEL: usize = 3;
const RUNS: u32 = 20_000;

/// How a hop splits its allowance when it makes a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Split {
    /// The split used by the library.
    Library,
    /// Grants all.
    All,
    /// Grants all but a quarter.
    Quarter,
    /// Grants all but one; the last one is granted too.
    KeepOne,
    /// Grants half.
    Half,
    /// Grants none; all retries stay at the entry.
    None,
}

impl Split {
    fn granted(self, left: u16) -> u16 {
        match self {
            Self::Library => Allowance::new(left).grant(),
            Self::All => left,
            Self::Quarter => left - left / 4,
            Self::KeepOne => left - u16::from(left > 1),
            Self::Half => left / 2,
            Self::None => 0,
        }
    }
}

/// Probabilities of the events of one attempt.
struct Case {
    name: &'static str,
    /// The called node sheds the call.
    shed: f64,
    /// The answer is lost with the unused retries that it returns.
    lost: f64,
    /// A hop makes three parallel calls instead of one.
    parallel: f64,
    retries: u16,
}

struct Traversal<'a> {
    case: &'a Case,
    split: Split,
    rng: SmallRng,
    /// Calls executed at any hop.
    executed: u32,
}

impl Traversal<'_> {
    /// Runs one call at a hop. Returns its answer and unused retries. Only the hop next to a failure retries.
    fn call(&mut self, depth: u32, mut left: u16) -> (Answer, u16) {
        self.executed += 1;
        if depth == 0 {
            return (Answer::Served, left);
        }
        let calls = if self.rng.random_bool(self.case.parallel) {
            PARALLEL
        } else {
            1
        };
        let grant = |_| {
            let granted = self.split.granted(left);
            left -= granted;
            granted
        };
        let grants: Vec<_> = (0..calls).map(grant).collect();
        let mut answer = Answer::Served;
        for granted in grants {
            if self.call_below(depth, granted, &mut left) == Answer::Final {
                answer = Answer::Final;
            }
        }
        (answer, left)
    }

    /// Makes one downstream call, including its retries.
    fn call_below(&mut self, depth: u32, mut granted: u16, left: &mut u16) -> Answer {
        loop {
            let (answer, returned) = self.attempt(depth, granted);
            *left += returned;
            match answer {
                Answer::Served | Answer::Final => return answer,
                Answer::Retry if *left == 0 => return Answer::Final,
                Answer::Retry => *left -= 1,
            }
            granted = self.split.granted(*left);
            *left -= granted;
        }
    }

    fn attempt(&mut self, depth: u32, granted: u16) -> (Answer, u16) {
        if self.rng.random_bool(self.case.shed) {
            return (Answer::Retry, granted);
        }
        let (answer, left) = self.call(depth - 1, granted);
        if self.rng.random_bool(self.case.lost) {
            return (Answer::Retry, 0);
        }
        (answer, left)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Served,
    /// May be retried by the hop that receives it.
    Retry,
    /// The hop next to the failure had no retries left.
    Final,
}

fn simulate(case: &Case, split: Split) -> (f64, f64) {
    let mut traversal = Traversal {
        case,
        split,
        rng: SmallRng::seed_from_u64(17),
        executed: 0,
    };
    let mut served = 0;
    for _ in 0..RUNS {
        let (answer, _) = traversal.call(DEPTH, case.retries);
        served += u32::from(answer == Answer::Served);
    }
    (
        f64::from(served) / f64::from(RUNS),
        f64::from(traversal.executed) / f64::from(RUNS),
    )
}

#[test]
fn splits() {
    let base = Case {
        name: "shed 2 %",
        shed: 0.02,
        lost: 0.0,
        parallel: 0.0,
        retries: RETRIES,
    };
    let cases = [
        Case {
            name: "shed 10 %",
            shed: 0.1,
            ..base
        },
        Case {
            name: "lost 2 %",
            shed: 0.0,
            lost: 0.02,
            ..base
        },
        Case {
            name: "shed 5 %, lost 0.5 %",
            shed: 0.05,
            lost: 0.005,
            ..base
        },
        Case {
            name: "shed 2 %, parallel",
            parallel: 0.15,
            ..base
        },
        Case {
            name: "shed 2 %, parallel, 8",
            parallel: 0.15,
            retries: 8,
            ..base
        },
        Case {
            name: "lost 2 %, 8",
            shed: 0.0,
            lost: 0.02,
            retries: 8,
            ..base
        },
        base,
    ];
    for case in &cases {
        let splits = [
            Split::Library,
            Split::All,
            Split::Quarter,
            Split::KeepOne,
            Split::Half,
            Split::None,
        ];
        let shares = splits.map(|split| {
            let (served, executed) = simulate(case, split);
            println!(
                "{:22} {:8} served {:5.1} %, calls run per request {executed:6.2}",
                case.name,
                format!("{split:?}"),
                100.0 * served
            );
            served
        });
        // Where calls are shed, the library's split is within 0.01 of the best. With more than three retries, it is
        // also better than granting all.
        let [library, all, ..] = shares;
        let best = shares.into_iter().fold(0.0, f64::max);
        assert!(case.lost > 0.0 || library >= best - 0.01, "{}", case.name);
        assert!(case.retries == RETRIES || library > all, "{}", case.name);
    }
}

/// Counts attempts at the last hop of a chain, which always fails, if every hop had its own retries.
#[test]
fn copied_retries_multiply() {
    fn bottom_attempts(depth: u32) -> u64 {
        if depth == 0 {
            1
        } else {
            u64::from(RETRIES + 1) * bottom_attempts(depth - 1)
        }
    }
    for depth in [1, 2, 4, 6] {
        println!(
            "copied to each hop, {depth} deep: {} attempts",
            bottom_attempts(depth)
        );
    }
    println!("moved, any depth: at most {} attempts", RETRIES + 1);
    assert_eq!(bottom_attempts(6), 4096);
}
