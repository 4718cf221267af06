//! Property tests of fleet files: no input causes a panic, and accepted files round-trip.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::{Index, select};
use proptest::test_runner::RngSeed;
use pw_account::prelude::*;
use pw_fleet::prelude::*;
use pw_pool::prelude::*;
use pw_worker::prelude::*;
use pw_zone::prelude::*;

const SEED: u64 = 0x05f1_ee71;
const SHIPPED_FILE: &str = include_str!("../../../examples/telar-norte.toml");
const NESTING_DEPTH: usize = 100_000;

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Generates names from a small set, so that duplicates and undeclared names are common.
fn name() -> impl Strategy<Value = Arc<str>> {
    select(vec!["a", "b", "c", "ñandú", "two words", "quo\"ted"]).prop_map(Arc::from)
}

fn zone() -> impl Strategy<Value = ZoneSpec> {
    (name(), any::<bool>()).prop_map(|(id, is_out)| ZoneSpec {
        id,
        region: "region".to_owned(),
        status: if is_out {
            ZoneStatus::OutOfService
        } else {
            ZoneStatus::InService
        },
        ..ZoneSpec::default()
    })
}

fn worker() -> impl Strategy<Value = WorkerSpec> {
    (name(), name(), name(), 1..64_u32).prop_map(|(id, zone, rack, cores)| {
        let text = format!("cores = {cores}\nmemory_gib = 64\nslots = 8\nconnections = 64\n");
        let head = format!("id = {id:?}\nzone = {zone:?}\nrack = {rack:?}\n");
        toml::from_str(&(head + &text)).expect("worker is valid TOML")
    })
}

fn pool() -> impl Strategy<Value = PoolSpec> {
    (name(), vec(name(), 0..4), 1..4_u32).prop_map(|(id, workers, budget)| {
        let text = format!("id = {id:?}\nworkers = {workers:?}\nmax_unavailable = {budget}\n");
        toml::from_str(&text).expect("pool is valid TOML")
    })
}

fn account() -> impl Strategy<Value = AccountSpec> {
    (name(), 1..9_u32, 9..99_u32, name()).prop_map(|(id, share, limit, key)| {
        let mut account: AccountSpec =
            toml::from_str(&format!("id = {id:?}\nshare = {share}\nlimit = {limit}\n"))
                .expect("account is valid TOML");
        account.keys.push(KeySpec {
            sha256: digest_key(&format!("{id}/{key}")),
            id: key,
        });
        account
    })
}

fn queue() -> impl Strategy<Value = QueueSpec> {
    (name(), name(), any::<bool>(), 1..3_600_u64).prop_map(|(id, pool, open, seconds)| {
        let mut queue: QueueSpec = toml::from_str(&format!(
            "id = {id:?}\npool = {pool:?}\nopen = {open}\nrun_timeout = \"1s\"\ndeadline = \"2h\"\n"
        ))
        .expect("queue is valid TOML");
        queue.run_timeout = Duration::from_secs(seconds);
        queue
    })
}

fn fleet() -> impl Strategy<Value = FleetSpec> {
    let parts = (
        vec(zone(), 0..3),
        vec(worker(), 0..4),
        vec(pool(), 0..3),
        vec(account(), 0..3),
        vec(queue(), 0..3),
    );
    parts.prop_map(|(zones, workers, pools, accounts, queues)| {
        let mut fleet: FleetSpec =
            toml::from_str("fleet = \"fuzz\"").expect("empty fleet is valid TOML");
        fleet.zones = zones;
        fleet.workers = workers;
        fleet.pools = pools;
        fleet.accounts = accounts;
        fleet.queues = queues;
        fleet
    })
}

