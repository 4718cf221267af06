//! Cost of a node that owns shards of pools.

use std::fmt::Write;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_job::prelude::*;
use pw_worker::prelude::*;

use crate::fit::LinearFit;
use crate::limits::{BYTES_LIMIT, CORE_LIMIT, TARGET_WORKERS};
use crate::measure::MemoryProbe;

/// Numbers of workers that are measured.
const SHARD_SIZES: [usize; 4] = [48, 200, 800, 2_000];
/// Number of tasks on each worker.
const RUNS: u32 = 4;
/// Number of waiting jobs with which a shard is measured again.
const WAITING_JOBS: usize = 1_000;
/// Number of shards, equal to the current number of partitions of a topic in the users' store.
const SHARD_COUNT: f64 = 24.0;
/// Bytes of a poll request and its response with [`RUNS`] runs, as HTTP with JSON.
const POLL_BYTES: f64 = 900.0;

/// Cost of a shard of one size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShardCost {
    /// Number of workers of the shard.
    pub workers: usize,
    /// Time to handle a worker's poll response without changes, in microseconds.
    pub poll_us: f64,
    /// Time to accept and place a job of four tasks, in microseconds.
    pub job_us: f64,
    /// The same as `poll_us` with 1,000 jobs for which no worker has room.
    pub backlog_poll_us: f64,
    /// Time of a pass over these jobs, in microseconds.
    pub backlog_pass_us: f64,
    /// Memory of the controller, in mebibytes.
    pub memory_mib: f64,
}

/// Measures shards of all sizes.
pub fn measure_shards(probe: &dyn MemoryProbe) -> Vec<ShardCost> {
    SHARD_SIZES
        .iter()
        .map(|workers| measure_shard(*workers, probe))
        .collect()
}

/// Appends the section about nodes to the page.
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
        "| Workers of the shard | Answer of a worker, us | Job of four tasks, us | Answer, {WAITING_JOBS} jobs waiting, us | Pass over these, us | Memory, MiB |"
    )?;
    writeln!(page, "|---|---|---|---|---|---|")?;
    for cost in costs {
        let ShardCost {
            workers,
            poll_us,
            job_us,
            backlog_poll_us,
            backlog_pass_us,
            memory_mib,
        } = cost;
        writeln!(
            page,
            "| {workers} | {poll_us:.1} | {job_us:.1} | {backlog_poll_us:.1} | {backlog_pass_us:.1} | {memory_mib:.2} |"
        )?;
    }
    let shard_workers = TARGET_WORKERS / SHARD_COUNT;
    let at = |field: fn(&ShardCost) -> f64| {
        let points = costs.iter().map(|cost| (cost.workers as f64, field(cost)));
        let points: Vec<(f64, f64)> = points.collect();
        LinearFit::through(&points).map_or(f64::NAN, |fit| fit.at(shard_workers))
    };
    let settings = ControlSettings::default();
    let polls = shard_workers / (settings.poll_wait + settings.poll_gap).as_secs_f64();
    let core = polls * at(|cost| cost.poll_us) / 10_000.0;
    let bytes = polls * POLL_BYTES;
    let format_miss = |value: f64, limit: f64| {
        if value > limit {
            ": misses the limit"
        } else {
            ""
        }
    };
    writeln!(
        page,
        "\nAt {TARGET_WORKERS} workers in {SHARD_COUNT} shards an owner has {shard_workers:.0} workers, from the fitted lines:\n"
    )?;
    writeln!(
        page,
        "| Control | Worked out | Limit | Carried by |\n|---|---|---|---|"
    )?;
    let miss = format_miss(core, CORE_LIMIT);
    writeln!(
        page,
        "| Processor, answers of idle workers | {core:.2} % of a core{miss} | {CORE_LIMIT} % of a core | one question to a worker each 2 s |"
    )?;
    let memory = at(|cost| cost.memory_mib);
    writeln!(
        page,
        "| Memory of a shard | {memory:.1} MiB | 64 MiB | one owner for each shard |"
    )?;
    let miss = format_miss(bytes, BYTES_LIMIT);
    writeln!(
        page,
        "| Questions to workers and their answers | {bytes:.0} bytes/s{miss} | {BYTES_LIMIT:.0} bytes/s | long waits, {POLL_BYTES:.0} bytes each way |"
    )?;
    writeln!(
        page,
        "\nWhat misses its limit: the answers of workers repeat all their runs. They would have to tell \
         only what changed since the last one, which the platform's protocol does not offer; and more \
         shards than partitions would spread them over all nodes. The processor time is that of the \
         decisions alone, without HTTP. The load of whole nodes at 31, 97 and 297 of them, and what \
         breaks there, is in [BENCHMARKS.md](BENCHMARKS.md)."
    )
}

