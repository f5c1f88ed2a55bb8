//! Requests and replies by which nodes reconcile their published entries and instance lists.

use std::time::{Duration, Instant};

use coltsfootport_core::dissemination::{Comparison, Digest, Entry, Key, KeyVersion, Revision};
use coltsfootport_core::id::{Incarnation, NodeName};
use coltsfootport_core::membership::{ListDelta, NodeState};
use coltsfootport_core::once::Tick;
use smol_str::SmolStr;

use super::{SpreadTask, StateReport};
use crate::wire::{
    ControlReply, ControlRequest, DigestFrame, EntryFrame, NewsFrame, StateReportFrame,
    VersionFrame,
};

impl SpreadTask {
    /// Handles a request from a peer and returns the reply.
    pub(super) fn handle_request(&mut self, request: ControlRequest) -> ControlReply {
        match request {
            ControlRequest::Digest(theirs) => {
                let own = self.digest_frame();
                self.reconcile_digest(&theirs);
                ControlReply::Digest(own)
            }
            ControlRequest::PullSince(after) => ControlReply::Entries {
                entries: entry_frames(&self.replica.entries_since(Revision(after))),
                complete: Some(self.replica.complete().0),
            },
            ControlRequest::PullKeys(keys) => ControlReply::Entries {
                entries: entry_frames(&self.replica.entries_for(&into_keys(keys))),
                complete: None,
            },
            ControlRequest::Versions(theirs) => {
                let theirs: Vec<_> = theirs.into_iter().map(KeyVersion::from).collect();
                let own = self
                    .replica
                    .versions()
                    .iter()
                    .map(VersionFrame::from)
                    .collect();
                self.apply_difference(None, &theirs);
                ControlReply::Versions(own)
            }
            ControlRequest::PullList(after) => {
                ControlReply::List(self.view.delta_since(Revision(after)))
            }
            ControlRequest::News(news) => {
                self.handle_news(news);
                ControlReply::Done
            }
            ControlRequest::Entries(entries) => {
                self.apply_from_peer(entries, None);
                ControlReply::Done
            }
            ControlRequest::StateReports(reports) => {
                reports
                    .into_iter()
                    .map(StateReport::from)
                    .for_each(|report| self.record_state_report(report));
                ControlReply::Done
            }
            ControlRequest::Greet(_)
            | ControlRequest::Ping
            | ControlRequest::Announce(_)
            | ControlRequest::Refuse { .. } => ControlReply::Done,
        }
    }

    /// Applies a peer's reply to an earlier request.
    pub(super) fn handle_reply(&mut self, node: &NodeName, reply: ControlReply) {
        match reply {
            ControlReply::Digest(theirs) => {
                if theirs.state_report.state == NodeState::Serving
                    && self.startup_responders.insert(node.clone())
                {
                    self.start_up.record_peer_digest(&theirs.digest);
                }
                self.reconcile_digest(&theirs);
            }
            ControlReply::Entries { entries, complete } => {
                self.apply_from_peer(entries, complete.map(Revision));
            }
            ControlReply::Versions(theirs) => {
                let theirs: Vec<_> = theirs.into_iter().map(KeyVersion::from).collect();
                self.apply_difference(Some(node), &theirs);
            }
            ControlReply::List(delta) => self.apply_list_delta(delta),
            ControlReply::Hello(_) | ControlReply::Refuse(_) | ControlReply::Done => {}
        }
    }

    /// Summarizes this node's replica, instance list and read ages for comparison by a peer.
    pub(super) fn digest_frame(&self) -> DigestFrame {
        let now = self.now();
        DigestFrame {
            state_report: StateReportFrame::from(&self.own_state_report()),
            digest: self.replica.digest(),
            list_revision: self.view.revision().0,
            config_age_ms: self.config_reads.read_age(now).map(whole_millis),
            list_age_ms: self.list_reads.read_age(now).map(whole_millis),
        }
    }

    /// Compares a peer's digest with the local replica and list, and requests what is newer or different at the peer.
    fn reconcile_digest(&mut self, theirs: &DigestFrame) {
        let now = self.now();
        let node = NodeName(theirs.state_report.node.clone());
        self.record_state_report(StateReport::from(theirs.state_report.clone()));
        self.record_peer_read_ages(theirs, now);
        if theirs.list_revision > self.view.revision().0 {
            self.send_request(&node, ControlRequest::PullList(self.view.revision().0));
        }
        match self.replica.compare(&theirs.digest) {
            Comparison::PeerIsNewer => {
                self.send_request(&node, ControlRequest::PullSince(self.replica.complete().0));
            }
            Comparison::Differ => self.request_versions(&node, &theirs.digest),
            // A peer that is behind finds this out from this node's digest and pulls.
            Comparison::Same | Comparison::PeerIsOlder => {}
        }
    }

