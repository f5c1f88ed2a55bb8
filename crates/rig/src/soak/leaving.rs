//! Check that a target which announces its leaving in its responses gets no further requests.

use std::collections::HashMap;
use std::time::Instant;

use coltsfootport_stand_ins::RequestOutcome;

use super::evidence::{DRAIN_LIMIT, overlaps};
use super::{Evidence, RequestRecord};

/// Finds requests that reached the leaving target from machines that had passed on its announcement, and were neither
/// down nor suspended since.
pub(super) fn find_requests_to_leaving(evidence: &Evidence) -> Vec<String> {
    let Some(target) = evidence.leaving else {
        return Vec::new();
    };
    let records = evidence.records.iter();
    let by_id: HashMap<&str, &RequestRecord> =
        records.map(|record| (record.id.as_str(), record)).collect();
    let known_since = announcements_passed_on(evidence);
    let is_late = |record: &RequestRecord| {
        let known = known_since.get(&record.machine);
        known.is_some_and(|since| {
            record.sent > *since + DRAIN_LIMIT
                && !overlaps(&evidence.outages, record.machine, *since, record.ended)
                && !overlaps(&evidence.stops, record.machine, *since, record.ended)
        })
    };
    let arrivals = evidence.arrivals[target].iter();
    let late = arrivals
        .filter_map(|arrival| by_id.get(arrival.id()?))
        .filter(|record| is_late(record))
        .count();
    match late {
        0 => Vec::new(),
        late => vec![format!("{late} requests reached leaving target {target}")],
    }
}

/// When each machine first passed on a response with the announcement.
fn announcements_passed_on(evidence: &Evidence) -> HashMap<usize, Instant> {
    let mut passed_on: HashMap<usize, Instant> = HashMap::new();
    for record in &evidence.records {
        if matches!(&record.asked, RequestOutcome::Answered(answer) if answer.announces_leaving()) {
            let first = passed_on.entry(record.machine).or_insert(record.ended);
            *first = record.ended.min(*first);
        }
    }
    passed_on
}
