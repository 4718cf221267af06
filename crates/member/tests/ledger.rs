//! Tests concurrent, late and duplicate membership proposals.

use pw_base::prelude::*;
use pw_member::prelude::*;

fn key(process: ProcessId, incarnation: Incarnation) -> MemberKey {
    MemberKey {
        entry: "entry-1".into(),
        process,
        incarnation,
    }
}

fn join(seen: LogOffset) -> MemberProposal {
    MemberProposal::Join {
        spec: MemberSpec {
            zone: "a".into(),
            address: ([127, 0, 0, 1], 1).into(),
            format: 1,
        },
        seen,
    }
}

fn suspect(member: &MemberKey) -> MemberProposal {
    MemberProposal::Suspect {
        member: member.clone(),
    }
}

fn retire(member: &MemberKey, suspicion: LogOffset) -> MemberProposal {
    MemberProposal::Retire {
        member: member.clone(),
        suspicion,
    }
}

#[test]
fn concurrent_and_late_proposals_are_accepted_or_rejected() {
    let (one, two) = (key(1, 1), key(2, 1));
    let steps = [
        (0, &one, join(0), Ok(())),
        (1, &two, join(0), Ok(())),
        (2, &one, suspect(&two), Ok(())),
        (3, &one, suspect(&two), Err(MemberReject::SuspectedBefore)),
        (4, &one, suspect(&one), Err(MemberReject::OwnMember)),
        (5, &two, MemberProposal::Refute { suspicion: 2 }, Ok(())),
        // A retirement for a refuted suspicion is rejected.
        (6, &one, retire(&two, 2), Err(MemberReject::NoSuchSuspicion)),
        (7, &one, suspect(&two), Ok(())),
        // A delayed duplicate of the old refutation does not refute the new suspicion.
        (
            8,
            &two,
            MemberProposal::Refute { suspicion: 2 },
            Err(MemberReject::NoSuchSuspicion),
        ),
        (9, &one, retire(&two, 7), Ok(())),
        (
            10,
            &two,
            MemberProposal::Refute { suspicion: 7 },
            Err(MemberReject::UnknownMember),
        ),
        // A duplicate join does not reinstate a retired member.
        (11, &two, join(0), Err(MemberReject::JoinedBefore)),
        (20_000, &two, join(0), Err(MemberReject::JoinOutsideWindow)),
        (
            20_001,
            &two,
            join(30_000),
            Err(MemberReject::JoinOutsideWindow),
        ),
    ];
    let mut ledger = MemberLedger::default();
    for (offset, author, proposal, outcome) in steps {
        assert_eq!(ledger.apply(offset, author, &proposal), outcome, "{offset}");
    }
}

#[test]
fn restarted_instance_with_the_same_name_is_another_member() {
    let (old, new) = (key(1, 1), key(9, 1));
    let mut ledger = MemberLedger::default();
    ledger.apply(0, &old, &join(0)).expect("joins");
    ledger.apply(1, &new, &join(0)).expect("joins");
    ledger.apply(2, &new, &suspect(&old)).expect("suspects");
    let refute = MemberProposal::Refute { suspicion: 2 };
    assert_eq!(
        ledger.apply(3, &new, &refute),
        Err(MemberReject::NoSuchSuspicion)
    );
    assert!(!ledger.is_trusted(&old));
    assert!(ledger.is_trusted(&new));
}
