//! Property tests of the record codec: round trips, truncation, flipped bits, arbitrary bytes.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use pw_fleet::prelude::*;
use pw_log::prelude::*;

const SEED: u64 = 0x0010_9f11;
const FORMAT_VERSION: u8 = 1;
const SHIPPED_FILE: &str = include_str!("../../../examples/guild.toml");

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn record() -> impl Strategy<Value = LogRecord> {
    let shipped = check_fleet("guild.toml", SHIPPED_FILE).expect("shipped file is valid");
    let parts = (
        any::<u128>(),
        any::<String>(),
        0..4_000_000_000_u64,
        any::<u64>(),
        any::<String>(),
        0..4_usize,
    );
    parts.prop_map(move |(id, author, seconds, base, name, kept)| {
        let mut spec = shipped.clone();
        spec.fleet = name.into();
        spec.zones.truncate(kept);
        spec.workers.truncate(kept);
        spec.pools.truncate(kept);
        spec.accounts.truncate(kept);
        spec.queues.truncate(kept);
        LogRecord {
            id,
            author,
            written: SystemTime::UNIX_EPOCH + Duration::from_secs(seconds),
            body: RecordBody::Fleet(FleetProposal::whole(base, Arc::new(spec))),
        }
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn records_round_trip(record in record()) {
        let bytes = encode_record(&record).expect("record is within the size limit");
        prop_assert_eq!(decode_record(&bytes).expect("encoded record is valid"), record);
    }

    #[test]
    fn truncated_records_are_rejected(record in record(), at in any::<Index>()) {
        let bytes = encode_record(&record).expect("record is within the size limit");
        prop_assert!(decode_record(&bytes[..at.index(bytes.len())]).is_err());
    }

    #[test]
    fn trailing_bytes_are_rejected(record in record(), tail in vec(any::<u8>(), 1..9)) {
        let mut bytes = encode_record(&record).expect("record is within the size limit");
        bytes.extend(tail);
        prop_assert!(decode_record(&bytes).is_err());
    }

    #[test]
    fn flipped_bits_are_rejected(record in record(), at in any::<Index>(), bit in 0..8_u32) {
        let mut bytes = encode_record(&record).expect("record is within the size limit");
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        prop_assert!(decode_record(&bytes).is_err(), "bit {bit} of byte {at} was flipped");
    }

    #[test]
    fn arbitrary_bytes_never_panic(version in 0..3_u8, rest in vec(any::<u8>(), 0..512)) {
        let bytes = [&[version], rest.as_slice()].concat();
        prop_assert!(decode_record(&bytes).is_err());
    }

    #[test]
    fn arbitrary_bodies_never_panic(body in vec(any::<u8>(), 0..512)) {
        let checksum = crc32fast::hash(&body).to_le_bytes();
        let bytes = [&[FORMAT_VERSION], checksum.as_slice(), body.as_slice()].concat();
        if let Ok(record) = decode_record(&bytes) {
            let again = encode_record(&record).expect("decoded record is within the size limit");
            prop_assert_eq!(decode_record(&again).expect("encoded record is valid"), record);
        }
    }
}
