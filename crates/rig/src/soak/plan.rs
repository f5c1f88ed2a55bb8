//! Fault schedule of a soak test, generated from its seed.

use std::collections::HashSet;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use super::planned::planned_work;

/// Proxied link of one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Link {
    /// From other nodes.
    Peers,
    /// To the store.
    Store,
    /// To the target.
    Target,
}

/// What a node that stops is for the long bodies that pass through it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopAt {
    /// Uploads and downloads enter there, and at others.
    Entry,
    /// Downloads enter at another node only, and their target is beside this one.
    Host,
}

/// A fault to inject; times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Kills a node and restarts it.
    Kill {
        /// Index of the machine.
        machine: usize,
        /// Time until the restart.
        down_ms: u64,
    },
    /// Suspends a node.
    Pause {
        /// Index of the machine.
        machine: usize,
        /// Duration.
        ms: u64,
    },
    /// Stops a node gracefully and restarts it once it has exited.
    Stop {
        /// Index of the machine.
        machine: usize,
    },
    /// Makes a node reload its settings.
    Hangup {
        /// Index of the machine.
        machine: usize,
    },
    /// Makes the store refuse all requests or leave them unanswered.
    Store {
        /// Leaves requests unanswered instead of refusing them.
        silent: bool,
        /// Duration.
        ms: u64,
    },
    /// Makes the store lose its history.
    Forget {
        /// Duration.
        ms: u64,
    },
    /// Publishes configurations in quick succession, each with one more route.
    Configs {
        /// Number of configurations.
        count: u32,
        /// Time between two configurations.
        gap_ms: u64,
    },
    /// Publishes a target as draining, and as ready again later.
    Leave {
        /// Index of the machine.
        machine: usize,
        /// Duration.
        ms: u64,
    },
    /// Makes a target mishandle its next requests.
    Target {
        /// Index of the machine.
        machine: usize,
        /// Number of the misbehaviour, as mapped by the runner.
        act: u8,
        /// Number of requests.
        count: usize,
    },
    /// Adds latency to a link.
    Slow {
        /// Index of the machine.
        machine: usize,
        /// The affected link.
        #[serde(rename = "wire")]
        link: Link,
        /// One-way latency.
        latency_ms: u64,
        /// Duration.
        ms: u64,
    },
    /// Blackholes a link in one direction or both.
    Silence {
        /// Index of the machine.
        machine: usize,
        /// The affected link.
        #[serde(rename = "wire")]
        link: Link,
        /// Blocks traffic from the side that opens connections.
        forward: bool,
        /// Blocks the opposite direction.
        backward: bool,
        /// Duration.
        ms: u64,
    },
    /// Closes the connections of a link, and new ones until the fault ends.
    Reset {
        /// Index of the machine.
        machine: usize,
        /// The affected link.
        #[serde(rename = "wire")]
        link: Link,
        /// Duration.
        ms: u64,
    },
    /// Restores the store from an older copy; the lost changes are written again later.
    GoBack {
        /// Number of changes missing from the copy.
        lost: usize,
        /// Time until the lost changes are written again.
        again_ms: u64,
    },
    /// Crashes a target's process, which comes back later.
    CrashTarget {
        /// Index of the machine.
        machine: usize,
        /// Time until the target is back.
        down_ms: u64,
    },
    /// Makes a target name a rate limit in its responses.
    Limit {
        /// Index of the machine.
        machine: usize,
        /// Limit in requests per second.
        per_second: u32,
        /// Duration.
        ms: u64,
    },
    /// Makes a target announce in its responses that it is leaving, until the end of the run.
    AnnounceLeaving {
        /// Index of the machine.
        machine: usize,
    },
    /// Stops a node gracefully while long uploads and downloads pass through it, and restarts it.
    StopInBodies {
        /// Index of the machine.
        machine: usize,
        /// What the node is for the bodies.
        at: StopAt,
    },
    /// Restarts a target's process with a lower start time in its entry, as after a backward step of its clock, and
    /// publishes it as draining and as ready again later.
    RestartEarlier {
        /// Index of the machine.
        machine: usize,
        /// Time until the target is back.
        down_ms: u64,
        /// Time from then until it is draining.
        serving_ms: u64,
        /// Time for which it is draining.
        draining_ms: u64,
    },
    /// Makes a target's process stand still.
    StandStill {
        /// Index of the machine.
        machine: usize,
        /// Duration.
        ms: u64,
    },
    /// Stops a node as a supervisor does, which kills it at the end of the grace period, and restarts it. A node that
    /// stops already gets a further signal.
    Roll {
        /// Index of the machine.
        machine: usize,
    },
    /// Sends long requests on connections kept open, more than targets have slots.
    Crowd {
        /// Index of the machine that receives them.
        machine: usize,
        /// Number of requests.
        count: usize,
        /// Service time of each.
        work_ms: u64,
        /// Time over which they are sent.
        over_ms: u64,
    },
    /// Publishes a configuration with other time limits.
    WorkLimits {
        /// Timeout of the route of pipelining callers in seconds.
        timeout_s: u64,
        /// Idle time of callers' connections in seconds.
        idle_s: u64,
    },
    /// Repeats a request that crashes every target that runs it, at each machine in turn.
    Crashing {
        /// Number of the crashing request within the run.
        request: u32,
        /// Number of copies sent.
        copies: usize,
        /// Time between two copies.
        gap_ms: u64,
    },
}

