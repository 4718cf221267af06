//! The duty that takes shards over, follows their submissions and stores their images.

mod owned_shard;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_ring::prelude::*;

use crate::claim::ClaimRecord;
use crate::feed_duty::StoreReach;
use crate::hedge::append_hedged;
use crate::links::{
    GroupJoin, JobStore, StoreEntry, StoreFault, StorePart, StoreTopic, StoreWriter,
};
use crate::message::{CallerMessage, ControlMessage, JournalMessage, KeeperMessage, ShardTerm};
use crate::settings::NodeSettings;
use crate::timeout::AppendTimeout;

/// Appends of one shard that may wait for the store.
const STORE_CAPACITY: usize = 64;
/// Time between two readings of the shards' owners while nothing changes.
const OWNERS_GAP: Duration = Duration::from_secs(5);

/// Where the journal duty's readings go.
pub struct JournalLinks {
    /// The control duty.
    pub control: RingSender<ControlMessage>,
    /// The callers duty.
    pub callers: RingSender<CallerMessage>,
    /// The keeper duty.
    pub keeper: RingSender<KeeperMessage>,
}

/// Shard whose owner keeps the machines of the whole fleet.
pub const KEEPER_SHARD: ShardNumber = 0;

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
    async fn take(&self, message: JournalMessage) {
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
            JournalMessage::Contested(term) => {
                let event = EventCode::ShardLost.number();
                let ShardTerm { shard, epoch } = term;
                tracing::warn!(event, shard, epoch, "a worker heard of a later owner");
                if !self.is_owner(term).await {
                    self.give_up(term.shard).await;
                }
            }
            JournalMessage::Leave => self.leave().await,
        }
    }

    /// Stays in the group and takes over what it assigns.
    async fn keep_membership(self: Rc<Self>) {
        let mut reach = StoreReach::new("group");
        let mut generation = 0;
        let mut owners_read = None;
        while !self.leaving.get() {
            let join = GroupJoin {
                member: self.settings.peers.to_string(),
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
                Ok(share) => {
                    reach.note(true);
                    let changed = share.generation != generation;
                    generation = share.generation;
                    self.follow_share(&share.shards).await;
                    let now = self.clock.now();
                    if changed || owners_read.is_none_or(|at| now > at + OWNERS_GAP) {
                        owners_read = self.read_owners().await.then_some(now);
                    }
                    if changed {
                        // Joining with the new generation hands the shards on that were given up.
                        continue;
                    }
                }
                Err(StoreFault::NotMember) => generation = 0,
                Err(fault) => {
                    // The store takes a node that it does not hear for gone.
                    reach.note_fault(&fault);
                    Timer::after(self.settings.store_retry).await;
                    continue;
                }
            }
            Timer::after(self.settings.join_gap).await;
        }
    }

    /// Gives up the shards that are not in the share, and takes the others over.
    async fn follow_share(self: &Rc<Self>, share: &[ShardNumber]) {
        let owned: Vec<ShardNumber> = self.shards.borrow().keys().copied().collect();
        for shard in owned.iter().filter(|shard| !share.contains(shard)) {
            self.release(*shard).await;
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

    async fn give_up(&self, shard: ShardNumber) {
        let owned = self.shards.borrow_mut().swap_remove(&shard);
        if let Some(epoch) = owned.and_then(|owned| owned.epoch) {
            let event = EventCode::ShardLost.number();
            tracing::info!(event, shard, epoch, "shard given up");
            let lost = ControlMessage::Lost(ShardTerm { shard, epoch });
            _ = self.links.control.send(lost).await;
            self.dismiss(shard).await;
        }
    }

    /// Ends the role that comes with the keeper's shard.
    async fn dismiss(&self, shard: ShardNumber) {
        if shard == KEEPER_SHARD {
            _ = self.links.keeper.send(KeeperMessage::Dismissed).await;
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
        let owned: Vec<ShardNumber> = self.shards.borrow().keys().copied().collect();
        for shard in owned {
            self.release(shard).await;
        }
        let member = self.settings.peers.to_string();
        if let Err(fault) = self.store.leave(member).await {
            let event = EventCode::StoreReach.number();
            tracing::warn!(event, %fault, "group not left; its time for this node has to run out");
        }
    }

    async fn read_owners(&self) -> bool {
        match self.store.owners().await {
            Ok(rows) => {
                let keeper = KeeperMessage::Owners(rows.clone());
                let told = self.links.keeper.send(keeper).await;
                let sent = self.links.callers.send(CallerMessage::Owners(rows)).await;
                told.is_ok() && sent.is_ok()
            }
            Err(fault) => {
                let event = EventCode::StoreReach.number();
                tracing::warn!(event, %fault, "owners of shards not read");
                false
            }
        }
    }

    /// Appends, and again where no answer comes in the usual time.
    async fn append(
        &self,
        part: StorePart,
        entries: Vec<StoreEntry>,
        writer: Option<StoreWriter>,
    ) -> Result<LogOffset, StoreFault> {
        let wait = self.settings.append_wait_max;
        let attempt = || self.store.append(part, entries.clone(), writer, wait);
        append_hedged(attempt, &self.timeout, &self.clock)
            .await
            .result
    }

    async fn is_owner(&self, term: ShardTerm) -> bool {
        let claims = part(StoreTopic::Claims, term.shard);
        let read = self.store.read(claims, term.epoch, Duration::ZERO).await;
        match read {
            Ok(read) => read.entries.is_empty(),
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

fn part(topic: StoreTopic, shard: ShardNumber) -> StorePart {
    StorePart { topic, shard }
}
