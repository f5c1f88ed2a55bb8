//! Lifecycle transitions of the gate: ready, leaving and drained.

use std::time::Instant;

use coltsfootport_core::lifecycle::LifecycleEvent;
use coltsfootport_core::timeline::Event;
use smol_str::SmolStr;
use tokio::sync::oneshot;

use super::Gate;

impl Gate {
    pub(super) fn ready(&mut self) {
        if self.lifecycle.ready(self.clock.now()) {
            self.recorder.record(
                None,
                Event::Phase {
                    phase: SmolStr::new_static("serving"),
                },
            );
        }
    }

    pub(super) fn leave(&mut self, reply: oneshot::Sender<()>) {
        self.drain_waiters.push(reply);
        if self.lifecycle.leave(self.clock.now()) {
            self.recorder.record(
                None,
                Event::Phase {
                    phase: SmolStr::new_static("leaving"),
                },
            );
        }
    }

    pub(super) fn poll_lifecycle(&mut self, now: Instant) {
        while let Some(event) = self.lifecycle.poll(now) {
            if matches!(event, LifecycleEvent::Drained) {
                for reply in self.drain_waiters.drain(..) {
                    let _ = reply.send(());
                }
            }
            let _ = self.lifecycle_events.send(event);
        }
    }
}
