//! What a node costs that owns shards of pools.

use std::fmt::Write;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_job::prelude::*;
use pw_worker::prelude::*;

use crate::fit::LinearFit;
use crate::limits::{BYTES_LIMIT, CORE_LIMIT, FULL_WORKERS};
use crate::measure::MemoryProbe;

/// Workers of the sizes that are measured.
const SIZES: [usize; 4] = [48, 200, 800, 2_000];
/// Tasks that run on each worker.
const RUNS: u32 = 4;
/// Partitions that the users' store gives a topic today; there are as many shards.
const SHARDS: f64 = 24.0;
/// Bytes of a look and its answer with [`RUNS`] runs, as HTTP with JSON.
const LOOK_BYTES: f64 = 900.0;

/// Cost of a shard of one size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShardCost {
    /// Workers of the shard.
    pub workers: usize,
    /// Time to take one answer of a worker in which nothing has changed, in microseconds.
    pub look_us: f64,
    /// Time to take a job of four tasks in and place it, in microseconds.
    pub job_us: f64,
    /// Memory of the controller in mebibytes.
    pub memory_mib: f64,
}

/// Measures a shard of each size.
pub fn measure_shards(probe: &dyn MemoryProbe) -> Vec<ShardCost> {
    SIZES
        .iter()
        .map(|workers| measure_shard(*workers, probe))
        .collect()
}

/// Appends the node's section to the page.
///
/// # Errors
///
/// Fails when `page` can't be written.
pub fn write_section(page: &mut String, costs: &[ShardCost]) -> std::fmt::Result {
    writeln!(page, "\n## Nodes on the users' platform\n")?;
    writeln!(
        page,
        "A controller of one shard is driven with {RUNS} lasting tasks on each worker.\n"
    )?;
    writeln!(
        page,
        "| Workers of the shard | Answer of a worker, us | Job of four tasks, us | Memory, MiB |"
    )?;
    writeln!(page, "|---|---|---|---|")?;
    for cost in costs {
        let ShardCost {
            workers,
            look_us,
            job_us,
            memory_mib,
        } = cost;
        writeln!(
            page,
            "| {workers} | {look_us:.1} | {job_us:.1} | {memory_mib:.2} |"
        )?;
    }
    let own = FULL_WORKERS / SHARDS;
    let at = |field: fn(&ShardCost) -> f64| {
        let points = costs.iter().map(|cost| (cost.workers as f64, field(cost)));
        let points: Vec<(f64, f64)> = points.collect();
        LinearFit::through(&points).map_or(f64::NAN, |fit| fit.at(own))
    };
    let settings = ControlSettings::default();
    let looks = own / (settings.poll_wait + settings.poll_gap).as_secs_f64();
    let core = looks * at(|cost| cost.look_us) / 10_000.0;
    let bytes = looks * LOOK_BYTES;
    let verdict = |value: f64, limit: f64| {
        if value > limit {
            ": misses the limit"
        } else {
            ""
        }
    };
    writeln!(
        page,
        "\nAt {FULL_WORKERS} workers in {SHARDS} shards an owner has {own:.0} workers, from the fitted lines:\n"
    )?;
    writeln!(
        page,
        "| Control | Worked out | Limit | Carried by |\n|---|---|---|---|"
    )?;
    let miss = verdict(core, CORE_LIMIT);
    writeln!(
        page,
        "| Processor, answers of idle workers | {core:.2} % of a core{miss} | {CORE_LIMIT} % of a core | one question to a worker each 2 s |"
    )?;
    let memory = at(|cost| cost.memory_mib);
    writeln!(
        page,
        "| Memory of a shard | {memory:.1} MiB | 64 MiB | one owner for each shard |"
    )?;
    let miss = verdict(bytes, BYTES_LIMIT);
    writeln!(
        page,
        "| Questions to workers and their answers | {bytes:.0} bytes/s{miss} | {BYTES_LIMIT:.0} bytes/s | long waits, {LOOK_BYTES:.0} bytes each way |"
    )?;
    writeln!(
        page,
        "\nWhat misses its limit: the answers of workers repeat all their runs. They would have to tell \
         only what changed since the last one, which the platform's protocol does not offer; and more \
         shards than partitions would spread them over all nodes. The processor time is that of the \
         decisions alone, without HTTP."
    )
}

fn measure_shard(workers: usize, probe: &dyn MemoryProbe) -> ShardCost {
    let before = probe.bytes_in_use();
    let mut bench = ShardBench::new(workers);
    bench.settle();
    let memory_mib = probe.bytes_in_use().saturating_sub(before) as f64 / (1024.0 * 1024.0);
    ShardCost {
        workers,
        look_us: bench.look_us(),
        job_us: bench.job_us(),
        memory_mib,
    }
}

