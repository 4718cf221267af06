//! The duty that takes shards over, follows their submissions and stores their images.

mod owned_shard;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;
use indexmap::IndexMap;
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

/// Appends of one shard that may wait for the store.
const STORE_CAPACITY: usize = 64;
/// Time between two readings of the group's members while nothing changes.
const MEMBERS_GAP: Duration = Duration::from_secs(5);
/// Readings of the members after a change of the group, one for each join: a new member has no part in
/// the group until the others have joined once more.
const READS_OF_CHANGE: u32 = 3;

/// Where the journal duty's readings go.
pub struct JournalLinks {
    /// The control duty.
    pub control: RingSender<ControlMessage>,
    /// The callers duty.
    pub callers: RingSender<CallerMessage>,
    /// The keeper duty.
    pub machines: RingSender<MachineMessage>,
}

/// How long a node serves a shard that is another one's by now and was not claimed yet. The others
/// hear of a change with their next joins.
const HANDOVER_MAX: Duration = Duration::from_millis(1500);
/// Time between two looks of a leaving node at whether its shards were claimed.
const HANDOVER_CHECK: Duration = Duration::from_millis(50);

/// Shard whose owner keeps the machines of the whole fleet.
pub const MACHINE_SHARD: ShardNumber = 0;

/// Records that are to be stored, and the number of the request.
type StoreJob = (u64, Vec<StoreRecord>);

struct JournalDuty {
    store: Box<dyn JobStore>,
    settings: NodeSettings,
    clock: Arc<dyn ClockSource>,
    links: JournalLinks,
    spawner: TaskSpawner,
    /// Waits for answers to appends.
    timeout: AppendTimeout,
    /// Shards that the node owns or is taking over.
    shards: RefCell<IndexMap<ShardNumber, OwnedShard>>,
    leaving: Cell<bool>,
}

/// A shard that the node owns or is taking over; its futures end when it is dropped.
struct OwnedShard {
    /// Epoch, once the claim is stored.
    epoch: Option<OwnerEpoch>,
    appends: RingSender<StoreJob>,
    /// Closed when the shard is given up.
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
    let duty = Rc::new(JournalDuty {
        timeout,
        store,
        settings,
        clock,
        links,
        spawner,
        shards: RefCell::default(),
        leaving: Cell::default(),
    });
    let membership = Rc::clone(&duty);
    duty.spawner
        .spawn(async move { membership.keep_membership().await });
    while let Some(message) = messages.recv().await {
        duty.take(message).await;
    }
}

impl JournalDuty {
    async fn take(self: &Rc<Self>, message: JournalMessage) {
        match message {
            JournalMessage::Store {
                term,
                sequence,
                records,
            } => {
                let shards = self.shards.borrow();
                let owned = shards.get(&term.shard);
                if let Some(owned) = owned.filter(|owned| owned.epoch == Some(term.epoch)) {
                    // One append of a shard is under way at a time, so there is always room.
                    _ = owned.appends.offer((sequence, records));
                }
            }
            JournalMessage::CheckOwnership(term) => {
                let event = EventCode::ShardLost.number();
                let ShardTerm { shard, epoch } = term;
                tracing::warn!(event, shard, epoch, "a worker heard of a later owner");
                if !self.is_owner(term).await {
                    self.spawn_release(shard);
                }
            }
            JournalMessage::Leave => self.leave().await,
        }
    }

