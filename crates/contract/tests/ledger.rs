//! Tests proposals about permits, including invalid, outdated and premature ones.

use std::collections::BTreeSet;

use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_member::prelude::*;

const LIMIT: u32 = 8;

fn key(process: ProcessId) -> MemberKey {
    MemberKey {
        entry: format!("entry-{process}").into(),
        process,
        incarnation: 1,
    }
}

fn account() -> AccountId {
    "t".into()
}

/// Workers `w-1` to `w-count`.
fn workers(count: u32) -> BTreeSet<WorkerId> {
    (1..=count)
        .map(|number| format!("w-{number}").into())
        .collect()
}

fn table(limit: u32, count: u32) -> LimitTable {
    let floor = ZoneFloor {
        in_service: true,
        workers: workers(count),
    };
    LimitTable {
        limits: [(account(), limit)].into(),
        zones: [("a".into(), floor)].into(),
    }
}

fn hold(round: PermitRound, keep: u32, want_floor: u32, want: u32) -> PermitProposal {
    let hold = PermitHold {
        account: account(),
        keep_floor: keep,
        keep_float: keep,
        want_floor,
        want,
    };
    PermitProposal::Hold {
        round,
        holds: vec![hold],
    }
}

fn reclaim(from: ProcessId, count: u32) -> PermitProposal {
    PermitProposal::Reclaim {
        from: key(from),
        workers: workers(count),
    }
}

struct PermitFixture {
    offset: LogOffset,
    members: MemberLedger,
    permits: PermitLedger,
}

impl PermitFixture {
    /// Creates two members in one zone with two workers.
    fn new() -> Self {
        let mut fixture = Self {
            offset: 0,
            members: MemberLedger::default(),
            permits: PermitLedger::default(),
        };
        fixture
            .permits
            .set_table(0, table(LIMIT, 2), &fixture.members);
        for process in [1, 2] {
            let spec = MemberSpec {
                zone: "a".into(),
                address: ([127, 0, 0, 1], 1).into(),
                format: 1,
            };
            fixture.member(process, MemberProposal::Join { spec, seen: 0 });
        }
        fixture
    }

    fn member(&mut self, process: ProcessId, proposal: MemberProposal) {
        self.offset += 1;
        let result = self.members.apply(self.offset, &key(process), &proposal);
        assert_eq!(result, Ok(()), "{proposal:?}");
    }

    fn permit(&mut self, process: ProcessId, proposal: PermitProposal) -> Result<(), PermitReject> {
        self.offset += 1;
        let (permits, members) = (&mut self.permits, &self.members);
        let result = permits.apply(self.offset, &key(process), &proposal, members);
        assert!(self.permits.granted(&account()) <= LIMIT);
        result
    }

    fn suspect(&mut self, process: ProcessId) -> LogOffset {
        let member = key(process);
        self.member(3 - process, MemberProposal::Suspect { member });
        self.offset
    }

    fn retire(&mut self, process: ProcessId, suspicion: LogOffset) {
        let member = key(process);
        self.member(3 - process, MemberProposal::Retire { member, suspicion });
        self.permits
            .retire(self.offset, &key(process), &self.members);
    }

    fn held(&self, process: ProcessId) -> (u32, u32) {
        let grant = self.permits.grant(&account(), &key(process));
        (grant.floor, grant.float)
    }
}

#[test]
fn concurrent_claims_get_only_free_permits() {
    let mut fixture = PermitFixture::new();
    let all = hold(1, 0, 4, u32::MAX);
    assert_eq!(fixture.permit(1, all.clone()), Ok(()));
    assert_eq!(fixture.held(1), (4, 4));
    assert_eq!(fixture.permit(2, all.clone()), Ok(()));
    assert_eq!(fixture.held(2), (0, 0), "no permit is free");
    // Released permits go to the waiting member without another proposal.
    assert_eq!(fixture.permit(1, hold(2, 2, 2, 4)), Ok(()));
    assert_eq!((fixture.held(1), fixture.held(2)), ((2, 2), (2, 2)));
    // A delayed duplicate of the first claim is rejected.
    assert_eq!(fixture.permit(1, all.clone()), Err(PermitReject::OldRound));
    assert_eq!(fixture.permit(9, all), Err(PermitReject::UntrustedHolder));
}

