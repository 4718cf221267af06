//! Compact difference between two revisions of a fleet, as stored in a record.

use std::collections::BTreeSet;
use std::sync::Arc;

use indexmap::IndexMap;
use pw_account::prelude::*;
use pw_base::prelude::*;
use pw_fleet::prelude::*;
use pw_pool::prelude::*;
use pw_worker::prelude::*;
use pw_zone::prelude::*;
use serde::{Deserialize, Serialize};

/// Changes between two revisions of the same fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetDelta {
    /// Name of the fleet.
    pub fleet: FleetId,
    /// Changed availability zones.
    pub zones: ListDelta<ZoneSpec>,
    /// Changed workers.
    pub workers: ListDelta<WorkerSpec>,
    /// Changed pools.
    pub pools: ListDelta<PoolSpec>,
    /// Changed accounts.
    pub accounts: ListDelta<AccountSpec>,
    /// Changed queues.
    pub queues: ListDelta<QueueSpec>,
}

/// Changes to one section of a fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDelta<T> {
    /// Names of elements that are no longer declared.
    pub removed: Vec<Arc<str>>,
    /// New elements, which are appended, and changed ones, which replace the element of that name.
    pub put: Vec<T>,
}

/// Element of a fleet section, identified by its name.
pub trait NamedSpec: Clone + PartialEq {
    /// Returns the name.
    fn name(&self) -> &Arc<str>;
}

macro_rules! named_specs {
    ($($spec:ty),*) => {
        $(impl NamedSpec for $spec {
            fn name(&self) -> &Arc<str> {
                &self.id
            }
        })*
    };
}

named_specs!(ZoneSpec, WorkerSpec, PoolSpec, AccountSpec, QueueSpec);

impl FleetDelta {
    /// Returns the changes that turn `before` into `after`.
    ///
    /// `None` if a delta can't express them, such as a different order within a section.
    pub fn between(before: &FleetSpec, after: &FleetSpec) -> Option<Self> {
        let delta = Self {
            fleet: after.fleet.clone(),
            zones: ListDelta::between(&before.zones, &after.zones),
            workers: ListDelta::between(&before.workers, &after.workers),
            pools: ListDelta::between(&before.pools, &after.pools),
            accounts: ListDelta::between(&before.accounts, &after.accounts),
            queues: ListDelta::between(&before.queues, &after.queues),
        };
        let is_exact = before.fleet == after.fleet && delta.apply(before) == *after;
        is_exact.then_some(delta)
    }

    /// Returns `before` with the changes applied.
    pub fn apply(&self, before: &FleetSpec) -> FleetSpec {
        FleetSpec {
            fleet: self.fleet.clone(),
            zones: self.zones.apply(&before.zones),
            workers: self.workers.apply(&before.workers),
            pools: self.pools.apply(&before.pools),
            accounts: self.accounts.apply(&before.accounts),
            queues: self.queues.apply(&before.queues),
        }
    }
}

impl<T: NamedSpec> ListDelta<T> {
    fn between(before: &[T], after: &[T]) -> Self {
        let known: IndexMap<&Arc<str>, &T> =
            before.iter().map(|item| (item.name(), item)).collect();
        let kept: BTreeSet<&Arc<str>> = after.iter().map(NamedSpec::name).collect();
        let removed = known.keys().filter(|name| !kept.contains(**name));
        let is_new = |item: &&T| known.get(item.name()) != Some(item);
        Self {
            removed: removed.map(|name| Arc::clone(name)).collect(),
            put: after.iter().filter(is_new).cloned().collect(),
        }
    }

    fn apply(&self, before: &[T]) -> Vec<T> {
        let removed: BTreeSet<&Arc<str>> = self.removed.iter().collect();
        let kept = before.iter().filter(|item| !removed.contains(item.name()));
        let mut items: IndexMap<&Arc<str>, &T> = kept.map(|item| (item.name(), item)).collect();
        for item in &self.put {
            items.insert(item.name(), item);
        }
        items.into_values().cloned().collect()
    }
}
