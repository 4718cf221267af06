//! Reports of the `explain` subcommand.

use pw_cli::explain::worker_report;
use pw_fleet::prelude::*;
use pw_pool::prelude::*;

const FLEET_FILE: &str = include_str!("../../../examples/telar-norte.toml");

#[test]
fn declared_worker_that_has_not_appeared_is_reported_with_its_budget() {
    let spec = check_fleet("telar-norte.toml", FLEET_FILE).expect("the fleet file has no findings");
    let mut pools = PoolLedger::default();
    pools.apply_fleet(
        0,
        DeclaredFleet {
            zones: &spec.zones,
            workers: &spec.workers,
            pools: &spec.pools,
        },
    );
    let report = worker_report(&pools, "cutting-01").expect("the worker is declared");
    assert_eq!(report.instance.kind(), PhaseKind::Joining);
    assert_eq!(&*report.instance.pool, "cutting");
    assert_eq!((report.budget.members, report.budget.required), (12, 10));
    assert!(report.may_start && report.zone_in_service);
    assert_eq!(worker_report(&pools, "cutting-99"), None);
}
