//! Model of an entry instance with its production decision objects.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_log::prelude::*;
use pw_member::prelude::*;

use crate::permit::worker::LeaseHolder;
use crate::permit::{PermitMistake, PermitSettings};

/// Duration of one tick of the model.
pub const TICK: Duration = Duration::from_secs(1);
/// Ticks without heartbeats or records after which a member is suspected.
pub const SUSPECT_TICKS: u32 = 3;
/// Duration beyond the horizon of any search.
const FOREVER: Duration = Duration::from_secs(3_600);

/// Task for which a member has acquired a permit.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MemberTask {
    /// Identity of the task.
    pub id: TaskId,
    /// Permit of the task.
    pub permit: TaskPermit,
    /// Lease of the task, with the incarnation of the member that acquired the permit.
    pub lease: LeaseHolder,
    /// Worker that the task runs on.
    pub worker: usize,
    /// Whether the start request was sent.
    pub started: bool,
}

/// Entry instance of the model.
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
    pub tasks: Vec<MemberTask>,
    /// Sequence number of the last batch of the current incarnation.
    pub sequence: RecordSequence,
    /// Number of tasks so far, from which their identities derive.
    pub task_count: u32,
}

/// Actions to perform after an event.
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
        let no_hold_down = settings.has_mistake(PermitMistake::RetireWithoutHoldDown);
        let hold_down = if no_hold_down { 0 } else { settings.hold_down };
        let members = MemberSettings {
            heartbeat_interval: FOREVER,
            suspect_timeout: TICK * SUSPECT_TICKS,
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
            max_hold: FOREVER,
            floor_reclaim_delay: FOREVER,
            retry_interval: TICK,
        };
        Self {
            fold: Rc::default(),
            monitor: MemberMonitor::new(now, members, key, spec),
            holder: PermitHolder::new(permits),
            reclaim: PermitReclaimer::new(process, TICK),
            tasks: Vec::new(),
            sequence: 0,
            task_count: 0,
        }
    }

    /// Folds the result of a log read and returns the actions to perform.
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
        if settings.has_mistake(PermitMistake::ValidityFromAnswer) {
            fresh = fresh.and(Some(now));
        }
        let members = self.fold.members();
        let event = MemberEvent::LogRead {
            members,
            next_offset: self.fold.state().next_offset,
        };
        let commands = self.monitor.handle(now, event);
        let ignores_suspicion = settings.has_mistake(PermitMistake::SuspectedUsesFloat);
        let visible = ignores_suspicion.then(|| without_suspicion(members, self.monitor.key()));
        let visible = visible.as_ref().unwrap_or(members);
        self.holder
            .observe(now, fresh, self.fold.permits(), visible);
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

    /// Handles a heartbeat of another member.
    pub fn receive_heartbeat(&mut self, now: Instant, peer: &MemberKey) -> MemberOutput {
        let commands = self
            .monitor
            .handle(now, MemberEvent::HeartbeatReceived(peer));
        self.output(now, commands, Vec::new())
    }

    /// Handles the confirmation that a worker has fenced a holder.
    pub fn confirm_fence(
        &mut self,
        now: Instant,
        holder: &MemberKey,
        worker: &WorkerId,
    ) -> MemberOutput {
        let event = ReclaimEvent::HolderFenced { holder, worker };
        let reclaims = self.reclaim.handle(now, event);
        self.output(now, Vec::new(), reclaims)
    }

    /// Acquires a permit for a task; returns whether one was available.
    pub fn acquire_permit(
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
        self.task_count += 1;
        let process = member.process;
        let kind = permit.kind;
        self.tasks.push(MemberTask {
            id: (process << 32) | u128::from(self.task_count),
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
        if settings.has_mistake(PermitMistake::RenewWithoutFreshness) {
            return true;
        }
        let uses_lease = |task: &&MemberTask| task.worker == worker.0 && task.permit.kind == kind;
        let task = self.tasks.iter().find(uses_lease);
        task.is_some_and(|task| self.holder.may_renew(now, &task.permit))
    }

    /// Releases the permit of a task and removes the task.
    pub fn release_permit(&mut self, now: Instant, task: usize) -> MemberTask {
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

/// Returns the membership without a suspicion of `member`.
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
