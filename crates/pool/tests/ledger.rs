//! Proposals and steps that the pool ledger accepts or rejects.

mod support;

use proptest::prelude::{
    ProptestConfig, Strategy, any, prop, prop_assert, prop_assert_eq, proptest,
};
use proptest::test_runner::RngSeed;
use pw_base::prelude::*;
use pw_pool::prelude::*;
use pw_zone::prelude::*;
use support::{
    FIRST_BOOT, LedgerFixture, drain_for_maintenance, drain_for_move, move_worker, report_alive,
};

/// Seed of the generated steps.
const SEED: u64 = 4;

/// Step with its setup and expected outcome.
struct StepCase {
    name: &'static str,
    setup: fn(&mut LedgerFixture),
    worker: &'static str,
    change: PoolChange,
    expected: Result<(), StepRejection>,
}

fn case(
    name: &'static str,
    setup: fn(&mut LedgerFixture),
    worker: &'static str,
    change: PoolChange,
    expected: Result<(), StepRejection>,
) -> StepCase {
    StepCase {
        name,
        setup,
        worker,
        change,
        expected,
    }
}

#[test]
fn step_outcome_depends_on_the_preceding_records() {
    let over_budget = Err(StepRejection::BudgetExceeded);
    let wrong_phase = |kind| Err(StepRejection::WrongPhase(kind));
    let no_setup: fn(&mut LedgerFixture) = |_| {};
    let with_loan: fn(&mut LedgerFixture) = |fixture| {
        let changes = vec![
            drain_for_move("cutting"),
            PoolChange::Emptied,
            move_worker("office", "cutting"),
            PoolChange::Admit,
        ];
        fixture.apply_steps("office-1", changes);
    };
    let cases = [
        case(
            "a drain within the budget",
            no_setup,
            "cutting-1",
            drain_for_maintenance(),
            Ok(()),
        ),
        case(
            "a drain that exceeds the budget",
            |fixture| fixture.apply_steps("cutting-2", vec![drain_for_maintenance()]),
            "cutting-1",
            drain_for_maintenance(),
            over_budget,
        ),
        case(
            "a drain after a failure exhausted the budget",
            |fixture| fixture.apply_steps("cutting-2", vec![PoolChange::Failed]),
            "cutting-1",
            drain_for_maintenance(),
            over_budget,
        ),
        case(
            "a drain while a rebooted instance is not yet admitted",
            |fixture| {
                let changes = vec![
                    drain_for_maintenance(),
                    PoolChange::Emptied,
                    PoolChange::Reboot,
                    report_alive(2),
                ];
                fixture.apply_steps("cutting-2", changes);
            },
            "cutting-1",
            drain_for_maintenance(),
            over_budget,
        ),
        case(
            "a drain compensated by a borrowed instance",
            with_loan,
            "cutting-1",
            drain_for_maintenance(),
            Ok(()),
        ),
        case(
            "a drain in a rack with half of its instances failed",
            |fixture| {
                for worker in ["quotes-1", "quotes-3", "office-1"] {
                    fixture.apply_steps(worker, vec![PoolChange::Failed]);
                }
            },
            "cutting-1",
            drain_for_maintenance(),
            Err(StepRejection::DomainFailing),
        ),
        case(
            "a drain in such a rack after the instance was reported alive again",
            |fixture| {
                for worker in ["quotes-1", "quotes-3", "office-1"] {
                    fixture.apply_steps(worker, vec![PoolChange::Failed]);
                }
                for worker in ["cutting-1", "cutting-3"] {
                    fixture.apply_steps(worker, vec![report_alive(FIRST_BOOT)]);
                }
            },
            "cutting-1",
            drain_for_maintenance(),
            Ok(()),
        ),
        case(
            "a drain during an outage of another zone",
            |fixture| fixture.set_zone(1, ZoneStatus::OutOfService),
            "cutting-1",
            drain_for_maintenance(),
            over_budget,
        ),
        case(
            "a drain in a zone out of service",
            |fixture| fixture.set_zone(0, ZoneStatus::OutOfService),
            "cutting-1",
            drain_for_maintenance(),
            Ok(()),
        ),
        case(
            "a second drain there, which would violate the budget after the zone's return",
            |fixture| {
                fixture.set_zone(0, ZoneStatus::OutOfService);
                fixture.apply_steps("cutting-3", vec![drain_for_maintenance()]);
            },
            "cutting-1",
            drain_for_maintenance(),
            over_budget,
        ),
        case(
            "a drain after the budget was lowered below the unavailable instances",
            |fixture| {
                fixture.apply_steps("cutting-2", vec![drain_for_maintenance()]);
                fixture.pools[0].max_unavailable = 0;
                fixture.apply();
            },
            "cutting-1",
            drain_for_maintenance(),
            over_budget,
        ),
        case(
            "the next step of a drain in progress when the budget was lowered",
            |fixture| {
                fixture.apply_steps("cutting-2", vec![drain_for_maintenance()]);
                fixture.pools[0].max_unavailable = 0;
                fixture.apply();
            },
            "cutting-2",
            PoolChange::Emptied,
            Ok(()),
        ),
        case(
            "a reboot of an instance that still runs tasks",
            |fixture| fixture.apply_steps("cutting-1", vec![drain_for_maintenance()]),
            "cutting-1",
            PoolChange::Reboot,
            wrong_phase(PhaseKind::Draining),
        ),
        case(
            "a report of the same boot during a reboot",
            |fixture| {
                let changes = vec![
                    drain_for_maintenance(),
                    PoolChange::Emptied,
                    PoolChange::Reboot,
                ];
                fixture.apply_steps("cutting-1", changes);
            },
            "cutting-1",
            report_alive(FIRST_BOOT),
            Err(StepRejection::SameBoot),
        ),
        case(
            "a move of an instance in service",
            no_setup,
            "office-1",
            move_worker("office", "cutting"),
            wrong_phase(PhaseKind::InService),
        ),
        case(
            "a move of an instance that still runs tasks",
            |fixture| fixture.apply_steps("office-1", vec![drain_for_move("cutting")]),
            "office-1",
            move_worker("office", "cutting"),
            wrong_phase(PhaseKind::Draining),
        ),
        case(
            "a move out of a pool that the instance is not in",
            |fixture| {
                fixture.apply_steps(
                    "office-1",
                    vec![drain_for_move("cutting"), PoolChange::Emptied],
                );
            },
            "office-1",
            move_worker("quotes", "cutting"),
            Err(StepRejection::NotInPool),
        ),
        case(
            "a move to another pool than the drain's destination",
            |fixture| {
                fixture.apply_steps(
                    "office-1",
                    vec![drain_for_move("cutting"), PoolChange::Emptied],
                );
            },
            "office-1",
            move_worker("office", "quotes"),
            wrong_phase(PhaseKind::Empty),
        ),
        case(
            "a loan from a pool that is not spare",
            no_setup,
            "quotes-1",
            drain_for_move("cutting"),
            Err(StepRejection::NotLendable),
        ),
        case(
            "a loan to a pool that is not declared",
            no_setup,
            "office-1",
            drain_for_move("sewing"),
            Err(StepRejection::UnknownPool),
        ),
        case(
            "a loan that leaves the spare pool below its minimum",
            |fixture| {
                fixture.pools[2].min_workers = 4;
                fixture.apply();
            },
            "office-1",
            drain_for_move("cutting"),
            over_budget,
        ),
        case(
            "a second concurrent loan",
            |fixture| fixture.apply_steps("office-2", vec![drain_for_move("cutting")]),
            "office-1",
            drain_for_move("quotes"),
            over_budget,
        ),
        case(
            "a loan during a zone outage that took half of the spare pool",
            |fixture| {
                fixture.pools[2].min_workers = 1;
                fixture.set_zone(1, ZoneStatus::OutOfService);
            },
            "office-1",
            drain_for_move("cutting"),
            Ok(()),
        ),
        case(
            "a loan of a worker in a zone out of service",
            |fixture| {
                fixture.pools[2].min_workers = 1;
                fixture.set_zone(1, ZoneStatus::OutOfService);
            },
            "office-2",
            drain_for_move("cutting"),
            Err(StepRejection::ZoneOut),
        ),
        case(
            "a loan of a borrowed worker to a third pool",
            with_loan,
            "office-1",
            drain_for_move("quotes"),
            Err(StepRejection::NotLendable),
        ),
        case(
            "a drain in the spare pool while a returned worker awaits admission",
            |fixture| {
                let changes = vec![
                    drain_for_move("cutting"),
                    PoolChange::Emptied,
                    move_worker("office", "cutting"),
                    PoolChange::Admit,
                    drain_for_move("office"),
                    PoolChange::Emptied,
                    move_worker("cutting", "office"),
                ];
                fixture.apply_steps("office-1", changes);
            },
            "office-2",
            drain_for_maintenance(),
            Ok(()),
        ),
        case(
            "a return of a borrowed worker",
            with_loan,
            "office-1",
            drain_for_move("office"),
            Ok(()),
        ),
        case(
            "a move after the worker was declared in another pool",
            |fixture| {
                let worker = fixture.pools[0].workers.remove(0);
                fixture.pools[1].workers.push(worker);
                fixture.apply();
            },
            "cutting-1",
            drain_for_move("quotes"),
            Ok(()),
        ),
        case(
            "an admission in a zone out of service",
            |fixture| {
                let changes = vec![
                    drain_for_maintenance(),
                    PoolChange::Emptied,
                    PoolChange::Reboot,
                    report_alive(2),
                ];
                fixture.apply_steps("cutting-1", changes);
                fixture.set_zone(0, ZoneStatus::OutOfService);
            },
            "cutting-1",
            PoolChange::Admit,
            Err(StepRejection::ZoneOut),
        ),
        case(
            "a step on a removed worker",
            |fixture| {
                fixture.pools[0].workers.remove(0);
                fixture.apply();
            },
            "cutting-1",
            drain_for_maintenance(),
            Err(StepRejection::UnknownWorker),
        ),
    ];
    for StepCase {
        name,
        setup,
        worker,
        change,
        expected,
    } in cases
    {
        let mut fixture = LedgerFixture::new();
        setup(&mut fixture);
        assert_eq!(fixture.propose_step(worker, change), expected, "{name}");
    }
}

