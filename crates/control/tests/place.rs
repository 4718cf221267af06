//! Which worker takes a run.

use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_worker::prelude::*;

const CAPACITY: ResourceSize = ResourceSize {
    millicores: 32_000,
    memory_mib: 65_536,
    accelerators: 0,
};

fn candidate(worker: &WorkerId, free_cores: u32) -> Candidate<'_> {
    Candidate {
        worker,
        room: ResourceSize {
            millicores: free_cores * 1000,
            ..CAPACITY
        },
        capacity: CAPACITY,
        on_preferred_rack: true,
        siblings: 0,
        conflicts: 0,
        has_long_running: false,
        maintenance_due: false,
    }
}

fn choose(request: PlacementRequest, candidates: &[Candidate<'_>]) -> Option<usize> {
    PackPlacement.choose(&request, candidates)
}

/// In a surge the machines of other pools are wanted at once; they have to stand empty for that.
#[test]
fn runs_fill_one_worker_after_the_other() {
    let id = WorkerId::from("w");
    let candidates = [candidate(&id, 32), candidate(&id, 4), candidate(&id, 20)];
    assert_eq!(choose(PlacementRequest::default(), &candidates), Some(1));
    assert_eq!(choose(PlacementRequest::default(), &[]), None);
}

#[test]
fn the_rack_of_the_data_goes_before_the_fullest_worker() {
    let id = WorkerId::from("w");
    let far = Candidate {
        on_preferred_rack: false,
        ..candidate(&id, 4)
    };
    assert_eq!(
        choose(PlacementRequest::default(), &[far, candidate(&id, 32)]),
        Some(1)
    );
}

#[test]
fn what_fills_keeps_away_from_what_serves() {
    let id = WorkerId::from("w");
    let serving = Candidate {
        conflicts: 2,
        ..candidate(&id, 4)
    };
    assert_eq!(
        choose(PlacementRequest::default(), &[serving, candidate(&id, 32)]),
        Some(1)
    );
}

#[test]
fn what_lasts_shares_workers_but_not_with_its_own_step() {
    let id = WorkerId::from("w");
    let lasts = PlacementRequest {
        long_running: true,
        ..Default::default()
    };
    let shared = Candidate {
        has_long_running: true,
        ..candidate(&id, 20)
    };
    let own = Candidate {
        siblings: 1,
        ..shared.clone()
    };
    let full = candidate(&id, 4);
    assert_eq!(choose(lasts, &[own, full.clone(), shared]), Some(2));
    assert_eq!(choose(lasts, &[full]), Some(0));
}

#[test]
fn what_lasts_keeps_away_from_machines_that_are_due_for_upkeep() {
    let id = WorkerId::from("w");
    let lasts = PlacementRequest {
        long_running: true,
        ..Default::default()
    };
    let due = Candidate {
        has_long_running: true,
        maintenance_due: true,
        ..candidate(&id, 4)
    };
    assert_eq!(choose(lasts, &[due.clone(), candidate(&id, 32)]), Some(1));
    assert_eq!(
        choose(PlacementRequest::default(), &[due, candidate(&id, 32)]),
        Some(0)
    );
}
