//! Reads of the latest record of each key.

use pw_base::prelude::*;

use crate::links::{JobStore, StoreEntry, StoreFault, StorePartition};

/// Reads all pages of a partition. Pages are no snapshot: the returned offset is that of the first
/// page, from which the records are to be followed.
///
/// # Errors
///
/// Fails with the first page that can't be read.
pub async fn read_newest(
    store: &dyn JobStore,
    partition: StorePartition,
) -> Result<(Vec<StoreEntry>, LogOffset), StoreFault> {
    let mut entries: Vec<StoreEntry> = Vec::new();
    let mut first_end = None;
    loop {
        let after = entries.last().map(|entry| entry.key.clone());
        let page = store.newest(partition, after).await?;
        let end = *first_end.get_or_insert(page.end);
        let more = page.more && !page.entries.is_empty();
        entries.extend(page.entries);
        if !more {
            return Ok((entries, end));
        }
    }
}
