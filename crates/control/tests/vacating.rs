//! Workers that their runs are to leave, so that their machines can be taken.

mod support;

use support::{World, budget_world, lasting, millis, seconds, step};

#[test]
fn a_vacated_worker_gets_nothing_and_its_lasting_task_moves() {
    let mut world = World::new(3);
    world.submit("lasting", None, vec![lasting(1)]);
    assert!(world.run_until(seconds(1), |world| world.running("lasting.0.0.0") == 1));
    world.run(seconds(2));
    let holder = world.starts[0][0].0.clone();
    world.vacate(std::slice::from_ref(&holder), &[]);
    world.submit("job", Some("ane"), vec![step(6)]);
    world.run(millis(1500));
    assert!(world.workers[&holder].running.is_empty());
    let shard = world.controller.as_ref().expect("a controller");
    assert_eq!(shard.survey_report(world.now).clear, [holder]);
    assert_eq!(world.running("lasting.0.0.0"), 1);
}

#[test]
fn no_more_tasks_of_a_step_are_away_than_it_allows() {
    let (mut world, holders) = budget_world(6, 3);
    let least = std::cell::Cell::new(3);
    for _ in 0..40 {
        world.vacate(&holders, &[]);
        world.run_until(millis(500), |world| {
            let up = (0..3).filter(|i| world.running(&format!("lasting.0.0.{i}")) == 1);
            least.set(least.get().min(up.count()));
            false
        });
    }
    assert_eq!(least.get(), 2, "the budget was not kept, or nothing moved");
    assert!(
        holders
            .iter()
            .all(|holder| world.workers[holder].running.is_empty())
    );
}

/// A node that can't read the configuration yet takes a shard over and hears of ends.
/// A wave reaches the workers of a pool in its lull, on which nothing ends that would end a look.
#[test]
fn lasting_tasks_leave_one_after_the_other_without_idle_waits() {
    let (mut world, holders) = budget_world(6, 3);
    world.vacate(&holders, &[]);
    let clear = |world: &World| {
        let mut holders = holders.iter();
        holders.all(|holder| world.workers[holder].running.is_empty())
    };
    assert!(world.run_until(millis(2500), clear));
}

/// The owner before told the keeper that a worker is clear; the next one takes over before the order
/// for its machine arrives.
#[test]
fn nothing_that_lasts_is_placed_on_a_worker_whose_machine_may_be_on_its_way() {
    let mut world = World::new(1);
    world.surveys_enabled = false;
    world.submit("lasting", None, vec![lasting(1)]);
    world.take_over(None);
    world.run(millis(1000));
    assert_eq!(world.start_count("lasting.0.0.0"), 0);
    world.vacate(&[], &[]);
    assert!(world.run_until(millis(200), |world| world.running("lasting.0.0.0") == 1));
}

/// The machine of one task was ordered away, and its worker is still shown with the task at work.
#[test]
fn a_task_on_a_taken_machine_counts_as_away() {
    let (mut world, holders) = budget_world(4, 2);
    world.workers[&holders[1]].dead = true;
    world.vacate(&holders, &holders[1..]);
    world.run(millis(1000));
    assert_eq!(world.starts[0].len(), 1, "two of a step were away");
}

/// The owner before stopped a task of the step just now; the worker shows it at work until then.
#[test]
fn a_new_owner_moves_nothing_until_the_stops_before_it_are_done() {
    let (mut world, holders) = budget_world(4, 2);
    world.hand_over();
    world.vacate(&holders, &[]);
    world.run(millis(1400));
    assert!(
        world.starts.values().all(|starts| starts.len() == 1),
        "moved at once"
    );
    world.run(seconds(4));
    assert!(
        world.starts.values().all(|starts| starts.len() == 2),
        "never moved"
    );
}
