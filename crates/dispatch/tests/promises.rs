//! Each promise of the scheduler, with the failure that would break it.

mod support;

use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_dispatch::prelude::*;
use pw_member::prelude::*;
use pw_worker::prelude::*;
use pw_zone::prelude::*;
use support::{Bench, RUN_TIMEOUT, refusals, small_fleet, starts, worker};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn withdrawn_key_refuses_what_waits_and_what_comes() {
    let mut bench = Bench::new(small_fleet(1));
    bench.submit_many(4, "plain", "a");
    bench.spec.accounts[0].keys.clear();
    let refused = refusals(&bench.apply());
    let expected = (RefusalReason::KeyRejected, RunCertainty::NotRun);
    assert_eq!(refused, vec![expected; 2], "two run, two wait");
    assert_eq!(refusals(&bench.submit("plain", "a")), vec![expected]);
}

#[test]
fn key_moved_to_another_account_counts_for_that_account() {
    let mut bench = Bench::new(small_fleet(1));
    let running = bench.submit_many(3, "plain", "a");
    let moved = std::mem::take(&mut bench.spec.accounts[0].keys);
    bench.spec.accounts[1].keys.extend(moved);
    bench.spec.accounts[1].limit = 0;
    assert!(refusals(&bench.apply()).is_empty());
    let task = starts(&running)[0].task;
    let commands = bench.end(task, RunReport::Answered);
    assert!(starts(&commands).is_empty(), "the new account's limit is 0");
    assert_eq!(bench.scheduler.explain(3), Some(WaitReason::Permit));
}

#[test]
fn only_known_keys_are_taken_but_on_open_queues() {
    let cases = [
        ("plain", Some("a"), None),
        ("plain", Some("nobody"), Some(RefusalReason::KeyRejected)),
        ("plain", None, Some(RefusalReason::KeyRejected)),
        ("open", None, None),
        ("open", Some("nobody"), None),
        ("missing", Some("a"), Some(RefusalReason::UnknownQueue)),
    ];
    for (queue, key, reason) in cases {
        let mut bench = Bench::new(small_fleet(1));
        let request = bench.request(queue, key);
        let commands = bench.feed(DispatchEvent::TaskSubmitted(request));
        let expected = reason.map(|reason| (reason, RunCertainty::NotRun));
        assert_eq!(
            refusals(&commands),
            expected.into_iter().collect::<Vec<_>>(),
            "{queue} with {key:?}"
        );
        assert_eq!(starts(&commands).len(), usize::from(reason.is_none()));
    }
}

#[test]
fn zone_out_of_service_starts_nothing_and_work_goes_elsewhere() {
    let mut bench = Bench::new(small_fleet(1));
    bench.spec.zones[0].status = ZoneStatus::OutOfService;
    bench.apply();
    let commands = bench.submit_many(2, "plain", "a");
    let started = starts(&commands);
    assert_eq!(started.len(), 1);
    assert_eq!(&*started[0].worker, "w2");
    assert_eq!(bench.scheduler.explain(2), Some(WaitReason::Slots));
    bench.spec.zones[0].status = ZoneStatus::InService;
    let commands = bench.apply();
    assert_eq!(&*starts(&commands)[0].worker, "w1");
}

#[test]
fn leaving_or_missing_instances_get_nothing_new() {
    let mut bench = Bench::new(small_fleet(1));
    bench.list(InstanceState::Leaving);
    assert!(starts(&bench.submit("plain", "a")).is_empty());
    assert_eq!(bench.scheduler.explain(1), Some(WaitReason::Zone));
    bench.feed(DispatchEvent::InstancesListed(Vec::new()));
    assert!(starts(&bench.submit("plain", "a")).is_empty());
    let commands = bench.list(InstanceState::Live);
    assert_eq!(starts(&commands).len(), 2);
}

#[test]
fn limit_counts_until_the_run_has_certainly_ended() {
    let cases = [
        (RunReport::Answered, Duration::ZERO),
        (RunReport::NotRun, Duration::ZERO),
        (RunReport::Unknown, RUN_TIMEOUT + 5 * SECOND),
    ];
    for (report, held) in cases {
        let mut fleet = small_fleet(4);
        fleet.accounts[0].limit = 1;
        let mut bench = Bench::new(fleet);
        let commands = bench.submit("plain", "a");
        let task = starts(&commands)[0].task;
        assert!(starts(&bench.submit("plain", "a")).is_empty());
        assert_eq!(bench.scheduler.explain(2), Some(WaitReason::Permit));
        let mut commands = bench.end(task, report);
        if held > Duration::ZERO {
            assert!(starts(&commands).is_empty(), "{report}");
            commands = bench.advance(held - Duration::from_millis(1));
            assert!(starts(&commands).is_empty(), "{report}");
            assert!(bench.scheduler.next_deadline() <= Some(bench.now + Duration::from_millis(1)));
            commands = bench.advance(Duration::from_millis(1));
        }
        let other = starts(&commands)
            .into_iter()
            .filter(|start| start.task == 2);
        assert_eq!(other.count(), 1, "{report}");
    }
}

