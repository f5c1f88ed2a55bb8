//! The settings file, read again on a signal and when it has changed.

use std::path::PathBuf;
use std::time::Duration;

use slog::{Logger, error, info, warn};
use tokio::sync::watch;
use tokio::time::interval;

use crate::mesh::settings::MeshSettings;

/// Time between looks at the file: it may change without a signal.
const LOOK: Duration = Duration::from_millis(1000);

/// Reads the file again and hands out settings that hold.
pub struct SettingsFile {
    /// Where it stands.
    pub path: PathBuf,
    /// Its text as read last.
    pub text: String,
    /// Settings in force.
    pub tx: watch::Sender<MeshSettings>,
    /// Log.
    pub log: Logger,
}

impl SettingsFile {
    /// Looks at the file for as long as the process lives; `hup` tells of signals.
    pub async fn run(mut self, mut hup: watch::Receiver<u64>) {
        let mut looks = interval(LOOK);
        loop {
            tokio::select! {
                _ = looks.tick() => self.look(false),
                changed = hup.changed() => match changed {
                    Ok(()) => self.look(true),
                    Err(_) => return,
                },
            }
        }
    }

    /// Settings that can't be used leave those in force as they are, whole.
    fn look(&mut self, asked: bool) {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(e) if asked => {
                return error!(self.log, "settings can't be read"; "reason" => e.to_string());
            }
            // The file may be between two versions; the next look finds it.
            Err(_) => return,
        };
        if text == self.text {
            if asked {
                info!(self.log, "settings reloaded"; "changed" => false);
            }
            return;
        }
        match MeshSettings::parse(&text) {
            Ok((settings, warnings)) => {
                for fault in warnings {
                    warn!(self.log, "setting replaced by its default"; "fault" => fault.to_string());
                }
                let later = self.tx.borrow().at_next_start(&settings).join(" ");
                info!(self.log, "settings reloaded"; "changed" => true, "at_next_start" => later);
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
