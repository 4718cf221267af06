//! The duty that claims shards, follows their submissions and stores their images.

mod assignment;
mod owned_shard;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;
use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_ring::prelude::*;

use crate::claim::ClaimRecord;
use crate::feed_duty::OutageLog;
use crate::hedge::append_hedged;
use crate::links::{
    GroupJoin, JobStore, StoreEntry, StoreFault, StorePartition, StoreTopic, StoreWriter,
};
use crate::message::{CallerMessage, ControlMessage, JournalMessage, MachineMessage, ShardTerm};
use crate::settings::NodeSettings;
use crate::timeout::AppendTimeout;

/// Appends of one shard that may be queued.
const APPEND_CAPACITY: usize = 64;
/// Interval between reads of the group's members while the group does not change.
const MEMBERS_READ_INTERVAL: Duration = Duration::from_secs(5);
/// Reads of the members after a change of the group, one with each join: a new member takes no part
/// in the group until the others have renewed their membership.
const READS_AFTER_CHANGE: u32 = 3;

/// Duties that receive records and owners from the journal duty.
pub struct JournalLinks {
    /// The control duty.
    pub control: RingSender<ControlMessage>,
    /// The callers duty.
    pub callers: RingSender<CallerMessage>,
    /// The machine duty.
    pub machines: RingSender<MachineMessage>,
}

/// Longest time that a node serves a shard that is assigned to another node but not claimed yet.
/// The other nodes learn of a change of the group with their next joins.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval at which a leaving node checks whether its shards were claimed.
const HANDOVER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Shard whose owner is the machine controller of the fleet.
pub const MACHINE_SHARD: ShardNumber = 0;

/// Sequence number of a request and the records to store.
type AppendRequest = (u64, Vec<StoreRecord>);

struct JournalDuty {
    store: Box<dyn JobStore>,
    settings: NodeSettings,
    clock: Arc<dyn ClockSource>,
    links: JournalLinks,
    spawner: TaskSpawner,
    /// Timeout of appends.
    timeout: AppendTimeout,
    /// Shards that the node owns or claims.
    shards: RefCell<IndexMap<ShardNumber, OwnedShard>>,
    /// Shards with most of the work; `None` until the first configuration.
    busy: RefCell<Option<IndexSet<ShardNumber>>>,
    /// Members of the group and the assignment in force.
    table: RefCell<ShardTable>,
    /// End of the log of assignments as far as it is read; `None` until the first read.
    assignment_end: Cell<Option<LogOffset>>,
    leaving: Cell<bool>,
}

/// A shard that the node owns or claims; its futures end when it is dropped.
struct OwnedShard {
    /// Epoch; `None` until the claim is stored.
    epoch: Option<OwnerEpoch>,
    appends: RingSender<AppendRequest>,
    /// Ends the shard's task when it is dropped.
    _alive: RingSender<()>,
}

/// Runs until all senders of `messages` are gone.
pub async fn run(
    store: Box<dyn JobStore>,
    settings: NodeSettings,
    clock: Arc<dyn ClockSource>,
    messages: RingReceiver<JournalMessage>,
    links: JournalLinks,
    spawner: TaskSpawner,
) {
    let timeout = settings.append_timeout();
    let table = ShardTable::new(AssignSettings {
        shards: settings.shards,
        ..Default::default()
    });
    let duty = Rc::new(JournalDuty {
        timeout,
        table: RefCell::new(table),
        assignment_end: Cell::default(),
        store,
        settings,
        clock,
        links,
        spawner,
        shards: RefCell::default(),
        busy: RefCell::default(),
        leaving: Cell::default(),
    });
    let membership = Rc::clone(&duty);
    duty.spawner
        .spawn(async move { membership.maintain_membership().await });
    let assignment = Rc::clone(&duty);
    duty.spawner
        .spawn(async move { assignment.follow_assignment().await });
    while let Some(message) = messages.recv().await {
        duty.handle_message(message).await;
    }
}

