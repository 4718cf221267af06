//! Submissions that the store can't take.

mod support;

use std::sync::Arc;

use futures_lite::future::block_on;
use pw_base::prelude::*;
use pw_node::prelude::*;

use self::support::MemoryStore;

/// Guards against a caller that keeps repeating a submission whose record the store never takes.
#[test]
fn a_submission_beyond_the_largest_record_is_refused_for_good() {
    let store = MemoryStore::default();
    let settings = NodeSettings {
        max_record_bytes: 1_000,
        ..Default::default()
    };
    let clock = Arc::new(ManualClock::default());
    let writer = SubmissionWriter::new(settings, clock, Box::new(store.clone()));
    let write = |bytes| block_on(writer.write(0, "job".to_owned(), vec![1; bytes]));
    assert_eq!(write(900), Ok(0));
    assert_eq!(write(1_000), Err(WriteFault::TooLarge));
    let partition = StorePartition {
        topic: StoreTopic::Submissions,
        shard: 0,
    };
    assert_eq!(store.records(partition).len(), 1);
}
