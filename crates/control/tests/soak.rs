//! Random runs of a shard's owners, workers and store in virtual time.
//!
//! The environment variable `SOAK_SEED` selects a single seed and prints what happens.

mod support;

use support::soak::{DisturbanceRates, soak};

/// Rates with failing runs only, which no other disturbance adds to.
fn rates() -> DisturbanceRates {
    DisturbanceRates {
        failures: 0.05,
        ..Default::default()
    }
}

#[test]
fn tasks_run_once_without_disturbances() {
    soak(0..40, rates());
}

#[test]
fn tasks_run_once_while_answers_are_lost() {
    let lost_answers = 0.1;
    let rates = DisturbanceRates {
        lost_answers,
        ..rates()
    };
    soak(100..140, rates);
}

#[test]
fn tasks_run_once_while_orders_are_late() {
    let rates = DisturbanceRates {
        late_orders: 0.15,
        refusals: 0.3,
        ..rates()
    };
    soak(200..240, rates);
}

#[test]
fn tasks_run_once_while_the_owner_lags() {
    let rates = DisturbanceRates {
        lags: 0.3,
        freezes: 0.05,
        ..rates()
    };
    soak(300..340, rates);
}

#[test]
fn tasks_run_once_while_workers_are_partitioned() {
    let rates = DisturbanceRates {
        partitions: 0.2,
        ..rates()
    };
    soak(400..440, rates);
}

#[test]
fn tasks_run_once_while_workers_restart_under_their_ids() {
    let rates = DisturbanceRates {
        restarts: 0.3,
        ..rates()
    };
    // Seed 7227 restarts the workers of a long-running task three times in a row.
    soak((500..540).chain([7227]), rates);
}

#[test]
fn tasks_run_once_while_owners_follow_each_other() {
    let rates = DisturbanceRates {
        claims: 0.07,
        releases: 0.1,
        ..rates()
    };
    soak(600..640, rates);
}

#[test]
fn tasks_run_once_while_lagging_owners_follow_each_other() {
    let rates = DisturbanceRates {
        lags: 0.15,
        freezes: 0.05,
        store_delays: 0.4,
        claims: 0.05,
        releases: 0.03,
        partitions: 0.1,
        ..rates()
    };
    soak(700..740, rates);
}

#[test]
fn tasks_run_once_while_a_successor_and_a_frozen_owner_reach_different_workers() {
    let rates = DisturbanceRates {
        freezes: 0.02,
        store_delays: 1.0,
        claims: 0.05,
        ..rates()
    };
    soak(900..940, rates);
}

/// Rates with all disturbances.
fn all_rates() -> DisturbanceRates {
    DisturbanceRates {
        lost_answers: 0.05,
        late_orders: 0.05,
        lags: 0.2,
        freezes: 0.05,
        restarts: 0.1,
        partitions: 0.1,
        claims: 0.07,
        releases: 0.05,
        store_delays: 0.1,
        refusals: 0.1,
        failures: 0.05,
        resizes: 0.0,
    }
}

#[test]
fn tasks_run_once_under_all_disturbances() {
    soak(800..840, all_rates());
}

/// Seeds that broke a check in longer runs.
#[test]
fn tasks_run_once_on_seeds_that_failed() {
    let seeds = [
        20_000, 20_031, 20_046, 20_151, 20_155, 20_187, 20_232, 20_310,
    ];
    soak(seeds, all_rates());
}

/// Seeds in which an order that went unanswered is carried out seconds later by a life of its worker
/// that has not heard of any owner.
#[test]
fn tasks_run_once_on_seeds_with_late_orders_to_later_lives() {
    soak([20_023, 20_206], all_rates());
}

#[test]
fn no_start_exceeds_a_capacity_that_shrinks_and_grows() {
    let rates = DisturbanceRates {
        resizes: 1.0,
        ..rates()
    };
    soak(1000..1040, rates);
}

#[test]
fn no_start_exceeds_a_capacity_that_shrinks_while_orders_are_late() {
    let rates = DisturbanceRates {
        lost_answers: 0.05,
        late_orders: 0.1,
        partitions: 0.1,
        resizes: 1.0,
        ..rates()
    };
    soak(1100..1140, rates);
}

#[test]
fn no_start_exceeds_a_capacity_that_shrinks_while_owners_follow_each_other() {
    let rates = DisturbanceRates {
        claims: 0.07,
        releases: 0.1,
        resizes: 1.0,
        ..rates()
    };
    soak(1200..1240, rates);
}
