//! Protocol of the service that publishes configuration and instances.

use std::fmt::Debug;
use std::time::Duration;

use crate::mesh::UpdateBatch;

/// An HTTP service that publishes configuration and instances; it is read-only for nodes.
///
/// An implementation knows the paths and formats. The caller decides when to send requests and which responses to
/// trust.
pub trait Publisher: Debug + Send + Sync {
    /// Name of the response header that carries the publisher's era. A publisher that does not send it is in its
    /// first era.
    fn era_header(&self) -> &'static str;

    /// Path and query that request a page of all published entries, starting after the key `after`.
    fn list_path(&self, after: Option<&str>) -> String;

    /// Parses a page.
    ///
    /// # Errors
    ///
    /// Fails if the page as a whole is malformed. Single malformed entries are reported in the batch.
    fn parse_list(&self, body: &[u8]) -> Result<UpdateBatch, PublisherError>;

    /// Path and query of a long poll that waits up to `wait` for changes after a revision.
    fn watch_path(&self, revision: u64, wait: Duration) -> String;

    /// Parses the changes returned by a long poll.
    ///
    /// # Errors
    ///
    /// As for [`Publisher::parse_list`].
    fn parse_watch(&self, body: &[u8]) -> Result<UpdateBatch, PublisherError>;
}

/// A response of the publisher that can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the publisher's answer is malformed: {0}")]
pub struct PublisherError(pub String);
