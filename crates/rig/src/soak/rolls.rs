//! Runs stops as a supervisor does them, and the load and time limits beside them.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use tokio::time::sleep;

use super::lost::{GRACE, WorkLimit};
use super::pipelined::{KeptConnection, MAX_LIMIT, Step, WORK_MS};
use super::plan::Work;
use super::run::{NodeProcess, Soak};
use super::strikes::Strike;
use crate::error::RigError;
use crate::process::Signal;

/// Idle time of callers' connections at first, in seconds.
pub const FIRST_IDLE_S: u64 = 8;

/// Kind of the strike at the end of a grace period.
pub const KILL_AFTER_GRACE: &str = "kill-after-grace";

/// Interval between two looks at a node that stops.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Work {
    /// Timeout of the route of pipelining callers at first, in seconds.
    pub(super) fn first_timeout_s(self) -> u64 {
        match self {
            Self::Mixed => 3,
            Self::Planned => MAX_LIMIT.as_secs(),
        }
    }
}

impl Soak {
    /// Stops a node, kills it at the end of its grace period, and starts it again. A node that stops already only gets
    /// a further signal.
    pub(super) async fn roll(&self, machine: usize) -> Result<(), RigError> {
        let from = {
            let mut node = self.nodes[machine].lock().await;
            node.wait_for_signal_handlers().await;
            node.process.signal(Signal::TERM)?;
            self.record_strike("roll", Some(machine));
            if node.stopping {
                return Ok(());
            }
            node.stopping = true;
            Instant::now()
        };
        // The lock is free between two looks, so that other signals reach the node while it stops.
        loop {
            let mut node = self.nodes[machine].lock().await;
            let ended = match node.process.is_running()? {
                true if from.elapsed() < GRACE => None,
                true => {
                    self.record_strike(KILL_AFTER_GRACE, Some(machine));
                    node.process.kill()?;
                    Some(Ok(()))
                }
                false => Some(self.exit_result(&mut node).await),
            };
            if let Some(result) = ended {
                self.record_span(|e| &mut e.stops, Some(machine), from);
                *node = NodeProcess::start(&self.machines[machine])?;
                return result;
            }
            drop(node);
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn exit_result(&self, node: &mut NodeProcess) -> Result<(), RigError> {
        let status = node.process.wait(Duration::ZERO).await?;
        match status.success() {
            true => Ok(()),
            false => Err(RigError::Breach(format!("stop ended with {status}"))),
        }
    }

    /// Sends long requests on connections that have been used before, evenly over a time.
    pub(super) async fn send_crowd(&self, at: usize, count: usize, work_ms: u64, over_ms: u64) {
        let crowd = self.shared.crowds.fetch_add(1, Ordering::SeqCst);
        let address = self.machines[at].callers;
        let mut requests = JoinSet::new();
        for number in 0..count {
            let shared = Arc::clone(&self.shared);
            let after = Duration::from_millis(over_ms * number as u64 / count as u64);
            let steps =
                [(Duration::ZERO, WORK_MS[0]), (after, work_ms)].map(|(after, work_ms)| Step {
                    after,
                    work_ms,
                    limit: MAX_LIMIT,
                });
            requests.spawn(async move {
                if let Some(mut connection) = KeptConnection::open(address, at, &shared).await {
                    let name = format!("crowd{crowd}n{number}");
                    connection.play(&name, steps).await;
                }
            });
        }
        while requests.join_next().await.is_some() {}
    }

    /// Publishes the configuration with these time limits.
    pub(super) fn publish_work_limits(&self, timeout_s: u64, idle_s: u64) {
        self.shared
            .work_timeout_s
            .store(timeout_s, Ordering::SeqCst);
        self.shared.idle_s.store(idle_s, Ordering::SeqCst);
        self.evidence().work_limits.push(WorkLimit {
            at: Instant::now(),
            limit: Duration::from_secs(timeout_s),
        });
        self.publish_config();
    }

    /// Records that a fault or planned work strikes now.
    pub(super) fn record_strike(&self, kind: &str, machine: Option<usize>) {
        self.evidence().strikes.push(Strike {
            kind: kind.to_owned(),
            machine,
            at: Instant::now(),
        });
    }
}
