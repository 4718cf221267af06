//! The duty that keeps this entry instance a member and watches its peers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_link::prelude::*;
use pw_log::prelude::*;
use pw_member::prelude::*;
use pw_ring::prelude::*;
use pw_worker::prelude::*;

use crate::append_duty::AppendMessage;
use crate::message::BackendMessage;
use crate::peer_duty::PeerCommand;

/// Message to the member duty.
#[derive(Debug)]
pub enum MemberMessage {
    /// The platform's log was read.
    LogRead(LogReading),
    /// A heartbeat of a peer arrived.
    HeartbeatReceived(MemberKey),
    /// The platform's instance list was read.
    InstancesListed(Vec<InstanceEntry>),
    /// A worker holds no lease of the retired holder and grants it none.
    WorkerFenced {
        /// The retired holder.
        holder: MemberKey,
        /// The worker.
        worker: WorkerId,
    },
    /// The entry instance has ended its tasks and wants to leave.
    TasksEnded {
        /// Takes a message once the departure has been folded.
        departed: RingSender<()>,
    },
}

/// What the duty decides with, and the rings to the other duties.
pub struct MemberLinks {
    /// The clock.
    pub clock: Arc<dyn ClockSource>,
    /// Keeps the membership.
    pub monitor: MemberMonitor,
    /// Frees the floor permits of retired members.
    pub reclaimer: PermitReclaimer,
    /// Publishes snapshots of the fold.
    pub snapshots: SnapshotPublisher,
    /// Ring to the append duty.
    pub appends: RingSender<AppendMessage>,
    /// Ring to the peers duty.
    pub peers: RingSender<PeerCommand>,
    /// Ring to the backends duty.
    pub backends: RingSender<BackendMessage>,
    /// Ring to this duty, for answers of the backends duty.
    pub members: RingSender<MemberMessage>,
}

struct MemberDuty {
    links: MemberLinks,
    fold: FleetFold,
    backends: BTreeMap<WorkerId, BackendAddress>,
    departed: Option<RingSender<()>>,
}

/// Feeds the monitors with messages and carries out their commands until all senders are gone.
pub async fn run(links: MemberLinks, messages: RingReceiver<MemberMessage>) {
    let mut duty = MemberDuty {
        links,
        fold: FleetFold::default(),
        backends: BTreeMap::new(),
        departed: None,
    };
    let first = AppendMessage::ActAs(duty.links.monitor.key().clone());
    if duty.links.appends.send(first).await.is_err() {
        return;
    }
    while let Ok(message) = messages.recv_until(Some(duty.next_deadline())).await {
        duty.handle(message).await;
    }
}

impl MemberDuty {
    fn next_deadline(&self) -> Instant {
        let member = self.links.monitor.next_deadline();
        let reclaim = self.links.reclaimer.next_deadline();
        reclaim.map_or(member, |reclaim| reclaim.min(member))
    }

    async fn handle(&mut self, message: Option<MemberMessage>) {
        let now = self.links.clock.now();
        match message {
            Some(MemberMessage::LogRead(reading)) => self.read_log(now, &reading).await,
            Some(MemberMessage::HeartbeatReceived(peer)) => {
                let commands = self
                    .links
                    .monitor
                    .handle(now, MemberEvent::HeartbeatReceived(&peer));
                self.execute(commands).await;
            }
            Some(MemberMessage::InstancesListed(list)) => self.update_backends(list),
            Some(MemberMessage::WorkerFenced { holder, worker }) => {
                let event = ReclaimEvent::HolderFenced {
                    holder: &holder,
                    worker: &worker,
                };
                let commands = self.links.reclaimer.handle(now, event);
                self.execute_reclaim(commands);
            }
            Some(MemberMessage::TasksEnded { departed }) => {
                self.departed = Some(departed);
                let commands = self.links.monitor.handle(now, MemberEvent::TasksEnded);
                self.execute(commands).await;
            }
            None => {
                let commands = self.links.monitor.handle(now, MemberEvent::TimePassed);
                self.execute(commands).await;
                let commands = self.links.reclaimer.handle(now, ReclaimEvent::TimePassed);
                self.execute_reclaim(commands);
            }
        }
    }

