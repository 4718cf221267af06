//! The decision object that proves that a retired holder's floor permits are free.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_member::prelude::*;

use crate::ledger::PermitLedger;
use crate::proposal::PermitProposal;

/// Asks the workers of a zone to fence retired holders, and reclaims their floor permits once all
/// have done so.
///
/// A worker that fences a holder says that it holds no lease of it and grants it none from then on.
/// A worker that still holds a lease refuses, so nothing that runs is cut off; one that can't be
/// reached proves nothing, and the permits stay where they are.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PermitReclaimer {
    own: ProcessId,
    retry: Duration,
    cases: BTreeMap<MemberKey, FenceCase>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct FenceCase {
    required: BTreeSet<WorkerId>,
    fenced: BTreeSet<WorkerId>,
    next_try: Instant,
    /// Tries that other members make before the own one.
    turn: u32,
}

/// What happened outside the reclaimer.
#[derive(Debug, Clone, Copy)]
pub enum ReclaimEvent<'a> {
    /// The log was read to its end.
    LogRead {
        /// Permits after the reading.
        permits: &'a PermitLedger,
        /// Membership after the reading.
        members: &'a MemberLedger,
    },
    /// A worker holds no lease of the retired holder and grants it none.
    HolderFenced {
        /// The retired holder.
        holder: &'a MemberKey,
        /// The worker.
        worker: &'a WorkerId,
    },
    /// Time has passed.
    TimePassed,
}

/// What the reclaimer wants done.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ReclaimCommand {
    /// Ask a worker to fence the retired holder.
    FenceHolder {
        /// The retired holder.
        holder: MemberKey,
        /// The worker.
        worker: WorkerId,
    },
    /// Append a proposal.
    Propose(PermitProposal),
}

impl PermitReclaimer {
    /// Creates the reclaimer of the process `own`; members take turns of `retry` each.
    pub fn new(own: ProcessId, retry: Duration) -> Self {
        Self {
            own,
            retry,
            cases: BTreeMap::new(),
        }
    }

    /// Takes one event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: ReclaimEvent<'_>) -> Vec<ReclaimCommand> {
        match event {
            ReclaimEvent::LogRead { permits, members } => self.read_log(now, permits, members),
            ReclaimEvent::HolderFenced { holder, worker } => self.note_fence(now, holder, worker),
            ReclaimEvent::TimePassed => {}
        }
        self.try_cases(now)
    }

    /// Returns when the reclaimer wants [`ReclaimEvent::TimePassed`] at the latest.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.cases.values().map(|case| case.next_try).min()
    }

    fn read_log(&mut self, now: Instant, permits: &PermitLedger, members: &MemberLedger) {
        let Some((own, _)) = members.current(self.own) else {
            self.cases.clear();
            return;
        };
        let turn = members.iter().take_while(|(key, _)| *key != own).count() as u32;
        let unfenced: BTreeMap<&MemberKey, BTreeSet<WorkerId>> = permits.unfenced().collect();
        self.cases.retain(|key, _| unfenced.contains_key(key));
        for (holder, required) in unfenced {
            let case = self
                .cases
                .entry(holder.clone())
                .or_insert_with(|| FenceCase {
                    required: BTreeSet::new(),
                    fenced: BTreeSet::new(),
                    next_try: now + self.retry * turn,
                    turn,
                });
            case.required = required;
        }
    }

    fn note_fence(&mut self, now: Instant, holder: &MemberKey, worker: &WorkerId) {
        if let Some(case) = self.cases.get_mut(holder) {
            case.fenced.insert(worker.clone());
            if case.is_proved() {
                case.next_try = now;
            }
        }
    }

    fn try_cases(&mut self, now: Instant) -> Vec<ReclaimCommand> {
        let mut commands = Vec::new();
        for (holder, case) in &mut self.cases {
            if now < case.next_try {
                continue;
            }
            case.next_try = now + self.retry * (case.turn + 1);
            if case.is_proved() {
                commands.push(ReclaimCommand::Propose(PermitProposal::Reclaim {
                    from: holder.clone(),
                    workers: case.fenced.clone(),
                }));
            }
            let missing = case.required.difference(&case.fenced);
            commands.extend(missing.map(|worker| ReclaimCommand::FenceHolder {
                holder: holder.clone(),
                worker: worker.clone(),
            }));
        }
        commands
    }
}

impl FenceCase {
    fn is_proved(&self) -> bool {
        self.required.is_subset(&self.fenced)
    }
}
