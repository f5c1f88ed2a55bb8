//! Admission and retry allowance in a program of its own, without a node: a server's loop and a client's loop.
//!
//! `cargo run --example embed`

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use coltsfootport_core::admission::{Action, Admission, AdmissionConfig, CallKey, Finish, Offer};
use coltsfootport_core::allowance::{
    Allowance, Backoff, EdgeBudget, EdgeBudgetConfig, RetryAfterConfig, RetryPolicy, TargetState,
    retry_after,
};
use coltsfootport_core::class::Class;
use coltsfootport_core::collections::Map;
use coltsfootport_core::error_kind::ErrorKind;

const ORDERS: Class = Class::HIGHEST;
const LOOKUPS: Class = Class(2);
const SLOTS: u32 = 4;
const SERVICE_TIME: Duration = Duration::from_millis(10);
const TICKS: u32 = 2000;

fn main() {
    serve_under_overload();
    call_with_retries();
}

/// A worker with four slots gets two and a half times what it can serve. Time is made up here; a server passes its own.
fn serve_under_overload() {
    let epoch = Instant::now();
    // A warm worker; a cold one starts with a part of its limit.
    let cold_start = Duration::ZERO;
    let cfg = AdmissionConfig {
        initial_limit: SLOTS,
        cold_start,
        ..AdmissionConfig::default()
    };
    let mut admission = Admission::new(cfg, epoch);
    let mut running: Map<CallKey, Instant> = Map::default();
    let mut slots = [epoch; SLOTS as usize];
    let mut rng = SmallRng::seed_from_u64(1);
    let mut actions = Vec::new();
    for tick in 0..TICKS {
        let now = epoch + Duration::from_millis(tick.into());
        let ended: Vec<_> = running
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(k, _)| *k)
            .collect();
        for key in ended {
            running.remove(&key);
            admission.finish(key, Finish::Served, now);
        }
        let class = if rng.random_bool(0.2) {
            ORDERS
        } else {
            LOOKUPS
        };
        let deadline = now + Duration::from_millis(100);
        admission.offer(
            Offer {
                class,
                bucket: rng.random(),
                deadline,
            },
            now,
        );
        admission.poll(now, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Start(key) => {
                    running.insert(key, end_of_work(&mut slots, now));
                }
                // A server answers the error here, with the time to come back.
                Action::Refuse(_, _) => {}
            }
        }
    }
    for (name, class) in [("orders", ORDERS), ("lookups", LOOKUPS)] {
        let counters = admission.counters(class);
        println!("{name}: {} of {} served", counters.served, counters.offered);
    }
    let target = TargetState {
        level: admission.level(),
        queued: admission.queued(),
        limit: admission.limit(),
        service_time: SERVICE_TIME,
    };
    let again = retry_after(&RetryAfterConfig::default(), &target, LOOKUPS, &mut rng);
    println!("a refused lookup is told to come back after {again:.1?}");
}

/// Takes the slot that is free first and answers when its work ends.
fn end_of_work(slots: &mut [Instant], now: Instant) -> Instant {
    let slot = slots.iter_mut().min().expect("a worker has slots");
    *slot = (*slot).max(now) + SERVICE_TIME;
    *slot
}

/// A client whose first two attempts are shed.
fn call_with_retries() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(2);
    let mut allowance = Allowance::new(3);
    let mut edge = EdgeBudget::new(EdgeBudgetConfig::default(), now);
    let policy = RetryPolicy::default();
    let backoff = Backoff::default();
    for attempt in 0u16.. {
        // What is granted travels with the attempt; what is left of it comes back with the answer.
        let granted = allowance.grant();
        let (answer, left) = attempt_at_server(attempt, granted);
        if let Err(breach) = allowance.reclaim(granted, left) {
            println!("the server gave back too much: {}", breach.as_str());
        }
        let Err(kind) = answer else {
            edge.success();
            println!(
                "served by attempt {}, {} retries left",
                attempt + 1,
                allowance.left()
            );
            return;
        };
        let may = policy.may_retry(kind, false, false) && edge.try_spend(now) && allowance.spend();
        if !may {
            println!("given up: {}", kind.as_str());
            return;
        }
        println!(
            "{}, again in {:.1?}",
            kind.as_str(),
            backoff.delay(attempt, &mut rng)
        );
    }
}

fn attempt_at_server(attempt: u16, granted: u16) -> (Result<(), ErrorKind>, u16) {
    let answer = if attempt < 2 {
        Err(ErrorKind::Shed)
    } else {
        Ok(())
    };
    (answer, granted)
}