fn has_duplicates(fleet: &FleetSpec) -> bool {
    fn repeats<'a>(ids: impl Iterator<Item = &'a Arc<str>>) -> bool {
        let mut seen = HashSet::new();
        ids.into_iter().any(|id| !seen.insert(id))
    }
    repeats(fleet.zones.iter().map(|zone| &zone.id))
        || repeats(fleet.workers.iter().map(|worker| &worker.id))
        || repeats(fleet.pools.iter().map(|pool| &pool.id))
        || repeats(fleet.accounts.iter().map(|account| &account.id))
        || repeats(fleet.queues.iter().map(|queue| &queue.id))
        || repeats(fleet.pools.iter().flat_map(|pool| &pool.workers))
}

/// Validates `text` and asserts that every finding refers to a place inside the file.
fn check(text: &str) -> Option<FleetSpec> {
    match check_fleet("fuzz.toml", text) {
        Ok(fleet) => Some(fleet),
        Err(findings) => {
            assert!(!findings.is_empty(), "validation failed without findings");
            let lines = text.matches('\n').count() + 1;
            for finding in findings {
                assert!((1..=lines).contains(&finding.place.line), "{finding}");
                assert!(finding.place.column >= 1, "{finding}");
            }
            None
        }
    }
}

fn assert_round_trip(fleet: &FleetSpec) {
    let text = toml::to_string(fleet).expect("accepted fleet serializes to TOML");
    assert_eq!(check(&text).as_ref(), Some(fleet));
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn arbitrary_text_is_rejected(text in any::<String>()) {
        prop_assert!(check(&text).is_none());
    }

    #[test]
    fn arbitrary_tokens_never_panic(
        tokens in vec(
            select(vec![
                "[[zones]]\n", "[[workers]]\n", "[[pools]]\n", "[[accounts]]\n", "[[queues]]\n",
                "fleet = \"f\"\n", "id = \"a\"\n", "id = 7\n", "workers = [\"a\", \"a\"]\n",
                "limit = -1\n", "share = 99999999999999999999\n", "max_unavailable = 4294967295\n",
                "deadline = \"99999999999999999999y\"\n", "status = \"gone\"\n", "\u{0}", "[", "\"",
                "'''", "{", "keys = [{}]\n", "zone = \"\"\n",
            ]),
            0..40,
        )
    ) {
        if let Some(fleet) = check(&tokens.concat()) {
            assert_round_trip(&fleet);
        }
    }

    #[test]
    fn generated_fleets_round_trip_or_are_rejected(fleet in fleet()) {
        let text = toml::to_string(&fleet).expect("fleet serializes to TOML");
        match check(&text) {
            Some(checked) => {
                prop_assert!(!has_duplicates(&fleet), "accepted duplicate names:\n{text}");
                prop_assert_eq!(checked, fleet);
            }
            None => prop_assert!(check_fleet("fuzz.toml", &text).is_err()),
        }
    }
}

proptest! {
    #![proptest_config(config(64))]

    #[test]
    fn mutated_shipped_file_never_panics(
        at in any::<Index>(),
        length in 0..200_usize,
        insert in "[\\x00-\\x7f]{0,8}",
    ) {
        let chars: Vec<char> = SHIPPED_FILE.chars().collect();
        let start = at.index(chars.len());
        let end = (start + length).min(chars.len());
        let text: String = chars[..start]
            .iter()
            .copied()
            .chain(insert.chars())
            .chain(chars[end..].iter().copied())
            .collect();
        if let Some(fleet) = check(&text) {
            assert_round_trip(&fleet);
        }
    }

    #[test]
    fn truncated_shipped_file_never_panics(at in any::<Index>()) {
        let end = at.index(SHIPPED_FILE.len());
        if let Some(text) = SHIPPED_FILE.get(..end) {
            check(text);
        }
    }
}

#[test]
fn deep_nesting_is_rejected() {
    for opening in ["[", "{a=", "{\"\"="] {
        let text = format!("fleet = {}", opening.repeat(NESTING_DEPTH));
        assert!(check(&text).is_none());
    }
    let dotted = format!("{}a = 1", "a.".repeat(NESTING_DEPTH));
    assert!(check(&dotted).is_none());
}
