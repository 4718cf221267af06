//! What the pool ledger accepts and rejects.

mod support;

use proptest::prelude::{
    ProptestConfig, Strategy, any, prop, prop_assert, prop_assert_eq, proptest,
};
use proptest::test_runner::RngSeed;
use pw_base::prelude::*;
use pw_pool::prelude::*;
use pw_zone::prelude::*;
use support::{Bench, FIRST_BOOT, appear, change_pool, lend, maintain};

/// Seed of the random steps.
const SEED: u64 = 4;

/// What is done before a step, the step, and its verdict.
struct Case {
    name: &'static str,
    before: fn(&mut Bench),
    worker: &'static str,
    change: PoolChange,
    verdict: Result<(), StepRejection>,
}

fn case(
    name: &'static str,
    before: fn(&mut Bench),
    worker: &'static str,
    change: PoolChange,
    verdict: Result<(), StepRejection>,
) -> Case {
    Case {
        name,
        before,
        worker,
        change,
        verdict,
    }
}

#[test]
fn steps_are_judged_by_the_records_before_them() {
    let over = Err(StepRejection::BudgetExceeded);
    let wrong = |kind| Err(StepRejection::WrongPhase(kind));
    let nothing: fn(&mut Bench) = |_| {};
    let lent: fn(&mut Bench) = |bench| {
        let changes = vec![
            lend("cutting"),
            PoolChange::Emptied,
            change_pool("office", "cutting"),
            PoolChange::Admit,
        ];
        bench.steps("office-1", changes);
    };
    let cases = [
        case(
            "a drain within the budget",
            nothing,
            "cutting-1",
            maintain(),
            Ok(()),
        ),
        case(
            "a drain past the budget",
            |bench| bench.steps("cutting-2", vec![maintain()]),
            "cutting-1",
            maintain(),
            over,
        ),
        case(
            "a drain when a failure has eaten the budget",
            |bench| bench.steps("cutting-2", vec![PoolChange::Failed]),
            "cutting-1",
            maintain(),
            over,
        ),
        case(
            "a drain while a rebooted instance is not yet admitted",
            |bench| {
                let changes = vec![
                    maintain(),
                    PoolChange::Emptied,
                    PoolChange::Reboot,
                    appear(2),
                ];
                bench.steps("cutting-2", changes);
            },
            "cutting-1",
            maintain(),
            over,
        ),
        case(
            "a drain that a borrowed instance makes up for",
            lent,
            "cutting-1",
            maintain(),
            Ok(()),
        ),
        case(
            "a drain in a rack of which half has failed",
            |bench| {
                for worker in ["quotes-1", "quotes-3", "office-1"] {
                    bench.steps(worker, vec![PoolChange::Failed]);
                }
            },
            "cutting-1",
            maintain(),
            Err(StepRejection::DomainFailing),
        ),
        case(
            "a drain in such a rack once the instance was seen alive again",
            |bench| {
                for worker in ["quotes-1", "quotes-3", "office-1"] {
                    bench.steps(worker, vec![PoolChange::Failed]);
                }
                for worker in ["cutting-1", "cutting-3"] {
                    bench.steps(worker, vec![appear(FIRST_BOOT)]);
                }
            },
            "cutting-1",
            maintain(),
            Ok(()),
        ),
        case(
            "a drain while another zone is out",
            |bench| bench.set_zone(1, ZoneStatus::OutOfService),
            "cutting-1",
            maintain(),
            over,
        ),
        case(
            "a drain in the zone that is out",
            |bench| bench.set_zone(0, ZoneStatus::OutOfService),
            "cutting-1",
            maintain(),
            Ok(()),
        ),
        case(
            "a second drain there, which the zone's return would turn into a breach",
            |bench| {
                bench.set_zone(0, ZoneStatus::OutOfService);
                bench.steps("cutting-3", vec![maintain()]);
            },
            "cutting-1",
            maintain(),
            over,
        ),
        case(
            "a drain after the budget was lowered below what is out",
            |bench| {
                bench.steps("cutting-2", vec![maintain()]);
                bench.pools[0].max_unavailable = 0;
                bench.apply();
            },
            "cutting-1",
            maintain(),
            over,
        ),
        case(
            "the next step of a drain that was under way when the budget was lowered",
            |bench| {
                bench.steps("cutting-2", vec![maintain()]);
                bench.pools[0].max_unavailable = 0;
                bench.apply();
            },
            "cutting-2",
            PoolChange::Emptied,
            Ok(()),
        ),
        case(
            "a reboot of an instance that still runs tasks",
            |bench| bench.steps("cutting-1", vec![maintain()]),
            "cutting-1",
            PoolChange::Reboot,
            wrong(PhaseKind::Draining),
        ),
        case(
            "a reboot that did not happen",
            |bench| {
                let changes = vec![maintain(), PoolChange::Emptied, PoolChange::Reboot];
                bench.steps("cutting-1", changes);
            },
            "cutting-1",
            appear(FIRST_BOOT),
            Err(StepRejection::SameBoot),
        ),
        case(
            "a move of an instance in service",
            nothing,
            "office-1",
            change_pool("office", "cutting"),
            wrong(PhaseKind::InService),
        ),
        case(
            "a move of an instance that still runs tasks",
            |bench| bench.steps("office-1", vec![lend("cutting")]),
            "office-1",
            change_pool("office", "cutting"),
            wrong(PhaseKind::Draining),
        ),
        case(
            "a move out of a pool that the instance is not in",
            |bench| bench.steps("office-1", vec![lend("cutting"), PoolChange::Emptied]),
            "office-1",
            change_pool("quotes", "cutting"),
            Err(StepRejection::NotInPool),
        ),
        case(
            "a move to another pool than the drain was for",
            |bench| bench.steps("office-1", vec![lend("cutting"), PoolChange::Emptied]),
            "office-1",
            change_pool("office", "quotes"),
            wrong(PhaseKind::Empty),
        ),
        case(
            "a loan from a pool that is not spare",
            nothing,
            "quotes-1",
            lend("cutting"),
            Err(StepRejection::NotLendable),
        ),
        case(
            "a loan to a pool that is not declared",
            nothing,
            "office-1",
            lend("sewing"),
            Err(StepRejection::UnknownPool),
        ),
        case(
            "a loan that leaves the spare pool too few workers",
            |bench| {
                bench.pools[2].min_workers = 4;
                bench.apply();
            },
            "office-1",
            lend("cutting"),
            over,
        ),
        case(
            "a second loan at once",
            |bench| bench.steps("office-2", vec![lend("cutting")]),
            "office-1",
            lend("quotes"),
            over,
        ),
        case(
            "a loan that makes up for a zone that is out, in which the spare pool lost half",
            |bench| {
                bench.pools[2].min_workers = 1;
                bench.set_zone(1, ZoneStatus::OutOfService);
            },
            "office-1",
            lend("cutting"),
            Ok(()),
        ),
        case(
            "a loan of a worker in the zone that is out",
            |bench| {
                bench.pools[2].min_workers = 1;
                bench.set_zone(1, ZoneStatus::OutOfService);
            },
            "office-2",
            lend("cutting"),
            Err(StepRejection::ZoneOut),
        ),
        case(
            "a loan passed on to a third pool",
            lent,
            "office-1",
            lend("quotes"),
            Err(StepRejection::NotLendable),
        ),
        case(
            "a drain in the spare pool while a worker that was given back arrives",
            |bench| {
                let changes = vec![
                    lend("cutting"),
                    PoolChange::Emptied,
                    change_pool("office", "cutting"),
                    PoolChange::Admit,
                    lend("office"),
                    PoolChange::Emptied,
                    change_pool("cutting", "office"),
                ];
                bench.steps("office-1", changes);
            },
            "office-2",
            maintain(),
            Ok(()),
        ),
        case(
            "a loan given back",
            lent,
            "office-1",
            lend("office"),
            Ok(()),
        ),
        case(
            "a move that operators ask for by listing the worker elsewhere",
            |bench| {
                let worker = bench.pools[0].workers.remove(0);
                bench.pools[1].workers.push(worker);
                bench.apply();
            },
            "cutting-1",
            lend("quotes"),
            Ok(()),
        ),
        case(
            "an admission to a zone that is out",
            |bench| {
                let changes = vec![
                    maintain(),
                    PoolChange::Emptied,
                    PoolChange::Reboot,
                    appear(2),
                ];
                bench.steps("cutting-1", changes);
                bench.set_zone(0, ZoneStatus::OutOfService);
            },
            "cutting-1",
            PoolChange::Admit,
            Err(StepRejection::ZoneOut),
        ),
        case(
            "a step on a worker that operators removed",
            |bench| {
                bench.pools[0].workers.remove(0);
                bench.apply();
            },
            "cutting-1",
            maintain(),
            Err(StepRejection::UnknownWorker),
        ),
    ];
    for Case {
        name,
        before,
        worker,
        change,
        verdict,
    } in cases
    {
        let mut bench = Bench::new();
        before(&mut bench);
        assert_eq!(bench.step(worker, change), verdict, "{name}");
    }
}

