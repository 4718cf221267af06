//! Guarantees of the scheduler, each under a fault or change that could violate it.

mod support;

use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_dispatch::prelude::*;
use pw_member::prelude::*;
use pw_worker::prelude::*;
use pw_zone::prelude::*;
use support::{RUN_TIMEOUT, SchedulerFixture, refusals, small_fleet, starts, worker};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn withdrawn_key_refuses_waiting_and_new_tasks() {
    let mut fixture = SchedulerFixture::new(small_fleet(1));
    fixture.submit_many(4, "plain", "a");
    fixture.spec.accounts[0].keys.clear();
    let refused = refusals(&fixture.apply_fleet());
    let expected = (RefusalReason::KeyRejected, RunCertainty::NotRun);
    assert_eq!(refused, vec![expected; 2], "two tasks run and two wait");
    assert_eq!(refusals(&fixture.submit("plain", "a")), vec![expected]);
}

#[test]
fn key_moved_to_another_account_counts_for_that_account() {
    let mut fixture = SchedulerFixture::new(small_fleet(1));
    let running = fixture.submit_many(3, "plain", "a");
    let moved = std::mem::take(&mut fixture.spec.accounts[0].keys);
    fixture.spec.accounts[1].keys.extend(moved);
    fixture.spec.accounts[1].limit = 0;
    assert!(refusals(&fixture.apply_fleet()).is_empty());
    let task = starts(&running)[0].task;
    let commands = fixture.end_run(task, RunReport::Answered);
    assert!(starts(&commands).is_empty(), "the new account's limit is 0");
    assert_eq!(fixture.scheduler.explain(3), Some(WaitReason::Permit));
}

