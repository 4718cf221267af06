//! End-to-end test of a maintenance wave: two entry instances, a log, and a machine service that
//! loses some of its answers.

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

/// Timeout for the whole wave.
const WAVE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum time that a read of the log waits for new records.
const READ_WAIT: Duration = Duration::from_millis(200);
const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Returns a fleet with a pool of 6 workers, of which 2 may be unavailable, and a spare pool of 3,
/// of which 1 may be unavailable.
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

fn fast_planner() -> PlanSettings {
    PlanSettings {
        tick: Duration::from_millis(50),
        step_timeout: Duration::from_secs(1),
        order_timeout: Duration::from_millis(500),
        admit_interval: Duration::from_millis(50),
        max_maintenance_percent: 100,
        ..PlanSettings::default()
    }
}

fn append_fleet(log: &HttpLog, spec: &FleetSpec) {
    let record = LogRecord {
        id: 1,
        author: "ane".to_owned(),
        written: SystemTime::UNIX_EPOCH,
        body: RecordBody::Fleet(FleetProposal::whole(0, Arc::new(spec.clone()))),
    };
    let bytes = encode_record(&record).expect("record");
    async_io::block_on(log.append(bytes)).expect("appended");
}

fn machine_history(machines: SocketAddr) -> Vec<MachineHistory> {
    let url = format!("http://{machines}/v1/machines/history");
    let request = Request::new(Method::Get, url.as_str());
    let response = async_io::block_on(call_http(machines, request, WAVE_TIMEOUT)).expect("answer");
    serde_json::from_slice(&response.body).expect("history")
}

/// Reads the log until the first wave is finished; checks the pools' budgets after each record.
///
/// Returns the authors of the records.
fn read_until_wave_finished(log: &HttpLog, spec: &FleetSpec) -> BTreeSet<String> {
    let deadline = Instant::now() + WAVE_TIMEOUT;
    let mut fold = FleetFold::default();
    let mut authors = BTreeSet::new();
    while !is_wave_finished(fold.pools()) {
        assert!(
            Instant::now() < deadline,
            "wave not finished in time: {:?}",
            fold.pools()
        );
        let from = fold.state().next_offset;
        let batch = async_io::block_on(log.read(from, READ_WAIT)).expect("batch");
        let (reading, _) = LogReading::decode(Some(Instant::now()), from, &batch);
        for (offset, item) in &reading.items {
            let LogItem::Record(record) = item else {
                panic!("record with an unsupported version at offset {offset}");
            };
            authors.insert(record.author.clone());
            fold.advance(*offset, record);
            let all_booted = fold
                .pools()
                .instances()
                .all(|instance| instance.boot.is_some());
            for pool in spec.pools.iter().filter(|_| all_booted) {
                let budget = fold.pools().budget(&pool.id);
                assert!(
                    budget.is_met(),
                    "budget of {} violated at offset {offset}: {budget:?}",
                    pool.id
                );
            }
        }
    }
    authors
}

fn is_wave_finished(pools: &PoolLedger) -> bool {
    let in_service = |instance: &PoolInstance| instance.phase == InstancePhase::InService;
    pools.wave().number == 1 && pools.wave_finished() && pools.instances().all(in_service)
}

#[test]
fn wave_reboots_each_machine_once_and_interrupts_no_task() {
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
        response_loss_interval: 3,
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
                planner: fast_planner(),
                ..EntrySettings::default()
            };
            EntryNode::start(&settings, NodeLinks::over_http(&settings)).expect("entry")
        })
        .collect();
    let log = HttpLog::new(log);
    append_fleet(&log, &spec);
    let authors = read_until_wave_finished(&log, &spec);
    assert!(
        authors.len() > nodes.len(),
        "expected records of both members and an operator: {authors:?}"
    );
    for machine in machine_history(machines.address()) {
        assert_eq!(
            (machine.reboots, machine.cut_off),
            (1, false),
            "{machine:?}"
        );
    }
}
