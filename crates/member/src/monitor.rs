//! Failure detection and membership protocol of one entry instance, without I/O.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pw_base::prelude::*;

use crate::ledger::{MemberLedger, MemberState};
use crate::member::{MemberKey, MemberProposal, MemberSpec};

/// Number of delay steps that stagger members, so that usually only one makes a proposal.
const STAGGER_TURNS: u32 = 8;

/// Settings of a [`MemberMonitor`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MemberSettings {
    /// Time between heartbeats to each peer.
    pub heartbeat_interval: Duration,
    /// Time without heartbeats or records after which a peer is suspected.
    pub suspect_timeout: Duration,
    /// Time from reading a suspicion to retiring the member.
    ///
    /// At least the validity of float permits plus two lease lengths, increased by the maximum
    /// drift between any two clocks.
    pub hold_down: Duration,
    /// Delay step between members that would make the same proposal.
    pub stagger: Duration,
    /// Time after which a proposal without effect is repeated.
    pub retry_interval: Duration,
}

/// Maintains the membership of one entry instance and monitors its peers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MemberMonitor {
    settings: MemberSettings,
    key: MemberKey,
    spec: MemberSpec,
    phase: MemberPhase,
    last_read: Option<Instant>,
    next_heartbeat: Instant,
    turn: u32,
    last_proposal: Option<Instant>,
    suspicion: Option<LogOffset>,
    next_offset: LogOffset,
    peers: BTreeMap<MemberKey, PeerMonitor>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum MemberPhase {
    Joining,
    Joined,
    Leaving,
    Left,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PeerMonitor {
    address: SocketAddr,
    last_seen: Instant,
    last_offset: LogOffset,
    /// Offset of the current suspicion, and the time at which this member first read it.
    suspicion: Option<(LogOffset, Instant)>,
    last_proposal: Option<Instant>,
}

/// Input of a [`MemberMonitor`].
#[derive(Debug, Clone, Copy)]
pub enum MemberEvent<'a> {
    /// The log was read up to its end.
    LogRead {
        /// Membership at the end of the log.
        members: &'a MemberLedger,
        /// Offset after the last applied record.
        next_offset: LogOffset,
    },
    /// A heartbeat was received from a peer.
    HeartbeatReceived(&'a MemberKey),
    /// All tasks of the entry instance have ended, and it leaves.
    TasksEnded,
    /// A deadline has passed.
    TimePassed,
}

/// Action requested by a [`MemberMonitor`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum MemberCommand {
    /// Act as this member from now on and drop proposals of earlier incarnations.
    ActAs(MemberKey),
    /// Append a proposal to the log.
    Propose(MemberProposal),
    /// Send a heartbeat to each address.
    SendHeartbeat(Vec<SocketAddr>),
    /// The member has left the group.
    Departed,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(500),
            suspect_timeout: Duration::from_secs(3),
            hold_down: Duration::from_secs(15),
            stagger: Duration::from_millis(150),
            retry_interval: Duration::from_secs(3),
        }
    }
}

impl PeerMonitor {
    fn new(now: Instant, state: &MemberState) -> Self {
        Self {
            address: state.spec.address,
            last_seen: now,
            last_offset: state.last_offset,
            suspicion: None,
            last_proposal: None,
        }
    }

    fn update(&mut self, now: Instant, state: &MemberState) {
        if self.last_offset != state.last_offset {
            self.last_offset = state.last_offset;
            self.last_seen = now;
        }
        let known = self.suspicion.map(|(offset, _)| offset);
        if known != state.suspicion {
            self.suspicion = state.suspicion.map(|offset| (offset, now));
            self.last_proposal = None;
        }
    }

    /// Returns when to propose to suspect or retire the peer.
    fn due(&self, settings: &MemberSettings, turn: u32) -> Instant {
        let due = match self.suspicion {
            Some((_, read)) => read + settings.hold_down,
            None => self.last_seen + settings.suspect_timeout,
        };
        let due = due + settings.stagger * turn;
        self.last_proposal.map_or(due, |last_proposal| {
            due.max(last_proposal + settings.retry_interval)
        })
    }
}

impl MemberMonitor {
    /// Creates the monitor of a member that has not joined yet.
    pub fn new(now: Instant, settings: MemberSettings, key: MemberKey, spec: MemberSpec) -> Self {
        Self {
            settings,
            key,
            spec,
            phase: MemberPhase::Joining,
            last_read: None,
            next_heartbeat: now,
            turn: 0,
            last_proposal: None,
            suspicion: None,
            next_offset: 0,
            peers: BTreeMap::new(),
        }
    }

    /// Returns the current key of the member.
    pub fn key(&self) -> &MemberKey {
        &self.key
    }

    /// Handles one event and returns the actions to perform.
    pub fn handle(&mut self, now: Instant, event: MemberEvent<'_>) -> Vec<MemberCommand> {
        let mut commands = Vec::new();
        match event {
            MemberEvent::LogRead {
                members,
                next_offset,
            } => self.read_log(now, members, next_offset, &mut commands),
            MemberEvent::HeartbeatReceived(peer) => self.record_heartbeat(now, peer),
            MemberEvent::TasksEnded => self.start_leaving(),
            MemberEvent::TimePassed => {}
        }
        self.send_heartbeats(now, &mut commands);
        if self.is_fresh(now) {
            self.propose_own_change(now, &mut commands);
            self.propose_peer_changes(now, &mut commands);
        }
        commands
    }

