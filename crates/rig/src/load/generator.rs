//! Starts calls on schedule and records their results.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::{JoinSet, yield_now};

use crate::error::RigError;
use crate::http::Client;
use crate::load::call::{CallContext, CallResult, execute_call};
use crate::load::recorder::{EndedCall, Recorder};
use crate::load::token_pool::TokenPool;
use crate::load::{Arrivals, Ending, LoadPlan, LoadReport, Stage};
use crate::timer;

/// Runs all stages of the plan, then waits for the calls that are still in flight.
pub async fn run(plan: LoadPlan) -> Result<LoadReport, RigError> {
    plan.check()?;
    let mut generator = Generator::new(plan, Instant::now())?;
    let mut due = Duration::ZERO;
    let mut stage_end = Duration::ZERO;
    for stage in generator.context.plan.stages.clone() {
        let stage_start = stage_end;
        stage_end += Duration::from_secs_f64(stage.seconds);
        due = due.max(stage_start);
        while let Some(gap) = generator
            .next_gap(stage)
            .filter(|gap| due + *gap < stage_end)
        {
            due += gap;
            generator.wait_until(due).await;
            generator.start_call(due);
        }
        generator.wait_until(stage_end).await;
        // The first gap of the next stage starts at the stage boundary.
        due = stage_end;
    }
    Ok(generator.finish().await)
}

struct Generator {
    context: CallContext,
    started_at: Instant,
    rng: StdRng,
    operation_weights: WeightedIndex<u32>,
    recorder: Recorder,
    calls: JoinSet<EndedCall>,
    serial: u64,
}

impl Generator {
    fn new(plan: LoadPlan, started_at: Instant) -> Result<Self, RigError> {
        let operation_weights =
            WeightedIndex::new(plan.operations.iter().map(|operation| operation.weight));
        let operation_weights = operation_weights.map_err(|e| RigError::Settings(e.to_string()))?;
        let client = Client::default();
        let tokens = TokenPool::start(client.clone(), plan.entries.clone());
        Ok(Self {
            rng: StdRng::seed_from_u64(plan.seed),
            recorder: Recorder::new(&plan),
            context: CallContext {
                plan: Arc::new(plan),
                client,
                tokens,
            },
            started_at,
            operation_weights,
            calls: JoinSet::new(),
            serial: 0,
        })
    }

    /// Returns the time until the next call, or `None` if the stage has no further call.
    fn next_gap(&mut self, stage: Stage) -> Option<Duration> {
        if stage.rate <= 0.0 {
            return None;
        }
        let drawn = match self.context.plan.arrivals {
            Arrivals::Even => 1.0,
            Arrivals::Poisson => -(1.0 - self.rng.random::<f64>()).ln(),
        };
        Duration::try_from_secs_f64(drawn / stage.rate).ok()
    }

    async fn wait_until(&mut self, due: Duration) {
        // A generator that is behind schedule does not sleep below. Without this yield the calls that it has spawned would
        // not run until it has caught up.
        yield_now().await;
        let due = self.started_at + due;
        while Instant::now() < due {
            tokio::select! {
                () = timer::sleep_until(due) => return,
                Some(ended) = self.calls.join_next() => self.record(ended.ok()),
            }
        }
        // A generator that is behind schedule must still collect completed calls. Otherwise they would count as in flight and
        // new calls would be skipped.
        while let Some(ended) = self.calls.try_join_next() {
            self.record(ended.ok());
        }
    }

    fn start_call(&mut self, due: Duration) {
        let operation = self.operation_weights.sample(&mut self.rng);
        let seed = self.rng.random();
        self.serial += 1;
        let key = format!("{}-{}", self.context.plan.key_prefix, self.serial);
        let now = self.started_at.elapsed();
        self.recorder
            .record_due(operation, due, now.saturating_sub(due));

        if self.calls.len() >= self.context.plan.max_in_flight {
            let result = CallResult {
                ending: Ending::Skipped,
                sent: 0,
            };
            let call = EndedCall {
                operation,
                key,
                due,
                started: now,
                ended: now,
                result,
            };
            return self.recorder.record_ended(call);
        }
        let (context, started_at) = (self.context.clone(), self.started_at);
        self.calls.spawn(async move {
            let started = started_at.elapsed();
            let result = execute_call(context, operation, key.clone(), seed).await;
            EndedCall {
                operation,
                key,
                due,
                started,
                ended: started_at.elapsed(),
                result,
            }
        });
    }

    async fn finish(mut self) -> LoadReport {
        while let Some(ended) = self.calls.join_next().await {
            self.record(ended.ok());
        }
        self.recorder.finish()
    }

    fn record(&mut self, ended: Option<EndedCall>) {
        if let Some(ended) = ended {
            self.recorder.record_ended(ended);
        }
    }
}
