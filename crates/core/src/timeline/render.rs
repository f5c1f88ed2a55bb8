//! Human-readable rendering of timeline records.

use std::fmt::Write;

use serde_json::Value;

use super::record::Record;
use super::stamp::Stamp;

const MS_PER_DAY: u64 = 24 * 60 * 60 * 1000;

/// Formats a record as one line: UTC time with counter, node, request ID or `-`, event kind and fields as `name=value`.
///
/// Control characters in the node name and in fields are escaped, so that the output always is a single line.
pub fn render(record: &Record) -> String {
    let mut line = format_utc(record.at);
    let request = record
        .request
        .map_or_else(|| "-".to_owned(), |request| request.to_string());
    let kind = record.event.kind();
    let node = record.node.as_str().escape_debug();
    // Writing to a `String` never fails.
    let _ = write!(line, " {node} {request} {kind}");
    if let Ok(Value::Object(fields)) = serde_json::to_value(&record.event) {
        for (name, value) in fields.iter().filter(|(name, _)| *name != "kind") {
            let _ = write!(line, " {name}={}", format_value(value));
        }
    }
    line
}

fn format_value(value: &Value) -> String {
    match value {
        Value::String(text) => format!("\"{}\"", text.escape_debug()),
        value => value.to_string(),
    }
}

fn format_utc(at: Stamp) -> String {
    let (year, month, day) = civil_date(at.wall_ms / MS_PER_DAY);
    let ms_of_day = at.wall_ms % MS_PER_DAY;
    let (hour, minute) = (ms_of_day / 3_600_000, ms_of_day / 60_000 % 60);
    let (second, milli) = (ms_of_day / 1000 % 60, ms_of_day % 1000);
    let counter = at.counter;
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{milli:03}Z+{counter}")
}

/// Converts days since the Unix epoch to year, month and day of the Gregorian calendar.
///
/// Years are counted from 1 March, which makes the leap day the last day of the year. An era of 400 years has 146,097
/// days.
fn civil_date(days: u64) -> (u64, u64, u64) {
    const DAYS_0000_03_01_TO_EPOCH: u64 = 719_468;
    const DAYS_PER_ERA: u64 = 146_097;
    let days = days + DAYS_0000_03_01_TO_EPOCH;
    let era = days / DAYS_PER_ERA;
    let day_of_era = days % DAYS_PER_ERA;
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let march_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * march_month + 2) / 5 + 1;
    let month = if march_month < 10 {
        march_month + 3
    } else {
        march_month - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
