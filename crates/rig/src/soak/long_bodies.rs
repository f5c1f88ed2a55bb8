//! Long uploads and downloads, and the checks of what targets and callers get of them.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::PoisonError;
use std::time::{Duration, Instant};

use coltsfootport_stand_ins::{Caller, RequestOutcome, long_text};
use serde::Serialize;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

use super::callers::{ANSWER_TOLERANCE, LoadState, request};
use super::evidence::any_overlaps;
use super::lost::GRACE;
use super::{Evidence, Key, RequestKind, RequestRecord};

/// Prefix of the paths of uploads.
pub const UPLOAD_PREFIX: &str = "/upload/";

/// Prefix of the paths of downloads.
pub const DOWNLOAD_PREFIX: &str = "/download/";

/// Bytes of each upload and download.
pub const LONG_BODY: usize = 300_000;

/// Pause of a target before each 8 KiB of an upload, so that the body takes 0.9 s.
pub const SLOW_READ_PAUSE: Duration = Duration::from_millis(25);

/// Pause of a target before each 16 KiB of a download, so that the body takes 3.4 s: longer than the 2.5 s for
/// which a stopping node stays that has nothing open.
pub const SLOW_WRITE_PAUSE: Duration = Duration::from_millis(180);

/// Timeout of the routes of uploads and downloads in seconds.
pub const LONG_TIMEOUT_S: u64 = 5;

/// Number of bodies at work when a node stops; the smallest with an upload of each kind at the node that stops.
pub const BODIES_PER_STOP: usize = 24;

/// Time limit of a caller for its answer, from the last part of its request on.
const ANSWER_LIMIT: Duration = Duration::from_secs(LONG_TIMEOUT_S).saturating_add(ANSWER_TOLERANCE);

/// Bytes in each part of an upload.
const PART: usize = 20_000;

/// Pause of a caller after each part but the last one, so that the body takes 1.1 s.
const PART_PAUSE: Duration = Duration::from_millis(80);

/// Number of parts after which a caller that does not finish its upload stops sending.
const UNFINISHED_PARTS: usize = 10;

/// A long upload or download, sent to one machine. Its number decides on the kind: a half are downloads. Of the uploads
/// a half is chunked, a third is left unfinished on an open connection, and a third ends with its connection.
#[derive(Clone, Copy, Debug)]
pub struct LongBody {
    /// Index of the machine.
    pub machine: usize,
    /// Caller address of the machine's node.
    pub address: SocketAddr,
    /// Number of the body within the run.
    pub number: usize,
}

/// How an upload ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// With its last part.
    Finished,
    /// The caller sends nothing more and waits for an answer.
    Silent,
    /// The caller closes the connection.
    Closed,
}

impl LongBody {
    /// Returns whether the body is an upload. The last bit of the number tells where it enters.
    pub fn is_upload(self) -> bool {
        self.number / 2 % 2 == 1
    }

    /// Sends the request and records its outcome.
    pub async fn send(self, shared: &LoadState) {
        let Some(mut caller) = Caller::try_connect(self.address, Duration::from_secs(1)).await
        else {
            return;
        };
        let id = format!("long{}", self.number);
        let sent = Instant::now();
        let (kind, asked) = match self.is_upload() {
            false => {
                let text = request(RequestKind::Download, Key::Lasting, &id);
                let asked = caller.request(&text, ANSWER_LIMIT).await;
                (RequestKind::Download, asked)
            }
            true => self.upload(caller, &id).await,
        };
        let record = RequestRecord {
            id,
            kind,
            key: Key::Lasting,
            machine: self.machine,
            sent,
            ended: Instant::now(),
            asked,
        };
        let records = shared.records.lock();
        records.unwrap_or_else(PoisonError::into_inner).push(record);
    }