/// A controller, and workers that do as they are told at once.
struct ShardBench {
    controller: ShardController,
    now: Instant,
    wall: SystemTime,
    running: IndexMap<WorkerId, Vec<ActiveRun>>,
    looks: Vec<PollOrder>,
}

impl ShardBench {
    fn new(workers: usize) -> Self {
        let now = Instant::now();
        let wall = SystemTime::now();
        let controller = ShardController::open(
            (0, 1),
            ShardImage::default(),
            Arc::new(FleetConfig::default()),
            ControlSettings::default(),
            now,
            wall,
        );
        let mut bench = Self {
            controller,
            now,
            wall,
            running: IndexMap::new(),
            looks: Vec::new(),
        };
        let entries = (0..workers).map(worker_entry).collect();
        let lives = Arc::default();
        bench.tell(ShardEvent::Workers { entries, lives });
        bench.tell(ShardEvent::Surveyed(SurveyOrder::default()));
        for number in 0..workers {
            bench.submit(&format!("lasting-{number}"), true);
        }
        bench
    }

    fn submit(&mut self, job: &str, long_running: bool) {
        let step = StepSpec {
            count: RUNS,
            size: ResourceSize {
                millicores: 2_000,
                memory_mib: 4_096,
                accelerators: 0,
            },
            estimate: Duration::from_secs(1),
            long_running,
            ..Default::default()
        };
        let record = SubmissionRecord {
            queue: "queue".into(),
            pool: "pool".into(),
            account: None,
            accepted: self.wall,
            terms: JobTerms {
                attempts: 3,
                priority: 0,
                objective: Duration::from_secs(3),
            },
            spec: JobSpec {
                payload: "work".into(),
                steps: vec![step],
                occurrences: 1,
                ..Default::default()
            },
        };
        self.tell(ShardEvent::Submitted(job.into(), Arc::new(record)));
    }

    /// Lets everything come to rest.
    fn settle(&mut self) {
        for _ in 0..20 {
            self.now += Duration::from_millis(200);
            self.tell(ShardEvent::OwnershipConfirmed(self.now));
            for order in std::mem::take(&mut self.looks) {
                self.answer(order);
            }
        }
    }

    fn tell(&mut self, event: ShardEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for command in self.controller.handle(self.now, self.wall, event) {
                match command {
                    ShardCommand::Store { sequence, .. } => {
                        events.push(ShardEvent::Stored(sequence));
                    }
                    ShardCommand::Start(order) => {
                        let runs = self.running.entry(order.worker.clone()).or_default();
                        runs.push(ActiveRun {
                            task: order.task.clone(),
                            run: order.run,
                            checkpoint: None,
                            percent: 100,
                            load: Some(100),
                        });
                        let outcome = StartOutcome::Accepted;
                        events.push(ShardEvent::Started { order, outcome });
                    }
                    ShardCommand::Poll(order) => self.looks.push(order),
                    _ => {}
                }
            }
        }
    }

    fn answer(&mut self, order: PollOrder) {
        let report = PollReport {
            clock: 1_000,
            life: 1,
            running: self.running.get(&order.worker).cloned().unwrap_or_default(),
            finished: Vec::new(),
        };
        let result = Ok(report);
        self.tell(ShardEvent::Polled { order, result });
    }

    /// Returns the mean time of one answer in which nothing has changed.
    fn look_us(&mut self) -> f64 {
        self.now += Duration::from_secs(1);
        self.tell(ShardEvent::Tick);
        let orders = std::mem::take(&mut self.looks);
        let count = orders.len().max(1);
        let begin = Instant::now();
        for order in orders {
            self.answer(order);
        }
        begin.elapsed().as_secs_f64() * 1e6 / count as f64
    }

    /// Returns the mean time to take a job in and place it.
    fn job_us(&mut self) -> f64 {
        const JOBS: usize = 50;
        let begin = Instant::now();
        for number in 0..JOBS {
            self.now += Duration::from_millis(50);
            self.submit(&format!("job-{number}"), false);
        }
        begin.elapsed().as_secs_f64() * 1e6 / JOBS as f64
    }
}

fn worker_entry(number: usize) -> WorkerEntry {
    WorkerEntry {
        id: format!("worker-{number}").into(),
        pool: "pool".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: format!("zone-{}", number % 6).into(),
        rack: Some(format!("rack-{}", number / 4).into()),
        labels: Vec::new(),
        capacity: ResourceSize {
            millicores: 32_000,
            memory_mib: 65_536,
            accelerators: 0,
        },
        phase: WorkerPhase::Ready,
        life: 1,
        machine: Some(format!("machine-{number}").into()),
    }
}
