//! Plans of planned work alone.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::pipelined::WORK_MS;
use super::plan::{Fault, ScheduledFault, add_at};

/// Slots of each target.
const SLOTS: usize = 4;

/// Draws crowds with stops of their entry, another node or both, and reloads, configurations and leaving targets at any
/// time beside them.
pub(super) fn planned_work(seed: u64, seconds: u64, machines: usize) -> Vec<ScheduledFault> {
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(24) ^ 5);
    let mut faults = Vec::new();
    let mut at_ms = rng.random_range(800..1500);
    while at_ms < seconds * 1000 {
        add_stops(&mut faults, &mut rng, at_ms, machines);
        at_ms += rng.random_range(3500..9000);
    }
    let mut at_ms = 0;
    loop {
        at_ms += rng.random_range(200..1500);
        if at_ms >= seconds * 1000 {
            break;
        }
        add_at(&mut faults, at_ms, random_work(&mut rng, machines));
    }
    faults.sort_by_key(|scheduled| scheduled.at_ms);
    faults
}

/// Adds a crowd and stops while it is queued and at work.
fn add_stops(faults: &mut Vec<ScheduledFault>, rng: &mut SmallRng, at_ms: u64, machines: usize) {
    let entry = rng.random_range(0..machines);
    let host = (entry + rng.random_range(1..machines.max(2))) % machines;
    let crowd = Fault::Crowd {
        machine: entry,
        count: machines * SLOTS + rng.random_range(4..16),
        work_ms: WORK_MS[rng.random_range(2..WORK_MS.len())],
        over_ms: rng.random_range(200..4500),
    };
    add_at(faults, at_ms, crowd);
    let stop_at = at_ms + rng.random_range(100..2500);
    let other_at = stop_at + rng.random_range(0..2500);
    let which = rng.random_range(0..4);
    if which != 0 {
        add_at(faults, stop_at, Fault::Roll { machine: entry });
    }
    if which != 1 {
        add_at(faults, other_at, Fault::Roll { machine: host });
    }
    if rng.random_range(0..3) == 0 {
        let again = stop_at + rng.random_range(100..5500);
        add_at(faults, again, Fault::Roll { machine: entry });
    }
}

fn random_work(rng: &mut SmallRng, machines: usize) -> Fault {
    let machine = rng.random_range(0..machines);
    match rng.random_range(0..5) {
        0 | 1 => Fault::Hangup { machine },
        2 => Fault::Configs {
            count: rng.random_range(1..4),
            gap_ms: rng.random_range(10..400),
        },
        3 => Fault::WorkLimits {
            timeout_s: rng.random_range(4..10),
            idle_s: rng.random_range(2..9),
        },
        _ => Fault::Leave {
            machine,
            ms: rng.random_range(2500..5000),
        },
    }
}
