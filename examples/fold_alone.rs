//! Folds records without a log service: two operators race, and one of them loses.
//!
//! Run it with `cargo run --example fold_alone`.

use std::sync::Arc;
use std::time::SystemTime;

use pw_fleet::prelude::*;
use pw_log::prelude::*;

const FLEET_FILE: &str = include_str!("telar-norte.toml");

fn main() {
    let fleet = check_fleet("telar-norte.toml", FLEET_FILE).expect("shipped fleet file");
    let mut fold = FleetFold::default();
    let records = [("amaia", 1), ("jon", 2)].map(|(operator, id)| LogRecord {
        id,
        author: operator.to_owned(),
        written: SystemTime::now(),
        // Both start from the empty fleet, so only the first one can win.
        body: RecordBody::Fleet(FleetProposal::whole(0, Arc::new(fleet.clone()))),
    });
    for (offset, record) in (0..).zip(&records) {
        let outcome = fold.advance(offset, record);
        println!("{}: {outcome:?}", record.author);
    }
    println!("the fleet is at revision {}", fold.state().revision);
}
