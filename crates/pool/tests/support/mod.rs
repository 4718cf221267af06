//! Ledger of a small fleet, and constructors of changes to propose.

use std::time::SystemTime;

use pw_base::prelude::*;
use pw_pool::prelude::*;
use pw_worker::prelude::*;
use pw_zone::prelude::*;

/// Minimum number of workers that loans leave in the spare pool.
const MIN_WORKERS: u32 = 2;
/// First observed boot of every worker.
pub const FIRST_BOOT: BootId = 1;

/// Declared fleet and its ledger.
pub struct LedgerFixture {
    pub zones: Vec<ZoneSpec>,
    pub workers: Vec<WorkerSpec>,
    pub pools: Vec<PoolSpec>,
    pub ledger: PoolLedger,
    offset: LogOffset,
}

impl LedgerFixture {
    /// Creates pools `cutting` and `quotes` and the spare pool `office` with 4 workers each, all in
    /// service.
    ///
    /// The workers of a pool alternate between zones `a` and `b`, each zone with a single rack.
    pub fn new() -> Self {
        let pool = |id: &str, spare| PoolSpec {
            id: id.into(),
            workers: (1..=4)
                .map(|n| WorkerId::from(format!("{id}-{n}")))
                .collect(),
            max_unavailable: 1,
            spare,
            min_workers: MIN_WORKERS,
        };
        let pools = vec![
            pool("cutting", false),
            pool("quotes", false),
            pool("office", true),
        ];
        let worker = |id: &WorkerId| WorkerSpec {
            id: id.clone(),
            zone: zone_of(id).into(),
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
        let mut fixture = Self {
            zones: vec![zone("a"), zone("b")],
            workers: pools
                .iter()
                .flat_map(|pool| &pool.workers)
                .map(worker)
                .collect(),
            pools,
            ledger: PoolLedger::default(),
            offset: 0,
        };
        fixture.apply();
        fixture.claim("entry-1");
        fixture.report_all_alive();
        fixture
    }

    pub fn apply(&mut self) {
        self.offset += 1;
        let fleet = DeclaredFleet {
            zones: &self.zones,
            workers: &self.workers,
            pools: &self.pools,
        };
        self.ledger.apply_fleet(self.offset, fleet);
    }

    pub fn propose(&mut self, proposal: &PoolProposal) -> PoolOutcome {
        self.offset += 1;
        self.ledger.advance(self.offset, proposal)
    }

    pub fn claim(&mut self, holder: &str) -> PoolOutcome {
        let base = self.ledger.planner().term;
        let holder = holder.into();
        self.propose(&PoolProposal::Claim { base, holder })
    }

    pub fn report_all_alive(&mut self) {
        let workers: Vec<WorkerId> = self.workers.iter().map(|spec| spec.id.clone()).collect();
        let boot = FIRST_BOOT;
        for worker in workers {
            self.propose_step(&worker, PoolChange::Appeared { boot })
                .expect("a first report is accepted");
        }
    }

    /// Proposes one step based on the current state of the ledger.
    pub fn propose_step(&mut self, worker: &str, change: PoolChange) -> Result<(), StepRejection> {
        let base = self
            .ledger
            .instance(worker)
            .map_or(0, |instance| instance.changed);
        self.propose_step_at(base, worker, change)
    }

    pub fn propose_step_at(
        &mut self,
        base: LogOffset,
        worker: &str,
        change: PoolChange,
    ) -> Result<(), StepRejection> {
        let worker = WorkerId::from(worker);
        let step = PoolStep {
            worker,
            base,
            change,
        };
        let proposal = PoolProposal::Steps {
            term: self.ledger.planner().term,
            steps: vec![step.clone()],
        };
        match self.propose(&proposal) {
            PoolOutcome::Accepted { .. } => Ok(()),
            PoolOutcome::Rejected(PoolRejection::NoStepAccepted) => {
                let rejected = self.ledger.last_rejected(&step.worker);
                Err(rejected.map_or(StepRejection::UnknownWorker, |rejected| rejected.reason))
            }
            PoolOutcome::Rejected(reason) => panic!("proposal rejected: {reason}"),
        }
    }

    pub fn apply_steps(&mut self, worker: &str, changes: Vec<PoolChange>) {
        for change in changes {
            self.propose_step(worker, change.clone())
                .unwrap_or_else(|reason| panic!("step {change} of {worker} rejected: {reason}"));
        }
    }

    pub fn open_wave(&mut self, wave: WaveNumber) -> PoolOutcome {
        let term = self.ledger.planner().term;
        let opened = SystemTime::UNIX_EPOCH;
        self.propose(&PoolProposal::OpenWave { term, wave, opened })
    }

    pub fn phase(&self, worker: &str) -> PhaseKind {
        self.ledger
            .instance(worker)
            .expect("the worker is declared")
            .kind()
    }

    pub fn set_zone(&mut self, zone: usize, status: ZoneStatus) {
        self.zones[zone].status = status;
        self.apply();
    }
}

fn zone_of(worker: &str) -> &'static str {
    if worker.ends_with('1') || worker.ends_with('3') {
        "a"
    } else {
        "b"
    }
}

pub fn drain_for_maintenance() -> PoolChange {
    let purpose = DrainPurpose::Maintenance;
    PoolChange::Drain { purpose }
}

pub fn drain_for_move(to: &str) -> PoolChange {
    let purpose = DrainPurpose::Move { to: to.into() };
    PoolChange::Drain { purpose }
}

pub fn move_worker(from: &str, to: &str) -> PoolChange {
    PoolChange::Move {
        from: from.into(),
        to: to.into(),
    }
}

pub fn report_alive(boot: BootId) -> PoolChange {
    PoolChange::Appeared { boot }
}