/// A fault and the time at which it begins.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ScheduledFault {
    /// Milliseconds from the start of the load.
    pub at_ms: u64,
    /// The fault.
    #[serde(rename = "strike")]
    pub fault: Fault,
}

/// What a plan consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Work {
    /// Faults of all kinds and planned work.
    Mixed,
    /// Planned work alone, which excuses nothing.
    Planned,
}

/// Complete schedule of a soak test.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SoakPlan {
    /// Seed of the plan.
    pub seed: u64,
    /// Length of the load in seconds.
    pub seconds: u64,
    /// Number of machines.
    pub machines: usize,
    /// What the plan consists of.
    pub work: Work,
    /// Whether only a few nodes read the store and pass updates on, as in a large fleet.
    pub shares_reading: bool,
    /// Faults in the order of their times.
    #[serde(rename = "strikes")]
    pub faults: Vec<ScheduledFault>,
}

/// Plans whose seed is a multiple of this use shared store reads.
const SHARED_READS_SEED_INTERVAL: u64 = 2;

impl SoakPlan {
    /// Generates the plan for a seed. Faults begin more often than they end, so that they overlap.
    pub fn of_seed(seed: u64, seconds: u64, machines: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at_ms = 0;
        loop {
            at_ms += rng.random_range(100..1100);
            if at_ms >= seconds * 1000 {
                break;
            }
            let fault = random_fault(&mut rng, machines);
            faults.push(ScheduledFault { at_ms, fault });
        }
        add_target_crashes(&mut faults, seed, seconds, machines);
        add_store_rollbacks(&mut faults, seed, seconds);
        add_rate_limits(&mut faults, seed, seconds, machines);
        add_leaving_and_standstills(&mut faults, seed, seconds, machines);
        add_long_bodies_and_earlier_start(&mut faults, seed, seconds, machines);
        Self {
            seed,
            seconds,
            machines,
            work: Work::Mixed,
            shares_reading: seed.is_multiple_of(SHARED_READS_SEED_INTERVAL),
            faults,
        }
    }

    /// Generates the plan of planned work alone for a seed.
    pub fn planned_of_seed(seed: u64, seconds: u64, machines: usize) -> Self {
        Self {
            seed,
            seconds,
            machines,
            work: Work::Planned,
            shares_reading: seed.is_multiple_of(SHARED_READS_SEED_INTERVAL),
            faults: planned_work(seed, seconds, machines),
        }
    }
}

/// Adds target crashes. A separate generator keeps the other faults of a seed unchanged.
fn add_target_crashes(faults: &mut Vec<ScheduledFault>, seed: u64, seconds: u64, machines: usize) {
    let mut rng = SmallRng::seed_from_u64(!seed);
    let mut add = |at_ms: u64, fault: Fault| add_at(faults, at_ms, fault);
    for request in 0..rng.random_range(1..3) {
        let fault = Fault::Crashing {
            request,
            copies: rng.random_range(8..24),
            gap_ms: rng.random_range(50..500),
        };
        add(rng.random_range(0..seconds * 500), fault);
    }
    for _ in 0..rng.random_range(0..4) {
        let fault = Fault::CrashTarget {
            machine: rng.random_range(0..machines),
            down_ms: rng.random_range(200..2000),
        };
        add(rng.random_range(0..seconds * 1000), fault);
    }
    faults.sort_by_key(|scheduled| scheduled.at_ms);
}

/// Adds store rollbacks, also from a separate generator.
fn add_store_rollbacks(faults: &mut Vec<ScheduledFault>, seed: u64, seconds: u64) {
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(32) ^ 1);
    for _ in 0..rng.random_range(0..3) {
        let fault = Fault::GoBack {
            lost: rng.random_range(1..8),
            again_ms: rng.random_range(0..1500),
        };
        add_at(faults, rng.random_range(0..seconds * 1000), fault);
    }
    faults.sort_by_key(|scheduled| scheduled.at_ms);
}

/// Adds rate limits of targets, also from a separate generator. They last long enough to bind, and there is one for
/// each target at most: the end of one would also end another.
fn add_rate_limits(faults: &mut Vec<ScheduledFault>, seed: u64, seconds: u64, machines: usize) {
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(16) ^ 2);
    let mut limited = HashSet::new();
    for _ in 0..rng.random_range(0..4) {
        let machine = rng.random_range(0..machines);
        let fault = Fault::Limit {
            machine,
            per_second: rng.random_range(5..20),
            ms: rng.random_range(4500..9000),
        };
        let at_ms = rng.random_range(0..seconds * 500);
        if limited.insert(machine) {
            add_at(faults, at_ms, fault);
        }
    }
    faults.sort_by_key(|scheduled| scheduled.at_ms);
}

