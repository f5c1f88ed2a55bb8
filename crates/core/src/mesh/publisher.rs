//! Where configuration and instances are published: what to ask, and how to read the answer.

use std::fmt::Debug;
use std::time::Duration;

use crate::mesh::UpdateBatch;

/// An HTTP service that publishes configuration and instances; it can only be read.
///
/// An implementation knows paths and formats. When to ask, and what to believe of the answers, is decided by the caller.
pub trait Publisher: Debug + Send + Sync {
    /// Name of the header in which every answer tells its era; without it the publisher has had only one.
    fn era_header(&self) -> &'static str;

    /// Path and query of a page of everything published, from the key `after` on.
    fn list_path(&self, after: Option<&str>) -> String;

    /// Reads a page.
    ///
    /// # Errors
    ///
    /// The page as a whole can't be read. Single entries that can't are told in the batch.
    fn read_list(&self, body: &[u8]) -> Result<UpdateBatch, PublisherError>;

    /// Path and query that wait up to `wait` for changes after a revision.
    fn watch_path(&self, revision: u64, wait: Duration) -> String;

    /// Reads what has changed.
    ///
    /// # Errors
    ///
    /// As for [`Publisher::read_list`].
    fn read_watch(&self, body: &[u8]) -> Result<UpdateBatch, PublisherError>;
}

/// An answer of the publisher that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the publisher's answer is malformed: {0}")]
pub struct PublisherError(pub String);
