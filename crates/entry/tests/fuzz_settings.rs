//! Property tests of settings files: no input causes a panic, and accepted settings survive a round
//! trip.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::{Index, select};
use proptest::test_runner::RngSeed;
use pw_entry::prelude::*;

const SEED: u64 = 0x0005_e771;
const NESTING_DEPTH: usize = 100_000;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Parses `text` and checks that accepted settings survive a round trip.
fn parse(text: &str) {
    if let Ok(settings) = toml::from_str::<EntrySettings>(text) {
        let again = toml::to_string(&settings).expect("accepted settings in TOML");
        assert_eq!(toml::from_str::<EntrySettings>(&again), Ok(settings));
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_text_never_panics(text in any::<String>()) {
        parse(&text);
    }

    #[test]
    fn arbitrary_lines_never_panic(
        lines in vec(
            (
                select(vec!["entry", "zone", "callers", "admin", "log", "instance_poll",
                    "ring_capacity", "max_payload", "unknown"]),
                select(vec!["\"a\"", "\"127.0.0.1:0\"", "\"[::1]:99999\"", "\"1s\"", "0", "-1",
                    "18446744073709551615", "99999999999999999999", "1e400", "\"99999999999y\"",
                    "[]", "{}", "true"]),
            ),
            0..8,
        )
    ) {
        let text: String = lines.iter().map(|(key, value)| format!("{key} = {value}\n")).collect();
        parse(&text);
    }

    #[test]
    fn mutated_defaults_never_panic(at in any::<Index>(), length in 0..20_usize, insert in ".{0,4}") {
        let text = toml::to_string(&EntrySettings::default()).expect("defaults in TOML");
        let chars: Vec<char> = text.chars().collect();
        let start = at.index(chars.len());
        let end = (start + length).min(chars.len());
        let head: String = chars[..start].iter().collect();
        let tail: String = chars[end..].iter().collect();
        parse(&format!("{head}{insert}{tail}"));
    }
}

#[test]
fn deep_nesting_is_an_error() {
    let text = format!("entry = {}", "[".repeat(NESTING_DEPTH));
    assert!(toml::from_str::<EntrySettings>(&text).is_err());
}