/// Adds a target that announces its leaving in half of the plans, and targets that stand still, also from a separate
/// generator.
fn add_leaving_and_standstills(
    faults: &mut Vec<ScheduledFault>,
    seed: u64,
    seconds: u64,
    machines: usize,
) {
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(48) ^ 3);
    if rng.random() {
        let fault = Fault::AnnounceLeaving {
            machine: rng.random_range(0..machines),
        };
        add_at(faults, rng.random_range(0..seconds * 500), fault);
    }
    for _ in 0..rng.random_range(0..3) {
        let fault = Fault::StandStill {
            machine: rng.random_range(0..machines),
            ms: rng.random_range(300..3000),
        };
        add_at(faults, rng.random_range(0..seconds * 1000), fault);
    }
    faults.sort_by_key(|scheduled| scheduled.at_ms);
}

/// Time from the end of the random faults to a target's restart; most of them are over and noticed by then.
const CALM_MS: u64 = 5000;

/// Time for which the target that has restarted serves; longer than nodes need to catch up after a crash.
const SERVING_MS: u64 = 5000;

/// Time for which it is draining; longer than nodes may take to notice.
const DRAINING_MS: u64 = 4500;

/// Time for one stop during long bodies.
const STOP_MS: u64 = 9000;

/// Adds stops during long bodies among the other faults, and, after them, a target that restarts with a lower start
/// time and two such stops. The checks excuse what other faults explain, so they need a time without them.
fn add_long_bodies_and_earlier_start(
    faults: &mut Vec<ScheduledFault>,
    seed: u64,
    seconds: u64,
    machines: usize,
) {
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(8) ^ 4);
    let mut stop = |at: StopAt| Fault::StopInBodies {
        machine: rng.random_range(0..machines),
        at,
    };
    let calm_from = seconds * 1000 + CALM_MS;
    let down_ms = 300;
    let stop_at = calm_from + down_ms + SERVING_MS + DRAINING_MS;
    add_at(faults, seconds * 300, stop(StopAt::Entry));
    add_at(faults, seconds * 600, stop(StopAt::Host));
    add_at(faults, stop_at, stop(StopAt::Entry));
    add_at(faults, stop_at + STOP_MS, stop(StopAt::Host));
    let restarted = rng.random_range(0..machines);
    // A new start has not announced that it is leaving, but the stand-in goes on announcing it.
    let announces = |scheduled: &ScheduledFault| {
        let leaving = Fault::AnnounceLeaving { machine: restarted };
        scheduled.fault == leaving
    };
    let restart = Fault::RestartEarlier {
        machine: match faults.iter().any(announces) {
            true => (restarted + 1) % machines,
            false => restarted,
        },
        down_ms,
        serving_ms: SERVING_MS,
        draining_ms: DRAINING_MS,
    };
    add_at(faults, calm_from, restart);
    faults.sort_by_key(|scheduled| scheduled.at_ms);
}

/// Adds a fault at the first millisecond from `at_ms` on that has none yet.
pub(super) fn add_at(faults: &mut Vec<ScheduledFault>, at_ms: u64, fault: Fault) {
    let is_occupied = |at_ms| faults.iter().any(|scheduled| scheduled.at_ms == at_ms);
    let free = (at_ms..).find(|at_ms| !is_occupied(*at_ms));
    faults.push(ScheduledFault {
        at_ms: free.unwrap_or(at_ms),
        fault,
    });
}

fn random_fault(rng: &mut SmallRng, machines: usize) -> Fault {
    let machine = rng.random_range(0..machines);
    let ms = rng.random_range(200..2500);
    let link = [Link::Peers, Link::Store, Link::Target][rng.random_range(0..3)];
    match rng.random_range(0..12) {
        0 => Fault::Kill {
            machine,
            down_ms: ms / 2,
        },
        1 => Fault::Pause { machine, ms },
        2 => Fault::Stop { machine },
        3 => Fault::Hangup { machine },
        4 => Fault::Store {
            silent: rng.random(),
            ms,
        },
        5 => Fault::Forget { ms },
        6 => Fault::Configs {
            count: rng.random_range(1..6),
            gap_ms: rng.random_range(10..400),
        },
        7 => Fault::Leave {
            machine,
            ms: ms + 2500,
        },
        8 => Fault::Target {
            machine,
            act: rng.random_range(0..7),
            count: rng.random_range(1..12),
        },
        9 => Fault::Slow {
            machine,
            link,
            latency_ms: rng.random_range(5..300),
            ms,
        },
        10 => Fault::Silence {
            machine,
            link,
            forward: rng.random(),
            backward: true,
            ms,
        },
        _ => Fault::Reset {
            machine,
            link,
            ms: ms / 4,
        },
    }
}