fn measure_shard(workers: usize, probe: &dyn MemoryProbe) -> ShardCost {
    let before = probe.bytes_in_use();
    let mut bench = ShardBench::new(workers);
    bench.settle();
    let memory_mib = probe.bytes_in_use().saturating_sub(before) as f64 / (1024.0 * 1024.0);
    let (poll_us, job_us) = (bench.poll_us(), bench.job_us());
    bench.add_backlog();
    ShardCost {
        workers,
        poll_us,
        job_us,
        backlog_poll_us: bench.poll_us(),
        backlog_pass_us: bench.pass_us(),
        memory_mib,
    }
}

/// Controller with simulated workers that execute every order immediately.
struct ShardBench {
    controller: ShardController,
    now: Instant,
    wall: SystemTime,
    runs: IndexMap<WorkerId, Vec<ActiveRun>>,
    polls: Vec<PollOrder>,
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
            runs: IndexMap::new(),
            polls: Vec::new(),
        };
        let entries = (0..workers).map(worker_entry).collect();
        let lives = Arc::default();
        bench.handle_event(ShardEvent::Workers { entries, lives });
        bench.handle_event(ShardEvent::Surveyed(SurveyOrder::default()));
        for number in 0..workers {
            let step = StepSpec {
                long_running: true,
                ..step()
            };
            bench.submit(&format!("lasting-{number}"), step);
        }
        bench
    }

    fn submit(&mut self, job: &str, step: StepSpec) {
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
        self.handle_event(ShardEvent::Submitted(job.into(), Arc::new(record)));
    }

    /// Runs enough rounds for all starts and polls to complete.
    fn settle(&mut self) {
        for _ in 0..20 {
            self.advance(Duration::from_millis(200));
            for order in std::mem::take(&mut self.polls) {
                self.answer_poll(order);
            }
        }
    }

    /// Advances the time and confirms what the controller knows.
    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.handle_event(ShardEvent::OwnershipConfirmed(self.now));
        for input in ShardInput::ALL {
            self.handle_event(ShardEvent::InputRead(input, self.now));
        }
    }

    fn handle_event(&mut self, event: ShardEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for command in self.controller.handle(self.now, self.wall, event) {
                match command {
                    ShardCommand::Store { sequence, .. } => {
                        events.push(ShardEvent::Stored(sequence));
                    }
                    ShardCommand::Start(order) => {
                        let runs = self.runs.entry(order.worker.clone()).or_default();
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
                    ShardCommand::Poll(order) => self.polls.push(order),
                    _ => {}
                }
            }
        }
    }

    fn answer_poll(&mut self, order: PollOrder) {
        let report = PollReport {
            clock: 1_000,
            life: 1,
            running: self.runs.get(&order.worker).cloned().unwrap_or_default(),
            ..Default::default()
        };
        let result = Ok(report);
        let answered_at = self.now;
        self.handle_event(ShardEvent::Polled {
            order,
            result,
            answered_at,
        });
    }

    /// Returns the mean time to handle a poll response without changes, in microseconds.
    fn poll_us(&mut self) -> f64 {
        self.advance(Duration::from_secs(1));
        self.handle_event(ShardEvent::Tick);
        let orders = std::mem::take(&mut self.polls);
        let count = orders.len().max(1);
        let started = Instant::now();
        for order in orders {
            self.answer_poll(order);
        }
        started.elapsed().as_secs_f64() * 1e6 / count as f64
    }

    /// Returns the mean time to accept and place a job, in microseconds.
    fn job_us(&mut self) -> f64 {
        const JOBS: usize = 50;
        let mut spent = Duration::ZERO;
        for number in 0..JOBS {
            self.advance(Duration::from_millis(50));
            let started = Instant::now();
            self.submit(&format!("job-{number}"), step());
            spent += started.elapsed();
        }
        spent.as_secs_f64() * 1e6 / JOBS as f64
    }

    /// Submits jobs that need more than any worker has, each of another size.
    fn add_backlog(&mut self) {
        for number in 0..WAITING_JOBS {
            let size = ResourceSize {
                millicores: 40_000 + number as u32,
                ..step().size
            };
            let step = StepSpec { size, ..step() };
            self.submit(&format!("waiting-{number}"), step);
        }
    }

    /// Returns the mean time of a pass over the waiting jobs, in microseconds.
    fn pass_us(&mut self) -> f64 {
        const PASSES: u32 = 50;
        let mut spent = Duration::ZERO;
        for _ in 0..PASSES {
            self.advance(Duration::from_millis(50));
            // A change of an allocation requests a pass.
            self.controller
                .set_allocation("account".into(), ResourceSize::default());
            let started = Instant::now();
            self.handle_event(ShardEvent::Tick);
            spent += started.elapsed();
        }
        spent.as_secs_f64() * 1e6 / f64::from(PASSES)
    }
}

/// Returns a step with the tasks of one worker.
fn step() -> StepSpec {
    StepSpec {
        count: RUNS,
        size: ResourceSize {
            millicores: 2_000,
            memory_mib: 4_096,
            accelerators: 0,
        },
        estimate: Duration::from_secs(1),
        ..Default::default()
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
