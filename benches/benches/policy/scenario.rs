//! The scenarios and their variants.

use std::time::Duration;

use pw_contract::prelude::*;
use pw_dispatch::prelude::*;
use pw_place::prelude::*;

use crate::demand::{DemandStream, RateForm};
use crate::fleet::FleetForm;
use crate::report::ReportRow;
use crate::world::{ChangeKind, FleetChange, World, WorldSettings};

/// A scenario: runs its variants and returns their rows.
pub type ScenarioRun = fn() -> Vec<ReportRow>;

/// All scenarios by name.
pub const ALL: [(&str, ScenarioRun); 5] = [
    ("one-scheduler", one_scheduler),
    ("shares", shares),
    ("zone-leaves", zone_leaves),
    ("surge", surge),
    ("urgent", urgent),
];

/// Seeds that every variant is run with.
const SEEDS: [u64; 3] = [1, 2, 3];
/// Part of all demand that each of six accounts has: a few are large.
const ACCOUNT_DEMAND: [f64; 6] = [0.1, 0.35, 0.25, 0.05, 0.15, 0.1];
/// Mean run time of a caller's task.
const MEAN_RUN: Duration = Duration::from_millis(500);

/// Demand of `load` times the capacity of the first pool, split among the accounts.
fn streams(
    form: &FleetForm,
    load: f64,
    rate: RateForm,
    affinity: Option<f64>,
) -> Vec<DemandStream> {
    let slots = form.pool_workers as f64 * f64::from(form.slots);
    let all = load * slots / MEAN_RUN.as_secs_f64();
    let accounts = ACCOUNT_DEMAND.iter().enumerate();
    accounts
        .map(|(account, part)| DemandStream {
            account,
            queue: "q0".to_owned(),
            rate: all * part,
            form: rate,
            mean_run: MEAN_RUN,
            affinity: affinity.map(|part| (account, part)),
            from: Duration::ZERO,
            until: Duration::MAX,
        })
        .collect()
}

/// Runs a variant with every seed and averages its figures; the worst distance is the largest.
fn row(
    scenario: &'static str,
    variant: impl Into<String>,
    make: impl Fn(u64) -> WorldSettings,
) -> ReportRow {
    row_of(scenario, variant, &SEEDS, make)
}

/// Runs a variant with these seeds.
fn row_of(
    scenario: &'static str,
    variant: impl Into<String>,
    seeds: &[u64],
    make: impl Fn(u64) -> WorldSettings,
) -> ReportRow {
    let worlds: Vec<World> = seeds
        .iter()
        .copied()
        .map(|seed| World::run(make(seed)))
        .collect();
    let mean = |figure: &dyn Fn(&World) -> f64| {
        worlds.iter().map(figure).sum::<f64>() / worlds.len() as f64
    };
    let worst = worlds.iter().map(|world| world.meter.worst_distance());
    let millis = |quantile: f64| {
        mean(&|world| world.meter.waits.value_at_quantile(quantile) as f64 / 1000.0)
    };
    ReportRow {
        scenario,
        variant: variant.into(),
        figures: vec![
            (
                "mean_distance_pct",
                mean(&|world| 100.0 * world.meter.mean_distance()),
            ),
            ("worst_distance_pct", 100.0 * worst.fold(0.0, f64::max)),
            (
                "account_distance_pct",
                mean(&|world| 100.0 * world.meter.relative_distance()),
            ),
            (
                "full_windows",
                mean(&|world| world.meter.full_windows() as f64),
            ),
            ("work_pct", mean(&|world| 100.0 * world.meter.utilisation())),
            ("wait_p50_ms", millis(0.5)),
            ("wait_p99_ms", millis(0.99)),
            ("answered", mean(&|world| world.meter.answered as f64)),
            ("refused", mean(&|world| world.meter.refused as f64)),
            ("late", mean(&|world| world.meter.late as f64)),
            (
                "busy_pct",
                mean(&|world| 100.0 * world.meter.busy as f64 / world.meter.starts.max(1) as f64),
            ),
            (
                "decision_us",
                mean(&|world| world.decision_time.as_secs_f64() * 1e6 / world.decisions as f64),
            ),
        ],
    }
}

/// One scheduler alone: what its own division of a pool among accounts gives.
fn one_scheduler() -> Vec<ReportRow> {
    let base = |seed, is_open| {
        let form = FleetForm {
            is_open,
            ..FleetForm::default()
        };
        WorldSettings {
            entries: 1,
            demand: streams(&form, 2.0, RateForm::Steady, None),
            form,
            seed,
            ..WorldSettings::default()
        }
    };
    vec![
        row("one-scheduler", "shares", |seed| base(seed, false)),
        row("one-scheduler", "first come first served", |seed| {
            base(seed, true)
        }),
    ]
}

