//! The duty that runs the machine controller while this node has the role.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use async_io::Timer;
use futures_lite::future;
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_link::prelude::*;
use pw_ring::prelude::*;

use crate::journal_duty::MACHINE_SHARD;
use crate::links::{JobStore, MachineGateway, StoreEntry, StorePartition, StoreTopic};
use crate::message::{ControlMessage, JournalMessage, MachineMessage, ShardTerm};
use crate::owners::OwnerClient;
use crate::peer_duty::peer_bounds;
use crate::request::{NodeRequest, NodeResponse, decode_message, encode_message};
use crate::settings::NodeSettings;

/// Events that may be queued for the controller.
const EVENT_CAPACITY: usize = 256;

/// External systems and duties of the machine duty.
pub struct MachineLinks {
    /// Client of the platform's machine service.
    pub machines: Box<dyn MachineGateway>,
    /// Store client of the duty.
    pub store: Box<dyn JobStore>,
    /// The control duty.
    pub control: RingSender<ControlMessage>,
    /// The journal duty.
    pub journal: RingSender<JournalMessage>,
}

#[derive(Clone)]
struct MachineDuty {
    settings: NodeSettings,
    clock: Arc<dyn ClockSource>,
    machines: Rc<dyn MachineGateway>,
    store: Rc<dyn JobStore>,
    owners: OwnerClient,
    journal: RingSender<JournalMessage>,
    events: RingSender<(OwnerEpoch, MachineEvent)>,
    spawner: TaskSpawner,
    role: Rc<Cell<MachineRole>>,
}

/// The role of machine controller, as this node knows it.
#[derive(Debug, Clone, Copy)]
struct MachineRole {
    /// Epoch of the role; `None` while another node has it.
    epoch: Option<OwnerEpoch>,
    /// As of when it was confirmed.
    confirmed_at: Instant,
}

/// Input of the duty.
enum MachineInput {
    Message(Option<MachineMessage>),
    Event(OwnerEpoch, MachineEvent),
    Due,
}

/// Runs until all senders of `messages` are gone.
pub async fn run(
    settings: NodeSettings,
    clock: Arc<dyn ClockSource>,
    messages: RingReceiver<MachineMessage>,
    links: MachineLinks,
    spawner: TaskSpawner,
) {
    let (events, results) = ring("keeper-events", EVENT_CAPACITY);
    let client = H2Client::new(peer_bounds(), spawner.clone());
    let role = MachineRole {
        epoch: None,
        confirmed_at: clock.now(),
    };
    let duty = MachineDuty {
        settings,
        clock,
        role: Rc::new(Cell::new(role)),
        machines: Rc::from(links.machines),
        store: Rc::from(links.store),
        owners: OwnerClient::new(links.control, client),
        journal: links.journal,
        events,
        spawner,
    };
    let mut config: Arc<FleetConfig> = Arc::default();
    let mut controller: Option<MachineController> = None;
    // Events that arrived while the role was not confirmed and that nothing repeats.
    let mut missed = Vec::new();
    loop {
        let deadline = controller.as_ref().map(MachineController::next_deadline);
        let event = match duty.next_input(&messages, &results, deadline).await {
            MachineInput::Message(None) => return,
            MachineInput::Message(Some(MachineMessage::Config(new))) => {
                config = Arc::clone(&new);
                MachineEvent::Config(new)
            }
            MachineInput::Message(Some(MachineMessage::Owners(rows))) => {
                duty.owners.set_owners(&rows);
                continue;
            }
            MachineInput::Message(Some(MachineMessage::RoleAcquired(epoch, claimed_at))) => {
                let event = EventCode::KeeperRole.number();
                tracing::info!(event, epoch, "became machine controller");
                missed.clear();
                controller = Some(duty.open_controller(epoch, &config).await);
                duty.role.set(MachineRole {
                    epoch: Some(epoch),
                    confirmed_at: claimed_at,
                });
                MachineEvent::Tick
            }
            MachineInput::Message(Some(MachineMessage::RoleConfirmed(requested_at))) => {
                let role = duty.role.get();
                let confirmed_at = role.confirmed_at.max(requested_at);
                duty.role.set(MachineRole {
                    confirmed_at,
                    ..role
                });
                continue;
            }
            MachineInput::Message(Some(MachineMessage::RoleLost)) => {
                let role = duty.role.get();
                duty.role.set(MachineRole {
                    epoch: None,
                    ..role
                });
                missed.clear();
                if let Some(controller) = controller.take() {
                    let event = EventCode::KeeperRole.number();
                    let epoch = controller.epoch();
                    tracing::info!(event, epoch, "no longer machine controller");
                }
                continue;
            }
            MachineInput::Event(epoch, event) => {
                if controller
                    .as_ref()
                    .is_none_or(|controller| controller.epoch() != epoch)
                {
                    continue;
                }
                event
            }
            MachineInput::Due => MachineEvent::Tick,
        };
        let now = duty.clock.now();
        // Another node may have the role by now; orders of this one would conflict with it.
        if !duty.is_confirmed(now) {
            keep_missed(&mut missed, event);
            Timer::after(duty.settings.store_retry_delay).await;
            continue;
        }
        missed.push(event);
        if let Some(controller) = &mut controller {
            for event in missed.drain(..) {
                for command in controller.handle(now, event) {
                    duty.spawn_command(controller.epoch(), command);
                }
            }
        }
        missed.clear();
    }
}