    /// Counts a peer's recent platform reads as reads of this node, so that it need not read by itself.
    ///
    /// Configuration reads count only once the node is ready, list reads only once it has an instance list. Without the list
    /// it has no peers to pull from; if peers that contact it first postponed its own reads, it would stay in startup while
    /// all other nodes serve.
    fn record_peer_read_ages(&mut self, theirs: &DigestFrame, now: Instant) {
        if let Some(age) = theirs.config_age_ms.filter(|_| self.is_ready()) {
            self.config_reads
                .record_peer_read_age(Duration::from_millis(age), now);
        }
        if let Some(age) = theirs.list_age_ms.filter(|_| !self.view.is_empty()) {
            self.list_reads
                .record_peer_read_age(Duration::from_millis(age), now);
        }
    }

    fn request_versions(&mut self, node: &NodeName, digest: &Digest) {
        self.version_exchange = Some(*digest);
        let versions = self
            .replica
            .versions()
            .iter()
            .map(VersionFrame::from)
            .collect();
        self.send_request(node, ControlRequest::Versions(versions));
    }

    /// Reconciles with a peer whose digest differs although its highest revision is the same.
    ///
    /// Only the side that requested the versions acts: it pulls the keys it wants and pushes the entries that the peer
    /// lacks. `peer` is `None` on the side that received the request.
    fn apply_difference(&mut self, peer: Option<&NodeName>, theirs: &[KeyVersion]) {
        let (Some(node), Some(digest)) = (peer, self.version_exchange.take()) else {
            return;
        };
        let difference = self.replica.difference(&digest, theirs);
        if !difference.to_pull.is_empty() {
            let keys = difference.to_pull.into_iter().map(|key| key.0).collect();
            self.send_request(node, ControlRequest::PullKeys(keys));
        }
        if !difference.to_push.is_empty() {
            let entries = entry_frames(&self.replica.entries_for(&difference.to_push));
            self.send_request(node, ControlRequest::Entries(entries));
        }
    }

    fn handle_news(&mut self, news: NewsFrame) {
        let now = self.now();
        let from = NodeName(news.node);
        if !news.entries.is_empty() {
            self.apply_from_peer(news.entries, None);
        }
        let notices: Vec<_> = news.notices.into_iter().map(KeyVersion::from).collect();
        let wanted: Vec<SmolStr> = self
            .replica
            .missing_locally(&notices)
            .into_iter()
            .filter(|key| {
                let notice = notices.iter().find(|notice| notice.key == *key);
                notice.is_some_and(|notice| self.pulls.request(key, notice.revision, &from, now))
            })
            .map(|key| key.0)
            .collect();
        if !wanted.is_empty() {
            self.send_request(&from, ControlRequest::PullKeys(wanted));
        }
    }

    /// Applies entries received from a peer, up to `MAX_REPLICA_BYTES`.
    ///
    /// Entries from peers carry no proof that the platform published them, so without this limit one peer could exhaust the
    /// memory of every node. Reads from the platform are not limited and deliver the entries that are dropped here.
    fn apply_from_peer(&mut self, entries: Vec<EntryFrame>, complete: Option<Revision>) {
        if entries.is_empty() {
            self.apply(Vec::new(), complete);
            return;
        }
        let sent = entries.len();
        let mut remaining = MAX_REPLICA_BYTES.saturating_sub(self.replica.bytes());
        let mut taken = Vec::new();
        for entry in entries {
            let bytes = entry.key.len() + entry.value.len();
            if bytes <= remaining {
                remaining -= bytes;
                taken.push(Entry::from(entry));
            }
        }
        let all_taken = taken.len() == sent;
        self.apply(taken, complete.filter(|_| all_taken));
    }

    fn apply_list_delta(&mut self, delta: ListDelta) {
        let now = self.now();
        self.view.apply_delta(delta, now);
        self.view_changed();
    }

    /// Retries overdue pulls at another node that announced the entry.
    pub(super) fn retry_pulls(&mut self, now: Instant) {
        for retry in self.pulls.take_retries(now) {
            self.send_request(&retry.from, ControlRequest::PullKeys(vec![retry.key.0]));
        }
    }
}

/// Size of the replica in bytes above which entries from peers are dropped.
const MAX_REPLICA_BYTES: usize = 16 * 1024 * 1024;

fn entry_frames(entries: &[Entry]) -> Vec<EntryFrame> {
    entries.iter().map(EntryFrame::from).collect()
}

fn into_keys(keys: Vec<SmolStr>) -> Vec<Key> {
    keys.into_iter().map(Key).collect()
}

fn whole_millis(age: Duration) -> u64 {
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

impl From<StateReportFrame> for StateReport {
    fn from(frame: StateReportFrame) -> Self {
        Self {
            node: NodeName(frame.node),
            incarnation: Incarnation(frame.incarnation),
            state: frame.state,
            tick: Tick(frame.tick),
            revision: 0,
        }
    }
}

impl From<&StateReport> for StateReportFrame {
    fn from(report: &StateReport) -> Self {
        Self {
            node: report.node.0.clone(),
            incarnation: report.incarnation.0,
            state: report.state,
            tick: report.tick.0,
        }
    }
}
