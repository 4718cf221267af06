//! Phases and outcomes of a shutdown.

use std::time::{Duration, Instant};

use pw_entry::prelude::*;
use pw_link::prelude::*;

const SETTINGS: ShutdownSettings = ShutdownSettings {
    balancer_lag: Duration::from_secs(3),
    timeout: Duration::from_secs(10),
};

/// Handles events at the given seconds since the start and returns the commands.
fn commands(events: &[(u64, ShutdownEvent)]) -> Vec<ShutdownCommand> {
    let start = Instant::now();
    let mut plan = ShutdownPlan::new(SETTINGS);
    let commands = events
        .iter()
        .filter_map(|(secs, event)| plan.handle(start + Duration::from_secs(*secs), *event));
    commands.collect()
}

#[test]
fn shutdown_phases_follow_their_deadlines() {
    use ShutdownCommand::{Enter, Stop};
    use ShutdownEvent::{SignalArrived, TimePassed, WorkFinished};
    let lingering = Enter(ServePhase::Lingering);
    let draining = Enter(ServePhase::Draining);
    let cases = [
        (
            "no signal",
            vec![(0, WorkFinished), (99, TimePassed)],
            vec![],
        ),
        (
            "idle instance waits for the load balancer",
            vec![(0, SignalArrived), (1, WorkFinished), (2, TimePassed)],
            vec![lingering],
        ),
        (
            "finished",
            vec![(0, SignalArrived), (3, TimePassed), (4, WorkFinished)],
            vec![lingering, draining, Stop(ShutdownVerdict::Finished)],
        ),
        (
            "timeout",
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
    for (name, events, expected) in cases {
        assert_eq!(commands(&events), expected, "{name}");
    }
}
