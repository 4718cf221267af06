//! Records of one request that exceed the largest append of the store.

use pw_node::prelude::*;

fn entry(key: &str, bytes: usize) -> StoreEntry {
    StoreEntry {
        key: key.to_owned(),
        value: vec![0; bytes],
    }
}

/// Guards against an append that the store refuses for good, as its records exceed the limit together.
#[test]
fn no_append_exceeds_the_limit() {
    let entries: Vec<StoreEntry> = (0..50).map(|n| entry(&n.to_string(), n * 10)).collect();
    let appends = split_appends(entries.clone(), 1_000);
    for append in &appends {
        let size: usize = append.iter().map(StoreEntry::size).sum();
        assert!(size <= 1_000, "{size} bytes");
    }
    assert!(appends.len() < 20, "{} appends", appends.len());
    assert_eq!(appends.concat(), entries);
}

#[test]
fn a_record_beyond_the_limit_gets_an_append_of_its_own() {
    let entries = vec![entry("a", 10), entry("b", 2_000), entry("c", 10)];
    let appends = split_appends(entries.clone(), 1_000);
    let expected: Vec<Vec<StoreEntry>> = entries.into_iter().map(|entry| vec![entry]).collect();
    assert_eq!(appends, expected);
}

#[test]
fn no_records_need_no_append() {
    assert!(split_appends(Vec::new(), 1_000).is_empty());
}
