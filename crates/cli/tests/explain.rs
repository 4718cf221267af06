//! What operators are told about a worker.

use pw_cli::explain::worker_report;
use pw_fleet::prelude::*;
use pw_pool::prelude::*;

const SHIPPED_FILE: &str = include_str!("../../../examples/telar-norte.toml");

#[test]
fn worker_not_yet_seen_is_explained_with_its_budget() {
    let spec = check_fleet("telar-norte.toml", SHIPPED_FILE).expect("clean");
    let mut pools = PoolLedger::default();
    pools.apply_fleet(
        0,
        DeclaredFleet {
            zones: &spec.zones,
            workers: &spec.workers,
            pools: &spec.pools,
        },
    );
    let report = worker_report(&pools, "cutting-01").expect("declared");
    assert_eq!(report.instance.kind(), PhaseKind::Joining);
    assert_eq!(&*report.instance.pool, "cutting");
    assert_eq!((report.budget.members, report.budget.required), (12, 10));
    assert!(report.may_start && report.zone_in_service);
    assert_eq!(worker_report(&pools, "cutting-99"), None);
}
