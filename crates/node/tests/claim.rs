//! What the claims of a shard say to the next owner and to the one before.

use std::time::Duration;

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_node::claim::ClaimRecord;

fn claim(member: &str) -> ClaimRecord {
    ClaimRecord::Claim {
        member: member.to_owned(),
        claimed_at: 7,
    }
}

fn release(epoch: OwnerEpoch) -> ClaimRecord {
    let leases = IndexMap::from([("w".into(), Duration::from_secs(3))]);
    ClaimRecord::Release { epoch, leases }
}

/// Returns whether the leases are known to an owner that claimed at offset 5, from the records from
/// offset 4 on.
fn known(records: &[ClaimRecord]) -> bool {
    let encoded: Vec<Vec<u8>> = records.iter().map(ClaimRecord::encode).collect();
    ClaimRecord::released_leases(encoded.iter().map(Vec::as_slice), 5).is_some()
}

/// The owner before claimed at offset 3, so its epoch is 4.
#[test]
fn a_release_counts_just_before_the_next_claim() {
    assert!(known(&[release(4), claim("b")]));
    assert!(
        !known(&[release(3), claim("b")]),
        "somebody claimed at offset 3"
    );
}

/// The owner before claimed at offset 4, so its epoch is 5.
#[test]
fn a_release_counts_after_the_claim_that_follows_the_owner_s_own() {
    assert!(known(&[claim("a"), claim("b"), release(5)]));
    assert!(!known(&[claim("a"), claim("b")]));
}

/// Three nodes claim a shard one after the other, and the first one releases it last: the second one
/// may have renewed leases since.
#[test]
fn a_release_of_an_owner_before_the_last_one_does_not_count() {
    assert!(!known(&[claim("b"), claim("c"), release(4)]));
    assert!(known(&[claim("b"), claim("c"), release(4), release(5)]));
}

/// The owner before releases the shard when it has seen the claim of the next one.
#[test]
fn the_release_of_an_earlier_owner_ends_no_ownership() {
    assert!(ClaimRecord::is_earlier_release(&release(5).encode(), 6));
    assert!(!ClaimRecord::is_earlier_release(&release(6).encode(), 6));
    assert!(!ClaimRecord::is_earlier_release(&claim("b").encode(), 6));
}
