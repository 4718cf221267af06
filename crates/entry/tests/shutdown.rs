//! A shutdown lingers, drains, and ends by one of three causes.

use std::time::{Duration, Instant};

use pw_entry::prelude::*;
use pw_link::prelude::*;

const SETTINGS: ShutdownSettings = ShutdownSettings {
    balancer_lag: Duration::from_secs(3),
    timeout: Duration::from_secs(10),
};

/// Feeds events at seconds since the start and returns the commands.
fn commands(events: &[(u64, ShutdownEvent)]) -> Vec<ShutdownCommand> {
    let start = Instant::now();
    let mut plan = ShutdownPlan::new(SETTINGS);
    let commands = events
        .iter()
        .filter_map(|(secs, event)| plan.handle(start + Duration::from_secs(*secs), *event));
    commands.collect()
}

#[test]
fn shutdown_takes_each_phase_in_its_time() {
    use ShutdownCommand::{Enter, Stop};
    use ShutdownEvent::{SignalArrived, TimePassed, WorkFinished};
    let lingering = Enter(ServePhase::Lingering);
    let draining = Enter(ServePhase::Draining);
    let lines = [
        (
            "no signal",
            vec![(0, WorkFinished), (99, TimePassed)],
            vec![],
        ),
        (
            "idle instance waits for the balancer",
            vec![(0, SignalArrived), (1, WorkFinished), (2, TimePassed)],
            vec![lingering],
        ),
        (
            "finished",
            vec![(0, SignalArrived), (3, TimePassed), (4, WorkFinished)],
            vec![lingering, draining, Stop(ShutdownVerdict::Finished)],
        ),
        (
            "too long",
            vec![
                (0, SignalArrived),
                (3, TimePassed),
                (9, TimePassed),
                (10, TimePassed),
            ],
            vec![lingering, draining, Stop(ShutdownVerdict::TimedOut)],
        ),
        (
            "second signal",
            vec![(0, SignalArrived), (1, SignalArrived)],
            vec![lingering, Stop(ShutdownVerdict::Interrupted)],
        ),
    ];
    for (name, events, expected) in lines {
        assert_eq!(commands(&events), expected, "{name}");
    }
}
