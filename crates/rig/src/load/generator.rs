//! Starts calls at their time and collects their ends.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::{JoinSet, yield_now};

use crate::error::RigError;
use crate::http::Client;
use crate::load::call::{CallEnd, Caller, perform};
use crate::load::recorder::{EndedCall, Recorder};
use crate::load::token_pool::TokenPool;
use crate::load::{Arrivals, Ending, LoadPlan, LoadReport, Stage};
use crate::timer;

/// Runs the plan to its end and waits for the calls that are still in flight.
pub async fn run(plan: LoadPlan) -> Result<LoadReport, RigError> {
    plan.check()?;
    let mut generator = Generator::new(plan, Instant::now())?;
    let mut due = Duration::ZERO;
    let mut stage_end = Duration::ZERO;
    for stage in generator.caller.plan.stages.clone() {
        let stage_start = stage_end;
        stage_end += Duration::from_secs_f64(stage.seconds);
        due = due.max(stage_start);
        while let Some(gap) = generator.gap(stage).filter(|gap| due + *gap < stage_end) {
            due += gap;
            generator.wait_until(due).await;
            generator.start_call(due);
        }
        generator.wait_until(stage_end).await;
        // Gaps of the next stage count from its start.
        due = stage_end;
    }
    Ok(generator.finish().await)
}

struct Generator {
    caller: Caller,
    started_at: Instant,
    rng: StdRng,
    mix: WeightedIndex<u32>,
    recorder: Recorder,
    calls: JoinSet<EndedCall>,
    serial: u64,
}

impl Generator {
    fn new(plan: LoadPlan, started_at: Instant) -> Result<Self, RigError> {
        let mix = WeightedIndex::new(plan.operations.iter().map(|operation| operation.weight));
        let mix = mix.map_err(|e| RigError::Settings(e.to_string()))?;
        let client = Client::default();
        let tokens = TokenPool::start(client.clone(), plan.entries.clone());
        Ok(Self {
            rng: StdRng::seed_from_u64(plan.seed),
            recorder: Recorder::new(&plan),
            caller: Caller {
                plan: Arc::new(plan),
                client,
                tokens,
            },
            started_at,
            mix,
            calls: JoinSet::new(),
            serial: 0,
        })
    }

    /// Time to the next call; `None` where the stage has none.
    fn gap(&mut self, stage: Stage) -> Option<Duration> {
        if stage.rate <= 0.0 {
            return None;
        }
        let drawn = match self.caller.plan.arrivals {
            Arrivals::Even => 1.0,
            Arrivals::Poisson => -(1.0 - self.rng.random::<f64>()).ln(),
        };
        Duration::try_from_secs_f64(drawn / stage.rate).ok()
    }

    async fn wait_until(&mut self, due: Duration) {
        // A generator that is behind never sleeps below. Without this its calls would not run until it has caught up.
        yield_now().await;
        let due = self.started_at + due;
        while Instant::now() < due {
            tokio::select! {
                () = timer::sleep_until(due) => return,
                Some(ended) = self.calls.join_next() => self.record(ended.ok()),
            }
        }
        // A generator that is behind must still take the ends of calls, or its in-flight bound would skip calls.
        while let Some(ended) = self.calls.try_join_next() {
            self.record(ended.ok());
        }
    }

    fn start_call(&mut self, due: Duration) {
        let operation = self.mix.sample(&mut self.rng);
        let seed = self.rng.random();
        self.serial += 1;
        let key = format!("{}-{}", self.caller.plan.key_prefix, self.serial);
        let now = self.started_at.elapsed();
        self.recorder
            .on_due(operation, due, now.saturating_sub(due));

        if self.calls.len() >= self.caller.plan.max_in_flight {
            let end = CallEnd {
                ending: Ending::Skipped,
                sent: 0,
            };
            let call = EndedCall {
                operation,
                key,
                due,
                started: now,
                ended: now,
                end,
            };
            return self.recorder.on_ended(call);
        }
        let (caller, started_at) = (self.caller.clone(), self.started_at);
        self.calls.spawn(async move {
            let started = started_at.elapsed();
            let end = perform(caller, operation, key.clone(), seed).await;
            EndedCall {
                operation,
                key,
                due,
                started,
                ended: started_at.elapsed(),
                end,
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
            self.recorder.on_ended(ended);
        }
    }
}