#[test]
fn second_of_two_concurrent_claims_is_rejected() {
    let mut fixture = LedgerFixture::new();
    let claim = |holder: &str| PoolProposal::Claim {
        base: 1,
        holder: holder.into(),
    };
    assert!(matches!(
        fixture.propose(&claim("entry-2")),
        PoolOutcome::Accepted { .. }
    ));
    let stale_term = PoolOutcome::Rejected(PoolRejection::StaleTerm);
    assert_eq!(fixture.propose(&claim("entry-3")), stale_term);
    assert_eq!(fixture.ledger.planner().holder.as_deref(), Some("entry-2"));
    let base = fixture
        .ledger
        .instance("cutting-1")
        .expect("the worker is declared")
        .changed;
    let steps_of_old_term = PoolProposal::Steps {
        term: 1,
        steps: vec![PoolStep {
            worker: "cutting-1".into(),
            base,
            change: drain_for_maintenance(),
        }],
    };
    assert_eq!(fixture.propose(&steps_of_old_term), stale_term);
    assert_eq!(fixture.phase("cutting-1"), PhaseKind::InService);
}

#[test]
fn step_based_on_an_older_state_is_rejected() {
    let mut fixture = LedgerFixture::new();
    let base = fixture
        .ledger
        .instance("cutting-1")
        .expect("the worker is declared")
        .changed;
    fixture.apply_steps(
        "cutting-1",
        vec![
            drain_for_maintenance(),
            PoolChange::Cancel,
            PoolChange::Admit,
        ],
    );
    for change in [drain_for_maintenance(), PoolChange::Failed, report_alive(7)] {
        assert_eq!(
            fixture.propose_step_at(base, "cutting-1", change),
            Err(StepRejection::StaleState)
        );
    }
    assert_eq!(fixture.phase("cutting-1"), PhaseKind::InService);
}

