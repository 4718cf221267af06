//! Generated fleet configurations.

use std::time::Duration;

use pw_account::prelude::*;
use pw_fleet::prelude::*;
use pw_pool::prelude::*;
use pw_worker::prelude::*;
use pw_zone::prelude::*;

/// Size and accounts of a generated fleet.
#[derive(Debug, Clone)]
pub struct FleetShape {
    /// Number of availability zones.
    pub zones: usize,
    /// Number of pools.
    pub pools: usize,
    /// Number of workers in each pool.
    pub pool_workers: usize,
    /// Number of slots of each worker.
    pub slots: u32,
    /// Share and upper limit of each account.
    pub accounts: Vec<(u32, u32)>,
    /// Whether the queues are open and tasks have no API key, so that accounts do not matter.
    pub is_open: bool,
    /// Maximum time from acceptance of a task to its answer on interactive queues.
    pub deadline: Duration,
}

impl Default for FleetShape {
    fn default() -> Self {
        Self {
            zones: 4,
            pools: 1,
            pool_workers: 10,
            slots: 8,
            accounts: [30, 25, 20, 15, 7, 3].map(|share| (share, 1000)).into(),
            is_open: false,
            deadline: Duration::from_secs(10),
        }
    }
}

impl FleetShape {
    /// Returns the declared fleet; each pool has an interactive queue `q` and a deferred queue `d`.
    pub fn spec(&self) -> FleetSpec {
        let zones = (0..self.zones).map(|zone| ZoneSpec {
            id: format!("z{zone}").into(),
            ..ZoneSpec::default()
        });
        let accounts = self.accounts.iter().enumerate();
        let accounts = accounts.map(|(account, (share, limit))| AccountSpec {
            id: format!("t{account}").into(),
            share: *share,
            limit: *limit,
            keys: vec![KeySpec {
                id: format!("t{account}-1").into(),
                sha256: digest_key(&format!("t{account}")),
            }],
        });
        FleetSpec {
            fleet: "bench".into(),
            zones: zones.collect(),
            workers: (0..self.pools * self.pool_workers)
                .map(|index| self.worker(index))
                .collect(),
            pools: (0..self.pools).map(|pool| self.pool(pool)).collect(),
            accounts: accounts.collect(),
            queues: (0..self.pools).flat_map(|pool| self.queues(pool)).collect(),
        }
    }

    fn worker(&self, index: usize) -> WorkerSpec {
        let zone = index % self.zones;
        WorkerSpec {
            id: format!("w{index}").into(),
            zone: format!("z{zone}").into(),
            rack: format!("z{zone}-r{}", index / self.zones / 4).into(),
            cores: 32,
            memory_gib: 64,
            accelerators: 0,
            slots: self.slots,
            connections: 64,
        }
    }

    fn pool(&self, pool: usize) -> PoolSpec {
        let first = pool * self.pool_workers;
        let workers = first..first + self.pool_workers;
        PoolSpec {
            id: format!("p{pool}").into(),
            workers: workers.map(|index| format!("w{index}").into()).collect(),
            max_unavailable: 2,
            spare: false,
            min_workers: 0,
        }
    }

    fn queues(&self, pool: usize) -> [QueueSpec; 2] {
        let interactive = QueueSpec {
            id: format!("q{pool}").into(),
            pool: format!("p{pool}").into(),
            kind: QueueKind::Interactive,
            open: self.is_open,
            idempotent: false,
            run_timeout: Duration::from_secs(60),
            deadline: self.deadline,
        };
        let deferred = QueueSpec {
            id: format!("d{pool}").into(),
            kind: QueueKind::Deferred,
            run_timeout: Duration::from_secs(600),
            deadline: Duration::from_secs(12 * 3600),
            ..interactive.clone()
        };
        [interactive, deferred]
    }
}