    async fn upload(self, mut caller: Caller, id: &str) -> (RequestKind, RequestOutcome) {
        let chunked = (self.number / 4).is_multiple_of(2);
        let end = match self.number / 8 % 3 {
            0 => End::Finished,
            1 => End::Silent,
            _ => End::Closed,
        };
        let unfinished = RequestKind::Upload { finished: false };
        let framing = match chunked {
            true => String::from("Transfer-Encoding: chunked\r\n\r\n"),
            false => format!("Content-Length: {LONG_BODY}\r\n\r\n"),
        };
        let head = request(unfinished, Key::Lasting, id);
        let head = format!(
            "{}{framing}",
            head.trim_end_matches('\n').trim_end_matches('\r')
        );
        let mut parts = vec![head];
        let body = long_text(id, LONG_BODY);
        parts.extend(body.as_bytes().chunks(PART).map(|part| {
            let part = String::from_utf8_lossy(part);
            match chunked {
                true => format!("{:x}\r\n{part}\r\n", part.len()),
                false => part.into_owned(),
            }
        }));
        let last = parts.pop().unwrap_or_default();
        let last = if chunked { last + "0\r\n\r\n" } else { last };
        if end != End::Finished {
            parts.truncate(UNFINISHED_PARTS);
        }
        for part in parts {
            if caller.stream.write_all(part.as_bytes()).await.is_err() {
                return (unfinished, caller.request("", ANSWER_LIMIT).await);
            }
            sleep(PART_PAUSE).await;
        }
        match end {
            End::Finished => (
                RequestKind::Upload { finished: true },
                caller.request(&last, ANSWER_LIMIT).await,
            ),
            End::Silent => (unfinished, caller.request("", ANSWER_LIMIT).await),
            End::Closed => (unfinished, RequestOutcome::Closed),
        }
    }
}

/// What became of the long bodies of a run.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LongBodyCounts {
    /// Uploads whose callers sent the last part.
    pub finished_uploads: usize,
    /// Uploads whose callers did not.
    pub unfinished_uploads: usize,
    /// Uploads that targets ran.
    pub uploads_run: usize,
    /// Downloads that arrived whole.
    pub whole_downloads: usize,
    /// Downloads that ended within their body.
    pub cut_downloads: usize,
}

impl LongBodyCounts {
    /// Counts the long bodies in the observations of a run.
    pub fn of(evidence: &Evidence) -> Self {
        let mut counts = Self::default();
        let mut uploads = HashSet::new();
        for record in &evidence.records {
            match (record.kind, &record.asked) {
                (RequestKind::Upload { finished }, _) => {
                    counts.finished_uploads += usize::from(finished);
                    counts.unfinished_uploads += usize::from(!finished);
                    uploads.insert(record.id.as_str());
                }
                (RequestKind::Download, RequestOutcome::Answered(answer))
                    if answer.status == 200 =>
                {
                    counts.whole_downloads += usize::from(answer.whole);
                    counts.cut_downloads += usize::from(!answer.whole);
                }
                _ => {}
            }
        }
        let arrivals = evidence.arrivals.iter().flatten().filter(|one| one.ran);
        let run = arrivals.filter(|one| one.id().is_some_and(|id| uploads.contains(id)));
        counts.uploads_run = run.count();
        counts
    }
}

/// Finds uploads that a target ran although their caller did not finish them, or with other bytes.
pub(super) fn find_wrong_uploads(evidence: &Evidence) -> Vec<String> {
    let uploads: HashMap<&str, bool> = evidence
        .records
        .iter()
        .filter_map(|record| match record.kind {
            RequestKind::Upload { finished } => Some((record.id.as_str(), finished)),
            _ => None,
        })
        .collect();
    let arrivals = evidence.arrivals.iter().flatten().filter(|one| one.ran);
    let wrong = arrivals.filter_map(|arrival| {
        let id = arrival.id()?;
        let finished = *uploads.get(id)?;
        if !finished {
            return Some(format!("{id} ran although its caller did not finish it"));
        }
        let other = arrival.body != long_text(id, LONG_BODY);
        other.then(|| format!("{id} ran with other bytes: {}", arrival.body.len()))
    });
    wrong.collect()
}

/// Returns whether only a planned stop, within its grace period, explains why a response was truncated.
pub(super) fn is_truncated_by_stop(evidence: &Evidence, record: &RequestRecord) -> bool {
    let RequestRecord { sent, ended, .. } = *record;
    let mut stops = evidence.stops.iter();
    let stopping =
        stops.any(|stop| stop.from <= ended && ended <= stop.from + GRACE && stop.to >= sent);
    let at_deadline = ended.saturating_duration_since(sent) >= Duration::from_secs(LONG_TIMEOUT_S);
    stopping
        && !at_deadline
        && !any_overlaps(&evidence.outages, sent, ended)
        && !any_overlaps(&evidence.impairments, sent, ended)
}
