//! Tests of the lists of workers.

use pw_control::prelude::*;

fn entry(id: &str, machine: Option<&str>, life: u64) -> WorkerEntry {
    WorkerEntry {
        id: id.into(),
        pool: "pool".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "zone".into(),
        rack: None,
        labels: Vec::new(),
        capacity: Default::default(),
        phase: WorkerPhase::Ready,
        life,
        machine: machine.map(Into::into),
    }
}

#[test]
fn a_worker_whose_machine_has_a_later_worker_is_left_out() {
    let workers = vec![
        entry("old", Some("m1"), 100),
        entry("other", Some("m2"), 50),
        entry("new", Some("m1"), 200),
        entry("nowhere", None, 10),
    ];
    let (current, lives) = current_workers(workers);
    let ids: Vec<&str> = current.iter().map(|worker| &*worker.id).collect();
    assert_eq!(ids, ["other", "new", "nowhere"]);
    assert_eq!(lives["m1"], 200);
}
