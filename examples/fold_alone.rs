//! Folds two concurrent changes without a log service; the second one is rejected.
//!
//! Run it with `cargo run --example fold_alone`.

use std::sync::Arc;
use std::time::SystemTime;

use pw_fleet::prelude::*;
use pw_log::prelude::*;

const FLEET_FILE: &str = include_str!("telar-norte.toml");

fn main() {
    let fleet =
        check_fleet("telar-norte.toml", FLEET_FILE).expect("the fleet file has no findings");
    let mut fold = FleetFold::default();
    let records = [("amaia", 1), ("jon", 2)].map(|(operator, id)| LogRecord {
        id,
        author: operator.to_owned(),
        written: SystemTime::now(),
        // Both records are based on the empty fleet, so only the first one is accepted.
        body: RecordBody::Fleet(FleetProposal::whole(0, Arc::new(fleet.clone()))),
    });
    for (offset, record) in (0..).zip(&records) {
        let outcome = fold.advance(offset, record);
        println!("{}: {outcome:?}", record.author);
    }
    println!("the fleet is at revision {}", fold.state().revision);
}