#[test]
fn replaced_instance_awaits_admission_and_counts_as_maintained() {
    let histories: [&[PoolChange]; 4] = [
        &[],
        &[drain_for_maintenance()],
        &[drain_for_maintenance(), PoolChange::Emptied],
        &[PoolChange::Failed],
    ];
    for changes in histories {
        let mut fixture = LedgerFixture::new();
        fixture.open_wave(1);
        fixture.apply_steps("cutting-1", changes.to_vec());
        fixture.apply_steps("cutting-1", vec![report_alive(9)]);
        assert_eq!(
            fixture.phase("cutting-1"),
            PhaseKind::Returning,
            "{changes:?}"
        );
        assert!(!fixture.ledger.may_start("cutting-1"), "{changes:?}");
        let instance = fixture
            .ledger
            .instance("cutting-1")
            .expect("the worker is declared");
        assert!(!fixture.ledger.awaits_maintenance(instance), "{changes:?}");
    }
}

#[test]
fn starts_depend_on_drains_zones_and_membership() {
    let mut fixture = LedgerFixture::new();
    assert!(fixture.ledger.may_start("cutting-1"));
    fixture.set_zone(0, ZoneStatus::OutOfService);
    assert!(!fixture.ledger.may_start("cutting-1"));
    assert!(fixture.ledger.may_start("cutting-2"));
    fixture.set_zone(0, ZoneStatus::InService);
    assert_eq!(fixture.phase("cutting-1"), PhaseKind::Returning);
    assert!(!fixture.ledger.may_start("cutting-1"));
    fixture.apply_steps("cutting-1", vec![PoolChange::Admit]);
    assert!(fixture.ledger.may_start("cutting-1"));
    for worker in ["office-1", "office-3"] {
        fixture.apply_steps(worker, vec![PoolChange::Admit]);
    }
    fixture.apply_steps("office-2", vec![drain_for_move("quotes")]);
    assert!(!fixture.ledger.may_start("office-2"));
    assert_eq!(
        fixture.ledger.pool_of("office-2").map(|pool| &**pool),
        Some("office")
    );
    fixture.apply_steps(
        "office-2",
        vec![PoolChange::Emptied, move_worker("office", "quotes")],
    );
    assert_eq!(
        fixture.ledger.pool_of("office-2").map(|pool| &**pool),
        Some("quotes")
    );
    let is_member = |pool| {
        let mut members = fixture.ledger.members(pool);
        members.any(|member| &*member.worker == "office-2")
    };
    assert!(is_member("quotes") && !is_member("office"));
}