#[test]
fn second_of_two_racing_planners_is_rejected() {
    let mut bench = Bench::new();
    let claim = |holder: &str| PoolProposal::Claim {
        base: 1,
        holder: holder.into(),
    };
    assert!(matches!(
        bench.propose(&claim("entry-2")),
        PoolOutcome::Accepted { .. }
    ));
    let late = PoolOutcome::Rejected(PoolRejection::StaleTerm);
    assert_eq!(bench.propose(&claim("entry-3")), late);
    assert_eq!(bench.ledger.planner().holder.as_deref(), Some("entry-2"));
    let base = bench
        .ledger
        .instance("cutting-1")
        .expect("instance")
        .changed;
    let paused = PoolProposal::Steps {
        term: 1,
        steps: vec![PoolStep {
            worker: "cutting-1".into(),
            base,
            change: maintain(),
        }],
    };
    assert_eq!(bench.propose(&paused), late);
    assert_eq!(bench.phase("cutting-1"), PhaseKind::InService);
}

#[test]
fn step_made_from_an_older_state_changes_nothing() {
    let mut bench = Bench::new();
    let base = bench
        .ledger
        .instance("cutting-1")
        .expect("instance")
        .changed;
    bench.steps(
        "cutting-1",
        vec![maintain(), PoolChange::Cancel, PoolChange::Admit],
    );
    for change in [maintain(), PoolChange::Failed, appear(7)] {
        assert_eq!(
            bench.step_from(base, "cutting-1", change),
            Err(StepRejection::StaleState)
        );
    }
    assert_eq!(bench.phase("cutting-1"), PhaseKind::InService);
}

