//! The scenarios and their variants.

use std::time::Duration;

use pw_contract::prelude::*;
use pw_dispatch::prelude::*;
use pw_place::prelude::*;

use crate::demand::{ArrivalPattern, DemandStream};
use crate::fleet::FleetShape;
use crate::report::ReportRow;
use crate::simulation::{ChangeKind, FleetChange, SchedulerSimulation, SimulationSettings};

/// Function that runs all variants of a scenario.
pub type ScenarioRun = fn() -> Vec<ReportRow>;

/// Names and functions of all scenarios.
pub const ALL: [(&str, ScenarioRun); 5] = [
    ("one-scheduler", one_scheduler),
    ("shares", shares),
    ("zone-leaves", zone_leaves),
    ("surge", surge),
    ("urgent", urgent),
];

/// Default seeds; every variant runs once with each.
const SEEDS: [u64; 3] = [1, 2, 3];
/// Fraction of the total demand of each account; a few accounts dominate.
const ACCOUNT_DEMAND: [f64; 6] = [0.1, 0.35, 0.25, 0.05, 0.15, 0.1];
/// Mean run time of interactive tasks.
const MEAN_RUN: Duration = Duration::from_millis(500);

/// Creates a demand of `load` times the capacity of the first pool, split among the accounts.
fn streams(
    shape: &FleetShape,
    load: f64,
    pattern: ArrivalPattern,
    affinity: Option<f64>,
) -> Vec<DemandStream> {
    let slots = shape.pool_workers as f64 * f64::from(shape.slots);
    let total_rate = load * slots / MEAN_RUN.as_secs_f64();
    let accounts = ACCOUNT_DEMAND.iter().enumerate();
    accounts
        .map(|(account, fraction)| DemandStream {
            account,
            queue: "q0".to_owned(),
            rate: total_rate * fraction,
            pattern,
            mean_run: MEAN_RUN,
            affinity: affinity.map(|fraction| (account, fraction)),
            from: Duration::ZERO,
            until: Duration::MAX,
        })
        .collect()
}

/// Runs a variant with the default seeds.
fn run_variant(
    scenario: &'static str,
    variant: impl Into<String>,
    make_settings: impl Fn(u64) -> SimulationSettings,
) -> ReportRow {
    run_variant_with_seeds(scenario, variant, &SEEDS, make_settings)
}

/// Runs a variant with each of `seeds` and averages its figures, except the worst distance, which
/// is the maximum.
fn run_variant_with_seeds(
    scenario: &'static str,
    variant: impl Into<String>,
    seeds: &[u64],
    make_settings: impl Fn(u64) -> SimulationSettings,
) -> ReportRow {
    let simulations: Vec<SchedulerSimulation> = seeds
        .iter()
        .copied()
        .map(|seed| SchedulerSimulation::run(make_settings(seed)))
        .collect();
    let mean = |figure: &dyn Fn(&SchedulerSimulation) -> f64| {
        simulations.iter().map(figure).sum::<f64>() / simulations.len() as f64
    };
    let worst = simulations
        .iter()
        .map(|simulation| simulation.meter.worst_distance());
    let millis = |quantile: f64| {
        mean(&|simulation| simulation.meter.waits.value_at_quantile(quantile) as f64 / 1000.0)
    };
    ReportRow {
        scenario,
        variant: variant.into(),
        figures: vec![
            (
                "mean_distance_pct",
                mean(&|simulation| 100.0 * simulation.meter.mean_distance()),
            ),
            ("worst_distance_pct", 100.0 * worst.fold(0.0, f64::max)),
            (
                "account_distance_pct",
                mean(&|simulation| 100.0 * simulation.meter.relative_distance()),
            ),
            (
                "full_windows",
                mean(&|simulation| simulation.meter.full_windows() as f64),
            ),
            (
                "work_pct",
                mean(&|simulation| 100.0 * simulation.meter.utilisation()),
            ),
            ("wait_p50_ms", millis(0.5)),
            ("wait_p99_ms", millis(0.99)),
            (
                "answered",
                mean(&|simulation| simulation.meter.answered as f64),
            ),
            (
                "refused",
                mean(&|simulation| simulation.meter.refused as f64),
            ),
            ("late", mean(&|simulation| simulation.meter.late as f64)),
            (
                "busy_pct",
                mean(&|simulation| {
                    100.0 * simulation.meter.busy as f64 / simulation.meter.starts.max(1) as f64
                }),
            ),
            (
                "decision_us",
                mean(&|simulation| {
                    simulation.decision_time.as_secs_f64() * 1e6 / simulation.decisions as f64
                }),
            ),
        ],
    }
}

/// Runs one scheduler, which divides the pool among accounts without reports from peers.
fn one_scheduler() -> Vec<ReportRow> {
    let make_settings = |seed, is_open| {
        let shape = FleetShape {
            is_open,
            ..FleetShape::default()
        };
        SimulationSettings {
            entries: 1,
            demand: streams(&shape, 2.0, ArrivalPattern::Steady, None),
            shape,
            seed,
            ..SimulationSettings::default()
        }
    };
    vec![
        run_variant("one-scheduler", "shares", |seed| make_settings(seed, false)),
        run_variant("one-scheduler", "first come first served", |seed| {
            make_settings(seed, true)
        }),
    ]
}

