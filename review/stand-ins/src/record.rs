//! The record of a run: what was sent, answered and run, with the time since its start.

use std::fs::{self, File};
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Writes lines to `record.txt`. Clones share the file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the record in this folder, in place of an earlier one.
    ///
    /// # Panics
    ///
    /// The file can't be created.
    pub fn create(folder: &Path) -> Self {
        fs::create_dir_all(folder).expect("folder of the case");
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        writeln!(file, "{at:8.3} {text}").expect("record.txt written");
    }

    /// Adds a line that is printed as well.
    pub fn result(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
