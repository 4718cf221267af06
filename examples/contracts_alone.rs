//! Enforces the upper limit of an account with permits, without a log or a network.
//!
//! Run it with `cargo run --example contracts_alone`.

use std::time::Instant;

use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_fleet::prelude::*;

const FLEET_FILE: &str = include_str!("telar-norte.toml");
const ENTRIES: u32 = 9;

fn main() {
    let fleet =
        check_fleet("telar-norte.toml", FLEET_FILE).expect("the fleet file has no findings");
    let account = &fleet.accounts[0];
    let zone: ZoneId = fleet.zones[0].id.clone();
    let now = Instant::now();
    let mut gate = EvenSplit::new(ENTRIES);
    gate.set_accounts(&fleet.accounts);
    let permits: Vec<TaskPermit> =
        std::iter::from_fn(|| gate.acquire(now, &account.id, &zone)).collect();
    println!(
        "one of {ENTRIES} entry instances may run {} of the {} tasks of account {}",
        permits.len(),
        account.limit,
        account.id
    );
    for permit in permits {
        gate.release(now, permit);
    }
    let acquired_again = gate.acquire(now, &account.id, &zone).is_some();
    println!("after all tasks have ended, another one may start: {acquired_again}");
}
