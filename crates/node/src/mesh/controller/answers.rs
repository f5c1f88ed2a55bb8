//! Ends of long answers.

use std::time::Duration;

use coltsfootport_core::mesh::Ticket;

use super::{AnswerEnd, AnswerOf, Controller};

impl Controller {
    /// Records that a long answer has ended.
    pub(super) fn end_answer(&mut self, ended: AnswerEnd) {
        let AnswerEnd { of, took, cleared } = ended;
        if let Some(fingerprint) = cleared {
            self.record_answer(fingerprint, self.clock.now());
        }
        match of {
            AnswerOf::Run(ticket) => self.end_answering_run(ticket, took),
            AnswerOf::Route(name) => {
                if let (Some(stats), Some(took)) = (self.route_stats.get_mut(&name), took) {
                    stats.long_answers.record(took);
                }
            }
        }
    }

    fn end_answering_run(&mut self, ticket: Ticket, took: Option<Duration>) {
        let now = self.clock.now();
        if let (Some(run), Some(took)) = (self.runs.remove(ticket), took) {
            self.gate.record_completion(run.kind, took);
        }
        self.end_isolation(ticket, now);
        self.start_queued(now);
    }
}
