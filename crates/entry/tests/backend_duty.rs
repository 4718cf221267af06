//! The backends duty reports a run only once it has certainly ended, and claims no more about it
//! than the backend server confirmed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use futures_lite::future::{BoxedLocal, FutureExt};
use pw_base::prelude::*;
use pw_dispatch::prelude::*;
use pw_entry::backend_duty::{self, BackendLinks};
use pw_entry::message::{BackendMessage, DispatchMessage};
use pw_link::lease_wire::FenceReply;
use pw_link::prelude::*;
use pw_ring::prelude::*;
use pw_worker::prelude::*;

const TASK: TaskId = 1;

/// Gateway that answers from scripts and panics when a script is exhausted.
#[derive(Clone)]
struct FakeGateway {
    leases: Script<Result<LeaseGrant, LeaseError>>,
    runs: Script<RunOutcome>,
    stops: Script<Option<StopOutcome>>,
}

type Script<T> = Arc<Mutex<Vec<T>>>;

fn script<T>(mut steps: Vec<T>) -> Script<T> {
    steps.reverse();
    Arc::new(Mutex::new(steps))
}

fn next_step<T: 'static>(script: &Script<T>) -> T {
    script
        .lock()
        .expect("script")
        .pop()
        .expect("script has another step")
}

fn call_error() -> CallError {
    CallError::Broken {
        address: address(),
        error: "fake".to_owned(),
    }
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

impl BackendGateway for FakeGateway {
    fn run(&self, _: RunStart, _: LeaseGrant) -> BoxedLocal<RunOutcome> {
        let outcome = next_step(&self.runs);
        async move { outcome }.boxed_local()
    }

    fn stop(
        &self,
        _: BackendAddress,
        _: TaskId,
        _: LeaseId,
    ) -> BoxedLocal<Result<StopOutcome, CallError>> {
        let outcome = next_step(&self.stops);
        async move { outcome.ok_or_else(call_error) }.boxed_local()
    }

    fn acquire_lease(
        &self,
        _: BackendAddress,
        _: HolderId,
        _: Option<BootId>,
    ) -> BoxedLocal<Result<LeaseGrant, LeaseError>> {
        let grant = next_step(&self.leases);
        async move { grant }.boxed_local()
    }

    fn renew_lease(
        &self,
        _: BackendAddress,
        _: LeaseId,
        _: RenewalCount,
    ) -> BoxedLocal<Result<LeaseGrant, LeaseError>> {
        async { Err(LeaseError::Ended) }.boxed_local()
    }

    fn fence_holder(
        &self,
        _: BackendAddress,
        _: HolderId,
    ) -> BoxedLocal<Result<FenceReply, CallError>> {
        async { Err(call_error()) }.boxed_local()
    }
}

fn lease_grant() -> Result<LeaseGrant, LeaseError> {
    Ok(LeaseGrant {
        lease: 7,
        renewal: 0,
        ttl: WORKER_LEASE_TTL,
        boot: 1,
    })
}

fn start_message() -> BackendMessage {
    BackendMessage::Start(RunStart {
        start: TaskStart {
            task: TASK,
            worker: "cutting-01".into(),
            address: address(),
            run_timeout: WORKER_LEASE_TTL,
            permit: None,
        },
        class: LeaseClass::Always,
        payload: Arc::from(b"".as_slice()),
    })
}

/// Starts `starts` runs, one after the other, and returns their reports.
fn run_reports(gateway: &FakeGateway, starts: usize) -> Vec<RunReport> {
    let (runs, run_receiver) = ring("runs", 8);
    let (dispatch, dispatch_receiver) = ring("dispatch", 8);
    let clock = ManualClock::default();
    let links = BackendLinks {
        gateway: Box::new(gateway.clone()),
        clock: Arc::new(clock.clone()),
        holder: "entry-1".into(),
        dispatch,
    };
    let duty = DutyThread::spawn("backends", move |spawner| {
        backend_duty::run(links, spawner, run_receiver)
    })
    .expect("thread");
    let until = clock.now() + WORKER_LEASE_TTL;
    runs.offer(BackendMessage::ReadingFresh { until })
        .expect("space in the ring");
    let reports = (0..starts).map(|_| {
        runs.offer(start_message()).expect("space in the ring");
        match async_io::block_on(dispatch_receiver.recv()) {
            Some(DispatchMessage::RunEnded { task: TASK, result }) => result.report,
            other => panic!("{other:?}"),
        }
    });
    let reports = reports.collect();
    drop(runs);
    assert!(duty.join(), "the duty must end when its ring is closed");
    reports
}

#[test]
fn report_of_an_unknown_run_depends_on_the_stop_outcome() {
    let cases = [
        (vec![Some(StopOutcome::NeverStarted)], RunReport::NotRun),
        (vec![Some(StopOutcome::Ended)], RunReport::Failed),
        (vec![Some(StopOutcome::NotRunning)], RunReport::Unknown),
        (
            vec![None, Some(StopOutcome::NeverStarted)],
            RunReport::NotRun,
        ),
    ];
    for (stops, expected) in cases {
        let gateway = FakeGateway {
            leases: script(vec![lease_grant()]),
            runs: script(vec![RunOutcome::Unknown]),
            stops: script(stops.clone()),
        };
        assert_eq!(run_reports(&gateway, 1), [expected], "{stops:?}");
        assert!(
            gateway.stops.lock().expect("script").is_empty(),
            "{stops:?}"
        );
    }
}

#[test]
fn run_without_a_lease_is_reported_as_not_run() {
    let gateway = FakeGateway {
        leases: script(vec![Err(LeaseError::Unanswered("fake".to_owned()))]),
        runs: script(vec![]),
        stops: script(vec![]),
    };
    assert_eq!(run_reports(&gateway, 1), [RunReport::NotRun]);
}

#[test]
fn ended_lease_is_replaced_for_the_next_run() {
    let gateway = FakeGateway {
        leases: script(vec![lease_grant(), lease_grant()]),
        runs: script(vec![RunOutcome::LeaseEnded, RunOutcome::Answered(vec![1])]),
        stops: script(vec![]),
    };
    let expected = [RunReport::NotRun, RunReport::Answered];
    assert_eq!(run_reports(&gateway, 2), expected);
}
