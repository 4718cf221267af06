//! Reports of the `owners` subcommand.

use pw_cli::owners::{TenureState, shard_tenures};

fn line(second: u32, event: u32, message: &str, shard: u32, epoch: u32) -> String {
    let time = format!("2026-01-01T00:00:{second:02}Z");
    format!(
        r#"{{"timestamp":"{time}","event":{event},"message":"{message}","shard":{shard},"epoch":{epoch}}}"#
    )
}

/// On a slow link, a shard was claimed again and again, and nothing showed that it was never opened.
#[test]
fn claims_without_a_takeover_are_shown() {
    let first = [
        line(1, 630, "shard taken over", 33, 1),
        "not a log line".to_owned(),
        line(20, 631, "later owner reported", 33, 1),
        line(32, 631, "shard released", 33, 1),
        line(47, 631, "shard released", 33, 5),
    ];
    let second = [line(50, 630, "shard taken over", 33, 6)];
    let logs = [
        ("node-1".to_owned(), first.join("\n")),
        ("node-2".to_owned(), second.join("\n")),
    ];
    let tenures = shard_tenures(&logs);
    let states: Vec<_> = tenures.iter().map(|t| (t.epoch, t.state)).collect();
    assert_eq!(
        states,
        [
            (1, TenureState::Released),
            (5, TenureState::NeverOpened),
            (6, TenureState::Owned)
        ]
    );
    assert_eq!(tenures[0].to.as_deref(), Some("2026-01-01T00:00:32Z"));
}
