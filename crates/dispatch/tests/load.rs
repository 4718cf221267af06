//! Scheduler under load: fair shares, overload, failing workers and outages.

mod support;

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_dispatch::prelude::*;
use pw_fleet::prelude::*;
use pw_pool::prelude::*;
use support::{SchedulerFixture, refusals, small_fleet, starts, worker};

const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(100);

/// Simulation in which `is_failing` selects the workers that fail every task.
struct LoadSimulation {
    fixture: SchedulerFixture,
    running: VecDeque<(std::time::Instant, TaskId)>,
    accounts: IndexMap<TaskId, AccountId>,
    started: IndexMap<WorkerId, u32>,
    completed: IndexMap<AccountId, u32>,
    refused: u32,
    is_failing: fn(&str) -> bool,
}

impl LoadSimulation {
    fn new(spec: FleetSpec) -> Self {
        Self {
            fixture: SchedulerFixture::new(spec),
            running: VecDeque::new(),
            accounts: IndexMap::new(),
            started: IndexMap::new(),
            completed: IndexMap::new(),
            refused: 0,
            is_failing: |_| false,
        }
    }

    fn submit(&mut self, count: usize, queue: &str, account: &str) {
        for _ in 0..count {
            let request = self.fixture.request(queue, Some(account));
            self.accounts.insert(request.id, account.into());
            let commands = self.fixture.send(DispatchEvent::TaskSubmitted(request));
            self.execute(commands);
        }
    }

    /// Runs each started task for one second; tasks on failing workers fail immediately.
    fn execute(&mut self, commands: Vec<DispatchCommand>) {
        let mut commands = VecDeque::from(commands);
        while let Some(command) = commands.pop_front() {
            let command = [command];
            self.refused += refusals(&command).len() as u32;
            for start in starts(&command) {
                *self.started.entry(start.worker.clone()).or_default() += 1;
                if (self.is_failing)(&start.worker) {
                    commands.extend(self.fixture.end_run(start.task, RunReport::NotRun));
                } else {
                    let end = self.fixture.now + SECOND;
                    self.running.push_back((end, start.task));
                }
            }
        }
    }

    fn step(&mut self) {
        let commands = self.fixture.advance(STEP);
        self.execute(commands);
        while let Some((_, task)) = self
            .running
            .front()
            .filter(|(end, _)| *end <= self.fixture.now)
        {
            let task = *task;
            self.running.pop_front();
            *self
                .completed
                .entry(self.accounts[&task].clone())
                .or_default() += 1;
            let commands = self.fixture.end_run(task, RunReport::Answered);
            self.execute(commands);
        }
    }

    fn completed(&self, account: &str) -> u32 {
        self.completed.get(account).copied().unwrap_or_default()
    }
}

#[test]
fn full_pool_serves_accounts_by_share_regardless_of_demand() {
    let mut simulation = LoadSimulation::new(small_fleet(4));
    for _ in 0..300 {
        simulation.submit(8, "plain", "b");
        simulation.submit(2, "plain", "a");
        simulation.step();
    }
    let (a, b) = (
        f64::from(simulation.completed("a")),
        f64::from(simulation.completed("b")),
    );
    assert!((a / (a + b) - 0.75).abs() < 0.05, "a {a}, b {b}");
}

#[test]
fn idle_account_earns_no_credit_and_leaves_its_slots_to_others() {
    let mut simulation = LoadSimulation::new(small_fleet(4));
    for _ in 0..200 {
        simulation.submit(1, "plain", "b");
        simulation.step();
    }
    let alone = simulation.completed("b");
    assert!(
        alone > 130,
        "the only active account gets all 8 slots: {alone}"
    );
    for round in 0..110 {
        simulation.submit(1, "plain", "b");
        simulation.submit(1, "plain", "a");
        simulation.step();
        if round == 10 {
            // The tasks that were running when the other account became active have ended.
            simulation.completed.clear();
        }
    }
    let (a, b) = (
        f64::from(simulation.completed("a")),
        f64::from(simulation.completed("b")),
    );
    assert!((a / (a + b) - 0.75).abs() < 0.05, "a {a}, b {b}");
}