fn shares() -> Vec<ReportRow> {
    let mut rows = Vec::new();
    for (routing, affinity) in [
        ("even routing", None),
        ("each account at one entry", Some(0.9)),
    ] {
        let base = move |seed, is_open, peer_way| {
            let form = FleetForm {
                is_open,
                ..FleetForm::default()
            };
            WorldSettings {
                demand: streams(&form, 2.0, RateForm::Steady, affinity),
                form,
                peer_way,
                seed,
                ..WorldSettings::default()
            }
        };
        let way = Some(Duration::from_millis(1));
        rows.push(row("shares", format!("peers told, {routing}"), |seed| {
            base(seed, false, way)
        }));
        rows.push(row(
            "shares",
            format!("each entry alone, {routing}"),
            |seed| base(seed, false, None),
        ));
        rows.push(row(
            "shares",
            format!("first come first served, {routing}"),
            |seed| {
                let mut settings = base(seed, true, None);
                settings.make_scheduler = without_accounts;
                settings
            },
        ));
    }
    rows
}

/// A scheduler that serves all tasks in the order of their arrival: no keys, no accounts.
fn without_accounts(settings: SchedulerSettings, _entries: usize) -> TaskScheduler {
    TaskScheduler::new(settings, Box::new(EvenSplit::new(1)))
}

fn round_robin(settings: SchedulerSettings, _entries: usize) -> TaskScheduler {
    let gate = Box::new(EvenSplit::new(1));
    TaskScheduler::with_picker(settings, gate, Box::new(RoundRobin::default()))
}

fn zone_leaves() -> Vec<ReportRow> {
    let mut rows = Vec::new();
    let second = Duration::from_secs;
    let kinds = [
        ("taken out", ChangeKind::Out, ChangeKind::Back),
        ("failed", ChangeKind::Fails, ChangeKind::Recovers),
    ];
    for (name, leaves, returns) in kinds {
        let base = move |seed| {
            let form = FleetForm::default();
            WorldSettings {
                demand: streams(&form, 1.3, RateForm::Steady, None),
                form,
                warm_up: second(40),
                length: second(90),
                changes: vec![
                    FleetChange {
                        at: second(40),
                        zone: "z1",
                        kind: leaves,
                    },
                    FleetChange {
                        at: second(80),
                        zone: "z1",
                        kind: returns,
                    },
                ],
                seed,
                ..WorldSettings::default()
            }
        };
        rows.push(row(
            "zone-leaves",
            format!("two choices, zone {name}"),
            base,
        ));
        rows.push(row(
            "zone-leaves",
            format!("round robin, zone {name}"),
            |seed| WorldSettings {
                make_scheduler: round_robin,
                ..base(seed)
            },
        ));
    }
    rows
}

fn surge() -> Vec<ReportRow> {
    let mut rows = Vec::new();
    for (callers, resubmits) in [("callers give up", 0), ("callers try 3 times more", 3)] {
        let base = |seed, is_open| {
            let form = FleetForm {
                is_open,
                ..FleetForm::default()
            };
            let rate = RateForm::Surges {
                first: Duration::from_secs(25),
                length: Duration::from_secs(8),
                period: Duration::from_secs(32),
            };
            WorldSettings {
                demand: streams(&form, 0.6, rate, None),
                form,
                length: Duration::from_secs(180),
                resubmits,
                seed,
                ..WorldSettings::default()
            }
        };
        let name = |variant: &str| format!("{variant}, {callers}");
        rows.push(row("surge", name("wait expected"), |seed| {
            base(seed, false)
        }));
        rows.push(row("surge", name("backlog by number"), |seed| {
            let mut settings = base(seed, false);
            settings.scheduler.min_waiting = u32::MAX;
            settings
        }));
        rows.push(row("surge", name("first come first served"), |seed| {
            base(seed, true)
        }));
    }
    rows
}

/// Callers of 370 accounts beside deferred work that fills one of 112 pools of 8512 workers.
fn urgent() -> Vec<ReportRow> {
    const ACCOUNTS: usize = 370;
    const DEFERRED_RUN: Duration = Duration::from_secs(20);
    let base = |seed, deferred_load: f64| {
        let form = FleetForm {
            zones: 6,
            pools: 112,
            pool_workers: 76,
            accounts: vec![(10, 1000); ACCOUNTS],
            ..FleetForm::default()
        };
        let slots = form.pool_workers as f64 * f64::from(form.slots);
        let stream = |account, queue: &str, load: f64, mean_run: Duration| DemandStream {
            account,
            queue: queue.to_owned(),
            rate: load * slots / mean_run.as_secs_f64() / ACCOUNTS as f64,
            form: RateForm::Steady,
            mean_run,
            affinity: None,
            from: Duration::ZERO,
            until: Duration::MAX,
        };
        let accounts = 0..ACCOUNTS;
        let demand = accounts.flat_map(|account| {
            [
                stream(account, "q0", 0.3, MEAN_RUN),
                stream(account, "d0", deferred_load, DEFERRED_RUN),
            ]
        });
        WorldSettings {
            demand: demand.collect(),
            form,
            entries: 6,
            length: Duration::from_secs(30),
            warm_up: Duration::from_secs(10),
            seed,
            ..WorldSettings::default()
        }
    };
    vec![
        row_of("urgent", "callers alone", &[1], |seed| base(seed, 0.01)),
        row_of("urgent", "deferred work for twice the pool", &[1], |seed| {
            base(seed, 2.0)
        }),
    ]
}