    /// Returns the time by which [`MemberEvent::TimePassed`] should be sent.
    pub fn next_deadline(&self) -> Instant {
        let turn = self.turn;
        self.peers
            .values()
            .map(|peer| peer.due(&self.settings, turn))
            .filter(|due| *due > self.next_heartbeat - self.settings.heartbeat_interval)
            .fold(self.next_heartbeat, Instant::min)
    }

    fn read_log(
        &mut self,
        now: Instant,
        members: &MemberLedger,
        next_offset: LogOffset,
        commands: &mut Vec<MemberCommand>,
    ) {
        let was_fresh = self.is_fresh(now);
        self.last_read = Some(now);
        self.next_offset = next_offset;
        self.update_own_state(members, commands);
        self.update_peers(now, members);
        if !was_fresh {
            // Records of peers could not be received while the log was unreachable.
            self.peers
                .values_mut()
                .for_each(|peer| peer.last_seen = now);
        }
    }

    fn update_own_state(&mut self, members: &MemberLedger, commands: &mut Vec<MemberCommand>) {
        let state = members.get(&self.key);
        let suspicion = state.and_then(|state| state.suspicion);
        if suspicion != self.suspicion {
            self.suspicion = suspicion;
            self.last_proposal = None;
        }
        match (self.phase, state) {
            (MemberPhase::Joining, Some(_)) => {
                self.phase = MemberPhase::Joined;
                self.last_proposal = None;
            }
            (MemberPhase::Joining, None) if members.is_retired(&self.key) => {
                self.rejoin(commands);
            }
            (MemberPhase::Joined, None) => self.rejoin(commands),
            (MemberPhase::Leaving, None) => {
                self.phase = MemberPhase::Left;
                commands.push(MemberCommand::Departed);
            }
            _ => {}
        }
    }

    fn rejoin(&mut self, commands: &mut Vec<MemberCommand>) {
        self.key = self.key.next_incarnation();
        self.phase = MemberPhase::Joining;
        self.last_proposal = None;
        commands.push(MemberCommand::ActAs(self.key.clone()));
    }

    fn update_peers(&mut self, now: Instant, members: &MemberLedger) {
        self.peers.retain(|key, _| members.get(key).is_some());
        for (key, state) in members.iter().filter(|(key, _)| **key != self.key) {
            self.peers
                .entry(key.clone())
                .or_insert_with(|| PeerMonitor::new(now, state))
                .update(now, state);
        }
        let trusted = members
            .iter()
            .filter(|(_, state)| state.suspicion.is_none());
        let before = trusted.take_while(|(key, _)| **key != self.key).count();
        self.turn = before as u32 % STAGGER_TURNS;
    }

    fn record_heartbeat(&mut self, now: Instant, peer: &MemberKey) {
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.last_seen = now;
        }
    }

    fn start_leaving(&mut self) {
        match self.phase {
            MemberPhase::Joined => {
                self.phase = MemberPhase::Leaving;
                self.last_proposal = None;
            }
            // The member has no permits before its join is applied.
            MemberPhase::Joining => self.phase = MemberPhase::Left,
            MemberPhase::Leaving | MemberPhase::Left => {}
        }
    }

    /// Returns whether the log was read up to its end within half the suspect timeout.
    ///
    /// A member that can't read the log also misses refutations and must not suspect peers.
    fn is_fresh(&self, now: Instant) -> bool {
        self.last_read
            .is_some_and(|last_read| now < last_read + self.settings.suspect_timeout / 2)
    }

    fn send_heartbeats(&mut self, now: Instant, commands: &mut Vec<MemberCommand>) {
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + self.settings.heartbeat_interval;
        let addresses: Vec<SocketAddr> = self.peers.values().map(|peer| peer.address).collect();
        if !addresses.is_empty() {
            commands.push(MemberCommand::SendHeartbeat(addresses));
        }
    }

    /// Proposes to join, refute or leave, at most once per retry interval.
    fn propose_own_change(&mut self, now: Instant, commands: &mut Vec<MemberCommand>) {
        let retry = self.settings.retry_interval;
        if self
            .last_proposal
            .is_some_and(|last_proposal| now < last_proposal + retry)
        {
            return;
        }
        let proposal = match (self.phase, self.suspicion) {
            (MemberPhase::Joining, _) => MemberProposal::Join {
                spec: self.spec.clone(),
                seen: self.next_offset,
            },
            (MemberPhase::Leaving, _) => MemberProposal::Leave,
            (MemberPhase::Joined, Some(suspicion)) => MemberProposal::Refute { suspicion },
            (MemberPhase::Joined, None) | (MemberPhase::Left, _) => return,
        };
        self.last_proposal = Some(now);
        commands.push(MemberCommand::Propose(proposal));
    }

    fn propose_peer_changes(&mut self, now: Instant, commands: &mut Vec<MemberCommand>) {
        if self.phase != MemberPhase::Joined {
            return;
        }
        let (settings, turn) = (&self.settings, self.turn);
        for (key, peer) in &mut self.peers {
            if now < peer.due(settings, turn) {
                continue;
            }
            peer.last_proposal = Some(now);
            let member = key.clone();
            commands.push(MemberCommand::Propose(match peer.suspicion {
                Some((suspicion, _)) => MemberProposal::Retire { member, suspicion },
                None => MemberProposal::Suspect { member },
            }));
        }
    }
}
