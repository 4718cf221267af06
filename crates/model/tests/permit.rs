//! Exhaustive search over holders of permits.

use pw_model::permit::WITHIN_LIMIT;
use pw_model::prelude::*;

const BOUND: SearchBound = SearchBound {
    max_depth: usize::MAX,
    max_states: 150_000,
};

/// Returns the first member's messages late.
fn late() -> PermitSettings {
    PermitSettings {
        delayed_messages: 1,
        ..PermitSettings::default()
    }
}

/// Returns a first member with a floor permit that no longer reads the log.
fn floor() -> PermitSettings {
    PermitSettings {
        limit: 2,
        has_floor: true,
        reads: 0,
        ..PermitSettings::default()
    }
}

/// Returns a first member that is replaced.
fn crash() -> PermitSettings {
    PermitSettings {
        crashes: 1,
        reads: 2,
        ..PermitSettings::default()
    }
}

/// Returns an append that takes effect twice, while tasks end and start.
fn repeat() -> PermitSettings {
    PermitSettings {
        repeats: 1,
        ends: 1,
        tasks: 1,
        ..PermitSettings::default()
    }
}

/// Returns a first member that reads the log and can't append to it.
fn mute() -> PermitSettings {
    PermitSettings {
        loses_appends: true,
        reads: 6,
        ..PermitSettings::default()
    }
}

#[test]
fn no_account_exceeds_its_limit() {
    let scenarios = [
        ("late", late()),
        ("floor", floor()),
        ("crash", crash()),
        ("repeat", repeat()),
        ("mute", mute()),
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
    for settings in [late(), floor(), crash(), repeat(), mute()] {
        let world = PermitWorld::new(settings);
        let first_runs = |world: &PermitWorld| world.running_tasks_of(0) == settings.limit;
        assert!(find_trace(world.clone(), BOUND, first_runs).is_some());
        let other_runs = |world: &PermitWorld| world.running_tasks_of(1) > 0;
        assert!(find_trace(world, BOUND, other_runs).is_some());
    }
}

#[test]
fn seeded_mistakes_are_found() {
    let cases = [
        (PermitMistake::RetireWithoutHoldDown, late()),
        (PermitMistake::ValidityFromAnswer, late()),
        (PermitMistake::RenewWithoutToken, late()),
        (PermitMistake::CheckBeforeToken, late()),
        (PermitMistake::RenewWithoutFreshness, late()),
        (PermitMistake::StartWithoutLease, late()),
        (PermitMistake::ReleaseBeforeEnd, late()),
        (PermitMistake::FenceUnderLease, floor()),
        (PermitMistake::RepeatCountsAnew, repeat()),
        (PermitMistake::SuspectedUsesFloat, mute()),
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
