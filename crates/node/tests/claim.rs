//! What the claims of a shard say to the next owner and to the one before.

use std::time::Duration;

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_node::claim::ClaimRecord;

fn claim(member: &str) -> ClaimRecord {
    ClaimRecord::Claim {
        member: member.to_owned(),
        taken: 7,
    }
}

fn release(epoch: OwnerEpoch) -> ClaimRecord {
    let leases = IndexMap::from([("w".into(), Duration::from_secs(3))]);
    ClaimRecord::Release { epoch, leases }
}

/// The owner before claimed at offset 4, so its epoch is 5.
#[test]
fn a_release_counts_just_before_the_next_claim_and_after_it() {
    let bytes = release(5).encode();
    assert!(
        ClaimRecord::released_leases(&bytes, 6).is_some(),
        "4, 5, then the claim at 6"
    );
    assert!(
        ClaimRecord::released_leases(&bytes, 5).is_some(),
        "4, then the claim at 5"
    );
}

/// Somebody else may have renewed leases in between.
#[test]
fn a_release_before_another_claim_does_not_count() {
    let bytes = release(5).encode();
    assert!(ClaimRecord::released_leases(&bytes, 7).is_none());
    assert!(ClaimRecord::released_leases(&bytes, 4).is_none());
    assert!(ClaimRecord::released_leases(&claim("a").encode(), 5).is_none());
}

/// The owner before releases the shard when it has seen the claim of the next one.
#[test]
fn the_release_of_an_earlier_owner_ends_no_ownership() {
    assert!(ClaimRecord::is_earlier_release(&release(5).encode(), 6));
    assert!(!ClaimRecord::is_earlier_release(&release(6).encode(), 6));
    assert!(!ClaimRecord::is_earlier_release(&claim("b").encode(), 6));
}
