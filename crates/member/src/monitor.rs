//! The decision object that joins, suspects, refutes, retires and leaves.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pw_base::prelude::*;

use crate::ledger::{MemberLedger, MemberState};
use crate::member::{MemberKey, MemberProposal, MemberSpec};

/// Turns that members take so that one of them speaks for all.
const STAGGER_TURNS: u32 = 8;

/// Times of a member monitor.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MemberSettings {
    /// Time between two heartbeats to each peer.
    pub heartbeat_interval: Duration,
    /// Silence after which a peer is suspected.
    pub suspect_timeout: Duration,
    /// Time from the own reading of a suspicion to the retirement.
    ///
    /// At least the validity of float permits and two lease lengths, increased by the bound of the
    /// drift between any two clocks.
    pub hold_down: Duration,
    /// Time between the turns of two members that want to say the same.
    pub stagger: Duration,
    /// Time after which a proposal without effect is made again.
    pub retry_interval: Duration,
}

/// Keeps one entry instance a member and watches its peers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MemberMonitor {
    settings: MemberSettings,
    key: MemberKey,
    spec: MemberSpec,
    phase: MemberPhase,
    fresh: Option<Instant>,
    next_heartbeat: Instant,
    turn: u32,
    proposed: Option<Instant>,
    suspicion: Option<LogOffset>,
    next_offset: LogOffset,
    peers: BTreeMap<MemberKey, PeerWatch>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum MemberPhase {
    Joining,
    Joined,
    Leaving,
    Left,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PeerWatch {
    address: SocketAddr,
    heard: Instant,
    heard_offset: LogOffset,
    /// Suspicion that stands, with the time of the own first reading of it.
    suspicion: Option<(LogOffset, Instant)>,
    proposed: Option<Instant>,
}

/// What happened outside the monitor.
#[derive(Debug, Clone, Copy)]
pub enum MemberEvent<'a> {
    /// The log was read to its end.
    LogRead {
        /// Membership after the reading.
        members: &'a MemberLedger,
        /// Position after the last folded record.
        next_offset: LogOffset,
    },
    /// A heartbeat of a peer arrived.
    HeartbeatReceived(&'a MemberKey),
    /// The entry instance has ended its tasks and wants to leave.
    TasksEnded,
    /// Time has passed.
    TimePassed,
}

/// What the monitor wants done.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum MemberCommand {
    /// Act as this member from now on; proposals of an earlier incarnation are obsolete.
    ActAs(MemberKey),
    /// Append a proposal.
    Propose(MemberProposal),
    /// Send a heartbeat to each address.
    SendHeartbeat(Vec<SocketAddr>),
    /// The departure has been folded.
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

impl PeerWatch {
    fn new(now: Instant, state: &MemberState) -> Self {
        Self {
            address: state.spec.address,
            heard: now,
            heard_offset: state.last_offset,
            suspicion: None,
            proposed: None,
        }
    }

    fn read(&mut self, now: Instant, state: &MemberState) {
        if self.heard_offset != state.last_offset {
            self.heard_offset = state.last_offset;
            self.heard = now;
        }
        let known = self.suspicion.map(|(offset, _)| offset);
        if known != state.suspicion {
            self.suspicion = state.suspicion.map(|offset| (offset, now));
            self.proposed = None;
        }
    }

    /// Returns when something is to be proposed about the peer.
    fn due(&self, settings: &MemberSettings, turn: u32) -> Instant {
        let due = match self.suspicion {
            Some((_, read)) => read + settings.hold_down,
            None => self.heard + settings.suspect_timeout,
        };
        let due = due + settings.stagger * turn;
        self.proposed
            .map_or(due, |proposed| due.max(proposed + settings.retry_interval))
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
            fresh: None,
            next_heartbeat: now,
            turn: 0,
            proposed: None,
            suspicion: None,
            next_offset: 0,
            peers: BTreeMap::new(),
        }
    }

    /// Returns the key that the member acts under.
    pub fn key(&self) -> &MemberKey {
        &self.key
    }

    /// Takes one event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: MemberEvent<'_>) -> Vec<MemberCommand> {
        let mut commands = Vec::new();
        match event {
            MemberEvent::LogRead {
                members,
                next_offset,
            } => self.read_log(now, members, next_offset, &mut commands),
            MemberEvent::HeartbeatReceived(peer) => self.hear(now, peer),
            MemberEvent::TasksEnded => self.begin_leaving(),
            MemberEvent::TimePassed => {}
        }
        self.send_heartbeats(now, &mut commands);
        if self.is_fresh(now) {
            self.speak_for_itself(now, &mut commands);
            self.judge_peers(now, &mut commands);
        }
        commands
    }

    /// Returns when the monitor wants [`MemberEvent::TimePassed`] at the latest.
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
        self.fresh = Some(now);
        self.next_offset = next_offset;
        self.read_own(members, commands);
        self.read_peers(now, members);
        if !was_fresh {
            // Nobody could be heard through the log while it could not be read.
            self.peers.values_mut().for_each(|peer| peer.heard = now);
        }
    }

    fn read_own(&mut self, members: &MemberLedger, commands: &mut Vec<MemberCommand>) {
        let state = members.get(&self.key);
        let suspicion = state.and_then(|state| state.suspicion);
        if suspicion != self.suspicion {
            self.suspicion = suspicion;
            self.proposed = None;
        }
        match (self.phase, state) {
            (MemberPhase::Joining, Some(_)) => {
                self.phase = MemberPhase::Joined;
                self.proposed = None;
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
        self.proposed = None;
        commands.push(MemberCommand::ActAs(self.key.clone()));
    }

    fn read_peers(&mut self, now: Instant, members: &MemberLedger) {
        self.peers.retain(|key, _| members.get(key).is_some());
        for (key, state) in members.iter().filter(|(key, _)| **key != self.key) {
            self.peers
                .entry(key.clone())
                .or_insert_with(|| PeerWatch::new(now, state))
                .read(now, state);
        }
        let trusted = members
            .iter()
            .filter(|(_, state)| state.suspicion.is_none());
        let before = trusted.take_while(|(key, _)| **key != self.key).count();
        self.turn = before as u32 % STAGGER_TURNS;
    }

    fn hear(&mut self, now: Instant, peer: &MemberKey) {
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.heard = now;
        }
    }

    fn begin_leaving(&mut self) {
        match self.phase {
            MemberPhase::Joined => {
                self.phase = MemberPhase::Leaving;
                self.proposed = None;
            }
            // Nothing was granted before the join was folded.
            MemberPhase::Joining => self.phase = MemberPhase::Left,
            MemberPhase::Leaving | MemberPhase::Left => {}
        }
    }

    /// Returns whether the log was read to its end within half the silence of a peer.
    ///
    /// Whoever has lost the log misses the refutations too and must not suspect anybody.
    fn is_fresh(&self, now: Instant) -> bool {
        self.fresh
            .is_some_and(|fresh| now < fresh + self.settings.suspect_timeout / 2)
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

    /// Proposes to join, refute or leave, once for each retry time.
    fn speak_for_itself(&mut self, now: Instant, commands: &mut Vec<MemberCommand>) {
        let retry = self.settings.retry_interval;
        if self.proposed.is_some_and(|proposed| now < proposed + retry) {
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
        self.proposed = Some(now);
        commands.push(MemberCommand::Propose(proposal));
    }

    fn judge_peers(&mut self, now: Instant, commands: &mut Vec<MemberCommand>) {
        if self.phase != MemberPhase::Joined {
            return;
        }
        let (settings, turn) = (&self.settings, self.turn);
        for (key, peer) in &mut self.peers {
            if now < peer.due(settings, turn) {
                continue;
            }
            peer.proposed = Some(now);
            let member = key.clone();
            commands.push(MemberCommand::Propose(match peer.suspicion {
                Some((suspicion, _)) => MemberProposal::Retire { member, suspicion },
                None => MemberProposal::Suspect { member },
            }));
        }
    }
}
