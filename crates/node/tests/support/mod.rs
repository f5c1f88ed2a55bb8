//! Helpers shared by several integration tests.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

use serde_json::Value;

/// Writer that sends all bytes to a channel.
pub struct ChannelWriter(Sender<Vec<u8>>);

/// Creates a writer for a log and the receiver of the written bytes.
pub fn channel_writer() -> (ChannelWriter, Receiver<Vec<u8>>) {
    let (tx, rx) = channel();
    (ChannelWriter(tx), rx)
}

/// Parses all written lines as JSON; blocks until the writer is dropped.
pub fn read_json_lines(rx: Receiver<Vec<u8>>) -> Vec<Value> {
    let text = rx.into_iter().flatten().collect::<Vec<_>>();
    let lines = text
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty());
    lines
        .map(|line| serde_json::from_slice(line).unwrap())
        .collect()
}

impl Write for ChannelWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.send(bytes.to_vec()).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
