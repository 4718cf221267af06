//! Delivery of the configuration while another duty lags.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future::{self, BoxedLocal, FutureExt};
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_node::feed_duty::{self, FeedLinks};
use pw_node::message::{CallerMessage, ControlMessage};
use pw_node::prelude::*;
use pw_ring::prelude::*;

/// Number of reads that the callers duty has to learn of.
const READS: usize = 3;
/// Latency of a read; the test passes after [`READS`] of them.
const READ_LATENCY: Duration = Duration::from_millis(5);

/// A feed with a new configuration at each read.
struct ChangingFeed;

impl FleetFeed for ChangingFeed {
    fn config(&self, _: Duration) -> BoxedLocal<Result<Option<Arc<FleetConfig>>, StoreFault>> {
        async {
            Timer::after(READ_LATENCY).await;
            Ok(Some(Arc::default()))
        }
        .boxed_local()
    }

    fn workers(&self, _: Duration) -> BoxedLocal<Result<Option<Vec<WorkerEntry>>, StoreFault>> {
        future::pending().boxed_local()
    }
}

/// The control duty of an owner without processor time takes no message from its full ring.
#[test]
fn callers_get_the_configuration_while_the_control_duty_lags() {
    let (control, control_messages) = ring("control", 1);
    let (callers, caller_messages) = ring("callers", READS);
    let (machines, _machine_messages) = ring("machines", 1);
    let (intakes, _intake_configs) = ring("intake", 1);
    let full = control.offer(ControlMessage::Workers(Vec::new()));
    assert!(full.is_ok(), "the ring has no room for a first message");
    let links = FeedLinks {
        control,
        callers,
        machines,
        intakes,
    };
    let feed = feed_duty::run(
        Box::new(ChangingFeed),
        NodeSettings::default(),
        Arc::new(SystemClock),
        links,
    );
    let receive = async {
        for _ in 0..READS {
            let message = caller_messages.recv().await;
            assert!(matches!(message, Some(CallerMessage::ConfigRead { .. })));
        }
        // The control duty gets the configuration once its ring has room again.
        control_messages.recv().await;
        let message = control_messages.recv().await;
        assert!(matches!(message, Some(ControlMessage::Config(_))));
    };
    let blocked = async {
        Timer::after(Duration::from_secs(30)).await;
        panic!("the feed is blocked");
    };
    future::block_on(future::or(receive, future::or(feed, blocked)));
}

/// A feed without changes.
struct IdleFeed;

impl FleetFeed for IdleFeed {
    fn config(&self, _: Duration) -> BoxedLocal<Result<Option<Arc<FleetConfig>>, StoreFault>> {
        unchanged()
    }

    fn workers(&self, _: Duration) -> BoxedLocal<Result<Option<Vec<WorkerEntry>>, StoreFault>> {
        unchanged()
    }
}

fn unchanged<T: 'static>() -> BoxedLocal<Result<Option<T>, StoreFault>> {
    async {
        Timer::after(READ_LATENCY).await;
        Ok(None)
    }
    .boxed_local()
}

/// Many other messages wait for room in the ring of the control duty.
#[test]
fn a_busy_control_duty_learns_how_recent_its_inputs_are() {
    let (control, control_messages) = ring("control", 8);
    let (callers, caller_messages) = ring("callers", 8);
    let (machines, _machine_messages) = ring("machines", 8);
    let (intakes, _intake_configs) = ring("intake", 1);
    let links = FeedLinks {
        control: control.clone(),
        callers,
        machines,
        intakes,
    };
    let duty = DutyThread::spawn("feed", move |spawner| async move {
        for _ in 0..64 {
            let control = control.clone();
            spawner.spawn(async move {
                let message = || ControlMessage::Workers(Vec::new());
                while control.send(message()).await.is_ok() {}
            });
        }
        spawner.spawn(async move { while caller_messages.recv().await.is_some() {} });
        let clock = Arc::new(SystemClock);
        feed_duty::run(Box::new(IdleFeed), NodeSettings::default(), clock, links).await;
    });
    assert!(duty.is_ok(), "the thread was not started");
    let receive = async {
        let mut reads = 0;
        while reads < READS {
            let message = control_messages.recv().await;
            reads += usize::from(matches!(message, Some(ControlMessage::InputRead(..))));
            Timer::after(Duration::from_millis(1)).await;
        }
    };
    let blocked = async {
        Timer::after(Duration::from_secs(30)).await;
        panic!("the control duty learns of no read");
    };
    future::block_on(future::or(receive, blocked));
}
