//! Processor time and memory of a process, as the system counts them.

use std::fs;
use std::time::Duration;

use crate::error::RigError;

/// Clock ticks a second in which `/proc/PID/stat` counts; the same on all machines with Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Position of `utime` and `stime` behind the name of the program.
const UTIME: usize = 11;
const STIME: usize = 12;

/// User and system time so far.
pub(super) fn processor_time(pid: i32) -> Result<Duration, RigError> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The program's name is in brackets and may hold spaces.
    let fields = text.rsplit_once(')').map_or("", |(_, fields)| fields);
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|ticks| ticks.parse::<f64>().ok())
    };
    match (ticks(UTIME), ticks(STIME)) {
        (Some(user), Some(system)) => {
            Ok(Duration::from_secs_f64((user + system) / TICKS_PER_SECOND))
        }
        _ => Err(RigError::Settings(format!(
            "/proc/{pid}/stat can't be read"
        ))),
    }
}

/// Resident memory in KiB.
pub(super) fn resident_kib(pid: i32) -> Result<f64, RigError> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
    kib.ok_or_else(|| RigError::Settings(format!("/proc/{pid}/status has no VmRSS")))
}
