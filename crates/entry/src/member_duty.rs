//! The duty that maintains the membership of this entry instance and monitors its peers.

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

/// Input of the members duty.
#[derive(Debug)]
pub enum MemberMessage {
    /// A read of the platform's log completed.
    LogRead(LogReading),
    /// A heartbeat was received from a peer.
    HeartbeatReceived(MemberKey),
    /// A read of the platform's instance list completed.
    InstancesListed(Vec<InstanceEntry>),
    /// A worker confirmed that it has no lease of the retired holder and will grant it none.
    WorkerFenced {
        /// The retired holder.
        holder: MemberKey,
        /// Worker that fenced the holder.
        worker: WorkerId,
    },
    /// All tasks of the entry instance have ended, and it leaves.
    TasksEnded {
        /// Receives a message after the departure has been applied.
        departed: RingSender<()>,
    },
}

/// State machines of the duty, and rings to other duties.
pub struct MemberLinks {
    /// The clock.
    pub clock: Arc<dyn ClockSource>,
    /// Maintains the membership.
    pub monitor: MemberMonitor,
    /// Reclaims the floor permits of retired members.
    pub reclaimer: PermitReclaimer,
    /// Publishes snapshots of the state folded from the log.
    pub snapshots: SnapshotPublisher,
    /// Ring to the append duty.
    pub appends: RingSender<AppendMessage>,
    /// Ring to the peers duty.
    pub peers: RingSender<PeerCommand>,
    /// Ring to the backends duty.
    pub backends: RingSender<BackendMessage>,
    /// Ring to this duty, for replies of the backends duty.
    pub members: RingSender<MemberMessage>,
}

struct MemberDuty {
    links: MemberLinks,
    fold: FleetFold,
    backends: BTreeMap<WorkerId, BackendAddress>,
    departed: Option<RingSender<()>>,
}

/// Passes messages to the state machines and executes their commands until all senders are dropped.
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
        for (offset, outcome) in self.fold.apply_reading(reading) {
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
        // A count dropped by a full ring is sent again after the next read.
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
            // A proposal dropped by a full ring is repeated after the publisher's retry time.
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
                    tracing::warn!(event = event.number(), member = %key, "member retired, rejoining");
                    // The ring is closed only when the node is stopping.
                    _ = self.links.appends.send(AppendMessage::ActAs(key)).await;
                }
                MemberCommand::Propose(proposal) => {
                    // A proposal dropped by a full ring is repeated after the monitor's retry time.
                    let proposal = ControlProposal::Member(proposal);
                    _ = self.links.appends.offer(AppendMessage::Propose(proposal));
                }
                MemberCommand::Departed => {
                    if let Some(departed) = self.departed.take() {
                        // Fails only if the shutdown no longer waits for the departure.
                        _ = departed.offer(());
                    }
                }
                MemberCommand::SendHeartbeat(peers) => {
                    let member = self.links.monitor.key().clone();
                    // A heartbeat dropped by a full ring is superseded by the next one.
                    let command = PeerCommand::SendHeartbeat { member, peers };
                    _ = self.links.peers.offer(command);
                }
            }
        }
    }

    fn execute_reclaim(&mut self, commands: Vec<ReclaimCommand>) {
        for command in commands {
            match command {
                ReclaimCommand::Propose(proposal) => {
                    let proposal = ControlProposal::Permit(proposal);
                    // A proposal dropped by a full ring is repeated after the retry time.
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
                        // A request dropped by a full ring is repeated after the retry time.
                        _ = self.links.backends.offer(message);
                    }
                }
            }
        }
    }
}