#[test]
fn replaced_instance_is_a_new_incarnation_whatever_it_was_doing() {
    let until: [&[PoolChange]; 4] = [
        &[],
        &[maintain()],
        &[maintain(), PoolChange::Emptied],
        &[PoolChange::Failed],
    ];
    for changes in until {
        let mut bench = Bench::new();
        bench.open_wave(1);
        bench.steps("cutting-1", changes.to_vec());
        bench.steps("cutting-1", vec![appear(9)]);
        assert_eq!(
            bench.phase("cutting-1"),
            PhaseKind::Returning,
            "{changes:?}"
        );
        assert!(!bench.ledger.may_start("cutting-1"), "{changes:?}");
        let instance = bench.ledger.instance("cutting-1").expect("instance");
        assert!(!bench.ledger.awaits_maintenance(instance), "{changes:?}");
    }
}

#[test]
fn starts_follow_drains_zones_and_membership() {
    let mut bench = Bench::new();
    assert!(bench.ledger.may_start("cutting-1"));
    bench.set_zone(0, ZoneStatus::OutOfService);
    assert!(!bench.ledger.may_start("cutting-1"));
    assert!(bench.ledger.may_start("cutting-2"));
    bench.set_zone(0, ZoneStatus::InService);
    assert_eq!(bench.phase("cutting-1"), PhaseKind::Returning);
    assert!(!bench.ledger.may_start("cutting-1"));
    bench.steps("cutting-1", vec![PoolChange::Admit]);
    assert!(bench.ledger.may_start("cutting-1"));
    for worker in ["office-1", "office-3"] {
        bench.steps(worker, vec![PoolChange::Admit]);
    }
    bench.steps("office-2", vec![lend("quotes")]);
    assert!(!bench.ledger.may_start("office-2"));
    assert_eq!(
        bench.ledger.pool_of("office-2").map(|pool| &**pool),
        Some("office")
    );
    bench.steps(
        "office-2",
        vec![PoolChange::Emptied, change_pool("office", "quotes")],
    );
    assert_eq!(
        bench.ledger.pool_of("office-2").map(|pool| &**pool),
        Some("quotes")
    );
    let holds = |pool| {
        let mut members = bench.ledger.members(pool);
        members.any(|member| &*member.worker == "office-2")
    };
    assert!(holds("quotes") && !holds("office"));
}

