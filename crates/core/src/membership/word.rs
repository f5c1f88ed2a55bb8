//! What a node says about itself, and which of its incarnations is believed.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::id::Incarnation;
use crate::once::Tick;

/// State that a node tells about itself on its messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeState {
    /// The node is not ready for work yet.
    Starting,
    /// The node takes work.
    Serving,
    /// The node takes no new work.
    Leaving,
}

/// What became of a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WordOutcome {
    /// The first word of an incarnation, or one that changes the state of the incarnation.
    Changed,
    /// The word confirms what was known.
    Confirmed,
    /// The word is older than what was known and is ignored.
    Stale,
}

/// Earlier incarnations remembered for each node.
const PAST_KEPT: usize = 8;

/// The words of one node.
#[derive(Clone, Debug)]
pub(super) struct Words {
    current: Word,
    heard_at: Instant,
    past: Vec<Word>,
    contender: Option<Contender>,
}

/// The last word of one incarnation.
#[derive(Clone, Copy, Debug)]
struct Word {
    incarnation: Incarnation,
    state: NodeState,
    tick: Tick,
}

/// An earlier incarnation that speaks on while the current one is silent.
#[derive(Clone, Copy, Debug)]
struct Contender {
    incarnation: Incarnation,
    since: Instant,
}

impl Words {
    pub(super) fn new(
        incarnation: Incarnation,
        state: NodeState,
        tick: Tick,
        now: Instant,
    ) -> Self {
        let current = Word {
            incarnation,
            state,
            tick,
        };
        Self {
            current,
            heard_at: now,
            past: Vec::new(),
            contender: None,
        }
    }

    pub(super) fn incarnation(&self) -> Incarnation {
        self.current.incarnation
    }

    pub(super) fn state(&self) -> NodeState {
        self.current.state
    }

    pub(super) fn heard_at(&self) -> Instant {
        self.heard_at
    }

    pub(super) fn hear(
        &mut self,
        incarnation: Incarnation,
        state: NodeState,
        tick: Tick,
        silence: Duration,
        now: Instant,
    ) -> WordOutcome {
        let word = Word {
            incarnation,
            state,
            tick,
        };
        if incarnation == self.current.incarnation {
            return self.hear_current(word, now);
        }
        match self
            .past
            .iter()
            .position(|past| past.incarnation == incarnation)
        {
            Some(index) => self.hear_past(index, word, silence, now),
            None => {
                self.replace(word, now);
                WordOutcome::Changed
            }
        }
    }

    fn hear_current(&mut self, word: Word, now: Instant) -> WordOutcome {
        if word.tick > self.current.tick {
            self.heard_at = now;
            self.contender = None;
        }
        // States of one incarnation only move forward. A delayed word `serving` that arrives after `leaving` would put
        // a node that is about to end back among the live ones, seen as calls refused by it; so the highest state wins
        // whatever the order of arrival.
        if word.state > self.current.state {
            self.current = Word {
                tick: word.tick.max(self.current.tick),
                ..word
            };
            return WordOutcome::Changed;
        }
        if word.state < self.current.state || word.tick <= self.current.tick {
            return WordOutcome::Stale;
        }
        self.current.tick = word.tick;
        WordOutcome::Confirmed
    }

    /// A word of an incarnation that was replaced is ignored, since it usually comes late.
    ///
    /// But incarnations carry no order: if the late word of a dead incarnation was the first that was heard of it, it
    /// has replaced the living one, which would then be ignored for ever, seen as an instance that gets no work. So an
    /// earlier incarnation that goes on speaking for the time of `silence`, while the current one says nothing, returns.
    fn hear_past(
        &mut self,
        index: usize,
        word: Word,
        silence: Duration,
        now: Instant,
    ) -> WordOutcome {
        if word.tick <= self.past[index].tick {
            return WordOutcome::Stale;
        }
        self.past[index].tick = word.tick;
        self.past[index].state = self.past[index].state.max(word.state);
        let contender = match self.contender {
            Some(contender) if contender.incarnation == word.incarnation => contender,
            _ => Contender {
                incarnation: word.incarnation,
                since: now,
            },
        };
        self.contender = Some(contender);
        if now.saturating_duration_since(contender.since) < silence {
            return WordOutcome::Stale;
        }
        let returning = self.past.remove(index);
        self.replace(returning, now);
        WordOutcome::Changed
    }

    fn replace(&mut self, word: Word, now: Instant) {
        if self.past.len() == PAST_KEPT {
            self.past.remove(0);
        }
        self.past.push(self.current);
        self.current = word;
        self.heard_at = now;
        self.contender = None;
    }
}
