//! Tests of the choice of a worker for a run.

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
        suspect_jobs: 0,
    }
}

fn choose(request: PlacementRequest, candidates: &[Candidate<'_>]) -> Option<usize> {
    PackPlacement.choose(&request, candidates)
}

/// An overloaded pool needs machines of other pools at once, so these have to be empty.
#[test]
fn runs_are_packed_onto_the_fullest_worker() {
    let id = WorkerId::from("w");
    let candidates = [candidate(&id, 32), candidate(&id, 4), candidate(&id, 20)];
    assert_eq!(choose(PlacementRequest::default(), &candidates), Some(1));
    assert_eq!(choose(PlacementRequest::default(), &[]), None);
}

#[test]
fn the_preferred_rack_outranks_the_fullest_worker() {
    let id = WorkerId::from("w");
    let other_rack = Candidate {
        on_preferred_rack: false,
        ..candidate(&id, 4)
    };
    assert_eq!(
        choose(
            PlacementRequest::default(),
            &[other_rack, candidate(&id, 32)]
        ),
        Some(1)
    );
}

#[test]
fn best_effort_tasks_avoid_workers_with_serving_tasks() {
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
fn long_running_tasks_share_workers_but_not_within_a_step() {
    let id = WorkerId::from("w");
    let request = PlacementRequest {
        long_running: true,
        ..Default::default()
    };
    let shared = Candidate {
        has_long_running: true,
        ..candidate(&id, 20)
    };
    let same_step = Candidate {
        siblings: 1,
        ..shared.clone()
    };
    let full = candidate(&id, 4);
    assert_eq!(choose(request, &[same_step, full.clone(), shared]), Some(2));
    assert_eq!(choose(request, &[full]), Some(0));
}

#[test]
fn long_running_tasks_avoid_machines_due_for_maintenance() {
    let id = WorkerId::from("w");
    let request = PlacementRequest {
        long_running: true,
        ..Default::default()
    };
    let due = Candidate {
        has_long_running: true,
        maintenance_due: true,
        ..candidate(&id, 4)
    };
    assert_eq!(choose(request, &[due.clone(), candidate(&id, 32)]), Some(1));
    assert_eq!(
        choose(PlacementRequest::default(), &[due, candidate(&id, 32)]),
        Some(0)
    );
}

/// Each crash of a worker has few suspects then.
#[test]
fn jobs_start_apart_while_workers_of_the_pool_crash() {
    let workers: Vec<WorkerId> = vec!["a".into(), "b".into()];
    let suspected = Candidate {
        suspect_jobs: 1,
        ..candidate(&workers[0], 4)
    };
    let candidates = [suspected, candidate(&workers[1], 20)];
    assert_eq!(choose(PlacementRequest::default(), &candidates), Some(1));
}
