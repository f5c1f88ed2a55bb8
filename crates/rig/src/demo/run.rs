//! Runs the demo.

use std::time::Instant;

use crate::error::RigError;
use crate::fleet::Fleet;
use crate::load;

use super::checks::{Measurements, describe_clients};
use super::events::{describe_chain, run_events};
use super::plan;
use super::probe::Timeline;

/// Runs the demo and prints the result table; fails if a guarantee was violated.
pub async fn run() -> Result<(), RigError> {
    let started = Instant::now();
    println!(
        "starting 12 nodes, their targets and the platform: {}",
        describe_chain()
    );
    let mut fleet = Fleet::start(plan::fleet()?).await?;
    println!(
        "load: normal, then 4x for {} s; {}",
        plan::SURGE,
        describe_clients()
    );
    let load = tokio::spawn(load::run(plan::load(fleet.entries())?));
    let change = run_events(&mut fleet).await?;
    let report = load
        .await
        .map_err(|e| RigError::Settings(e.to_string()))??;

    let measurements = Measurements::collect(&fleet, report, change).await?;
    let timeline = Timeline::of_one_request(&fleet).await?;
    let mut guarantees = measurements.check_all();
    guarantees.push(timeline.check_complete());

    println!(
        "\ntimeline of one request over all nodes:\n{}",
        timeline.text
    );
    println!("{:<67}  {:<62}  verdict", "promise", "seen");
    for guarantee in &guarantees {
        println!("{guarantee}");
    }
    println!("\nfinished after {:.0} s", started.elapsed().as_secs_f64());
    match guarantees
        .iter()
        .filter(|guarantee| !guarantee.held())
        .count()
    {
        0 => Ok(()),
        broken => Err(RigError::Broken(broken)),
    }
}
