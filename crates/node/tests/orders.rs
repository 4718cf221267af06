//! Orders that wait in the orders duty.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use futures_lite::future::{self, BoxedLocal, FutureExt};
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_node::message::{ControlMessage, OrderMessage, ShardTerm};
use pw_node::order_duty;
use pw_node::prelude::*;
use pw_ring::prelude::*;

/// Counts the starts that are sent.
#[derive(Clone, Default)]
struct CountingGateway {
    starts: Arc<AtomicU32>,
}

impl WorkerGateway for CountingGateway {
    fn poll(&self, _: PollOrder) -> BoxedLocal<Result<PollReport, CallFault>> {
        future::pending().boxed_local()
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

/// A start that has waited too long in its process must not be sent: its job may be cancelled.
#[test]
fn a_start_that_waited_too_long_is_not_sent() {
    let clock = ManualClock::default();
    let send_by = clock.now() + Duration::from_secs(1);
    let gateway = CountingGateway::default();
    let starts = Arc::clone(&gateway.starts);
    let (orders, order_messages) = ring("orders", 2);
    let (control, control_messages) = ring("control", 2);
    let source: Arc<dyn ClockSource> = Arc::new(clock.clone());
    let duty = DutyThread::spawn("orders", move |spawner| {
        order_duty::run(Box::new(gateway), source, order_messages, control, spawner)
    });
    let next_outcome = || {
        let term = ShardTerm { shard: 0, epoch: 1 };
        let sent = orders.offer(OrderMessage::Start(term, start_order(send_by)));
        assert!(sent.is_ok(), "the ring is full");
        match future::block_on(control_messages.recv()) {
            Some(ControlMessage::Shard(_, event)) => match *event {
                ShardEvent::Started { outcome, .. } => outcome,
                event => panic!("unexpected event {event:?}"),
            },
            message => panic!("unexpected message {message:?}"),
        }
    };
    assert_eq!(next_outcome(), StartOutcome::Accepted);
    clock.advance(Duration::from_secs(1));
    assert_eq!(next_outcome(), StartOutcome::NotSent);
    assert_eq!(starts.load(Ordering::SeqCst), 1);
    drop(orders);
    assert!(duty.expect("a thread").join());
}

fn start_order(send_by: std::time::Instant) -> StartOrder {
    StartOrder {
        worker: "worker".into(),
        address: ([127, 0, 0, 1], 1).into(),
        life: 1,
        task: "job.0.0.0".parse().expect("a task name"),
        run: 1,
        payload: "work".into(),
        checkpoint: None,
        ticket: None,
        lease_until: 6000,
        epoch: 1,
        fence: 1 << 16,
        send_by,
    }
}
