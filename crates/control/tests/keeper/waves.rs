//! Maintenance waves.

use std::sync::Arc;
use std::time::Duration;

use pw_control::prelude::*;

use crate::platform::{Platform, keeper, wave};

#[test]
fn a_wave_is_done_within_its_maximum_and_then_reported() {
    let mut platform = Platform::new(12, wave(6, 2));
    platform.run(Duration::from_secs(15));
    assert_eq!(platform.started(), 6);
    assert_eq!(platform.orders.len(), 6, "a machine was ordered twice");
    assert_eq!(platform.most_down, 2);
    assert_eq!(platform.reports, [(1, false), (1, true)]);
    assert!(platform.notes[&1].completed);
}

/// It takes seconds until the last task that lasts has left a machine.
#[test]
fn machines_with_tasks_that_last_are_taken_first() {
    let mut platform = Platform::new(8, WaveRule::default());
    platform.work.insert("pool".into(), (10, 0));
    platform.anchored = vec!["w5".into(), "w7".into()];
    platform.run(Duration::from_secs(1));
    let mut config = (*platform.config).clone();
    config.waves.insert(2, wave(8, 2));
    platform.tell(MachineEvent::Config(Arc::new(config)));
    platform.run(Duration::from_secs(4));
    let first: Vec<&str> = platform.orders[..2].iter().map(|o| &*o.machine).collect();
    assert_eq!(first, ["m5", "m7"]);
}

#[test]
fn no_more_than_a_part_of_a_pool_is_taken_at_a_time() {
    let mut platform = Platform::new(8, wave(8, 8));
    platform.run(Duration::from_secs(25));
    assert_eq!(platform.started(), 8);
    assert_eq!(platform.most_down, 2, "a quarter of eight machines");
}

/// A rack goes dark while its machines are being vacated for their upkeep.
#[test]
fn a_machine_that_came_back_with_another_worker_still_has_its_upkeep() {
    let mut platform = Platform::new(4, wave(4, 4));
    platform.clear = false;
    platform.run(Duration::from_secs(1));
    for (number, view) in platform.views.values_mut().enumerate() {
        view.worker = Some(format!("reborn{number}").into());
    }
    platform.clear = true;
    platform.run(Duration::from_secs(15));
    assert_eq!(platform.started(), 4);
    assert!(platform.notes[&1].completed);
}

/// A pool in its lull has few machines, and what lasts on them takes seconds to leave.
#[test]
fn two_machines_of_a_small_pool_are_taken_at_a_time() {
    let mut platform = Platform::new(4, wave(4, 4));
    platform.clear = false;
    platform.run(Duration::from_secs(2));
    platform.clear = true;
    platform.run(Duration::from_millis(200));
    assert_eq!(platform.started(), 2);
}

#[test]
fn a_machine_is_ordered_only_once_its_worker_is_clear() {
    let mut platform = Platform::new(8, wave(2, 2));
    platform.clear = false;
    platform.run(Duration::from_secs(5));
    assert!(platform.orders.is_empty());
    platform.clear = true;
    platform.run(Duration::from_secs(5));
    assert_eq!(platform.started(), 2);
}

#[test]
fn an_order_without_an_answer_counts_as_down_and_is_repeated() {
    let mut platform = Platform::new(8, wave(4, 1));
    platform.outcome = MachineOutcome::Unanswered;
    platform.run(Duration::from_secs(3));
    assert_eq!(
        platform.started(),
        1,
        "another machine was ordered while one may be down"
    );
    assert!(platform.orders.len() > 3);
    platform.outcome = MachineOutcome::Done;
    platform.run(Duration::from_secs(20));
    assert_eq!(platform.started(), 4);
    assert_eq!(platform.most_down, 1);
}

#[test]
fn a_machine_that_is_gone_does_not_hold_the_wave() {
    let mut platform = Platform::new(4, wave(4, 2));
    platform.views.swap_remove("m2");
    platform.run(Duration::from_secs(15));
    assert_eq!(platform.started(), 3);
    assert_eq!(platform.reports.last(), Some(&(1, true)));
}

#[test]
fn a_wave_is_not_completed_while_the_machines_are_unknown() {
    let mut platform = Platform::new(0, wave(4, 2));
    platform.run(Duration::from_secs(5));
    assert!(!platform.reports.contains(&(1, true)));
}

#[test]
fn the_next_keeper_goes_on_where_the_one_before_stopped() {
    let mut platform = Platform::new(8, wave(4, 1));
    platform.run(Duration::from_millis(3000));
    let done = platform.started();
    assert!((1..4).contains(&done));
    let progress = platform.notes.clone();
    platform.keeper = keeper(2, &platform.config, progress, platform.now);
    platform.run(Duration::from_secs(20));
    assert_eq!(platform.started(), 4);
    assert_eq!(platform.orders.len(), 4, "a machine had its upkeep twice");
    assert_eq!(
        platform.most_down, 1,
        "a machine that an earlier keeper ordered was not counted"
    );
    assert!(
        platform
            .orders
            .iter()
            .skip(done)
            .all(|order| order.epoch == 2)
    );
}

#[test]
fn a_fenced_keeper_gives_no_further_orders_for_the_machine() {
    let mut platform = Platform::new(8, wave(1, 1));
    platform.outcome = MachineOutcome::Fenced;
    platform.run(Duration::from_secs(5));
    assert_eq!(platform.orders.len(), 1);
    assert_eq!(platform.contested, 1);
}
