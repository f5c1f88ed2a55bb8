//! The course of the demo.

use std::time::Instant;

use crate::error::RigError;
use crate::fleet::Fleet;
use crate::load;

use super::checks::{Seen, clients};
use super::events::{chain, play};
use super::plan;
use super::probe::TimeLine;

/// Runs the demo and prints its table; an error where a promise was broken.
pub async fn run() -> Result<(), RigError> {
    let started = Instant::now();
    println!(
        "starting 12 nodes, their targets and the platform: {}",
        chain()
    );
    let mut fleet = Fleet::start(plan::fleet()?).await?;
    println!("load: normal, then 4x for {} s; {}", plan::SURGE, clients());
    let load = tokio::spawn(load::run(plan::load(fleet.entries())?));
    let change = play(&mut fleet).await?;
    let report = load
        .await
        .map_err(|e| RigError::Settings(e.to_string()))??;

    let seen = Seen::collect(&fleet, report, change).await?;
    let time_line = TimeLine::of_one_request(&fleet).await?;
    let mut promises = seen.promises();
    promises.push(time_line.promise());

    println!("\none request over all nodes:\n{}", time_line.text);
    println!("{:<67}  {:<62}  verdict", "promise", "seen");
    for promise in &promises {
        println!("{promise}");
    }
    println!("\nended after {:.0} s", started.elapsed().as_secs_f64());
    match promises.iter().filter(|promise| !promise.held()).count() {
        0 => Ok(()),
        broken => Err(RigError::Broken(broken)),
    }
}
