//! A record as a line for people.

use std::fmt::Write;

use serde_json::Value;

use super::record::Record;
use super::stamp::Stamp;

const MS_PER_DAY: u64 = 24 * 60 * 60 * 1000;

/// One line: UTC time with counter, node, request id or `-`, event and its fields as `name=value`.
///
/// Control characters in text of others are escaped, so that the line stays one line.
pub fn render(record: &Record) -> String {
    let mut line = utc(record.at);
    let request = record
        .request
        .map_or_else(|| "-".to_owned(), |request| request.to_string());
    let kind = record.event.kind();
    let node = record.node.as_str().escape_debug();
    // Writing to a string can't fail.
    let _ = write!(line, " {node} {request} {kind}");
    if let Ok(Value::Object(fields)) = serde_json::to_value(&record.event) {
        for (name, value) in fields.iter().filter(|(name, _)| *name != "kind") {
            let _ = write!(line, " {name}={}", shown(value));
        }
    }
    line
}

fn shown(value: &Value) -> String {
    match value {
        Value::String(text) => format!("\"{}\"", text.escape_debug()),
        value => value.to_string(),
    }
}

fn utc(at: Stamp) -> String {
    let (year, month, day) = civil_date(at.wall_ms / MS_PER_DAY);
    let in_day = at.wall_ms % MS_PER_DAY;
    let (hour, minute) = (in_day / 3_600_000, in_day / 60_000 % 60);
    let (second, milli) = (in_day / 1000 % 60, in_day % 1000);
    let counter = at.counter;
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{milli:03}Z+{counter}")
}

/// Year, month and day of a number of days since the Unix epoch, in the Gregorian calendar.
///
/// The year is counted from 1 March, so that the leap day is its last; 400 years have 146,097 days.
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