#[test]
fn unknown_keys_are_accepted_only_on_open_queues() {
    let cases = [
        ("plain", Some("a"), None),
        ("plain", Some("nobody"), Some(RefusalReason::KeyRejected)),
        ("plain", None, Some(RefusalReason::KeyRejected)),
        ("open", None, None),
        ("open", Some("nobody"), None),
        ("missing", Some("a"), Some(RefusalReason::UnknownQueue)),
    ];
    for (queue, key, reason) in cases {
        let mut fixture = SchedulerFixture::new(small_fleet(1));
        let request = fixture.request(queue, key);
        let commands = fixture.send(DispatchEvent::TaskSubmitted(request));
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
fn zone_out_of_service_starts_no_tasks_and_other_zones_do() {
    let mut fixture = SchedulerFixture::new(small_fleet(1));
    fixture.spec.zones[0].status = ZoneStatus::OutOfService;
    fixture.apply_fleet();
    let commands = fixture.submit_many(2, "plain", "a");
    let started = starts(&commands);
    assert_eq!(started.len(), 1);
    assert_eq!(&*started[0].worker, "w2");
    assert_eq!(fixture.scheduler.explain(2), Some(WaitReason::Slots));
    fixture.spec.zones[0].status = ZoneStatus::InService;
    let commands = fixture.apply_fleet();
    assert_eq!(&*starts(&commands)[0].worker, "w1");
}

#[test]
fn leaving_or_missing_instances_get_no_new_tasks() {
    let mut fixture = SchedulerFixture::new(small_fleet(1));
    fixture.list_instances(InstanceState::Leaving);
    assert!(starts(&fixture.submit("plain", "a")).is_empty());
    assert_eq!(fixture.scheduler.explain(1), Some(WaitReason::Zone));
    fixture.send(DispatchEvent::InstancesListed(Vec::new()));
    assert!(starts(&fixture.submit("plain", "a")).is_empty());
    let commands = fixture.list_instances(InstanceState::Live);
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
        let mut fixture = SchedulerFixture::new(fleet);
        let commands = fixture.submit("plain", "a");
        let task = starts(&commands)[0].task;
        assert!(starts(&fixture.submit("plain", "a")).is_empty());
        assert_eq!(fixture.scheduler.explain(2), Some(WaitReason::Permit));
        let mut commands = fixture.end_run(task, report);
        if held > Duration::ZERO {
            assert!(starts(&commands).is_empty(), "{report}");
            commands = fixture.advance(held - Duration::from_millis(1));
            assert!(starts(&commands).is_empty(), "{report}");
            assert!(
                fixture.scheduler.next_deadline() <= Some(fixture.now + Duration::from_millis(1))
            );
            commands = fixture.advance(Duration::from_millis(1));
        }
        let other = starts(&commands)
            .into_iter()
            .filter(|start| start.task == 2);
        assert_eq!(other.count(), 1, "{report}");
    }
}

#[test]
fn lowered_limit_stops_no_running_task_and_starts_none() {
    let mut fixture = SchedulerFixture::new(small_fleet(4));
    let running = fixture.submit_many(3, "plain", "a");
    fixture.spec.accounts[0].limit = 1;
    assert!(refusals(&fixture.apply_fleet()).is_empty());
    fixture.submit("plain", "a");
    for (index, start) in starts(&running).into_iter().enumerate() {
        let commands = fixture.end_run(start.task, RunReport::Answered);
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
    let mut fixture = SchedulerFixture::new(fleet);
    let request = fixture.request("open", None);
    let commands = fixture.send(DispatchEvent::TaskSubmitted(request));
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
        let mut fixture = SchedulerFixture::new(small_fleet(4));
        let commands = fixture.submit(queue, "a");
        let task = starts(&commands)[0].task;
        let mut attempts = 1;
        let mut refused = refusals(&fixture.end_run(task, report));
        while refused.is_empty() {
            let commands = fixture.advance(SECOND);
            assert_eq!(starts(&commands).len(), 1, "{queue} after {report}");
            attempts += 1;
            refused = refusals(&fixture.end_run(task, report));
        }
        let expected = (RefusalReason::BackendFailed, certainty);
        assert_eq!(refused, vec![expected], "{queue} after {report}");
        assert_eq!(attempts, if is_retried { 3 } else { 1 });
    }
}

#[test]
fn refusal_after_a_run_of_unknown_outcome_never_says_not_run() {
    let mut fixture = SchedulerFixture::new(small_fleet(1));
    let commands = fixture.submit("idempotent", "a");
    let task = starts(&commands)[0].task;
    fixture.end_run(task, RunReport::Unknown);
    fixture.list_instances(InstanceState::Leaving);
    let refused = refusals(&fixture.advance(60 * SECOND));
    let expected = (RefusalReason::DeadlinePassed, RunCertainty::Unknown);
    assert_eq!(refused, vec![expected]);
}

#[test]
fn second_report_of_a_run_changes_nothing() {
    let mut fixture = SchedulerFixture::new(small_fleet(1));
    let commands = fixture.submit("plain", "a");
    let task = starts(&commands)[0].task;
    assert_eq!(fixture.end_run(task, RunReport::Answered).len(), 1);
    for late in [RunReport::Answered, RunReport::NotRun, RunReport::Unknown] {
        assert!(fixture.end_run(task, late).is_empty());
    }
}

#[test]
fn attempt_fits_into_the_deadline_that_is_left() {
    let mut fixture = SchedulerFixture::new(small_fleet(1));
    let mut request = fixture.request("plain", Some("a"));
    request.deadline = Some(fixture.now + 3 * SECOND);
    let commands = fixture.send(DispatchEvent::TaskSubmitted(request));
    assert_eq!(starts(&commands)[0].run_timeout, 3 * SECOND);
}

#[test]
fn shutdown_refuses_new_tasks_and_completes_waiting_tasks() {
    let mut fixture = SchedulerFixture::new(small_fleet(1));
    let running = fixture.submit_many(3, "plain", "a");
    fixture.send(DispatchEvent::ShutdownBegan);
    let expected = (RefusalReason::ShuttingDown, RunCertainty::NotRun);
    assert_eq!(refusals(&fixture.submit("plain", "a")), vec![expected]);
    let task = starts(&running)[0].task;
    assert_eq!(starts(&fixture.end_run(task, RunReport::Answered)).len(), 1);
}

#[test]
fn task_larger_than_every_worker_is_refused_immediately() {
    let mut fixture = SchedulerFixture::new(small_fleet(1));
    let cases = [(32_000, false), (32_001, true)];
    for (millicores, is_refused) in cases {
        let mut request = fixture.request("plain", Some("a"));
        request.size.millicores = millicores;
        let commands = fixture.send(DispatchEvent::TaskSubmitted(request));
        let expected = (RefusalReason::Unplaceable, RunCertainty::NotRun);
        let expected = is_refused.then_some(expected).into_iter();
        assert_eq!(refusals(&commands), expected.collect::<Vec<_>>());
    }
}

#[test]
fn declared_sizes_are_reserved_until_the_task_ends() {
    let mut fixture = SchedulerFixture::new(small_fleet(4));
    let mut commands = Vec::new();
    for _ in 0..3 {
        let mut request = fixture.request("plain", Some("a"));
        request.size.millicores = 20_000;
        commands.extend(fixture.send(DispatchEvent::TaskSubmitted(request)));
    }
    assert_eq!(starts(&commands).len(), 2, "one task per worker");
    assert_eq!(fixture.scheduler.explain(3), Some(WaitReason::Resources));
    let task = starts(&commands)[0].task;
    assert_eq!(starts(&fixture.end_run(task, RunReport::Answered)).len(), 1);
}

#[test]
fn reserved_sizes_follow_reported_usage_rather_than_declarations() {
    let mut fixture = SchedulerFixture::new(small_fleet(4));
    let mut request = fixture.request("plain", Some("a"));
    request.size.millicores = 32_000;
    let commands = fixture.send(DispatchEvent::TaskSubmitted(request));
    let start = starts(&commands)[0].clone();
    let used = ResourceSize {
        millicores: 1000,
        ..ResourceSize::default()
    };
    fixture.send(DispatchEvent::UsageReported(vec![WorkerUsage {
        worker: start.worker,
        measured: fixture.now,
        running: 1,
        used,
        tasks: vec![TaskUsage {
            task: start.task,
            used,
        }],
    }]));
    fixture.end_run(start.task, RunReport::Answered);
    let mut commands = Vec::new();
    for _ in 0..8 {
        let mut request = fixture.request("plain", Some("a"));
        request.size.millicores = 32_000;
        commands.extend(fixture.send(DispatchEvent::TaskSubmitted(request)));
    }
    assert_eq!(starts(&commands).len(), 8);
}

#[test]
fn cancelling_many_waiting_tasks_leaves_no_state_behind() {
    let mut fleet = small_fleet(1);
    fleet.workers.push(worker("w3", "z2", 1));
    let mut fixture = SchedulerFixture::new(fleet);
    fixture.submit_many(2, "plain", "a");
    fixture.submit_many(2000, "deferred", "a");
    fixture.submit_many(2000, "plain", "b");
    for task in 3..=4002 {
        let refused = refusals(&fixture.send(DispatchEvent::TaskAbandoned(task)));
        let expected = (RefusalReason::Cancelled, RunCertainty::NotRun);
        assert_eq!(refused, vec![expected]);
    }
    assert_eq!(
        (
            fixture.scheduler.open_tasks(),
            fixture.scheduler.waiting_tasks()
        ),
        (2, 0)
    );
    assert!(starts(&fixture.end_run(1, RunReport::Answered)).is_empty());
}

#[test]
fn cancelled_runs_do_not_count_as_failures_of_their_worker() {
    for report in [RunReport::Failed, RunReport::NotRun] {
        let mut fixture = SchedulerFixture::new(small_fleet(4));
        for _ in 0..50 {
            let commands = fixture.submit("idempotent", "a");
            let task = starts(&commands).first().expect("no task started").task;
            let commands = fixture.send(DispatchEvent::TaskAbandoned(task));
            assert_eq!(commands, [DispatchCommand::StopTask(task)]);
            let commands = fixture.end_run(task, report);
            assert_eq!(refusals(&commands).len(), 1, "the task was retried");
            assert_eq!(refusals(&commands)[0].0, RefusalReason::Cancelled);
            let is_notice = |command| matches!(command, DispatchCommand::Notify(_));
            assert!(!commands.into_iter().any(is_notice), "{report}");
        }
    }
}

/// Gate that grants permits only while the last reading of the log is fresh.
#[derive(Default)]
struct FreshnessGate {
    fresh_until: Option<Instant>,
}

impl PermitGate for FreshnessGate {
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
fn fresh_reading_without_records_releases_holds_for_permits() {
    let gate = Box::new(FreshnessGate::default());
    let mut fixture =
        SchedulerFixture::with_gate(small_fleet(1), SchedulerSettings::default(), gate);
    fixture.advance(2 * SECOND);
    assert!(starts(&fixture.submit("plain", "a")).is_empty());
    assert_eq!(fixture.scheduler.explain(1), Some(WaitReason::Permit));
    assert_eq!(starts(&fixture.read_log(Vec::new())).len(), 1);
}
