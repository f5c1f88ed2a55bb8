//! Requests and replies between nodes about what is published.

use std::time::{Duration, Instant};

use coltsfootport_core::dissemination::{Comparison, Digest, Entry, Key, KeyVersion, Revision};
use coltsfootport_core::id::{Incarnation, NodeName};
use coltsfootport_core::membership::{ListDelta, NodeState};
use coltsfootport_core::once::Tick;
use smol_str::SmolStr;

use super::{Spread, Word};
use crate::wire::{
    ControlReply, ControlRequest, DigestFrame, EntryFrame, NewsFrame, VersionFrame, WordFrame,
};

impl Spread {
    /// Answers a peer's request.
    pub(super) fn answer(&mut self, request: ControlRequest) -> ControlReply {
        match request {
            ControlRequest::Digest(theirs) => {
                let own = self.digest_frame();
                self.take_digest(&theirs);
                ControlReply::Digest(own)
            }
            ControlRequest::PullSince(after) => ControlReply::Entries {
                entries: frames(&self.replica.entries_since(Revision(after))),
                complete: Some(self.replica.complete().0),
            },
            ControlRequest::PullKeys(keys) => ControlReply::Entries {
                entries: frames(&self.replica.entries_for(&keys_of(keys))),
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
                self.take_news(news);
                ControlReply::Done
            }
            ControlRequest::Entries(entries) => {
                self.apply_from_peer(entries, None);
                ControlReply::Done
            }
            ControlRequest::Words(words) => {
                words
                    .into_iter()
                    .map(Word::from)
                    .for_each(|word| self.hear(word));
                ControlReply::Done
            }
            ControlRequest::Greet(_)
            | ControlRequest::Ping
            | ControlRequest::Announce(_)
            | ControlRequest::Refuse { .. } => ControlReply::Done,
        }
    }

    /// Takes in a peer's reply.
    pub(super) fn replied(&mut self, node: &NodeName, reply: ControlReply) {
        match reply {
            ControlReply::Digest(theirs) => {
                if theirs.word.state == NodeState::Serving && self.start_peers.insert(node.clone())
                {
                    self.start_up.record_peer_digest(&theirs.digest);
                }
                self.take_digest(&theirs);
            }
            ControlReply::Entries { entries, complete } => {
                self.apply_from_peer(entries, complete.map(Revision));
            }
            ControlReply::Versions(theirs) => {
                let theirs: Vec<_> = theirs.into_iter().map(KeyVersion::from).collect();
                self.apply_difference(Some(node), &theirs);
            }
            ControlReply::List(delta) => self.take_list(delta),
            ControlReply::Hello(_) | ControlReply::Refuse(_) | ControlReply::Done => {}
        }
    }

    /// What this node tells of its copies.
    pub(super) fn digest_frame(&self) -> DigestFrame {
        let now = self.now();
        DigestFrame {
            word: WordFrame::from(&self.own_word()),
            digest: self.replica.digest(),
            list: self.view.revision().0,
            config_age_ms: self.config_reads.read_age(now).map(millis),
            list_age_ms: self.list_reads.read_age(now).map(millis),
        }
    }

    /// Compares a peer's copies with the own ones and fetches what is missing here.
    fn take_digest(&mut self, theirs: &DigestFrame) {
        let now = self.now();
        let node = NodeName(theirs.word.node.clone());
        self.hear(Word::from(theirs.word.clone()));
        self.take_ages(theirs, now);
        if theirs.list > self.view.revision().0 {
            self.ask(&node, ControlRequest::PullList(self.view.revision().0));
        }
        match self.replica.compare(&theirs.digest) {
            Comparison::PeerIsNewer => {
                self.ask(&node, ControlRequest::PullSince(self.replica.complete().0));
            }
            Comparison::Differ => self.ask_versions(&node, &theirs.digest),
            // The peer sees the same in this node's digest and pulls.
            Comparison::Same | Comparison::PeerIsOlder => {}
        }
    }

