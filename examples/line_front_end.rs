//! Uses the scheduler from a front end other than HTTP: each line of text submits a task.
//!
//! Run it with `cargo run --example line_front_end`.

use std::sync::Arc;
use std::time::{Instant, SystemTime};

use pw_contract::prelude::*;
use pw_dispatch::prelude::*;
use pw_fleet::prelude::*;
use pw_log::prelude::*;
use pw_worker::prelude::*;

const FLEET_FILE: &str = include_str!("telar-norte.toml");
const UNKNOWN_QUEUES: [&str; 2] = ["no-such-queue", "no-such-queue-either"];

fn main() {
    let now = Instant::now();
    let fleet =
        check_fleet("telar-norte.toml", FLEET_FILE).expect("the fleet file has no findings");
    let open_queue = fleet.queues.iter().find(|queue| queue.open);
    let queues: Vec<String> = open_queue
        .iter()
        .map(|queue| queue.id.to_string())
        .collect();
    let mut gate = EvenSplit::new(1);
    gate.set_accounts(&fleet.accounts);
    let mut scheduler = TaskScheduler::new(SchedulerSettings::default(), Box::new(gate));
    scheduler.handle(now, DispatchEvent::InstancesListed(live_instances(&fleet)));
    scheduler.handle(now, DispatchEvent::LogRead(log_reading(now, fleet)));
    let lines = queues.iter().map(String::as_str).chain(UNKNOWN_QUEUES);
    for (id, line) in (1..).zip(lines) {
        let request = TaskRequest {
            id,
            queue: line.into(),
            key: None,
            deadline: None,
            size: ResourceSize::default(),
        };
        println!("> {line}");
        for command in scheduler.handle(now, DispatchEvent::TaskSubmitted(request)) {
            println!("{command:?}");
        }
    }
}

fn live_instances(fleet: &FleetSpec) -> Vec<InstanceEntry> {
    let entry = |worker: &WorkerSpec| InstanceEntry {
        worker: worker.id.clone(),
        address: ([127, 0, 0, 1], 9_000).into(),
        state: InstanceState::Live,
    };
    fleet.workers.iter().map(entry).collect()
}

fn log_reading(now: Instant, fleet: FleetSpec) -> LogReading {
    let record = LogRecord {
        id: 1,
        author: "amaia".to_owned(),
        written: SystemTime::now(),
        body: RecordBody::Fleet(FleetProposal::whole(0, Arc::new(fleet))),
    };
    LogReading {
        requested_at: Some(now),
        image: None,
        from: 0,
        items: vec![(0, LogItem::Record(Arc::new(record)))],
        next_offset: 1,
        end: 1,
    }
}
