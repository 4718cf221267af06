//! A maintenance wave from end to end: two entry instances, a log, and machines that lose answers.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use http_types::{Method, Request};
use pw_base::prelude::*;
use pw_entry::prelude::*;
use pw_fleet::prelude::*;
use pw_link::prelude::*;
use pw_log::prelude::*;
use pw_plan::prelude::*;
use pw_pool::prelude::*;
use pw_standin::prelude::*;
use pw_worker::prelude::*;
use pw_zone::prelude::*;

/// Longest wait for the wave.
const WAVE_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest wait of one read of the log.
const READ_WAIT: Duration = Duration::from_millis(200);
const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Returns a fleet with a pool of 6, of which 2 may be unavailable, and a spare pool of 2.
fn small_fleet() -> FleetSpec {
    let pool = |id: &str, size: usize, spare| PoolSpec {
        id: id.into(),
        workers: (0..size).map(|n| format!("{id}-{n}").into()).collect(),
        max_unavailable: size as u32 / 3,
        spare,
        min_workers: 1,
    };
    let pools = vec![pool("cutting", 6, false), pool("office", 3, true)];
    let names = pools.iter().flat_map(|pool| &pool.workers).enumerate();
    let worker = |(index, id): (usize, &WorkerId)| WorkerSpec {
        id: id.clone(),
        zone: if index % 2 == 0 { "a" } else { "b" }.into(),
        rack: "r1".into(),
        cores: 32,
        memory_gib: 64,
        accelerators: 0,
        slots: 8,
        connections: 64,
    };
    let zone = |id: &str| ZoneSpec {
        id: id.into(),
        ..ZoneSpec::default()
    };
    FleetSpec {
        fleet: "futons".into(),
        zones: vec![zone("a"), zone("b")],
        workers: names.map(worker).collect(),
        pools,
        ..FleetSpec::default()
    }
}

fn quick_planner() -> PlanSettings {
    PlanSettings {
        tick: Duration::from_millis(50),
        step_timeout: Duration::from_secs(1),
        order_timeout: Duration::from_millis(500),
        admit_interval: Duration::from_millis(50),
        max_maintenance_percent: 100,
        ..PlanSettings::default()
    }
}

fn apply(log: &HttpLog, spec: &FleetSpec) {
    let record = LogRecord {
        id: 1,
        author: "ane".to_owned(),
        written: SystemTime::UNIX_EPOCH,
        body: RecordBody::Fleet(FleetProposal::whole(0, Arc::new(spec.clone()))),
    };
    let bytes = encode_record(&record).expect("record");
    async_io::block_on(log.append(bytes)).expect("appended");
}

fn history(machines: SocketAddr) -> Vec<MachineHistory> {
    let url = format!("http://{machines}/v1/machines/history");
    let request = Request::new(Method::Get, url.as_str());
    let response = async_io::block_on(call_http(machines, request, WAVE_TIMEOUT)).expect("answer");
    serde_json::from_slice(&response.body).expect("history")
}

/// Follows the log until the first wave is done; checks the budgets after each record.
fn follow_wave(log: &HttpLog, spec: &FleetSpec) -> BTreeSet<String> {
    let deadline = Instant::now() + WAVE_TIMEOUT;
    let mut fold = FleetFold::default();
    let mut authors = BTreeSet::new();
    while !wave_done(fold.pools()) {
        assert!(Instant::now() < deadline, "no wave in {:?}", fold.pools());
        let from = fold.state().next_offset;
        let batch = async_io::block_on(log.read(from, READ_WAIT)).expect("batch");
        let (reading, _) = LogReading::decode(Some(Instant::now()), from, &batch);
        for (offset, item) in &reading.items {
            let LogItem::Record(record) = item else {
                panic!("unread record at {offset}");
            };
            authors.insert(record.author.clone());
            fold.advance(*offset, record);
            let seen = fold.pools().instances().all(|one| one.boot.is_some());
            for pool in spec.pools.iter().filter(|_| seen) {
                let budget = fold.pools().budget(&pool.id);
                assert!(budget.is_met(), "{} at {offset}: {budget:?}", pool.id);
            }
        }
    }
    authors
}

fn wave_done(pools: &PoolLedger) -> bool {
    let open = |one: &PoolInstance| one.phase == InstancePhase::InService;
    pools.wave().number == 1 && pools.wave_finished() && pools.instances().all(open)
}

#[test]
fn wave_goes_through_a_small_fleet_and_cuts_off_no_task() {
    let spec = small_fleet();
    let log = LogService::start(LOOPBACK).expect("log").address();
    let list = InstanceList::start(LOOPBACK, Vec::new())
        .expect("list")
        .address();
    let machine_settings = MachineSettings {
        workers: spec
            .workers
            .iter()
            .map(|worker| worker.id.clone())
            .collect(),
        lose_every: 3,
        ..MachineSettings::default()
    };
    let machines = MachineService::start(LOOPBACK, machine_settings).expect("machines");
    let nodes: Vec<EntryNode> = (1..=2)
        .map(|number| {
            let settings = EntrySettings {
                entry: format!("entry-{number}").into(),
                zone: "a".into(),
                log,
                instances: list,
                machines: Some(machines.address()),
                planner: quick_planner(),
                ..EntrySettings::default()
            };
            EntryNode::start(&settings, NodeLinks::over_http(&settings)).expect("entry")
        })
        .collect();
    let log = HttpLog::new(log);
    apply(&log, &spec);
    let authors = follow_wave(&log, &spec);
    assert!(
        authors.len() > nodes.len(),
        "both members and an operator wrote: {authors:?}"
    );
    for machine in history(machines.address()) {
        assert_eq!(
            (machine.reboots, machine.cut_off),
            (1, false),
            "{machine:?}"
        );
    }
}
