//! What several test programs need.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

use serde_json::Value;

/// Sends what is written to the test.
pub struct Out(Sender<Vec<u8>>);

/// A sink for a log, and where what was written arrives.
pub fn sink() -> (Out, Receiver<Vec<u8>>) {
    let (tx, rx) = channel();
    (Out(tx), rx)
}

/// All lines of JSON that were written; waits until the log has ended.
pub fn lines_of(rx: Receiver<Vec<u8>>) -> Vec<Value> {
    let text = rx.into_iter().flatten().collect::<Vec<_>>();
    let lines = text
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty());
    lines
        .map(|line| serde_json::from_slice(line).unwrap())
        .collect()
}

impl Write for Out {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.send(bytes.to_vec()).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
