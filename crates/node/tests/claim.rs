//! Releases in the claims log of a shard.

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

/// Returns whether an owner that claimed at offset 5 finds the released leases in `records`, which
/// start at offset 4.
fn finds_leases(records: &[ClaimRecord]) -> bool {
    let encoded: Vec<Vec<u8>> = records.iter().map(ClaimRecord::encode).collect();
    ClaimRecord::released_leases(encoded.iter().map(Vec::as_slice), 5).is_some()
}

/// The previous owner claimed at offset 3, so its epoch is 4.
#[test]
fn a_release_directly_before_the_claim_is_valid() {
    assert!(finds_leases(&[release(4), claim("b")]));
    assert!(
        !finds_leases(&[release(3), claim("b")]),
        "another node claimed at offset 3"
    );
}

/// The previous owner claimed at offset 4, so its epoch is 5.
#[test]
fn a_release_after_the_claim_is_valid() {
    assert!(finds_leases(&[claim("a"), claim("b"), release(5)]));
    assert!(!finds_leases(&[claim("a"), claim("b")]));
}

/// Three nodes claim a shard in turn, and the first one releases it last. The second one may have
/// renewed leases in between, so the leases in that release are not valid.
#[test]
fn a_release_of_an_owner_before_the_previous_one_is_ignored() {
    assert!(!finds_leases(&[claim("b"), claim("c"), release(4)]));
    assert!(finds_leases(&[
        claim("b"),
        claim("c"),
        release(4),
        release(5)
    ]));
}

/// The previous owner releases the shard after it has read the claim of the next one.
#[test]
fn a_release_of_an_earlier_owner_does_not_end_the_ownership() {
    assert!(ClaimRecord::is_earlier_release(&release(5).encode(), 6));
    assert!(!ClaimRecord::is_earlier_release(&release(6).encode(), 6));
    assert!(!ClaimRecord::is_earlier_release(&claim("b").encode(), 6));
}
