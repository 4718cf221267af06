//! The duty that reads the states of machines from the platform and sends orders for them.

use std::rc::Rc;

use pw_base::prelude::*;
use pw_link::prelude::*;
use pw_plan::prelude::*;
use pw_ring::prelude::*;

use crate::planner_duty::PlannerMessage;

/// Number of concurrent requests to the platform.
const PARALLEL_REQUESTS: usize = 8;

/// Input of the machines duty.
#[derive(Debug)]
pub enum MachineMessage {
    /// Read the changes after a cursor.
    Read {
        /// Cursor of the last read.
        after: ChangeCursor,
    },
    /// Send an order.
    Order(MachineOrder),
}

struct MachineDuty {
    control: Rc<dyn MachineControl>,
    planner: RingSender<PlannerMessage>,
}

/// Handles the planner's messages until all senders are dropped.
pub async fn run(
    control: Box<dyn MachineControl + Send>,
    spawner: TaskSpawner,
    messages: RingReceiver<MachineMessage>,
    planner: RingSender<PlannerMessage>,
) {
    let control: Rc<dyn MachineControl> = Rc::from(control as Box<dyn MachineControl>);
    let duty = Rc::new(MachineDuty { control, planner });
    for _ in 1..PARALLEL_REQUESTS {
        let duty = Rc::clone(&duty);
        let messages = messages.clone();
        spawner.spawn(async move { duty.serve(messages).await });
    }
    duty.serve(messages).await;
}

impl MachineDuty {
    async fn serve(&self, messages: RingReceiver<MachineMessage>) {
        while let Some(message) = messages.recv().await {
            match message {
                MachineMessage::Read { after } => self.read_changes(after).await,
                MachineMessage::Order(order) => self.send_order(order).await,
            }
        }
    }

    async fn read_changes(&self, after: ChangeCursor) {
        match self.control.changes(after).await {
            Ok(changes) => {
                // The ring is closed only when the node is stopping.
                _ = self
                    .planner
                    .send(PlannerMessage::MachinesRead(changes))
                    .await;
            }
            Err(error) => {
                let event = EventCode::MachinesUnreachable;
                tracing::warn!(event = event.number(), %error, "failed to read the machines");
            }
        }
    }

    /// Sends an order; the planner repeats it if it has no effect.
    async fn send_order(&self, order: MachineOrder) {
        let (worker, action) = (order.worker.clone(), order.action);
        let event = match self.control.order(order).await {
            Ok(OrderOutcome::Accepted) => {
                tracing::info!(event = EventCode::MachineOrdered.number(), %worker, %action, "order accepted");
                return;
            }
            Ok(OrderOutcome::Refused) => EventCode::MachineRefused,
            Err(error) => {
                let event = EventCode::MachinesUnreachable;
                tracing::warn!(event = event.number(), %worker, %action, %error, "no response to an order");
                return;
            }
        };
        tracing::warn!(event = event.number(), %worker, %action, "order refused");
    }
}
