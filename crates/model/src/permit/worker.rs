//! A worker that grants leases and runs tasks under them.

use std::collections::{BTreeMap, BTreeSet};

use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_member::prelude::*;

/// Time in ticks of one second.
pub type Tick = u32;
/// Token that opens or renews a lease; the tick of its issue tells it from others.
pub type LeaseToken = Tick;

/// Whose lease it is, and for which permits.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseHolder {
    /// Member that holds it.
    pub member: MemberKey,
    /// Permits that the lease is for.
    pub kind: PermitKind,
}

/// A worker of the platform, as the specification states its leases.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WorkerNode {
    /// Name of the worker.
    pub id: WorkerId,
    /// Availability zone that it stands in.
    pub zone: ZoneId,
    length: Tick,
    leases: BTreeMap<LeaseHolder, WorkerLease>,
    fenced: BTreeSet<MemberKey>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct WorkerLease {
    token: Option<LeaseToken>,
    ends: Option<Tick>,
    tasks: BTreeSet<TaskId>,
}

impl WorkerNode {
    /// Creates a worker that grants leases of `length`.
    pub fn new(id: WorkerId, zone: ZoneId, length: Tick) -> Self {
        Self {
            id,
            zone,
            length,
            leases: BTreeMap::new(),
            fenced: BTreeSet::new(),
        }
    }

    /// Returns the token of the last renewal, or offers one to open a lease; `None` when fenced.
    pub fn token(&mut self, now: Tick, holder: &LeaseHolder) -> Option<LeaseToken> {
        if self.fenced.contains(&holder.member) {
            return None;
        }
        let length = self.length;
        let lease = self.leases.entry(holder.clone()).or_default();
        let last = lease.token.filter(|token| now < token + length);
        lease.token = last.or(Some(now));
        lease.token
    }

    /// Opens or renews a lease when `token` is the last one and has not ended.
    pub fn take(&mut self, now: Tick, holder: &LeaseHolder, token: LeaseToken) {
        let length = self.length;
        if let Some(lease) = self.leases.get_mut(holder)
            && lease.token == Some(token)
            && now < token + length
        {
            lease.extend(now, length);
        }
    }

    /// Opens or renews a lease without regard to tokens.
    pub fn take_unchecked(&mut self, now: Tick, holder: &LeaseHolder) {
        let lease = self.leases.entry(holder.clone()).or_default();
        lease.extend(now, self.length);
    }

    /// Starts a task when its lease has not ended; returns whether it did.
    pub fn start(&mut self, now: Tick, holder: &LeaseHolder, task: TaskId) -> bool {
        let lease = self.leases.get_mut(holder);
        let live = lease.filter(|lease| lease.ends.is_some_and(|ends| now < ends));
        live.is_some_and(|lease| lease.tasks.insert(task))
    }

    /// Starts a task without regard to leases.
    pub fn start_unchecked(&mut self, holder: &LeaseHolder, task: TaskId) -> bool {
        let lease = self.leases.entry(holder.clone()).or_default();
        lease.tasks.insert(task)
    }

    /// Ends a task.
    pub fn end(&mut self, holder: &LeaseHolder, task: TaskId) {
        if let Some(lease) = self.leases.get_mut(holder) {
            lease.tasks.remove(&task);
        }
    }

    /// Returns whether the task runs.
    pub fn runs(&self, holder: &LeaseHolder, task: TaskId) -> bool {
        let lease = self.leases.get(holder);
        lease.is_some_and(|lease| lease.tasks.contains(&task))
    }

    /// Returns whether the lease of `holder` is open.
    pub fn is_open(&self, holder: &LeaseHolder) -> bool {
        let lease = self.leases.get(holder);
        lease.is_some_and(|lease| lease.ends.is_some())
    }

    /// Returns when the lease of `holder` ends; `None` when it is not open.
    pub fn ends(&self, holder: &LeaseHolder) -> Option<Tick> {
        self.leases.get(holder)?.ends
    }

    /// Grants `member` no further lease when it holds none; returns whether that is so.
    pub fn fence(&mut self, member: &MemberKey, under_lease: bool) -> bool {
        let holds = |(holder, lease): (&LeaseHolder, &WorkerLease)| {
            holder.member == *member && lease.ends.is_some()
        };
        if !under_lease && self.leases.iter().any(holds) {
            return false;
        }
        self.fenced.insert(member.clone());
        true
    }

    /// Ends the leases that are over at `now`, and the tasks under them.
    pub fn pass_time(&mut self, now: Tick) {
        for lease in self.leases.values_mut() {
            if lease.ends.is_some_and(|ends| ends <= now) {
                lease.ends = None;
                lease.tasks.clear();
            }
            lease.token = lease.token.filter(|token| now < token + self.length);
        }
    }

    /// Returns how many tasks run.
    pub fn running(&self) -> u32 {
        self.leases
            .values()
            .map(|lease| lease.tasks.len() as u32)
            .sum()
    }
}

impl WorkerLease {
    fn extend(&mut self, now: Tick, length: Tick) {
        self.ends = Some(now + length);
        self.token = Some(now);
    }
}