#[test]
fn suspected_holder_gets_no_permits_until_it_refutes() {
    let mut fixture = PermitFixture::new();
    let suspicion = fixture.suspect(1);
    assert_eq!(fixture.permit(1, hold(1, 0, 4, 6)), Ok(()));
    assert_eq!(fixture.held(1), (0, 0));
    fixture.member(1, MemberProposal::Refute { suspicion });
    fixture
        .permits
        .resume_grants(fixture.offset, &key(1), &fixture.members);
    assert_eq!(fixture.held(1), (4, 2));
}

#[test]
fn floor_permits_are_reclaimed_after_every_worker_fenced() {
    let mut fixture = PermitFixture::new();
    fixture.permit(1, hold(1, 0, 4, 8)).expect("claims");
    fixture.permit(2, hold(1, 0, 4, 8)).expect("claims");
    let nothing = Err(PermitReject::NothingToReclaim);
    assert_eq!(
        fixture.permit(2, reclaim(1, 2)),
        nothing,
        "member is not retired"
    );
    let suspicion = fixture.suspect(1);
    fixture.retire(1, suspicion);
    assert_eq!((fixture.held(1), fixture.held(2)), ((4, 0), (0, 4)));
    assert_eq!(
        fixture.permit(2, reclaim(1, 1)),
        Err(PermitReject::NotFenced)
    );
    // Workers that were added or removed after the retirement must also fence the member.
    for (count, fenced) in [(3, 2), (1, 1)] {
        let table = table(LIMIT, count);
        fixture
            .permits
            .set_table(fixture.offset, table, &fixture.members);
        assert_eq!(
            fixture.permit(2, reclaim(1, fenced)),
            Err(PermitReject::NotFenced)
        );
    }
    assert_eq!(
        fixture.permit(1, reclaim(1, 3)),
        Err(PermitReject::UntrustedHolder)
    );
    assert_eq!(fixture.permit(2, reclaim(1, 3)), Ok(()));
    assert_eq!((fixture.held(1), fixture.held(2)), ((0, 0), (4, 4)));
    assert_eq!(
        fixture.permit(2, reclaim(1, 3)),
        nothing,
        "duplicate reclaim"
    );
}

#[test]
fn lowered_limit_reduces_usable_permits_and_stops_grants() {
    let mut fixture = PermitFixture::new();
    fixture.permit(1, hold(1, 0, 2, 5)).expect("claims");
    fixture.permit(2, hold(1, 0, 2, 8)).expect("claims");
    let usable = |fixture: &PermitFixture| {
        let account = account();
        let grants = fixture.permits.grants(&account);
        grants
            .map(|(_, grant)| grant.usable_floor + grant.usable_float)
            .sum::<u32>()
    };
    fixture
        .permits
        .set_table(fixture.offset, table(3, 2), &fixture.members);
    assert_eq!(
        (fixture.permits.granted(&account()), usable(&fixture)),
        (8, 3)
    );
    // Another configuration change does not make the excess permits usable again.
    fixture
        .permits
        .set_table(fixture.offset, table(3, 3), &fixture.members);
    assert_eq!(usable(&fixture), 3);
    fixture.permit(1, hold(2, 0, 0, 0)).expect("releases");
    assert_eq!(fixture.held(1), (0, 0));
    assert!(fixture.permits.granted(&account()) <= 3);
    fixture
        .permits
        .set_table(fixture.offset, LimitTable::default(), &fixture.members);
    assert_eq!(usable(&fixture), 0, "account was removed");
}
