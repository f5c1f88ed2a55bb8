//! Reloads the settings file on SIGHUP and when it has changed.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use slog::{Logger, error, info, warn};
use tokio::sync::watch;
use tokio::time::{Interval, interval};

use crate::clock::SharedClock;
use crate::mesh::settings::MeshSettings;

/// Interval at which the file is checked for changes, since it may change without a SIGHUP.
const POLL_INTERVAL: Duration = Duration::from_millis(1000);

/// Reloads the settings file and publishes valid settings.
pub struct SettingsFile {
    path: PathBuf,
    /// Content of the file when it was last read.
    text: String,
    /// Longest recent grace period before the latest change of the settings, and the time of that change.
    previous_grace: Option<(Duration, Instant)>,
    tx: watch::Sender<MeshSettings>,
    polls: Interval,
    clock: SharedClock,
    log: Logger,
}

impl SettingsFile {
    /// Creates the reloader of the file at `path`, whose content was `text`; `tx` publishes the settings in force.
    pub fn new(
        path: PathBuf,
        text: String,
        tx: watch::Sender<MeshSettings>,
        clock: SharedClock,
        log: Logger,
    ) -> Self {
        Self {
            path,
            text,
            previous_grace: None,
            tx,
            polls: interval(POLL_INTERVAL),
            clock,
            log,
        }
    }

    /// Grace period of the settings in force.
    pub fn grace(&self) -> Duration {
        self.tx.borrow().grace
    }

    /// Longest grace period that was in force within the last [`POLL_INTERVAL`], or within that time of a change that
    /// followed sooner. A change that was made after a signal may be read before the signal is received.
    pub fn recent_grace(&self) -> Duration {
        let now = self.clock.now();
        let recent = self
            .previous_grace
            .filter(|(_, changed)| now.saturating_duration_since(*changed) < POLL_INTERVAL);
        recent.map_or(self.grace(), |(previous, _)| previous.max(self.grace()))
    }

    /// Waits until the next check is due, and reloads the file. Cancel safe.
    pub async fn poll(&mut self) {
        self.polls.tick().await;
        self.reload(false);
    }

    /// Reads the file and applies its settings if the content has changed. Invalid settings are rejected as a whole,
    /// and the settings in force stay.
    ///
    /// With `on_signal`, an unreadable or unchanged file is logged too.
    pub fn reload(&mut self, on_signal: bool) {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(e) if on_signal => {
                return error!(self.log, "cannot read settings file"; "reason" => e.to_string());
            }
            // The file may be missing while it is replaced; the next poll reads the new version.
            Err(_) => return,
        };
        if text == self.text {
            if on_signal {
                info!(self.log, "settings reloaded"; "changed" => false);
            }
            return;
        }
        match MeshSettings::parse(&text) {
            Ok((settings, warnings)) => {
                for fault in warnings {
                    warn!(self.log, "setting replaced by its default"; "fault" => fault.to_string());
                }
                let deferred = self.tx.borrow().at_next_start(&settings).join(" ");
                info!(self.log, "settings reloaded"; "changed" => true, "at_next_start" => deferred);
                self.previous_grace = Some((self.recent_grace(), self.clock.now()));
                self.tx.send_replace(settings);
            }
            Err(faults) => {
                for fault in faults {
                    error!(self.log, "settings refused, the old ones stay"; "fault" => fault.to_string());
                }
            }
        }
        self.text = text;
    }
}