    /// Stays in the group and takes over what follows from its members.
    async fn keep_membership(self: Rc<Self>) {
        let mut outage = OutageLog::new("group");
        let mut generation = 0;
        let mut table = ShardTable::new(AssignSettings {
            shards: self.settings.shards,
            ..Default::default()
        });
        let mut handed = IndexMap::new();
        let mut members_read = None;
        let mut reads_due = 0;
        while !self.leaving.get() {
            let join = GroupJoin {
                member: self.name(),
                ttl: self.settings.member_ttl,
                generation,
            };
            let late = async {
                Timer::after(self.settings.join_timeout).await;
                Err(StoreFault::Unanswered)
            };
            let joined = future::or(self.store.join(join), late).await;
            if self.leaving.get() {
                return;
            }
            match joined {
                Ok(latest) => {
                    outage.set_reachable(true);
                    if latest != generation {
                        generation = latest;
                        reads_due = READS_OF_CHANGE;
                    }
                    let now = self.clock.now();
                    let stale = members_read.is_none_or(|at| now > at + MEMBERS_GAP);
                    if reads_due > 0 || stale || table.has_held_members() {
                        reads_due = reads_due.saturating_sub(1);
                        members_read = self.read_members(&mut table).await.then_some(now);
                    }
                    let share = table.shards_of(&self.name());
                    self.follow_share(&share, &mut handed).await;
                }
                Err(StoreFault::NotMember) => generation = 0,
                Err(fault) => {
                    // The store takes a node that it does not hear for gone.
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

    /// Reads the members of the group, and tells whom they make the owners; returns whether that
    /// could be done.
    async fn read_members(&self, table: &mut ShardTable) -> bool {
        match self.store.members().await {
            Ok(members) => {
                table.update(members, self.clock.now());
                self.tell_owners(table).await
            }
            Err(fault) => {
                let event = EventCode::StoreReach.number();
                tracing::warn!(event, %fault, "members of the group not read");
                false
            }
        }
    }

    /// Tells the other duties whom to ask; returns whether they were there.
    async fn tell_owners(&self, table: &ShardTable) -> bool {
        let rows = table.owners().map(|(shard, name)| (shard, name.clone()));
        let rows: Vec<(ShardNumber, NodeName)> = rows.collect();
        let keeper = MachineMessage::Owners(rows.clone());
        let told = self.links.machines.send(keeper).await;
        let sent = self.links.callers.send(CallerMessage::Owners(rows)).await;
        told.is_ok() && sent.is_ok()
    }

    /// Takes over the shards of the share that others have, and hands on those that are not in it.
    ///
    /// A shard that is handed on is served until its next owner has claimed it, so that it is never
    /// without one; `handed` says since when.
    async fn follow_share(
        self: &Rc<Self>,
        share: &[ShardNumber],
        handed: &mut IndexMap<ShardNumber, Instant>,
    ) {
        let owned: Vec<ShardNumber> = self.shards.borrow().keys().copied().collect();
        let now = self.clock.now();
        handed.retain(|shard, _| owned.contains(shard) && !share.contains(shard));
        for shard in owned.iter().filter(|shard| !share.contains(shard)) {
            let since = *handed.entry(*shard).or_insert(now);
            if now >= since + HANDOVER_MAX {
                self.release(*shard).await;
            }
        }
        for shard in share.iter().filter(|shard| !owned.contains(shard)) {
            let (appends, jobs) = ring("shard-appends", STORE_CAPACITY);
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
                let work = duty.own_shard(shard, jobs);
                let end = async {
                    // No message comes; the ring ends with the ownership.
                    _ = ended.recv().await;
                };
                future::or(work, end).await;
            });
        }
    }

    /// Releases a shard in a task of its own, as the task that serves the shard ends with it.
    fn spawn_release(self: &Rc<Self>, shard: ShardNumber) {
        let duty = Rc::clone(self);
        self.spawner.spawn(async move { duty.release(shard).await });
    }

    /// Ends the role that comes with the keeper's shard.
    async fn dismiss(&self, shard: ShardNumber) {
        if shard == MACHINE_SHARD {
            _ = self.links.machines.send(MachineMessage::RoleLost).await;
        }
    }

    /// Stops giving orders in a shard, and tells the next owner what it needs to know.
    async fn release(&self, shard: ShardNumber) {
        let owned = self.shards.borrow_mut().swap_remove(&shard);
        let Some(epoch) = owned.and_then(|owned| owned.epoch) else {
            return;
        };
        self.dismiss(shard).await;
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
        let claims = part(StoreTopic::Claims, shard);
        if let Err(fault) = self.append(claims, vec![entry], None).await {
            let event = EventCode::StoreReach.number();
            tracing::warn!(event, shard, %fault, "release of a shard not stored");
        }
    }

    async fn leave(&self) {
        self.leaving.set(true);
        if let Err(fault) = self.store.leave(self.name()).await {
            let event = EventCode::StoreReach.number();
            tracing::warn!(event, %fault, "group not left; its time for this node has to run out");
        }
        let end = self.clock.now() + HANDOVER_MAX;
        while !self.shards.borrow().is_empty() && self.clock.now() < end {
            Timer::after(HANDOVER_CHECK).await;
        }
        let owned: Vec<ShardNumber> = self.shards.borrow().keys().copied().collect();
        for shard in owned {
            self.release(shard).await;
        }
    }

    /// Appends, and again where no answer comes in the usual time.
    async fn append(
        &self,
        part: StorePartition,
        entries: Vec<StoreEntry>,
        writer: Option<StoreWriter>,
    ) -> Result<LogOffset, StoreFault> {
        let wait = self.settings.append_timeout_max;
        let attempt = || self.store.append(part, entries.clone(), writer, wait);
        append_hedged(attempt, &self.timeout, &self.clock)
            .await
            .result
    }

    async fn is_owner(&self, term: ShardTerm) -> bool {
        let claims = part(StoreTopic::Claims, term.shard);
        let read = self.store.read(claims, term.epoch, Duration::ZERO).await;
        match read {
            Ok(read) => read
                .entries
                .iter()
                .all(|entry| ClaimRecord::is_earlier_release(&entry.value, term.epoch)),
            Err(StoreFault::Expired { .. }) => false,
            // Unknown: the append of the next image will tell.
            Err(_) => true,
        }
    }

    async fn tell(&self, term: ShardTerm, event: ShardEvent) -> bool {
        let message = ControlMessage::Shard(term, Box::new(event));
        self.links.control.send(message).await.is_ok()
    }
}

fn part(topic: StoreTopic, shard: ShardNumber) -> StorePartition {
    StorePartition { topic, shard }
}