#[test]
fn interactive_tasks_use_slots_reserved_from_deferred_tasks() {
    let mut simulation = LoadSimulation::new(small_fleet(8));
    simulation.submit(100, "deferred", "a");
    assert_eq!(
        simulation.running.len(),
        14,
        "a tenth of 16 slots is reserved"
    );
    assert_eq!(
        simulation.fixture.scheduler.explain(100),
        Some(WaitReason::Reserve)
    );
    let request = simulation.fixture.request("plain", Some("b"));
    let commands = simulation
        .fixture
        .send(DispatchEvent::TaskSubmitted(request));
    assert_eq!(starts(&commands).len(), 1);
}

#[test]
fn deferred_task_takes_precedence_once_its_slack_is_used() {
    let mut fleet = small_fleet(1);
    fleet.queues.push(QueueSpec {
        kind: QueueKind::Deferred,
        deadline: 60 * SECOND,
        ..support::queue("tight")
    });
    let mut simulation = LoadSimulation::new(fleet);
    simulation.submit(2, "plain", "a");
    simulation.submit(1, "tight", "a");
    let deferred = 3;
    let mut waited = Duration::ZERO;
    while simulation.fixture.scheduler.explain(deferred).is_some() {
        simulation.submit(1, "plain", "a");
        simulation.step();
        waited += STEP;
        assert!(waited < 60 * SECOND, "the deferred task starved");
    }
    assert!(
        waited > 30 * SECOND,
        "the deferred task started too early: {waited:?}"
    );
}

#[test]
fn surge_is_refused_early_and_backlog_stays_bounded() {
    let mut simulation = LoadSimulation::new(small_fleet(4));
    let mut max_waiting = 0;
    for _ in 0..600 {
        simulation.submit(4, "plain", "a");
        simulation.step();
        max_waiting = max_waiting.max(simulation.fixture.scheduler.waiting_tasks());
    }
    assert!(
        simulation.refused > 1000,
        "only {} tasks were refused",
        simulation.refused
    );
    // 8 slots run 8 tasks per second, so up to 60 s of them may wait. Starts come in bursts, so the
    // expected wait is only accurate to a fifth.
    assert!(
        max_waiting <= 8 * 60 * 6 / 5,
        "longest backlog: {max_waiting}"
    );
    let completed = simulation.completed("a");
    assert!(
        completed >= 8 * 55,
        "slots were idle: only {completed} tasks completed"
    );
}

#[test]
fn task_that_would_miss_its_deadline_is_refused() {
    let mut simulation = LoadSimulation::new(small_fleet(1));
    for _ in 0..100 {
        simulation.submit(1, "plain", "a");
        simulation.step();
    }
    let mut request = simulation.fixture.request("plain", Some("a"));
    request.deadline = Some(simulation.fixture.now + 2 * SECOND);
    let commands = simulation
        .fixture
        .send(DispatchEvent::TaskSubmitted(request));
    let expected = (RefusalReason::Overloaded, RunCertainty::NotRun);
    assert_eq!(refusals(&commands), vec![expected]);
}

#[test]
fn task_without_time_to_finish_is_not_started() {
    let mut simulation = LoadSimulation::new(small_fleet(1));
    simulation.submit(2, "plain", "a");
    (0..11).for_each(|_| simulation.step());
    simulation.submit(2, "plain", "a");
    let mut request = simulation.fixture.request("plain", Some("a"));
    request.deadline = Some(simulation.fixture.now + Duration::from_millis(1100));
    simulation
        .fixture
        .send(DispatchEvent::TaskSubmitted(request));
    let started = simulation.started.values().sum::<u32>();
    (0..11).for_each(|_| simulation.step());
    assert_eq!(simulation.refused, 1);
    assert_eq!(simulation.started.values().sum::<u32>(), started);
}

#[test]
fn one_account_cannot_fill_the_backlog() {
    let settings = SchedulerSettings {
        max_waiting: 100,
        ..SchedulerSettings::default()
    };
    let mut fixture = SchedulerFixture::with_settings(small_fleet(1), settings);
    let refused = refusals(&fixture.submit_many(200, "deferred", "a")).len();
    assert!(refused >= 100, "only {refused} tasks were refused");
    assert!(refusals(&fixture.submit_many(20, "plain", "b")).is_empty());
}

#[test]
fn worker_that_fails_every_task_gets_few_tasks() {
    let mut fleet = small_fleet(4);
    for name in ["w3", "w4"] {
        fleet.workers.push(worker(name, "z1", 4));
        fleet.pools[0].workers.push(name.into());
    }
    let mut simulation = LoadSimulation::new(fleet);
    simulation.is_failing = |worker| worker == "w1";
    for _ in 0..600 {
        simulation.submit(1, "plain", "a");
        simulation.step();
    }
    let failed = simulation.started["w1"];
    assert!(failed < 20, "w1 got {failed} tasks within a minute");
    assert_eq!(simulation.refused, 0, "the other workers run all tasks");
}

