//! Orders that wait in the orders duty, and answers that wait for the owner.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use futures_lite::future::{self, BoxedLocal, FutureExt};
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_job::prelude::*;
use pw_node::message::{ControlMessage, OrderMessage, ShardTerm};
use pw_node::order_duty;
use pw_node::prelude::*;
use pw_ring::prelude::*;

/// Counts the starts that are sent, and answers polls with the end of a task.
#[derive(Clone, Default)]
struct CountingGateway {
    starts: Arc<AtomicU32>,
    /// Number of the last run end that a poll acknowledged.
    acknowledged: Arc<AtomicU64>,
}

impl WorkerGateway for CountingGateway {
    fn poll(&self, order: PollOrder) -> BoxedLocal<Result<PollReport, CallFault>> {
        self.acknowledged
            .store(order.acknowledged, Ordering::SeqCst);
        let done = FinishedRun {
            number: 8,
            task: "job.0.0.0".parse().expect("a task name"),
            run: 1,
            end: RunEnd::Done,
            checkpoint: None,
        };
        let report = PollReport {
            finished: vec![done],
            ..Default::default()
        };
        future::ready(Ok(report)).boxed_local()
    }

    fn start(&self, _: StartOrder) -> BoxedLocal<StartOutcome> {
        self.starts.fetch_add(1, Ordering::SeqCst);
        future::ready(StartOutcome::Accepted).boxed_local()
    }

    fn stop(&self, _: StopOrder) -> BoxedLocal<Result<(), CallFault>> {
        future::pending().boxed_local()
    }

    fn advise(&self, _: AdviceOrder) -> BoxedLocal<Result<AdviceReport, CallFault>> {
        future::pending().boxed_local()
    }

    fn pace(&self, _: PaceOrder) -> BoxedLocal<Result<(), CallFault>> {
        future::pending().boxed_local()
    }
}

/// The orders duty of a test, with the rings to both sides.
struct OrdersFixture {
    orders: RingSender<OrderMessage>,
    control: RingReceiver<ControlMessage>,
    duty: DutyThread,
}

impl OrdersFixture {
    fn new(gateway: CountingGateway, clock: &ManualClock) -> Self {
        let (orders, order_messages) = ring("orders", 2);
        let (control, control_messages) = ring("control", 2);
        let source: Arc<dyn ClockSource> = Arc::new(clock.clone());
        let duty = DutyThread::spawn("orders", move |spawner| {
            order_duty::run(Box::new(gateway), source, order_messages, control, spawner)
        });
        Self {
            orders,
            control: control_messages,
            duty: duty.expect("a thread"),
        }
    }

    /// Has an order sent and returns what the owner is told.
    fn answer(&self, message: OrderMessage) -> ShardEvent {
        let offered = self.orders.offer(message);
        assert!(offered.is_ok(), "the ring is full");
        match future::block_on(self.control.recv()) {
            Some(ControlMessage::Shard(_, event)) => *event,
            message => panic!("unexpected message {message:?}"),
        }
    }

    fn start(&self, order: StartOrder) -> StartOutcome {
        match self.answer(OrderMessage::Start(TERM, order)) {
            ShardEvent::Started { outcome, .. } => outcome,
            event => panic!("unexpected event {event:?}"),
        }
    }

    fn finish(self) {
        drop(self.orders);
        assert!(self.duty.join());
    }
}

const TERM: ShardTerm = ShardTerm { shard: 0, epoch: 1 };

/// A start that has waited too long in its process must not be sent: its job may be cancelled.
#[test]
fn a_start_that_waited_too_long_is_not_sent() {
    let clock = ManualClock::default();
    let send_by = clock.now() + Duration::from_secs(1);
    let gateway = CountingGateway::default();
    let starts = Arc::clone(&gateway.starts);
    let fixture = OrdersFixture::new(gateway, &clock);
    assert_eq!(fixture.start(start_order(send_by)), StartOutcome::Accepted);
    clock.advance(Duration::from_secs(1));
    assert_eq!(fixture.start(start_order(send_by)), StartOutcome::NotSent);
    assert_eq!(starts.load(Ordering::SeqCst), 1);
    fixture.finish();
}

/// The answer may wait for an owner without processor time while its start waits here.
#[test]
fn a_task_that_an_answer_has_reported_as_done_is_not_started() {
    let clock = ManualClock::default();
    let send_by = clock.now() + Duration::from_secs(1);
    let fixture = OrdersFixture::new(CountingGateway::default(), &clock);
    clock.advance(Duration::from_millis(10));
    fixture.answer(OrderMessage::Poll(TERM, poll_order(clock.now())));
    assert_eq!(fixture.start(start_order(send_by)), StartOutcome::NotSent);
    // An owner that has handled the answer may have a reason to start the task again.
    let decided = StartOrder {
        decided_as_of: clock.now(),
        ..start_order(send_by)
    };
    assert_eq!(fixture.start(decided), StartOutcome::Accepted);
    let repeated = StartOrder {
        long_running: true,
        ..start_order(send_by)
    };
    assert_eq!(fixture.start(repeated), StartOutcome::Accepted);
    fixture.finish();
}

/// A later life of the worker counts its run ends anew.
#[test]
fn a_poll_that_waited_too_long_acknowledges_nothing() {
    let clock = ManualClock::default();
    let gateway = CountingGateway::default();
    let acknowledged = Arc::clone(&gateway.acknowledged);
    let fixture = OrdersFixture::new(gateway, &clock);
    let order = poll_order(clock.now() + Duration::from_secs(1));
    fixture.answer(OrderMessage::Poll(TERM, order.clone()));
    assert_eq!(acknowledged.load(Ordering::SeqCst), 7);
    clock.advance(Duration::from_secs(1));
    fixture.answer(OrderMessage::Poll(TERM, order));
    assert_eq!(acknowledged.load(Ordering::SeqCst), 0);
    fixture.finish();
}

fn poll_order(acknowledge_by: std::time::Instant) -> PollOrder {
    PollOrder {
        worker: "worker".into(),
        address: ([127, 0, 0, 1], 1).into(),
        life: Some(1),
        epoch: 1,
        fence: 1 << 16,
        acknowledged: 7,
        acknowledge_by,
        lease_until: None,
        wait: Duration::ZERO,
        sent_at: acknowledge_by,
    }
}

fn start_order(send_by: std::time::Instant) -> StartOrder {
    StartOrder {
        worker: "worker".into(),
        address: ([127, 0, 0, 1], 1).into(),
        life: 1,
        task: "job.0.0.0".parse().expect("a task name"),
        run: 1,
        long_running: false,
        payload: "work".into(),
        checkpoint: None,
        ticket: None,
        lease_until: 6000,
        epoch: 1,
        fence: 1 << 16,
        decided_as_of: send_by - Duration::from_secs(1),
        send_by,
    }
}