/// Keeps the latest configuration and the outcomes of orders until the role is confirmed again.
fn keep_missed(missed: &mut Vec<MachineEvent>, event: MachineEvent) {
    match event {
        MachineEvent::Config(_) => {
            missed.retain(|event| !matches!(event, MachineEvent::Config(_)));
            missed.push(event);
        }
        MachineEvent::Ordered { .. } => missed.push(event),
        _ => {}
    }
}

impl MachineDuty {
    fn is_confirmed(&self, now: Instant) -> bool {
        now < self.role.get().confirmed_at + self.settings.machine_role_timeout
    }

    /// Returns whether an order may be sent that may have waited for processor time.
    fn may_send(&self, order: &MachineOrder) -> bool {
        let now = self.clock.now();
        let has_role = self.role.get().epoch == Some(order.epoch);
        now < order.send_by && has_role && self.is_confirmed(now)
    }

    async fn next_input(
        &self,
        messages: &RingReceiver<MachineMessage>,
        results: &RingReceiver<(OwnerEpoch, MachineEvent)>,
        deadline: Option<Instant>,
    ) -> MachineInput {
        let message = async { MachineInput::Message(messages.recv().await) };
        let event = async {
            match results.recv().await {
                Some((epoch, event)) => MachineInput::Event(epoch, event),
                // The duty holds a sender, so the ring stays open.
                None => MachineInput::Due,
            }
        };
        let due = async {
            let Some(deadline) = deadline else {
                return future::pending().await;
            };
            Timer::after(deadline.saturating_duration_since(self.clock.now())).await;
            MachineInput::Due
        };
        future::or(message, future::or(event, due)).await
    }

    /// Creates a controller with the wave progress stored by previous ones.
    async fn open_controller(
        &self,
        epoch: OwnerEpoch,
        config: &Arc<FleetConfig>,
    ) -> MachineController {
        let progress = loop {
            match self.store.newest(waves_partition(), None).await {
                Ok(page) => {
                    break page
                        .entries
                        .into_iter()
                        .filter_map(decode_progress)
                        .collect();
                }
                Err(_) => Timer::after(self.settings.store_retry_delay).await,
            };
        };
        let settings = MachineSettings {
            shards: self.settings.shards,
            ..self.settings.machines
        };
        MachineController::new(
            settings,
            epoch,
            Arc::clone(config),
            progress,
            self.clock.now(),
        )
    }

    fn spawn_command(&self, epoch: OwnerEpoch, command: MachineCommand) {
        let duty = self.clone();
        self.spawner.spawn(async move {
            if let Some(event) = duty.execute_command(epoch, command).await {
                // The receiver lives as long as the duty runs.
                _ = duty.events.send((epoch, event)).await;
            }
        });
    }

    async fn execute_command(
        &self,
        epoch: OwnerEpoch,
        command: MachineCommand,
    ) -> Option<MachineEvent> {
        match command {
            MachineCommand::ListMachines => {
                let requested_at = self.clock.now();
                match self.machines.list().await {
                    Ok(list) => return Some(MachineEvent::Machines { list, requested_at }),
                    Err(fault) => {
                        let event = EventCode::MachinesUnreachable.number();
                        tracing::warn!(event, %fault, "failed to list machines");
                    }
                }
            }
            MachineCommand::Survey(shard, order) => {
                let requested_at = self.clock.now();
                let request = NodeRequest::Survey {
                    shard,
                    machine_epoch: epoch,
                    order,
                };
                if let Some(NodeResponse::Survey(report)) = self.owners.request(request).await {
                    return Some(MachineEvent::Surveyed {
                        shard,
                        report,
                        requested_at,
                    });
                }
            }
            MachineCommand::Order(order) => {
                let holder = self.settings.name.clone();
                let outcome = if self.may_send(&order) {
                    self.machines.order(holder, order.clone()).await
                } else {
                    MachineOutcome::NotSent
                };
                return Some(MachineEvent::Ordered { order, outcome });
            }
            MachineCommand::StoreProgress(wave, progress) => {
                let entry = StoreEntry {
                    key: wave.to_string(),
                    value: encode_message(&progress).unwrap_or_default(),
                };
                self.store_with_retries(entry).await;
            }
            MachineCommand::ReportWave(wave, completed) => {
                while let Err(fault) = self.machines.report_wave(wave, completed).await {
                    let event = EventCode::StoreReach.number();
                    tracing::warn!(event, wave, %fault, "failed to report the state of a wave");
                    Timer::after(self.settings.store_retry_delay).await;
                }
            }
            MachineCommand::CheckOwnership => {
                let term = ShardTerm {
                    shard: MACHINE_SHARD,
                    epoch,
                };
                _ = self
                    .journal
                    .send(JournalMessage::CheckOwnership(term))
                    .await;
            }
        }
        None
    }

    async fn store_with_retries(&self, entry: StoreEntry) {
        while self
            .store
            .append(
                waves_partition(),
                vec![entry.clone()],
                None,
                self.settings.append_timeout_max,
            )
            .await
            .is_err()
        {
            Timer::after(self.settings.store_retry_delay).await;
        }
    }
}

fn waves_partition() -> StorePartition {
    StorePartition {
        topic: StoreTopic::Waves,
        shard: MACHINE_SHARD,
    }
}

fn decode_progress(entry: StoreEntry) -> Option<(WaveNumber, WaveProgress)> {
    let wave = entry.key.parse().ok()?;
    let progress = decode_message(&entry.value)?;
    Some((wave, progress))
}
