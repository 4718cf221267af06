//! An entry instance with its production decision objects.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_log::prelude::*;
use pw_member::prelude::*;

use crate::permit::worker::LeaseHolder;
use crate::permit::{PermitMistake, PermitSettings};

/// One tick of the model.
pub const TICK: Duration = Duration::from_secs(1);
/// Silence in ticks after which a member is suspected.
pub const SILENCE_TICKS: u32 = 3;
/// Time that is longer than any search.
const NEVER: Duration = Duration::from_secs(3_600);

/// A task that a member has taken a permit for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HeldTask {
    /// Identity of the task.
    pub id: TaskId,
    /// Permit that it holds.
    pub permit: TaskPermit,
    /// Member that took it, with the incarnation of that time.
    pub lease: LeaseHolder,
    /// Worker that it is for.
    pub worker: usize,
    /// Whether the start was sent.
    pub started: bool,
}

/// An entry instance.
#[derive(Debug, Clone)]
pub struct MemberNode {
    /// Fold of the log.
    pub fold: Rc<FleetFold>,
    /// Membership decisions.
    pub monitor: MemberMonitor,
    /// Permit decisions.
    pub holder: PermitHolder,
    /// Fencing decisions.
    pub reclaim: PermitReclaimer,
    /// Tasks that hold a permit.
    pub tasks: Vec<HeldTask>,
    /// Number of the last batch that was appended under the own key.
    pub sequence: RecordSequence,
    /// Tasks so far, for their identities.
    pub taken: u32,
}

/// What a member wants done after a step.
#[derive(Debug, Clone, Default)]
pub struct MemberOutput {
    /// Batch to append.
    pub batch: Option<LogRecord>,
    /// Holders to fence, each on a worker.
    pub fences: Vec<(MemberKey, WorkerId)>,
}

impl MemberNode {
    /// Creates an entry instance that has not joined yet.
    pub fn new(now: Instant, process: ProcessId, zone: ZoneId, settings: &PermitSettings) -> Self {
        let key = MemberKey {
            entry: format!("entry-{process}").into(),
            process,
            incarnation: 1,
        };
        let spec = MemberSpec {
            zone: Arc::clone(&zone),
            address: ([127, 0, 0, 1], process as u16).into(),
            format: 1,
        };
        let no_hold_down = settings.mistaken(PermitMistake::RetireWithoutHoldDown);
        let hold_down = if no_hold_down { 0 } else { settings.hold_down };
        let members = MemberSettings {
            heartbeat_interval: NEVER,
            suspect_timeout: TICK * SILENCE_TICKS,
            hold_down: TICK * hold_down,
            stagger: Duration::ZERO,
            retry_interval: TICK,
        };
        let permits = HolderSettings {
            process,
            zone,
            validity: TICK * settings.validity,
            proposal_interval: Duration::ZERO,
            check_interval: Duration::ZERO,
            idle_timeout: TICK,
            max_hold: NEVER,
            floor_reclaim_delay: NEVER,
            retry_interval: TICK,
        };
        Self {
            fold: Rc::default(),
            monitor: MemberMonitor::new(now, members, key, spec),
            holder: PermitHolder::new(permits),
            reclaim: PermitReclaimer::new(process, TICK),
            tasks: Vec::new(),
            sequence: 0,
            taken: 0,
        }
    }

    /// Folds a reading and returns what the decision objects want done.
    pub fn read(
        &mut self,
        now: Instant,
        reading: &LogReading,
        demand: (&AccountId, u32),
        settings: &PermitSettings,
    ) -> MemberOutput {
        if reading.next_offset > self.fold.state().next_offset {
            Rc::make_mut(&mut self.fold).apply_reading(reading);
        }
        let mut fresh = self.fold.freshness(reading);
        if settings.mistaken(PermitMistake::ValidityFromAnswer) {
            fresh = fresh.and(Some(now));
        }
        let members = self.fold.members();
        let event = MemberEvent::LogRead {
            members,
            next_offset: self.fold.state().next_offset,
        };
        let commands = self.monitor.handle(now, event);
        let trusting = settings.mistaken(PermitMistake::SuspectedUsesFloat);
        let seen = trusting.then(|| without_suspicion(members, self.monitor.key()));
        let seen = seen.as_ref().unwrap_or(members);
        self.holder.observe(now, fresh, self.fold.permits(), seen);
        let (account, waiting) = demand;
        let unstarted = waiting.saturating_sub(self.tasks.len() as u32);
        self.holder.set_demand(now, account, unstarted);
        let event = ReclaimEvent::LogRead {
            permits: self.fold.permits(),
            members,
        };
        let reclaims = self.reclaim.handle(now, event);
        self.output(now, commands, reclaims)
    }