#[test]
fn lowered_limit_stops_nothing_and_starts_nothing() {
    let mut bench = Bench::new(small_fleet(4));
    let running = bench.submit_many(3, "plain", "a");
    bench.spec.accounts[0].limit = 1;
    assert!(refusals(&bench.apply()).is_empty());
    bench.submit("plain", "a");
    for (index, start) in starts(&running).into_iter().enumerate() {
        let commands = bench.end(start.task, RunReport::Answered);
        assert_eq!(starts(&commands).len(), usize::from(index == 2));
    }
}

#[test]
fn open_queue_without_a_key_needs_no_permit() {
    let mut fleet = small_fleet(4);
    fleet
        .accounts
        .iter_mut()
        .for_each(|account| account.limit = 0);
    let mut bench = Bench::new(fleet);
    let request = bench.request("open", None);
    let commands = bench.feed(DispatchEvent::TaskSubmitted(request));
    assert_eq!(starts(&commands).len(), 1);
}

#[test]
fn task_that_may_have_run_is_sent_again_only_when_idempotent() {
    let cases = [
        ("plain", RunReport::Unknown, false, RunCertainty::Unknown),
        ("plain", RunReport::NotRun, true, RunCertainty::NotRun),
        (
            "idempotent",
            RunReport::Unknown,
            true,
            RunCertainty::Unknown,
        ),
    ];
    for (queue, report, is_retried, certainty) in cases {
        let mut bench = Bench::new(small_fleet(4));
        let commands = bench.submit(queue, "a");
        let task = starts(&commands)[0].task;
        let mut attempts = 1;
        let mut refused = refusals(&bench.end(task, report));
        while refused.is_empty() {
            let commands = bench.advance(SECOND);
            assert_eq!(starts(&commands).len(), 1, "{queue} after {report}");
            attempts += 1;
            refused = refusals(&bench.end(task, report));
        }
        let expected = (RefusalReason::BackendFailed, certainty);
        assert_eq!(refused, vec![expected], "{queue} after {report}");
        assert_eq!(attempts, if is_retried { 3 } else { 1 });
    }
}

#[test]
fn refusal_after_a_run_of_unknown_outcome_never_says_not_run() {
    let mut bench = Bench::new(small_fleet(1));
    let commands = bench.submit("idempotent", "a");
    let task = starts(&commands)[0].task;
    bench.end(task, RunReport::Unknown);
    bench.list(InstanceState::Leaving);
    let refused = refusals(&bench.advance(60 * SECOND));
    let expected = (RefusalReason::DeadlinePassed, RunCertainty::Unknown);
    assert_eq!(refused, vec![expected]);
}

#[test]
fn second_report_of_a_run_changes_nothing() {
    let mut bench = Bench::new(small_fleet(1));
    let commands = bench.submit("plain", "a");
    let task = starts(&commands)[0].task;
    assert_eq!(bench.end(task, RunReport::Answered).len(), 1);
    for late in [RunReport::Answered, RunReport::NotRun, RunReport::Unknown] {
        assert!(bench.end(task, late).is_empty());
    }
}

#[test]
fn attempt_fits_into_the_deadline_that_is_left() {
    let mut bench = Bench::new(small_fleet(1));
    let mut request = bench.request("plain", Some("a"));
    request.deadline = Some(bench.now + 3 * SECOND);
    let commands = bench.feed(DispatchEvent::TaskSubmitted(request));
    assert_eq!(starts(&commands)[0].run_timeout, 3 * SECOND);
}

#[test]
fn shutdown_refuses_new_tasks_and_finishes_what_waits() {
    let mut bench = Bench::new(small_fleet(1));
    let running = bench.submit_many(3, "plain", "a");
    bench.feed(DispatchEvent::ShutdownBegan);
    let expected = (RefusalReason::ShuttingDown, RunCertainty::NotRun);
    assert_eq!(refusals(&bench.submit("plain", "a")), vec![expected]);
    let task = starts(&running)[0].task;
    assert_eq!(starts(&bench.end(task, RunReport::Answered)).len(), 1);
}

#[test]
fn task_larger_than_every_worker_is_refused_at_once() {
    let mut bench = Bench::new(small_fleet(1));
    let cases = [(32_000, false), (32_001, true)];
    for (millicores, is_refused) in cases {
        let mut request = bench.request("plain", Some("a"));
        request.size.millicores = millicores;
        let commands = bench.feed(DispatchEvent::TaskSubmitted(request));
        let expected = (RefusalReason::Unplaceable, RunCertainty::NotRun);
        let expected = is_refused.then_some(expected).into_iter();
        assert_eq!(refusals(&commands), expected.collect::<Vec<_>>());
    }
}

