//! The strikes of a soak, drawn from its seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

/// A wire of one machine, as seen from outside its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Wire {
    /// From other nodes.
    Peers,
    /// To the store.
    Store,
    /// To the target.
    Target,
}

/// One strike; times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Strike {
    /// A node is killed and started again.
    Kill {
        /// The machine.
        machine: usize,
        /// Time until it is started again.
        down_ms: u64,
    },
    /// A node stands still.
    Pause {
        /// The machine.
        machine: usize,
        /// How long.
        ms: u64,
    },
    /// A node is asked to stop and started again when it has.
    Stop {
        /// The machine.
        machine: usize,
    },
    /// A node is told to read its settings again.
    Hangup {
        /// The machine.
        machine: usize,
    },
    /// The store refuses every call, or answers none.
    Store {
        /// It answers none.
        silent: bool,
        /// How long.
        ms: u64,
    },
    /// The store has forgotten its history.
    Forget {
        /// How long.
        ms: u64,
    },
    /// Configurations in quick succession, each with one more route.
    Configs {
        /// How many.
        count: u32,
        /// Time between two.
        gap_ms: u64,
    },
    /// A target tells that it is leaving, and is back later.
    Leave {
        /// The machine.
        machine: usize,
        /// How long.
        ms: u64,
    },
    /// A target fails some requests in its own way.
    Target {
        /// The machine.
        machine: usize,
        /// The way, as a number.
        act: u8,
        /// How many.
        count: usize,
    },
    /// A wire is slow.
    Slow {
        /// The machine.
        machine: usize,
        /// The wire.
        wire: Wire,
        /// One-way latency.
        latency_ms: u64,
        /// How long.
        ms: u64,
    },
    /// A wire passes nothing in one direction, or in both.
    Silence {
        /// The machine.
        machine: usize,
        /// The wire.
        wire: Wire,
        /// Towards the node, or from it to store and target.
        forward: bool,
        /// The other direction.
        backward: bool,
        /// How long.
        ms: u64,
    },
    /// The connections of a wire are closed, and new ones for a while.
    Reset {
        /// The machine.
        machine: usize,
        /// The wire.
        wire: Wire,
        /// How long.
        ms: u64,
    },
    /// The store comes back from an older copy; what it has lost is written again after a while.
    GoBack {
        /// Changes that the copy lacks.
        lost: usize,
        /// Time until they are written again.
        again_ms: u64,
    },
    /// The process of a target ends and is back after a while.
    CrashTarget {
        /// The machine.
        machine: usize,
        /// Time until it is back.
        down_ms: u64,
    },
    /// A request that crashes each target which runs it comes again and again, at one machine after the other.
    Crashing {
        /// Tells it from others of the run.
        request: u32,
        /// How often it comes.
        copies: usize,
        /// Time between two of them.
        gap_ms: u64,
    },
}

/// A strike and its time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Timed {
    /// Milliseconds from the start of the load.
    pub at_ms: u64,
    /// What happens.
    pub strike: Strike,
}

/// Everything that happens in a soak.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SoakPlan {
    /// The seed that it follows from.
    pub seed: u64,
    /// Length of the load in seconds.
    pub seconds: u64,
    /// Number of machines.
    pub machines: usize,
    /// Whether few nodes read the store and the others hear from them, as in a large fleet.
    pub shares_reading: bool,
    /// The strikes in their order.
    pub strikes: Vec<Timed>,
}

/// One seed in so many is run with shared reading of the store.
const SHARED_READING: u64 = 2;

impl SoakPlan {
    /// The plan of a seed. Strikes follow each other faster than they end, so that they overlap.
    pub fn of_seed(seed: u64, seconds: u64, machines: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut strikes = Vec::new();
        let mut at_ms = 0;
        loop {
            at_ms += rng.random_range(100..1100);
            if at_ms >= seconds * 1000 {
                break;
            }
            let strike = draw(&mut rng, machines);
            strikes.push(Timed { at_ms, strike });
        }
        add_crashes(&mut strikes, seed, seconds, machines);
        add_returns(&mut strikes, seed, seconds);
        Self {
            seed,
            seconds,
            machines,
            shares_reading: seed.is_multiple_of(SHARED_READING),
            strikes,
        }
    }
}

/// Adds crashes of targets, drawn by themselves so that the other strikes of a seed stay as they are.
fn add_crashes(strikes: &mut Vec<Timed>, seed: u64, seconds: u64, machines: usize) {
    let mut rng = SmallRng::seed_from_u64(!seed);
    let mut add = |at_ms: u64, strike: Strike| add_at(strikes, at_ms, strike);
    for request in 0..rng.random_range(1..3) {
        let strike = Strike::Crashing {
            request,
            copies: rng.random_range(8..24),
            gap_ms: rng.random_range(50..500),
        };
        add(rng.random_range(0..seconds * 500), strike);
    }
    for _ in 0..rng.random_range(0..4) {
        let strike = Strike::CrashTarget {
            machine: rng.random_range(0..machines),
            down_ms: rng.random_range(200..2000),
        };
        add(rng.random_range(0..seconds * 1000), strike);
    }
    strikes.sort_by_key(|timed| timed.at_ms);
}

/// Adds returns of the store from older copies, drawn by themselves as well.
fn add_returns(strikes: &mut Vec<Timed>, seed: u64, seconds: u64) {
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(32) ^ 1);
    for _ in 0..rng.random_range(0..3) {
        let strike = Strike::GoBack {
            lost: rng.random_range(1..8),
            again_ms: rng.random_range(0..1500),
        };
        add_at(strikes, rng.random_range(0..seconds * 1000), strike);
    }
    strikes.sort_by_key(|timed| timed.at_ms);
}

/// Adds a strike at the first free moment from `at_ms` on.
fn add_at(strikes: &mut Vec<Timed>, at_ms: u64, strike: Strike) {
    let is_taken = |at_ms| strikes.iter().any(|timed| timed.at_ms == at_ms);
    let free = (at_ms..).find(|at_ms| !is_taken(*at_ms));
    strikes.push(Timed {
        at_ms: free.unwrap_or(at_ms),
        strike,
    });
}

fn draw(rng: &mut SmallRng, machines: usize) -> Strike {
    let machine = rng.random_range(0..machines);
    let ms = rng.random_range(200..2500);
    let wire = [Wire::Peers, Wire::Store, Wire::Target][rng.random_range(0..3)];
    match rng.random_range(0..12) {
        0 => Strike::Kill {
            machine,
            down_ms: ms / 2,
        },
        1 => Strike::Pause { machine, ms },
        2 => Strike::Stop { machine },
        3 => Strike::Hangup { machine },
        4 => Strike::Store {
            silent: rng.random(),
            ms,
        },
        5 => Strike::Forget { ms },
        6 => Strike::Configs {
            count: rng.random_range(1..6),
            gap_ms: rng.random_range(10..400),
        },
        7 => Strike::Leave {
            machine,
            ms: ms + 2500,
        },
        8 => Strike::Target {
            machine,
            act: rng.random_range(0..7),
            count: rng.random_range(1..12),
        },
        9 => Strike::Slow {
            machine,
            wire,
            latency_ms: rng.random_range(5..300),
            ms,
        },
        10 => Strike::Silence {
            machine,
            wire,
            forward: rng.random(),
            backward: true,
            ms,
        },
        _ => Strike::Reset {
            machine,
            wire,
            ms: ms / 4,
        },
    }
}
