//! Decodes a full listing from the publisher's responses.

use coltsfootport_core::mesh::{Publisher, PublisherError, UpdateBatch};

use super::change_log::Listing;

/// Decodes all pages of a listing into one batch.
///
/// # Errors
///
/// Returns an error if a page can't be decoded.
pub fn read_pages<P>(publisher: &P, listing: &Listing) -> Result<UpdateBatch, PublisherError>
where
    P: Publisher + ?Sized,
{
    let mut all = UpdateBatch::default();
    for page in &listing.pages {
        let mut page = publisher.parse_list(page)?;
        all.updates.append(&mut page.updates);
        all.faults.append(&mut page.faults);
    }
    let era = listing.position.era;
    Ok(UpdateBatch {
        position: listing.position,
        ..all
    }
    .with_era(era))
}