#[test]
fn wave_opens_only_after_the_previous_one_is_finished() {
    let mut fixture = LedgerFixture::new();
    let out_of_turn = PoolOutcome::Rejected(PoolRejection::WaveOutOfTurn);
    assert_eq!(fixture.open_wave(2), out_of_turn);
    assert!(matches!(fixture.open_wave(1), PoolOutcome::Accepted { .. }));
    assert_eq!(fixture.open_wave(2), out_of_turn);
    let workers: Vec<WorkerId> = fixture.workers.iter().map(|spec| spec.id.clone()).collect();
    for worker in workers {
        let changes = vec![
            drain_for_maintenance(),
            PoolChange::Emptied,
            PoolChange::Reboot,
            report_alive(2),
            PoolChange::Admit,
        ];
        fixture.apply_steps(&worker, changes);
    }
    assert!(fixture.ledger.wave_finished());
    assert!(matches!(fixture.open_wave(2), PoolOutcome::Accepted { .. }));
}

/// Generates arbitrary changes, valid or not.
fn any_change() -> impl Strategy<Value = PoolChange> {
    let pool = prop::sample::select(vec!["cutting", "quotes", "office"]);
    let choices = (0..10_u8, pool.clone(), pool, 1..4_u128);
    choices.prop_map(|(kind, from, to, boot)| match kind {
        0 => report_alive(boot),
        1 => PoolChange::Failed,
        2 | 3 => drain_for_maintenance(),
        4 => drain_for_move(to),
        5 => PoolChange::Emptied,
        6 => PoolChange::Reboot,
        7 => move_worker(from, to),
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
    fn no_drain_violates_a_budget_and_each_instance_is_in_one_pool(
        steps in prop::collection::vec((0..12_usize, any_change(), any::<bool>()), 1..200),
    ) {
        let mut fixture = LedgerFixture::new();
        for (index, change, toggle_zone) in steps {
            let worker = fixture.workers[index].id.clone();
            let drains = matches!(change, PoolChange::Drain { .. });
            let pool = fixture.ledger.pool_of(&worker).expect("the worker is in a pool").clone();
            let was_available = fixture.ledger.is_available(
                fixture.ledger.instance(&worker).expect("the worker is declared"),
            );
            if fixture.propose_step(&worker, change).is_ok() && drains && was_available {
                prop_assert!(
                    fixture.ledger.budget(&pool).is_met(),
                    "budget of {pool} violated by the drain of {worker}",
                );
            }
            if toggle_zone && index == 0 {
                let status = match fixture.zones[0].status {
                    ZoneStatus::InService => ZoneStatus::OutOfService,
                    ZoneStatus::OutOfService => ZoneStatus::InService,
                };
                fixture.set_zone(0, status);
            }
            let mut members = 0;
            for pool in ["cutting", "quotes", "office"] {
                for member in fixture.ledger.members(pool) {
                    prop_assert_eq!(&*member.pool, pool);
                    members += 1;
                }
            }
            prop_assert_eq!(members, fixture.workers.len());
        }
    }
}