fn shares() -> Vec<ReportRow> {
    let mut rows = Vec::new();
    for (routing, affinity) in [
        ("even routing", None),
        ("each account at one entry", Some(0.9)),
    ] {
        let make_settings = move |seed, is_open, peer_latency| {
            let shape = FleetShape {
                is_open,
                ..FleetShape::default()
            };
            SimulationSettings {
                demand: streams(&shape, 2.0, ArrivalPattern::Steady, affinity),
                shape,
                peer_latency,
                seed,
                ..SimulationSettings::default()
            }
        };
        let latency = Some(Duration::from_millis(1));
        rows.push(run_variant(
            "shares",
            format!("peers told, {routing}"),
            |seed| make_settings(seed, false, latency),
        ));
        rows.push(run_variant(
            "shares",
            format!("each entry alone, {routing}"),
            |seed| make_settings(seed, false, None),
        ));
        rows.push(run_variant(
            "shares",
            format!("first come first served, {routing}"),
            |seed| {
                let mut settings = make_settings(seed, true, None);
                settings.make_scheduler = without_accounts;
                settings
            },
        ));
    }
    rows
}

/// Creates a scheduler for open queues, which starts tasks in the order of arrival.
fn without_accounts(settings: SchedulerSettings, _entries: usize) -> TaskScheduler {
    TaskScheduler::new(settings, Box::new(EvenSplit::new(1)))
}

fn round_robin(settings: SchedulerSettings, _entries: usize) -> TaskScheduler {
    let gate = Box::new(EvenSplit::new(1));
    TaskScheduler::with_picker(settings, gate, Box::new(RoundRobin::default()))
}

fn zone_leaves() -> Vec<ReportRow> {
    let mut rows = Vec::new();
    let secs = Duration::from_secs;
    let kinds = [
        ("taken out", ChangeKind::OutOfService, ChangeKind::InService),
        ("failed", ChangeKind::Failure, ChangeKind::Recovery),
    ];
    for (name, loss, recovery) in kinds {
        let make_settings = move |seed| {
            let shape = FleetShape::default();
            SimulationSettings {
                demand: streams(&shape, 1.3, ArrivalPattern::Steady, None),
                shape,
                warm_up: secs(40),
                length: secs(90),
                changes: vec![
                    FleetChange {
                        at: secs(40),
                        zone: "z1",
                        kind: loss,
                    },
                    FleetChange {
                        at: secs(80),
                        zone: "z1",
                        kind: recovery,
                    },
                ],
                seed,
                ..SimulationSettings::default()
            }
        };
        rows.push(run_variant(
            "zone-leaves",
            format!("two choices, zone {name}"),
            make_settings,
        ));
        rows.push(run_variant(
            "zone-leaves",
            format!("round robin, zone {name}"),
            |seed| SimulationSettings {
                make_scheduler: round_robin,
                ..make_settings(seed)
            },
        ));
    }
    rows
}

fn surge() -> Vec<ReportRow> {
    let mut rows = Vec::new();
    for (callers, resubmits) in [("callers give up", 0), ("callers try 3 times more", 3)] {
        let make_settings = |seed, is_open| {
            let shape = FleetShape {
                is_open,
                ..FleetShape::default()
            };
            let pattern = ArrivalPattern::Surges {
                first: Duration::from_secs(25),
                length: Duration::from_secs(8),
                period: Duration::from_secs(32),
            };
            SimulationSettings {
                demand: streams(&shape, 0.6, pattern, None),
                shape,
                length: Duration::from_secs(180),
                resubmits,
                seed,
                ..SimulationSettings::default()
            }
        };
        let name = |variant: &str| format!("{variant}, {callers}");
        rows.push(run_variant("surge", name("wait expected"), |seed| {
            make_settings(seed, false)
        }));
        rows.push(run_variant("surge", name("backlog by number"), |seed| {
            let mut settings = make_settings(seed, false);
            settings.scheduler.min_waiting = u32::MAX;
            settings
        }));
        rows.push(run_variant(
            "surge",
            name("first come first served"),
            |seed| make_settings(seed, true),
        ));
    }
    rows
}

/// Runs interactive and deferred tasks of 370 accounts in one of the 112 pools of 8512 workers.
///
/// In the second variant, the deferred tasks alone need twice the capacity of the pool.
fn urgent() -> Vec<ReportRow> {
    const ACCOUNTS: usize = 370;
    const DEFERRED_RUN: Duration = Duration::from_secs(20);
    let make_settings = |seed, deferred_load: f64| {
        let shape = FleetShape {
            zones: 6,
            pools: 112,
            pool_workers: 76,
            accounts: vec![(10, 1000); ACCOUNTS],
            ..FleetShape::default()
        };
        let slots = shape.pool_workers as f64 * f64::from(shape.slots);
        let stream = |account, queue: &str, load: f64, mean_run: Duration| DemandStream {
            account,
            queue: queue.to_owned(),
            rate: load * slots / mean_run.as_secs_f64() / ACCOUNTS as f64,
            pattern: ArrivalPattern::Steady,
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
        SimulationSettings {
            demand: demand.collect(),
            shape,
            entries: 6,
            length: Duration::from_secs(30),
            warm_up: Duration::from_secs(10),
            seed,
            ..SimulationSettings::default()
        }
    };
    vec![
        run_variant_with_seeds("urgent", "callers alone", &[1], |seed| {
            make_settings(seed, 0.01)
        }),
        run_variant_with_seeds("urgent", "deferred work for twice the pool", &[1], |seed| {
            make_settings(seed, 2.0)
        }),
    ]
}
