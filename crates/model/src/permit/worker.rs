//! Model of a worker that grants leases and runs tasks under them.

use std::collections::{BTreeMap, BTreeSet};

use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_member::prelude::*;

/// Time in ticks of one second.
pub type Tick = u32;
/// Token that opens or renews a lease; identified by the tick at which it was issued.
pub type LeaseToken = Tick;

/// Holder of a lease, with the kind of permits that the lease is for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseHolder {
    /// Member that holds the lease.
    pub member: MemberKey,
    /// Kind of permits that the lease is for.
    pub kind: PermitKind,
}

/// Worker whose leases follow the specification of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WorkerNode {
    /// Name of the worker.
    pub id: WorkerId,
    /// Availability zone of the worker.
    pub zone: ZoneId,
    lease_ttl: Tick,
    leases: BTreeMap<LeaseHolder, WorkerLease>,
    fenced: BTreeSet<MemberKey>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct WorkerLease {
    token: Option<LeaseToken>,
    expires_at: Option<Tick>,
    tasks: BTreeSet<TaskId>,
}

impl WorkerNode {
    /// Creates a worker that grants leases of duration `lease_ttl`.
    pub fn new(id: WorkerId, zone: ZoneId, lease_ttl: Tick) -> Self {
        Self {
            id,
            zone,
            lease_ttl,
            leases: BTreeMap::new(),
            fenced: BTreeSet::new(),
        }
    }

    /// Returns the token of the last renewal, or a new one to open a lease; `None` if fenced.
    pub fn issue_token(&mut self, now: Tick, holder: &LeaseHolder) -> Option<LeaseToken> {
        if self.fenced.contains(&holder.member) {
            return None;
        }
        let lease_ttl = self.lease_ttl;
        let lease = self.leases.entry(holder.clone()).or_default();
        let last = lease.token.filter(|token| now < token + lease_ttl);
        lease.token = last.or(Some(now));
        lease.token
    }

    /// Opens or renews a lease if `token` is the last issued one and has not expired.
    pub fn renew(&mut self, now: Tick, holder: &LeaseHolder, token: LeaseToken) {
        let lease_ttl = self.lease_ttl;
        if let Some(lease) = self.leases.get_mut(holder)
            && lease.token == Some(token)
            && now < token + lease_ttl
        {
            lease.extend(now, lease_ttl);
        }
    }

    /// Opens or renews a lease without checking a token.
    pub fn renew_unchecked(&mut self, now: Tick, holder: &LeaseHolder) {
        let lease = self.leases.entry(holder.clone()).or_default();
        lease.extend(now, self.lease_ttl);
    }

    /// Starts a task if its lease has not expired; returns whether it was started.
    pub fn start(&mut self, now: Tick, holder: &LeaseHolder, task: TaskId) -> bool {
        let lease = self.leases.get_mut(holder);
        let active = lease.filter(|lease| lease.expires_at.is_some_and(|expiry| now < expiry));
        active.is_some_and(|lease| lease.tasks.insert(task))
    }

    /// Starts a task without checking the lease.
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

    /// Returns whether the task is running.
    pub fn is_running(&self, holder: &LeaseHolder, task: TaskId) -> bool {
        let lease = self.leases.get(holder);
        lease.is_some_and(|lease| lease.tasks.contains(&task))
    }

    /// Returns whether the lease of `holder` is open.
    pub fn is_open(&self, holder: &LeaseHolder) -> bool {
        let lease = self.leases.get(holder);
        lease.is_some_and(|lease| lease.expires_at.is_some())
    }

    /// Returns when the lease of `holder` expires; `None` if it is not open.
    pub fn expires_at(&self, holder: &LeaseHolder) -> Option<Tick> {
        self.leases.get(holder)?.expires_at
    }

    /// Denies `member` further leases; returns `false` if it still holds one.
    ///
    /// With `ignore_leases`, the member is fenced in any case.
    pub fn fence(&mut self, member: &MemberKey, ignore_leases: bool) -> bool {
        let holds = |(holder, lease): (&LeaseHolder, &WorkerLease)| {
            holder.member == *member && lease.expires_at.is_some()
        };
        if !ignore_leases && self.leases.iter().any(holds) {
            return false;
        }
        self.fenced.insert(member.clone());
        true
    }

    /// Ends the leases that have expired at `now`, and the tasks under them.
    pub fn expire_leases(&mut self, now: Tick) {
        for lease in self.leases.values_mut() {
            if lease.expires_at.is_some_and(|expiry| expiry <= now) {
                lease.expires_at = None;
                lease.tasks.clear();
            }
            lease.token = lease.token.filter(|token| now < token + self.lease_ttl);
        }
    }

    /// Returns the number of running tasks.
    pub fn running_tasks(&self) -> u32 {
        self.leases
            .values()
            .map(|lease| lease.tasks.len() as u32)
            .sum()
    }
}

impl WorkerLease {
    fn extend(&mut self, now: Tick, lease_ttl: Tick) {
        self.expires_at = Some(now + lease_ttl);
        self.token = Some(now);
    }
}