    /// Hears a heartbeat of another member.
    pub fn hear(&mut self, now: Instant, peer: &MemberKey) -> MemberOutput {
        let commands = self
            .monitor
            .handle(now, MemberEvent::HeartbeatReceived(peer));
        self.output(now, commands, Vec::new())
    }

    /// Notes that a worker fenced a holder.
    pub fn fenced(&mut self, now: Instant, holder: &MemberKey, worker: &WorkerId) -> MemberOutput {
        let event = ReclaimEvent::HolderFenced { holder, worker };
        let reclaims = self.reclaim.handle(now, event);
        self.output(now, Vec::new(), reclaims)
    }

    /// Takes a permit for a task.
    pub fn take(
        &mut self,
        now: Instant,
        account: &AccountId,
        zone: &ZoneId,
        worker: usize,
    ) -> bool {
        let Some(permit) = self.holder.acquire(now, account, zone) else {
            return false;
        };
        let member = MemberKey {
            incarnation: permit.incarnation,
            ..self.monitor.key().clone()
        };
        self.taken += 1;
        let process = member.process;
        let kind = permit.kind;
        self.tasks.push(HeldTask {
            id: (process << 32) | u128::from(self.taken),
            permit,
            lease: LeaseHolder { member, kind },
            worker,
            started: false,
        });
        true
    }

    /// Returns whether the member may open or renew its lease for `kind` on `worker`.
    pub fn may_lease(
        &self,
        now: Instant,
        kind: PermitKind,
        worker: (usize, &ZoneId),
        is_open: bool,
        settings: &PermitSettings,
    ) -> bool {
        if !is_open {
            return self.holder.may_open(now, kind, worker.1);
        }
        if settings.mistaken(PermitMistake::RenewWithoutFreshness) {
            return true;
        }
        let runs_there = |task: &&HeldTask| task.worker == worker.0 && task.permit.kind == kind;
        let task = self.tasks.iter().find(runs_there);
        task.is_some_and(|task| self.holder.may_renew(now, &task.permit))
    }

    /// Gives the permit of a task back.
    pub fn give_back(&mut self, now: Instant, task: usize) -> HeldTask {
        let task = self.tasks.remove(task);
        self.holder.release(now, task.permit.clone());
        task
    }

    fn output(
        &mut self,
        now: Instant,
        commands: Vec<MemberCommand>,
        reclaims: Vec<ReclaimCommand>,
    ) -> MemberOutput {
        let mut proposals = Vec::new();
        let mut fences = Vec::new();
        for command in commands {
            match command {
                MemberCommand::ActAs(_) => self.sequence = 0,
                MemberCommand::Propose(proposal) => {
                    proposals.push(ControlProposal::Member(proposal));
                }
                MemberCommand::SendHeartbeat(_) | MemberCommand::Departed => {}
            }
        }
        for command in reclaims {
            match command {
                ReclaimCommand::FenceHolder { holder, worker } => fences.push((holder, worker)),
                ReclaimCommand::Propose(proposal) => {
                    proposals.push(ControlProposal::Permit(proposal));
                }
            }
        }
        let permits = self.holder.proposals(now);
        proposals.extend(permits.into_iter().map(ControlProposal::Permit));
        let batch = (!proposals.is_empty()).then(|| self.batch(proposals));
        MemberOutput { batch, fences }
    }

    fn batch(&mut self, proposals: Vec<ControlProposal>) -> LogRecord {
        self.sequence += 1;
        let author = self.monitor.key().clone();
        LogRecord {
            id: (author.process << 64) | u128::from(self.sequence),
            author: author.to_string(),
            written: SystemTime::UNIX_EPOCH,
            body: RecordBody::Control(ControlBatch {
                author,
                sequence: self.sequence,
                proposals,
            }),
        }
    }
}

/// Returns the membership as if no suspicion of `member` stood.
fn without_suspicion(members: &MemberLedger, member: &MemberKey) -> MemberLedger {
    let mut members = members.clone();
    let suspicion = members.get(member).and_then(|state| state.suspicion);
    if let Some(suspicion) = suspicion {
        let refutal = MemberProposal::Refute { suspicion };
        members
            .apply(suspicion + 1, member, &refutal)
            .expect("the suspicion stands");
    }
    members
}