#[test]
fn ejection_leaves_most_of_a_failing_pool_in_use() {
    let mut simulation = LoadSimulation::new(small_fleet(4));
    simulation.is_failing = |_| true;
    for _ in 0..100 {
        simulation.submit(1, "plain", "a");
        simulation.step();
    }
    simulation.started.clear();
    simulation.is_failing = |_| false;
    simulation.submit(1, "plain", "a");
    assert_eq!(simulation.started.values().sum::<u32>(), 1);
}

#[test]
fn retries_cannot_amplify_an_outage() {
    let mut simulation = LoadSimulation::new(small_fleet(8));
    simulation.is_failing = |_| true;
    let submitted = 2000;
    for _ in 0..submitted / 2 {
        simulation.submit(2, "plain", "a");
        simulation.step();
    }
    let starts = simulation.started.values().sum::<u32>();
    // Retry budget: a tenth of the first attempts, one retry per second, and the initial burst.
    let allowed = submitted + submitted / 10 + 100 + 20;
    assert!(starts <= allowed, "{starts} starts for {submitted} tasks");
}

#[test]
fn attempts_on_a_busy_worker_are_limited() {
    let mut fixture = SchedulerFixture::new(small_fleet(1));
    let mut pending: Vec<TaskId> = starts(&fixture.submit_many(2, "plain", "a"))
        .iter()
        .map(|start| start.task)
        .collect();
    let mut attempts = 0;
    for _ in 0..1000 {
        let mut commands = Vec::new();
        for task in std::mem::take(&mut pending) {
            attempts += 1;
            commands.extend(fixture.end_run(task, RunReport::Busy));
        }
        commands.extend(fixture.advance(Duration::from_millis(1)));
        pending.extend(starts(&commands).iter().map(|start| start.task));
    }
    assert!(attempts < 60, "{attempts} attempts within a second");
}

/// Returns a report of a peer at which account `b` waits and has received no service.
fn report_of_waiting_peer() -> DispatchEvent {
    DispatchEvent::SharesReported(ShareReport {
        entry: "peer".into(),
        pools: vec![PoolService {
            pool: "pool".into(),
            accounts: vec![AccountShare {
                account: Some("b".into()),
                served: 0.0,
                idle_charge: 0.0,
                running: 0,
                waiting: 5,
            }],
        }],
    })
}

#[test]
fn account_in_the_lead_leaves_slots_to_a_peer_for_a_bounded_time() {
    let mut fixture = SchedulerFixture::new(small_fleet(8));
    fixture.send(report_of_waiting_peer());
    let commands = fixture.submit_many(16, "plain", "a");
    let started = starts(&commands).len();
    // 500 ms of 16 slots divided by the shares 3 and 1 is a lead of 2, and one more task may start.
    assert_eq!(started, 8);
    assert_eq!(fixture.scheduler.explain(16), Some(WaitReason::Share));
    let mut later = 0;
    for _ in 0..40 {
        let commands = fixture.advance(Duration::from_millis(10));
        later += starts(&commands).len();
    }
    assert!(later > 0, "free slots were left idle for 400 ms");
}

#[test]
fn service_is_reported_to_peers_while_tasks_wait() {
    let mut fixture = SchedulerFixture::new(small_fleet(1));
    fixture.submit_many(3, "plain", "a");
    let commands = fixture.advance(SECOND);
    let report = commands.iter().find_map(|command| match command {
        DispatchCommand::ReportShares(report) => Some(&report.pools[0].accounts[0]),
        _ => None,
    });
    let share = report.expect("no report was sent");
    assert_eq!((share.running, share.waiting), (2, 1));
    assert!(
        (share.served - 2.0).abs() < 0.2,
        "reported service: {}",
        share.served
    );
}

#[test]
fn peer_without_recent_reports_is_ignored() {
    let mut fixture = SchedulerFixture::new(small_fleet(8));
    fixture.send(report_of_waiting_peer());
    fixture.advance(11 * SECOND);
    let commands = fixture.submit_many(16, "plain", "a");
    assert_eq!(starts(&commands).len(), 16);
}
