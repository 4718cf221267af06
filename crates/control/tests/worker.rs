//! Tests of the lists of workers.

use indexmap::IndexMap;
use pw_base::prelude::*;
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
    let (current, lives) = current_workers(&workers, &pools(&["pool"]));
    let ids: Vec<&str> = current.iter().map(|worker| &*worker.id).collect();
    assert_eq!(ids, ["other", "new", "nowhere"]);
    assert_eq!(lives["m1"], 200);
}

fn pools(names: &[&str]) -> IndexMap<PoolId, PoolRule> {
    let pools = names.iter();
    pools
        .map(|name| (PoolId::from(*name), PoolRule::default()))
        .collect()
}

/// An entry of another writer may name a sound worker's machine and a later life.
#[test]
fn a_worker_of_an_unknown_pool_is_left_out_and_hides_no_other() {
    let mut odd = entry("odd", Some("m1"), 300);
    odd.pool = "nowhere".into();
    let workers = vec![entry("sound", Some("m1"), 200), odd];
    let (current, lives) = current_workers(&workers, &pools(&["pool"]));
    let ids: Vec<&str> = current.iter().map(|worker| &*worker.id).collect();
    assert_eq!(ids, ["sound"]);
    assert_eq!(lives["m1"], 200);
}

/// A new owner polls the workers of its runs before it has read a configuration.
#[test]
fn all_workers_are_known_without_a_configuration() {
    let workers = vec![entry("a", None, 1), entry("b", Some("m1"), 2)];
    let (current, _) = current_workers(&workers, &pools(&[]));
    assert_eq!(current.len(), 2);
}
