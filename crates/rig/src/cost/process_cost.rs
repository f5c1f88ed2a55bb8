//! Processor time and memory of a process, read from `/proc`.

use std::fs;
use std::time::Duration;

use crate::error::RigError;

/// Clock ticks per second in `/proc/PID/stat`; the same on every Linux machine.
const TICKS_PER_SECOND: f64 = 100.0;

/// Index of `utime` among the fields of `/proc/PID/stat` that follow the program name.
const UTIME_INDEX: usize = 11;

/// Index of `stime` among the fields of `/proc/PID/stat` that follow the program name.
const STIME_INDEX: usize = 12;

/// User and system time that the process has used so far.
pub(super) fn processor_time(pid: i32) -> Result<Duration, RigError> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The program name is in parentheses and may contain spaces.
    let fields = text.rsplit_once(')').map_or("", |(_, fields)| fields);
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|ticks| ticks.parse::<f64>().ok())
    };
    match (ticks(UTIME_INDEX), ticks(STIME_INDEX)) {
        (Some(user), Some(system)) => {
            Ok(Duration::from_secs_f64((user + system) / TICKS_PER_SECOND))
        }
        _ => Err(RigError::Settings(format!(
            "/proc/{pid}/stat has no valid utime and stime"
        ))),
    }
}

/// Resident memory of the process in KiB.
pub(super) fn resident_kib(pid: i32) -> Result<f64, RigError> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
    kib.ok_or_else(|| RigError::Settings(format!("/proc/{pid}/status has no valid VmRSS")))
}
