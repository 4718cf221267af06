//! The duty that sends orders to workers.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_ring::prelude::*;

use crate::links::WorkerGateway;
use crate::message::{ControlMessage, OrderMessage, ShardTerm};

/// Sends orders concurrently until the control duty ends.
pub async fn run(
    gateway: Box<dyn WorkerGateway>,
    clock: Arc<dyn ClockSource>,
    orders: RingReceiver<OrderMessage>,
    control: RingSender<ControlMessage>,
    spawner: TaskSpawner,
) {
    let gateway: Rc<dyn WorkerGateway> = Rc::from(gateway);
    let gate = Rc::new(RefCell::new(OrderGate::default()));
    while let Some(order) = orders.recv().await {
        let gateway = Rc::clone(&gateway);
        let control = control.clone();
        let clock = Arc::clone(&clock);
        let gate = Rc::clone(&gate);
        spawner.spawn(async move {
            let (term, event) = send_order(&*gateway, &*clock, &gate, order).await;
            // The control duty ends before this one only when the node stops.
            _ = control
                .send(ControlMessage::Shard(term, Box::new(event)))
                .await;
        });
    }
}

async fn send_order(
    gateway: &dyn WorkerGateway,
    clock: &dyn ClockSource,
    gate: &RefCell<OrderGate>,
    order: OrderMessage,
) -> (ShardTerm, ShardEvent) {
    match order {
        OrderMessage::Poll(term, order) => {
            let order = gate.borrow().current_poll(order, clock.now());
            let result = gateway.poll(order.clone()).await;
            let answered_at = clock.now();
            if let Ok(report) = &result {
                gate.borrow_mut().record(report, answered_at);
            }
            let event = ShardEvent::Polled {
                order,
                result,
                answered_at,
            };
            (term, event)
        }
        OrderMessage::Start(term, order) => {
            let may_start = gate.borrow().admits(&order, clock.now());
            let outcome = if may_start {
                gateway.start(order.clone()).await
            } else {
                StartOutcome::NotSent
            };
            (term, ShardEvent::Started { order, outcome })
        }
        OrderMessage::Stop(term, order) => {
            let result = gateway.stop(order.clone()).await;
            (term, ShardEvent::Stopped { order, result })
        }
        OrderMessage::Advise(term, order) => {
            let result = gateway.advise(order.clone()).await;
            (term, ShardEvent::Advised { order, result })
        }
        OrderMessage::Pace(term, order) => {
            let result = gateway.pace(order.clone()).await;
            (term, ShardEvent::Paced { order, result })
        }
    }
}
