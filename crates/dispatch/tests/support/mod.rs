//! Scheduler on a virtual clock with a small fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use pw_account::prelude::*;
use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_dispatch::prelude::*;
use pw_fleet::prelude::*;
use pw_log::prelude::*;
use pw_pool::prelude::*;
use pw_worker::prelude::*;
use pw_zone::prelude::*;

/// Run timeout of the queues.
pub const RUN_TIMEOUT: Duration = Duration::from_secs(10);

/// Scheduler with a virtual clock and the configuration of its fleet.
pub struct SchedulerFixture {
    pub scheduler: TaskScheduler,
    pub now: Instant,
    pub spec: FleetSpec,
    offset: LogOffset,
    next_task: TaskId,
}

pub fn zone(id: &str) -> ZoneSpec {
    ZoneSpec {
        id: id.into(),
        region: String::new(),
        status: ZoneStatus::InService,
        ..ZoneSpec::default()
    }
}

pub fn worker(id: &str, zone: &str, slots: u32) -> WorkerSpec {
    WorkerSpec {
        id: id.into(),
        zone: zone.into(),
        rack: format!("{zone}-r1").into(),
        cores: 32,
        memory_gib: 64,
        accelerators: 0,
        slots,
        connections: 64,
    }
}

pub fn account(id: &str, share: u32, limit: u32) -> AccountSpec {
    AccountSpec {
        id: id.into(),
        share,
        limit,
        keys: vec![KeySpec {
            id: format!("{id}-1").into(),
            sha256: digest_key(id),
        }],
    }
}

pub fn queue(id: &str) -> QueueSpec {
    QueueSpec {
        id: id.into(),
        pool: "pool".into(),
        kind: QueueKind::Interactive,
        open: false,
        idempotent: false,
        run_timeout: RUN_TIMEOUT,
        deadline: Duration::from_secs(60),
    }
}

/// Two zones with one worker each, accounts `a` and `b`, and a queue of each kind.
pub fn small_fleet(slots: u32) -> FleetSpec {
    let workers = vec![worker("w1", "z1", slots), worker("w2", "z2", slots)];
    FleetSpec {
        fleet: "test".into(),
        zones: vec![zone("z1"), zone("z2")],
        pools: vec![PoolSpec {
            id: "pool".into(),
            workers: workers.iter().map(|worker| worker.id.clone()).collect(),
            max_unavailable: 1,
            spare: false,
            min_workers: 0,
        }],
        workers,
        accounts: vec![account("a", 3, 100), account("b", 1, 100)],
        queues: vec![
            queue("plain"),
            QueueSpec {
                idempotent: true,
                ..queue("idempotent")
            },
            QueueSpec {
                open: true,
                ..queue("open")
            },
            QueueSpec {
                kind: QueueKind::Deferred,
                deadline: Duration::from_secs(3600),
                ..queue("deferred")
            },
        ],
    }
}

impl SchedulerFixture {
    pub fn new(spec: FleetSpec) -> Self {
        Self::with_settings(spec, SchedulerSettings::default())
    }

    pub fn with_settings(spec: FleetSpec, settings: SchedulerSettings) -> Self {
        Self::with_gate(spec, settings, Box::new(EvenSplit::new(1)))
    }

    pub fn with_gate(
        spec: FleetSpec,
        settings: SchedulerSettings,
        gate: Box<dyn PermitGate>,
    ) -> Self {
        let settings = SchedulerSettings {
            home: "z1".into(),
            ..settings
        };
        let mut fixture = Self {
            scheduler: TaskScheduler::new(settings, gate),
            now: Instant::now(),
            spec,
            offset: 0,
            next_task: 0,
        };
        fixture.apply_fleet();
        fixture.list_instances(InstanceState::Live);
        fixture
    }

    pub fn send(&mut self, event: DispatchEvent) -> Vec<DispatchCommand> {
        self.scheduler.handle(self.now, event)
    }

    pub fn advance(&mut self, step: Duration) -> Vec<DispatchCommand> {
        self.now += step;
        self.send(DispatchEvent::TimePassed)
    }

    /// Applies the current `spec` as a new configuration.
    pub fn apply_fleet(&mut self) -> Vec<DispatchCommand> {
        let record = LogRecord {
            id: RecordId::from(self.offset),
            author: "operator".to_owned(),
            written: SystemTime::UNIX_EPOCH,
            body: RecordBody::Fleet(FleetProposal::whole(
                self.scheduler.revision(),
                Arc::new(self.spec.clone()),
            )),
        };
        self.offset += 1;
        let item = LogItem::Record(Arc::new(record));
        self.read_log(vec![(self.offset - 1, item)])
    }

    /// Sends a reading that reaches the end of the log.
    pub fn read_log(&mut self, items: Vec<(LogOffset, LogItem)>) -> Vec<DispatchCommand> {
        self.send(DispatchEvent::LogRead(LogReading {
            image: None,
            requested_at: Some(self.now),
            from: self.offset - items.len() as LogOffset,
            items,
            next_offset: self.offset,
            end: self.offset,
        }))
    }

    /// Sends an instance list with every worker in `state`.
    pub fn list_instances(&mut self, state: InstanceState) -> Vec<DispatchCommand> {
        let workers = self.spec.workers.iter();
        let list = workers.map(|worker| InstanceEntry {
            worker: worker.id.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            state,
        });
        let list = list.collect();
        self.send(DispatchEvent::InstancesListed(list))
    }

    pub fn request(&mut self, queue: &str, key: Option<&str>) -> TaskRequest {
        self.next_task += 1;
        TaskRequest {
            id: self.next_task,
            queue: queue.into(),
            key: key.map(digest_key),
            deadline: None,
            size: ResourceSize::default(),
        }
    }

    /// Submits one task and returns the resulting commands.
    pub fn submit(&mut self, queue: &str, key: &str) -> Vec<DispatchCommand> {
        let request = self.request(queue, Some(key));
        self.send(DispatchEvent::TaskSubmitted(request))
    }

    pub fn submit_many(&mut self, count: usize, queue: &str, key: &str) -> Vec<DispatchCommand> {
        (0..count).flat_map(|_| self.submit(queue, key)).collect()
    }

    pub fn end_run(&mut self, task: TaskId, report: RunReport) -> Vec<DispatchCommand> {
        self.send(DispatchEvent::TaskEnded { task, report })
    }
}

/// Returns the starts among the commands.
pub fn starts(commands: &[DispatchCommand]) -> Vec<&TaskStart> {
    commands
        .iter()
        .filter_map(|command| match command {
            DispatchCommand::StartTask(start) => Some(start),
            _ => None,
        })
        .collect()
}

/// Returns the refusals among the commands.
pub fn refusals(commands: &[DispatchCommand]) -> Vec<(RefusalReason, RunCertainty)> {
    let refusal = |command: &DispatchCommand| match command {
        DispatchCommand::CloseTask {
            outcome: TaskOutcome::Refused { reason, certainty },
            ..
        } => Some((*reason, *certainty)),
        _ => None,
    };
    commands.iter().filter_map(refusal).collect()
}