#[test]
fn declared_sizes_are_reserved_until_the_task_ends() {
    let mut bench = Bench::new(small_fleet(4));
    let mut commands = Vec::new();
    for _ in 0..3 {
        let mut request = bench.request("plain", Some("a"));
        request.size.millicores = 20_000;
        commands.extend(bench.feed(DispatchEvent::TaskSubmitted(request)));
    }
    assert_eq!(starts(&commands).len(), 2, "one on each worker");
    assert_eq!(bench.scheduler.explain(3), Some(WaitReason::Resources));
    let task = starts(&commands)[0].task;
    assert_eq!(starts(&bench.end(task, RunReport::Answered)).len(), 1);
}

#[test]
fn sizes_follow_reported_usage_rather_than_declarations() {
    let mut bench = Bench::new(small_fleet(4));
    let mut request = bench.request("plain", Some("a"));
    request.size.millicores = 32_000;
    let commands = bench.feed(DispatchEvent::TaskSubmitted(request));
    let start = starts(&commands)[0].clone();
    let used = ResourceSize {
        millicores: 1000,
        ..ResourceSize::default()
    };
    bench.feed(DispatchEvent::UsageReported(vec![WorkerUsage {
        worker: start.worker,
        measured: bench.now,
        running: 1,
        used,
        tasks: vec![TaskUsage {
            task: start.task,
            used,
        }],
    }]));
    bench.end(start.task, RunReport::Answered);
    let mut commands = Vec::new();
    for _ in 0..8 {
        let mut request = bench.request("plain", Some("a"));
        request.size.millicores = 32_000;
        commands.extend(bench.feed(DispatchEvent::TaskSubmitted(request)));
    }
    assert_eq!(starts(&commands).len(), 8);
}

#[test]
fn cancelled_wave_leaves_no_trace() {
    let mut fleet = small_fleet(1);
    fleet.workers.push(worker("w3", "z2", 1));
    let mut bench = Bench::new(fleet);
    bench.submit_many(2, "plain", "a");
    bench.submit_many(2000, "deferred", "a");
    bench.submit_many(2000, "plain", "b");
    for task in 3..=4002 {
        let refused = refusals(&bench.feed(DispatchEvent::TaskAbandoned(task)));
        let expected = (RefusalReason::Cancelled, RunCertainty::NotRun);
        assert_eq!(refused, vec![expected]);
    }
    assert_eq!(
        (
            bench.scheduler.open_tasks(),
            bench.scheduler.waiting_tasks()
        ),
        (2, 0)
    );
    assert!(starts(&bench.end(1, RunReport::Answered)).is_empty());
}

#[test]
fn cancelled_runs_are_not_held_against_their_worker() {
    for report in [RunReport::Failed, RunReport::NotRun] {
        let mut bench = Bench::new(small_fleet(4));
        for _ in 0..50 {
            let commands = bench.submit("idempotent", "a");
            let task = starts(&commands).first().expect("a free slot").task;
            let commands = bench.feed(DispatchEvent::TaskAbandoned(task));
            assert_eq!(commands, [DispatchCommand::StopTask(task)]);
            let commands = bench.end(task, report);
            assert_eq!(refusals(&commands).len(), 1, "not tried again");
            assert_eq!(refusals(&commands)[0].0, RefusalReason::Cancelled);
            let ejects = |command| matches!(command, DispatchCommand::Notify(_));
            assert!(!commands.into_iter().any(ejects), "{report}");
        }
    }
}

/// Gate that gives permits only while a reading of the log is fresh.
#[derive(Default)]
struct FreshGate {
    fresh_until: Option<Instant>,
}

impl PermitGate for FreshGate {
    fn acquire(&mut self, now: Instant, account: &AccountId, _zone: &ZoneId) -> Option<TaskPermit> {
        let is_fresh = self.fresh_until.is_some_and(|until| now < until);
        is_fresh.then(|| TaskPermit {
            account: account.clone(),
            kind: PermitKind::Float,
            incarnation: 0,
        })
    }

    fn release(&mut self, _now: Instant, _permit: TaskPermit) {}

    fn set_demand(&mut self, _now: Instant, _account: &AccountId, _waiting: u32) {}

    fn observe(
        &mut self,
        _now: Instant,
        asked: Option<Instant>,
        _permits: &PermitLedger,
        _members: &MemberLedger,
    ) {
        self.fresh_until = asked.map(|asked| asked + SECOND);
    }
}

#[test]
fn fresh_reading_without_records_lets_waiting_tasks_ask_again() {
    let gate = Box::new(FreshGate::default());
    let mut bench = Bench::with_gate(small_fleet(1), SchedulerSettings::default(), gate);
    bench.advance(2 * SECOND);
    assert!(starts(&bench.submit("plain", "a")).is_empty());
    assert_eq!(bench.scheduler.explain(1), Some(WaitReason::Permit));
    assert_eq!(starts(&bench.read(Vec::new())).len(), 1);
}
