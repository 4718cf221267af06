//! The duty that reads the platform's machines and sends orders to them.

use std::rc::Rc;

use pw_base::prelude::*;
use pw_link::prelude::*;
use pw_plan::prelude::*;
use pw_ring::prelude::*;

use crate::planner_duty::PlannerMessage;

/// Requests to the platform that are under way at the same time.
const PARALLEL_REQUESTS: usize = 8;

/// Message to the machines duty.
#[derive(Debug)]
pub enum MachineMessage {
    /// Read what changed after the cursor.
    Read {
        /// Cursor of the last reading.
        after: ChangeCursor,
    },
    /// Send an order.
    Order(MachineOrder),
}

struct MachineDuty {
    control: Rc<dyn MachineControl>,
    planner: RingSender<PlannerMessage>,
}

/// Carries out what the planner wants until its ring ends.
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
                MachineMessage::Read { after } => self.read(after).await,
                MachineMessage::Order(order) => self.order(order).await,
            }
        }
    }

    async fn read(&self, after: ChangeCursor) {
        match self.control.changes(after).await {
            Ok(changes) => {
                // Without a planner the node is stopping.
                _ = self
                    .planner
                    .send(PlannerMessage::MachinesRead(changes))
                    .await;
            }
            Err(error) => {
                let event = EventCode::MachinesUnreachable;
                tracing::warn!(event = event.number(), %error, "machines can't be read");
            }
        }
    }

    /// Sends an order; the planner sends it again when its effect does not show.
    async fn order(&self, order: MachineOrder) {
        let (worker, action) = (order.worker.clone(), order.action);
        let event = match self.control.order(order).await {
            Ok(OrderOutcome::Accepted) => {
                tracing::info!(event = EventCode::MachineOrdered.number(), %worker, %action, "ordered");
                return;
            }
            Ok(OrderOutcome::Refused) => EventCode::MachineRefused,
            Err(error) => {
                let event = EventCode::MachinesUnreachable;
                tracing::warn!(event = event.number(), %worker, %action, %error, "order not answered");
                return;
            }
        };
        tracing::warn!(event = event.number(), %worker, %action, "order refused");
    }
}