#[test]
fn wave_opens_only_after_the_one_before_it_has_finished() {
    let mut bench = Bench::new();
    let out_of_turn = PoolOutcome::Rejected(PoolRejection::WaveOutOfTurn);
    assert_eq!(bench.open_wave(2), out_of_turn);
    assert!(matches!(bench.open_wave(1), PoolOutcome::Accepted { .. }));
    assert_eq!(bench.open_wave(2), out_of_turn);
    let workers: Vec<WorkerId> = bench.workers.iter().map(|spec| spec.id.clone()).collect();
    for worker in workers {
        let changes = vec![
            maintain(),
            PoolChange::Emptied,
            PoolChange::Reboot,
            appear(2),
            PoolChange::Admit,
        ];
        bench.steps(&worker, changes);
    }
    assert!(bench.ledger.wave_finished());
    assert!(matches!(bench.open_wave(2), PoolOutcome::Accepted { .. }));
}

/// Returns any change, likely or not.
fn any_change() -> impl Strategy<Value = PoolChange> {
    let pool = prop::sample::select(vec!["cutting", "quotes", "office"]);
    let choices = (0..10_u8, pool.clone(), pool, 1..4_u128);
    choices.prop_map(|(kind, from, to, boot)| match kind {
        0 => appear(boot),
        1 => PoolChange::Failed,
        2 | 3 => maintain(),
        4 => lend(to),
        5 => PoolChange::Emptied,
        6 => PoolChange::Reboot,
        7 => change_pool(from, to),
        8 => PoolChange::Cancel,
        _ => PoolChange::Admit,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_drain_breaks_a_budget_and_each_instance_is_in_one_pool(
        steps in prop::collection::vec((0..12_usize, any_change(), any::<bool>()), 1..200),
    ) {
        let mut bench = Bench::new();
        for (index, change, flip_zone) in steps {
            let worker = bench.workers[index].id.clone();
            let drains = matches!(change, PoolChange::Drain { .. });
            let pool = bench.ledger.pool_of(&worker).expect("pool").clone();
            let was_available = bench.ledger.is_available(
                bench.ledger.instance(&worker).expect("instance"),
            );
            if bench.step(&worker, change).is_ok() && drains && was_available {
                prop_assert!(bench.ledger.budget(&pool).holds(), "{pool} after {worker}");
            }
            if flip_zone && index == 0 {
                let status = match bench.zones[0].status {
                    ZoneStatus::InService => ZoneStatus::OutOfService,
                    ZoneStatus::OutOfService => ZoneStatus::InService,
                };
                bench.set_zone(0, status);
            }
            let mut members = 0;
            for pool in ["cutting", "quotes", "office"] {
                for member in bench.ledger.members(pool) {
                    prop_assert_eq!(&*member.pool, pool);
                    members += 1;
                }
            }
            prop_assert_eq!(members, bench.workers.len());
        }
    }
}