impl JournalDuty {
    async fn handle_message(self: &Rc<Self>, message: JournalMessage) {
        match message {
            JournalMessage::Store {
                term,
                sequence,
                records,
            } => {
                let shards = self.shards.borrow();
                let owned = shards.get(&term.shard);
                if let Some(owned) = owned.filter(|owned| owned.epoch == Some(term.epoch)) {
                    // A shard has one append in flight at a time, so the ring is never full.
                    _ = owned.appends.offer((sequence, records));
                }
            }
            JournalMessage::CheckOwnership(term) => {
                let event = EventCode::ShardLost.number();
                let ShardTerm { shard, epoch } = term;
                tracing::warn!(event, shard, epoch, "later owner reported");
                if !self.is_owner(term).await {
                    self.spawn_release(shard);
                }
            }
            JournalMessage::BusyShards(mut busy) => {
                busy.insert(MACHINE_SHARD);
                *self.busy.borrow_mut() = Some(busy);
            }
            JournalMessage::Leave => self.leave().await,
        }
    }

    /// Maintains the group membership, and claims and releases shards as the members change.
    async fn maintain_membership(self: Rc<Self>) {
        let mut outage = OutageLog::new("group");
        let mut generation = 0;
        let mut handovers = IndexMap::new();
        let mut members_read = None;
        let mut reads_due = 0;
        while !self.leaving.get() {
            let join = GroupJoin {
                member: self.name(),
                ttl: self.settings.member_ttl,
                generation,
            };
            let timeout = async {
                Timer::after(self.settings.join_timeout).await;
                Err(StoreFault::Unanswered)
            };
            let joined = future::or(self.store.join(join), timeout).await;
            if self.leaving.get() {
                return;
            }
            match joined {
                Ok(latest) => {
                    outage.set_reachable(true);
                    if latest != generation {
                        generation = latest;
                        reads_due = READS_AFTER_CHANGE;
                    }
                    let now = self.clock.now();
                    let stale = members_read.is_none_or(|at| now > at + MEMBERS_READ_INTERVAL);
                    if reads_due > 0 || stale || self.table.borrow().has_held_members() {
                        reads_due = reads_due.saturating_sub(1);
                        let read = self.read_members(generation).await;
                        members_read = read.then_some(now);
                        if read {
                            self.propose_assignment(generation).await;
                        }
                    }
                    self.apply_assignment(&mut handovers).await;
                }
                Err(StoreFault::NotMember) => generation = 0,
                Err(fault) => {
                    // The store removes a node that does not join in time, so retry soon.
                    outage.record_fault(&fault);
                    Timer::after(self.settings.store_retry_delay).await;
                    continue;
                }
            }
            Timer::after(self.settings.join_interval).await;
        }
    }

    /// Returns the name of this node in the group.
    fn name(&self) -> NodeName {
        let identity = MemberIdentity {
            address: self.settings.peers,
            weight: self.settings.weight,
        };
        identity.name()
    }

    /// Reads the members of the group; returns whether that succeeded.
    async fn read_members(&self, generation: u64) -> bool {
        match self.store.members().await {
            Ok(members) => {
                let mut table = self.table.borrow_mut();
                if table.update(members, self.clock.now()) {
                    let event = EventCode::GroupRead.number();
                    let members = table.member_count();
                    tracing::info!(event, generation, members, "members of the group changed");
                }
                true
            }
            Err(fault) => {
                let event = EventCode::StoreReach.number();
                tracing::warn!(event, %fault, "failed to read the members of the group");
                false
            }
        }
    }

    /// Claims assigned shards that the node does not own, and hands over owned shards that are no
    /// longer assigned.
    ///
    /// A shard that is handed over is served until its next owner has claimed it, so that it always
    /// has an owner. `handovers` holds the start times of these handovers.
    async fn apply_assignment(self: &Rc<Self>, handovers: &mut IndexMap<ShardNumber, Instant>) {
        let mut assigned = self.table.borrow().shards_of(&self.name());
        let owned: Vec<ShardNumber> = self.shards.borrow().keys().copied().collect();
        let now = self.clock.now();
        handovers.retain(|shard, _| owned.contains(shard) && !assigned.contains(shard));
        for shard in owned.iter().filter(|shard| !assigned.contains(shard)) {
            let since = *handovers.entry(*shard).or_insert(now);
            if now >= since + HANDOVER_TIMEOUT {
                self.release(*shard).await;
            }
        }
        let may_claim = assigned.iter().any(|shard| !owned.contains(shard));
        if !may_claim || self.busy.borrow().is_none() {
            return;
        }
        // The node may have been cut off, and others may own these shards by now.
        if self.read_assignment(Duration::ZERO).await.is_err() {
            return;
        }
        assigned = self.table.borrow().shards_of(&self.name());
        for shard in assigned.iter().filter(|shard| !owned.contains(shard)) {
            let (appends, requests) = ring("shard-appends", APPEND_CAPACITY);
            let (alive, ended) = ring("shard-alive", 1);
            let owned = OwnedShard {
                epoch: None,
                appends,
                _alive: alive,
            };
            self.shards.borrow_mut().insert(*shard, owned);
            let duty = Rc::clone(self);
            let shard = *shard;
            self.spawner.spawn(async move {
                let work = duty.own_shard(shard, requests);
                let end = async {
                    // The ring carries no messages; it closes with the ownership.
                    _ = ended.recv().await;
                };
                future::or(work, end).await;
            });
        }
    }

