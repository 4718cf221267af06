//! Exhaustive search over concurrent operators and followers of the log.

use pw_model::config;
use pw_model::prelude::*;

#[test]
fn every_configuration_property_holds() {
    let report = search(
        ConfigWorld::new(ConfigSettings::default()),
        SearchBound::default(),
    );
    println!("configuration: {report}");
    assert_eq!(report.counterexample.map(|found| found.to_string()), None);
    assert!(!report.truncated);
    assert!(
        report.states > 1_000,
        "the search is too small: {}",
        report.states
    );
}

#[test]
fn deliberate_mistakes_are_found() {
    let cases = [
        (ConfigMistake::RepeatUnderNewIdentity, config::TRUE_OUTCOME),
        (
            ConfigMistake::ApplyWithoutBaseRevision,
            config::NO_LOST_UPDATE,
        ),
        (ConfigMistake::RelaySkipsRecords, config::SAME_FOLD),
        (ConfigMistake::AnswerTakenForOutcome, config::TRUE_OUTCOME),
    ];
    for (mistake, property) in cases {
        let settings = ConfigSettings {
            mistake: Some(mistake),
            ..ConfigSettings::default()
        };
        let report = search(ConfigWorld::new(settings), SearchBound::default());
        println!("{mistake}: {report}");
        let counterexample = report
            .counterexample
            .unwrap_or_else(|| panic!("{mistake} was not found"));
        assert_eq!(
            counterexample.violation.name, property,
            "{mistake}: {counterexample}"
        );
    }
}
