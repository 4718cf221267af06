//! Exhaustive search over permit holders that are paused, partitioned and replaced.

use pw_model::permit::WITHIN_LIMIT;
use pw_model::prelude::*;

const BOUND: SearchBound = SearchBound {
    max_depth: usize::MAX,
    max_states: 150_000,
};

/// Scenario in which a message of the first member is delayed.
fn delayed_message() -> PermitSettings {
    PermitSettings {
        delayed_messages: 1,
        ..PermitSettings::default()
    }
}

/// Scenario in which the first member has a floor permit and no longer reads the log.
fn floor_permit() -> PermitSettings {
    PermitSettings {
        limit: 2,
        has_floor: true,
        reads: 0,
        ..PermitSettings::default()
    }
}

/// Scenario in which the first member is replaced.
fn replacement() -> PermitSettings {
    PermitSettings {
        crashes: 1,
        reads: 2,
        ..PermitSettings::default()
    }
}

/// Scenario in which an append takes effect twice while tasks end and start.
fn repeated_append() -> PermitSettings {
    PermitSettings {
        repeats: 1,
        ends: 1,
        tasks: 1,
        ..PermitSettings::default()
    }
}

/// Scenario in which the first member reads the log but its appends are lost.
fn lost_appends() -> PermitSettings {
    PermitSettings {
        loses_appends: true,
        reads: 6,
        ..PermitSettings::default()
    }
}

#[test]
fn no_account_exceeds_its_limit() {
    let scenarios = [
        ("late", delayed_message()),
        ("floor", floor_permit()),
        ("crash", replacement()),
        ("repeat", repeated_append()),
        ("mute", lost_appends()),
    ];
    for (name, settings) in scenarios {
        let report = search(PermitWorld::new(settings), BOUND);
        println!("{name}: {report}");
        assert_eq!(report.counterexample.map(|found| found.to_string()), None);
        assert!(!report.truncated, "{name} was truncated");
    }
}

#[test]
fn permits_pass_from_a_silent_member_to_another() {
    for settings in [
        delayed_message(),
        floor_permit(),
        replacement(),
        repeated_append(),
        lost_appends(),
    ] {
        let world = PermitWorld::new(settings);
        let is_limit_used = |world: &PermitWorld| world.running_tasks_of(0) == settings.limit;
        assert!(find_trace(world.clone(), BOUND, is_limit_used).is_some());
        let other_member_runs = |world: &PermitWorld| world.running_tasks_of(1) > 0;
        assert!(find_trace(world, BOUND, other_member_runs).is_some());
    }
}

#[test]
fn deliberate_mistakes_are_found() {
    let cases = [
        (PermitMistake::RetireWithoutHoldDown, delayed_message()),
        (PermitMistake::ValidityFromAnswer, delayed_message()),
        (PermitMistake::RenewWithoutToken, delayed_message()),
        (PermitMistake::CheckBeforeToken, delayed_message()),
        (PermitMistake::RenewWithoutFreshness, delayed_message()),
        (PermitMistake::StartWithoutLease, delayed_message()),
        (PermitMistake::ReleaseBeforeEnd, delayed_message()),
        (PermitMistake::FenceUnderLease, floor_permit()),
        (PermitMistake::RepeatCountsAnew, repeated_append()),
        (PermitMistake::SuspectedUsesFloat, lost_appends()),
    ];
    for (mistake, settings) in cases {
        let settings = PermitSettings {
            mistake: Some(mistake),
            ..settings
        };
        let report = search(PermitWorld::new(settings), BOUND);
        println!("{mistake}: {report}");
        let counterexample = report
            .counterexample
            .unwrap_or_else(|| panic!("{mistake} was not found"));
        assert_eq!(
            counterexample.violation.name, WITHIN_LIMIT,
            "{mistake}: {counterexample}"
        );
    }
}