    /// Lets a peer's recent reads stand for own ones.
    ///
    /// Not before this node has read for itself: without the list it knows nobody to ask, and peers that found it first would keep
    /// it from reading; one would see a node that stays in its start while all others serve.
    fn take_ages(&mut self, theirs: &DigestFrame, now: Instant) {
        if let Some(age) = theirs.config_age_ms.filter(|_| self.is_ready()) {
            self.config_reads
                .record_peer_read_age(Duration::from_millis(age), now);
        }
        if let Some(age) = theirs.list_age_ms.filter(|_| !self.view.is_empty()) {
            self.list_reads
                .record_peer_read_age(Duration::from_millis(age), now);
        }
    }

    fn ask_versions(&mut self, node: &NodeName, digest: &Digest) {
        self.compared = Some(*digest);
        let versions = self
            .replica
            .versions()
            .iter()
            .map(VersionFrame::from)
            .collect();
        self.ask(node, ControlRequest::Versions(versions));
    }

    /// Acts on the versions of a peer whose digest differed at the same highest revision.
    ///
    /// The asked side learns nothing here that it may pull, since the asking one pushes what it lacks.
    fn apply_difference(&mut self, asker: Option<&NodeName>, theirs: &[KeyVersion]) {
        let (Some(node), Some(digest)) = (asker, self.compared.take()) else {
            return;
        };
        let difference = self.replica.difference(&digest, theirs);
        if !difference.to_pull.is_empty() {
            let keys = difference.to_pull.into_iter().map(|key| key.0).collect();
            self.ask(node, ControlRequest::PullKeys(keys));
        }
        if !difference.to_push.is_empty() {
            let entries = frames(&self.replica.entries_for(&difference.to_push));
            self.ask(node, ControlRequest::Entries(entries));
        }
    }

    fn take_news(&mut self, news: NewsFrame) {
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
            self.ask(&from, ControlRequest::PullKeys(wanted));
        }
    }

    /// Takes in entries of a peer as far as there is room.
    ///
    /// Nothing proves that the platform ever held them, so that a peer could fill every node's memory. Own reads are not
    /// bounded: they bring what was left out here.
    fn apply_from_peer(&mut self, entries: Vec<EntryFrame>, complete: Option<Revision>) {
        if entries.is_empty() {
            self.apply(Vec::new(), complete);
            return;
        }
        let sent = entries.len();
        let mut room = MOST_BYTES.saturating_sub(self.replica.bytes());
        let mut taken = Vec::new();
        for entry in entries {
            let bytes = entry.key.len() + entry.value.len();
            if bytes <= room {
                room -= bytes;
                taken.push(Entry::from(entry));
            }
        }
        let whole = taken.len() == sent;
        self.apply(taken, complete.filter(|_| whole));
    }

    fn take_list(&mut self, delta: ListDelta) {
        let now = self.now();
        self.view.apply_delta(delta, now);
        self.view_changed();
    }

    /// Fetches from other nodes what the first one did not send in time.
    pub(super) fn retry_pulls(&mut self, now: Instant) {
        for retry in self.pulls.take_retries(now) {
            self.ask(&retry.from, ControlRequest::PullKeys(vec![retry.key.0]));
        }
    }
}

/// Bytes of published entries above which none are taken from peers.
const MOST_BYTES: usize = 16 * 1024 * 1024;

fn frames(entries: &[Entry]) -> Vec<EntryFrame> {
    entries.iter().map(EntryFrame::from).collect()
}

fn keys_of(keys: Vec<SmolStr>) -> Vec<Key> {
    keys.into_iter().map(Key).collect()
}

fn millis(age: Duration) -> u64 {
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

impl From<WordFrame> for Word {
    fn from(frame: WordFrame) -> Self {
        Self {
            node: NodeName(frame.node),
            incarnation: Incarnation(frame.incarnation),
            state: frame.state,
            tick: Tick(frame.tick),
            revision: 0,
        }
    }
}

impl From<&Word> for WordFrame {
    fn from(word: &Word) -> Self {
        Self {
            node: word.node.0.clone(),
            incarnation: word.incarnation.0,
            state: word.state,
            tick: word.tick.0,
        }
    }
}
