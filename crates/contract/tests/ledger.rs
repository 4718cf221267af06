//! Proposals about permits that are wrong, old, foreign or too early.

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

struct World {
    offset: LogOffset,
    members: MemberLedger,
    permits: PermitLedger,
}

impl World {
    /// Two members in one zone of two workers.
    fn new() -> Self {
        let mut world = Self {
            offset: 0,
            members: MemberLedger::default(),
            permits: PermitLedger::default(),
        };
        world.permits.set_table(0, table(LIMIT, 2), &world.members);
        for process in [1, 2] {
            let spec = MemberSpec {
                zone: "a".into(),
                address: ([127, 0, 0, 1], 1).into(),
                format: 1,
            };
            world.member(process, MemberProposal::Join { spec, seen: 0 });
        }
        world
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
fn claimants_race_and_nobody_gets_what_is_not_free() {
    let mut world = World::new();
    let all = hold(1, 0, 4, u32::MAX);
    assert_eq!(world.permit(1, all.clone()), Ok(()));
    assert_eq!(world.held(1), (4, 4));
    assert_eq!(world.permit(2, all.clone()), Ok(()));
    assert_eq!(world.held(2), (0, 0), "nothing is free");
    // A release is granted to whoever waits, without another proposal.
    assert_eq!(world.permit(1, hold(2, 2, 2, 4)), Ok(()));
    assert_eq!((world.held(1), world.held(2)), ((2, 2), (2, 2)));
    // A repeat of the first claim comes late.
    assert_eq!(world.permit(1, all.clone()), Err(PermitReject::OldRound));
    assert_eq!(world.permit(9, all), Err(PermitReject::UntrustedHolder));
}

#[test]
fn suspected_holder_gets_nothing_until_it_refutes() {
    let mut world = World::new();
    let suspicion = world.suspect(1);
    assert_eq!(world.permit(1, hold(1, 0, 4, 6)), Ok(()));
    assert_eq!(world.held(1), (0, 0));
    world.member(1, MemberProposal::Refute { suspicion });
    world
        .permits
        .resume_grants(world.offset, &key(1), &world.members);
    assert_eq!(world.held(1), (4, 2));
}

#[test]
fn floor_permits_need_the_proof_of_every_worker() {
    let mut world = World::new();
    world.permit(1, hold(1, 0, 4, 8)).expect("claims");
    world.permit(2, hold(1, 0, 4, 8)).expect("claims");
    let nothing = Err(PermitReject::NothingToReclaim);
    assert_eq!(world.permit(2, reclaim(1, 2)), nothing, "not retired");
    let suspicion = world.suspect(1);
    world.retire(1, suspicion);
    assert_eq!((world.held(1), world.held(2)), ((4, 0), (0, 4)));
    assert_eq!(world.permit(2, reclaim(1, 1)), Err(PermitReject::NotFenced));
    // A worker that was declared since has to prove it too, and one that is no longer declared.
    for (count, proof) in [(3, 2), (1, 1)] {
        let table = table(LIMIT, count);
        world.permits.set_table(world.offset, table, &world.members);
        assert_eq!(
            world.permit(2, reclaim(1, proof)),
            Err(PermitReject::NotFenced)
        );
    }
    assert_eq!(
        world.permit(1, reclaim(1, 3)),
        Err(PermitReject::UntrustedHolder)
    );
    assert_eq!(world.permit(2, reclaim(1, 3)), Ok(()));
    assert_eq!((world.held(1), world.held(2)), ((0, 0), (4, 4)));
    assert_eq!(world.permit(2, reclaim(1, 3)), nothing, "repeated");
}

#[test]
fn lowered_limit_cuts_what_is_usable_and_grants_nothing() {
    let mut world = World::new();
    world.permit(1, hold(1, 0, 2, 5)).expect("claims");
    world.permit(2, hold(1, 0, 2, 8)).expect("claims");
    let usable = |world: &World| {
        let account = account();
        let grants = world.permits.grants(&account);
        grants
            .map(|(_, grant)| grant.usable_floor + grant.usable_float)
            .sum::<u32>()
    };
    world
        .permits
        .set_table(world.offset, table(3, 2), &world.members);
    assert_eq!((world.permits.granted(&account()), usable(&world)), (8, 3));
    // Another change of the configuration does not give back what was cut.
    world
        .permits
        .set_table(world.offset, table(3, 3), &world.members);
    assert_eq!(usable(&world), 3);
    world.permit(1, hold(2, 0, 0, 0)).expect("releases");
    assert_eq!(world.held(1), (0, 0));
    assert!(world.permits.granted(&account()) <= 3);
    world
        .permits
        .set_table(world.offset, LimitTable::default(), &world.members);
    assert_eq!(usable(&world), 0, "a removed account");
}
