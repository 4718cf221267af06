//! Fencing of retired holders on their workers and reclamation of their floor permits.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_member::prelude::*;

use crate::ledger::PermitLedger;
use crate::proposal::PermitProposal;

/// Requests that the workers of a zone fence retired holders, and reclaims the floor permits of a
/// holder once all workers have fenced it.
///
/// A worker that fences a holder confirms that it has no lease of the holder and will grant it
/// none. A worker with an active lease refuses, so that running tasks are not interrupted. While a
/// worker is unreachable, the permits stay reserved.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PermitReclaimer {
    own: ProcessId,
    retry_interval: Duration,
    fences: BTreeMap<MemberKey, FenceProgress>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct FenceProgress {
    required: BTreeSet<WorkerId>,
    fenced: BTreeSet<WorkerId>,
    next_attempt: Instant,
    /// Number of members that try before this one.
    turn: u32,
}

/// Input of a [`PermitReclaimer`].
#[derive(Debug, Clone, Copy)]
pub enum ReclaimEvent<'a> {
    /// The log was read up to its end.
    LogRead {
        /// Permits at the end of the log.
        permits: &'a PermitLedger,
        /// Membership at the end of the log.
        members: &'a MemberLedger,
    },
    /// A worker has fenced the retired holder.
    HolderFenced {
        /// The retired holder.
        holder: &'a MemberKey,
        /// The worker.
        worker: &'a WorkerId,
    },
    /// A deadline has passed.
    TimePassed,
}

/// Action requested by a [`PermitReclaimer`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ReclaimCommand {
    /// Request that a worker fence the retired holder.
    FenceHolder {
        /// The retired holder.
        holder: MemberKey,
        /// The worker.
        worker: WorkerId,
    },
    /// Append a proposal to the log.
    Propose(PermitProposal),
}

impl PermitReclaimer {
    /// Creates the reclaimer of the process `own`.
    ///
    /// Members try one after another at intervals of `retry_interval`.
    pub fn new(own: ProcessId, retry_interval: Duration) -> Self {
        Self {
            own,
            retry_interval,
            fences: BTreeMap::new(),
        }
    }

    /// Handles one event and returns the actions to perform.
    pub fn handle(&mut self, now: Instant, event: ReclaimEvent<'_>) -> Vec<ReclaimCommand> {
        match event {
            ReclaimEvent::LogRead { permits, members } => self.read_log(now, permits, members),
            ReclaimEvent::HolderFenced { holder, worker } => self.record_fence(now, holder, worker),
            ReclaimEvent::TimePassed => {}
        }
        self.try_fences(now)
    }

    /// Returns the time by which [`ReclaimEvent::TimePassed`] should be sent.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.fences.values().map(|fence| fence.next_attempt).min()
    }

    fn read_log(&mut self, now: Instant, permits: &PermitLedger, members: &MemberLedger) {
        let Some((own, _)) = members.current(self.own) else {
            self.fences.clear();
            return;
        };
        let turn = members.iter().take_while(|(key, _)| *key != own).count() as u32;
        let unfenced: BTreeMap<&MemberKey, BTreeSet<WorkerId>> = permits.unfenced().collect();
        self.fences.retain(|key, _| unfenced.contains_key(key));
        for (holder, required) in unfenced {
            let fence = self
                .fences
                .entry(holder.clone())
                .or_insert_with(|| FenceProgress {
                    required: BTreeSet::new(),
                    fenced: BTreeSet::new(),
                    next_attempt: now + self.retry_interval * turn,
                    turn,
                });
            fence.required = required;
        }
    }

    fn record_fence(&mut self, now: Instant, holder: &MemberKey, worker: &WorkerId) {
        if let Some(fence) = self.fences.get_mut(holder) {
            fence.fenced.insert(worker.clone());
            if fence.is_complete() {
                fence.next_attempt = now;
            }
        }
    }

    fn try_fences(&mut self, now: Instant) -> Vec<ReclaimCommand> {
        let mut commands = Vec::new();
        for (holder, fence) in &mut self.fences {
            if now < fence.next_attempt {
                continue;
            }
            fence.next_attempt = now + self.retry_interval * (fence.turn + 1);
            if fence.is_complete() {
                commands.push(ReclaimCommand::Propose(PermitProposal::Reclaim {
                    from: holder.clone(),
                    workers: fence.fenced.clone(),
                }));
            }
            let missing = fence.required.difference(&fence.fenced);
            commands.extend(missing.map(|worker| ReclaimCommand::FenceHolder {
                holder: holder.clone(),
                worker: worker.clone(),
            }));
        }
        commands
    }
}

impl FenceProgress {
    fn is_complete(&self) -> bool {
        self.required.is_subset(&self.fenced)
    }
}
