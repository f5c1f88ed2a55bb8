//! Reads everything published out of the publisher's answers to a list.

use coltsfootport_core::mesh::{Publisher, PublisherError, UpdateBatch};

use super::board::Listing;

/// All updates of a listing.
///
/// # Errors
///
/// A page can't be read.
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