    async fn read_log(&mut self, now: Instant, reading: &LogReading) {
        for (offset, outcome) in self.fold.read(reading) {
            if let FoldOutcome::Rejected(reason) = outcome {
                let event = EventCode::RecordRejected;
                tracing::info!(event = event.number(), offset, %reason, "record rejected");
            }
        }
        if self.fold.freshness(reading).is_none() {
            return;
        }
        let (permits, members) = (self.fold.permits(), self.fold.members());
        let count = AppendMessage::MembersCounted(members.len());
        let next_offset = self.fold.state().next_offset;
        let event = MemberEvent::LogRead {
            members,
            next_offset,
        };
        let commands = self.links.monitor.handle(now, event);
        let event = ReclaimEvent::LogRead { permits, members };
        let reclaim_commands = self.links.reclaimer.handle(now, event);
        // The next reading brings the count again.
        _ = self.links.appends.offer(count);
        let snapshot = self.links.snapshots.read_log(
            now,
            self.links.monitor.key(),
            members,
            self.fold.snapshots(),
            self.fold.checkpoint(),
        );
        if let Some(proposal) = snapshot {
            let proposal = ControlProposal::Snapshot(proposal);
            // A refused proposal is made again after the monitor's retry time.
            _ = self.links.appends.offer(AppendMessage::Propose(proposal));
        }
        self.execute(commands).await;
        self.execute_reclaim(reclaim_commands);
    }

    fn update_backends(&mut self, list: Vec<InstanceEntry>) {
        let backend = |instance: InstanceEntry| BackendAddress {
            worker: instance.worker,
            address: instance.address,
        };
        self.backends = list
            .into_iter()
            .map(backend)
            .map(|backend| (Arc::clone(&backend.worker), backend))
            .collect();
    }

    async fn execute(&mut self, commands: Vec<MemberCommand>) {
        for command in commands {
            match command {
                MemberCommand::ActAs(key) => {
                    let event = EventCode::MemberRetired;
                    tracing::warn!(event = event.number(), member = %key, "rejoining");
                    // Without the append duty the node is stopping.
                    _ = self.links.appends.send(AppendMessage::ActAs(key)).await;
                }
                MemberCommand::Propose(proposal) => {
                    // A refused proposal is made again after the monitor's retry time.
                    let proposal = ControlProposal::Member(proposal);
                    _ = self.links.appends.offer(AppendMessage::Propose(proposal));
                }
                MemberCommand::Departed => {
                    if let Some(departed) = self.departed.take() {
                        // Whoever no longer waits needs no answer.
                        _ = departed.offer(());
                    }
                }
                MemberCommand::SendHeartbeat(peers) => {
                    let member = self.links.monitor.key().clone();
                    // The next heartbeat is due soon.
                    let order = PeerCommand::SendHeartbeat { member, peers };
                    _ = self.links.peers.offer(order);
                }
            }
        }
    }

    fn execute_reclaim(&mut self, commands: Vec<ReclaimCommand>) {
        for command in commands {
            match command {
                ReclaimCommand::Propose(proposal) => {
                    let proposal = ControlProposal::Permit(proposal);
                    // A refused proposal is made again after the monitor's retry time.
                    _ = self.links.appends.offer(AppendMessage::Propose(proposal));
                }
                ReclaimCommand::FenceHolder { holder, worker } => {
                    if let Some(backend) = self.backends.get(&worker).cloned() {
                        let reply = self.links.members.clone();
                        let message = BackendMessage::FenceHolder {
                            backend,
                            holder,
                            reply,
                        };
                        // A refused request is made again after the monitor's retry time.
                        _ = self.links.backends.offer(message);
                    }
                }
            }
        }
    }
}