    /// Releases a shard in a separate task, because the release cancels the shard's own task.
    fn spawn_release(self: &Rc<Self>, shard: ShardNumber) {
        let duty = Rc::clone(self);
        self.spawner.spawn(async move { duty.release(shard).await });
    }

    /// Ends the role of the machine controller if `shard` is the one that carries it.
    async fn end_machine_role(&self, shard: ShardNumber) {
        if shard == MACHINE_SHARD {
            _ = self.links.machines.send(MachineMessage::RoleLost).await;
        }
    }

    /// Stops sending orders for a shard and stores its remaining leases for the next owner.
    async fn release(&self, shard: ShardNumber) {
        let owned = self.shards.borrow_mut().swap_remove(&shard);
        let Some(epoch) = owned.and_then(|owned| owned.epoch) else {
            return;
        };
        self.end_machine_role(shard).await;
        let (reply, replies) = ring("release", 1);
        let message = ControlMessage::Release(ShardTerm { shard, epoch }, reply);
        if self.links.control.send(message).await.is_err() {
            return;
        }
        let event = EventCode::ShardLost.number();
        tracing::info!(event, shard, epoch, "shard released");
        let Some(leases) = replies.recv().await else {
            return;
        };
        let entry = StoreEntry {
            key: String::new(),
            value: ClaimRecord::Release { epoch, leases }.encode(),
        };
        let claims = partition(StoreTopic::Claims, shard);
        if let Err(fault) = self.append(claims, vec![entry], None).await {
            let event = EventCode::StoreReach.number();
            tracing::warn!(event, shard, %fault, "failed to store the release of a shard");
        }
    }

    async fn leave(&self) {
        self.leaving.set(true);
        if let Err(fault) = self.store.leave(self.name()).await {
            let event = EventCode::StoreReach.number();
            tracing::warn!(event, %fault, "failed to leave the group; membership has to expire");
        }
        let end = self.clock.now() + HANDOVER_TIMEOUT;
        while !self.shards.borrow().is_empty() && self.clock.now() < end {
            Timer::after(HANDOVER_CHECK_INTERVAL).await;
        }
        let owned: Vec<ShardNumber> = self.shards.borrow().keys().copied().collect();
        for shard in owned {
            self.release(shard).await;
        }
    }

    /// Appends records; repeats the append when no answer comes within the timeout.
    async fn append(
        &self,
        partition: StorePartition,
        entries: Vec<StoreEntry>,
        writer: Option<StoreWriter>,
    ) -> Result<LogOffset, StoreFault> {
        let wait = self.settings.append_timeout_max;
        let attempt = || self.store.append(partition, entries.clone(), writer, wait);
        append_hedged(attempt, &self.timeout, &self.clock)
            .await
            .result
    }

    async fn is_owner(&self, term: ShardTerm) -> bool {
        let claims = partition(StoreTopic::Claims, term.shard);
        let read = self.store.read(claims, term.epoch, Duration::ZERO).await;
        match read {
            Ok(read) => read
                .entries
                .iter()
                .all(|entry| ClaimRecord::is_earlier_release(&entry.value, term.epoch)),
            Err(StoreFault::Expired { .. }) => false,
            // Unknown: if there is a later owner, the append of the next image is fenced.
            Err(_) => true,
        }
    }

    async fn send_event(&self, term: ShardTerm, event: ShardEvent) -> bool {
        let message = ControlMessage::Shard(term, Box::new(event));
        self.links.control.send(message).await.is_ok()
    }
}

fn partition(topic: StoreTopic, shard: ShardNumber) -> StorePartition {
    StorePartition { topic, shard }
}
