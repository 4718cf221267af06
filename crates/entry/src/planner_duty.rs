//! The duty that plans moves and maintenance while this entry instance has the planner role.

use std::sync::Arc;

use pw_base::prelude::*;
use pw_log::prelude::*;
use pw_plan::prelude::*;
use pw_ring::prelude::*;

use crate::append_duty::AppendMessage;
use crate::machine_duty::MachineMessage;

/// Input of the planner duty.
#[derive(Debug)]
pub enum PlannerMessage {
    /// A read of the platform's log completed.
    LogRead(LogReading),
    /// A read of the platform's machine changes completed.
    MachinesRead(MachineChanges),
}

/// Planner of the duty, and rings to other duties.
pub struct PlannerLinks {
    /// The clock.
    pub clock: Arc<dyn ClockSource>,
    /// Makes the planning decisions.
    pub planner: FleetPlanner,
    /// Ring to the append duty.
    pub appends: RingSender<AppendMessage>,
    /// Ring to the machines duty.
    pub machines: RingSender<MachineMessage>,
}

struct PlannerDuty {
    links: PlannerLinks,
    fold: FleetFold,
}

/// Passes messages to the planner and executes its commands until all senders are dropped.
pub async fn run(links: PlannerLinks, messages: RingReceiver<PlannerMessage>) {
    let mut duty = PlannerDuty {
        links,
        fold: FleetFold::default(),
    };
    let mut deadline = duty.links.planner.next_deadline();
    while let Ok(message) = messages.recv_until(Some(deadline)).await {
        match message {
            Some(PlannerMessage::LogRead(reading)) => duty.read_log(&reading),
            Some(PlannerMessage::MachinesRead(changes)) => {
                duty.handle_event(PlanEvent::MachinesRead(changes));
            }
            None => duty.handle_tick(),
        }
        deadline = duty.links.planner.next_deadline();
    }
}

impl PlannerDuty {
    fn read_log(&mut self, reading: &LogReading) {
        self.fold.apply_reading(reading);
        let Some(requested_at) = self.fold.freshness(reading) else {
            return;
        };
        let now = self.links.clock.now();
        let pools = self.fold.pools();
        let event = PlanEvent::LogRead {
            requested_at,
            pools,
        };
        let commands = self.links.planner.handle(now, event);
        self.execute(commands);
    }

    fn handle_tick(&mut self) {
        let now = self.links.clock.now();
        let wall = self.links.clock.wall();
        let pools = self.fold.pools();
        let event = PlanEvent::TimePassed { wall, pools };
        let commands = self.links.planner.handle(now, event);
        self.execute(commands);
    }

    fn handle_event(&mut self, event: PlanEvent<'_>) {
        let commands = self.links.planner.handle(self.links.clock.now(), event);
        self.execute(commands);
    }

    /// Sends the commands to their duties; the planner repeats those dropped by a full ring.
    fn execute(&self, commands: Vec<PlanCommand>) {
        for command in commands {
            match command {
                PlanCommand::Propose(proposal) => {
                    let proposal = ControlProposal::Pool(proposal);
                    _ = self.links.appends.offer(AppendMessage::Propose(proposal));
                }
                PlanCommand::Order(order) => {
                    _ = self.links.machines.offer(MachineMessage::Order(order));
                }
                PlanCommand::ReadMachines { after } => {
                    _ = self.links.machines.offer(MachineMessage::Read { after });
                }
            }
        }
    }
}
