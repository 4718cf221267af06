//! The duty that takes shards over, follows their submissions and stores their images.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use async_io::Timer;
use futures_lite::future;
use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_job::prelude::*;
use pw_ring::prelude::*;

use crate::claim::ClaimRecord;
use crate::door::CANCEL_SUFFIX;
use crate::feed_duty::StoreReach;
use crate::hedge::append_hedged;
use crate::links::{
    GroupJoin, JobStore, StoreEntry, StoreFault, StorePart, StoreTopic, StoreWriter,
};
use crate::message::{CallerMessage, ControlMessage, JournalMessage, KeeperMessage, ShardTerm};
use crate::patience::AnswerPatience;
use crate::settings::NodeSettings;

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
    patience: AnswerPatience,
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
    let patience = settings.append_patience();
    let duty = Rc::new(JournalDuty {
        patience,
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

    /// Takes a shard over, follows it and stores what its controller wants.
    async fn own_shard(self: &Rc<Self>, shard: ShardNumber, jobs: RingReceiver<StoreJob>) {
        let since = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH);
        let claim = ClaimRecord::Claim {
            member: self.settings.peers.to_string(),
            taken: since.unwrap_or_default().as_nanos(),
        };
        let term = match self.claim(shard, &claim).await {
            Some(term) => term,
            None => {
                self.shards.borrow_mut().swap_remove(&shard);
                return;
            }
        };
        let image = self.load_images(term).await;
        let (submissions, end) = self.load_submissions(term).await;
        let image = ShardImage {
            leases: self.read_release(term).await,
            states: image,
            ..submissions
        };
        let opened = ControlMessage::Opened(term, Box::new(image));
        if self.links.control.send(opened).await.is_err() {
            return;
        }
        if shard == KEEPER_SHARD {
            let appointed = KeeperMessage::Appointed(term.epoch);
            _ = self.links.keeper.send(appointed).await;
        }
        let follow = self.follow_submissions(term, end);
        let append = self.append_images(term, jobs);
        let prove = self.prove_ownership(term, &claim);
        future::or(
            append,
            future::or(prove, async {
                follow.await;
                future::pending::<()>().await;
            }),
        )
        .await;
        self.give_up(shard).await;
    }

    /// Claims a shard; `None` when a later owner is there already.
    async fn claim(&self, shard: ShardNumber, claim: &ClaimRecord) -> Option<ShardTerm> {
        let claims = part(StoreTopic::Claims, shard);
        let entry = StoreEntry {
            key: String::new(),
            value: claim.encode(),
        };
        let offset = loop {
            match self.append(claims, vec![entry.clone()], None).await {
                Ok(offset) => break offset,
                Err(_) => Timer::after(self.settings.store_retry).await,
            };
        };
        let epoch = offset + 1;
        if let Some(owned) = self.shards.borrow_mut().get_mut(&shard) {
            owned.epoch = Some(epoch);
        }
        let images = part(StoreTopic::Images, shard);
        let writer = StoreWriter { epoch, sequence: 0 };
        loop {
            match self.append(images, Vec::new(), Some(writer)).await {
                Ok(_) | Err(StoreFault::WrongSequence { .. }) => break,
                Err(StoreFault::Fenced) => return None,
                Err(_) => Timer::after(self.settings.store_retry).await,
            };
        }
        Some(ShardTerm { shard, epoch })
    }

    /// Reads what the owner before left behind when it released the shard.
    async fn read_release(&self, term: ShardTerm) -> Option<IndexMap<WorkerId, Duration>> {
        let claims = part(StoreTopic::Claims, term.shard);
        let claim = term.epoch - 1;
        let before = claim.checked_sub(1)?;
        let read = self.store.read(claims, before, Duration::ZERO).await.ok()?;
        ClaimRecord::released_leases(&read.entries.first()?.value, claim)
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
        append_hedged(attempt, &self.patience, &self.clock)
            .await
            .result
    }

    async fn load_images(&self, term: ShardTerm) -> Vec<(JobId, JobState)> {
        let (entries, _) = self.load_newest(part(StoreTopic::Images, term.shard)).await;
        let states = entries
            .into_iter()
            .filter_map(|entry| match decode_state(&entry.value) {
                Ok(state) => Some((JobId::from(entry.key), state)),
                Err(error) => {
                    skip_record(&entry.key, &error);
                    None
                }
            });
        states.collect()
    }

    /// Reads all submissions, and the offset from which on they are to be followed.
    async fn load_submissions(&self, term: ShardTerm) -> (ShardImage, LogOffset) {
        let submissions = part(StoreTopic::Submissions, term.shard);
        let (entries, end) = self.load_newest(submissions).await;
        let mut image = ShardImage::default();
        for entry in entries {
            match decode_entry(entry) {
                Some(ShardEvent::Submitted(job, record)) => image.submissions.push((job, record)),
                Some(ShardEvent::Cancelled(job)) => image.cancelled.push(job),
                _ => {}
            }
        }
        (image, end)
    }

    async fn load_newest(&self, part: StorePart) -> (Vec<StoreEntry>, LogOffset) {
        let mut entries: Vec<StoreEntry> = Vec::new();
        let mut first_end = None;
        loop {
            let after = entries.last().map(|entry| entry.key.clone());
            match self.store.newest(part, after).await {
                Ok(page) => {
                    let end = *first_end.get_or_insert(page.end);
                    let more = page.more && !page.entries.is_empty();
                    entries.extend(page.entries);
                    if !more {
                        return (entries, end);
                    }
                }
                Err(_) => {
                    Timer::after(self.settings.store_retry).await;
                }
            }
        }
    }

    /// Hands submissions and cancellations to the controller.
    async fn follow_submissions(&self, term: ShardTerm, mut from: LogOffset) {
        let submissions = part(StoreTopic::Submissions, term.shard);
        let mut reach = StoreReach::new("submissions");
        loop {
            let read = self
                .store
                .read(submissions, from, self.settings.follow_wait)
                .await;
            match read {
                Ok(read) => {
                    reach.note(true);
                    from = read.next;
                    for event in read.entries.into_iter().filter_map(decode_entry) {
                        if !self.tell(term, event).await {
                            return;
                        }
                    }
                }
                Err(StoreFault::Expired { .. }) => {
                    let (image, end) = self.load_submissions(term).await;
                    from = end;
                    let submitted = image.submissions.into_iter();
                    let submitted =
                        submitted.map(|(job, record)| ShardEvent::Submitted(job, record));
                    let cancelled = image.cancelled.into_iter().map(ShardEvent::Cancelled);
                    for event in submitted.chain(cancelled) {
                        if !self.tell(term, event).await {
                            return;
                        }
                    }
                }
                Err(fault) => {
                    reach.note_fault(&fault);
                    Timer::after(self.settings.store_retry).await;
                }
            }
        }
    }

    /// Stores images one append after the other; ends when a later owner is there.
    async fn append_images(&self, term: ShardTerm, jobs: RingReceiver<StoreJob>) {
        let images = part(StoreTopic::Images, term.shard);
        let mut next = 1;
        let mut reach = StoreReach::new("images");
        while let Some((number, records)) = jobs.recv().await {
            let entries: Vec<StoreEntry> = records.into_iter().map(entry_of).collect();
            let forgotten = forgotten_submissions(&entries);
            // An append without an answer may have been carried out, and is repeated as it was.
            let mut in_doubt = false;
            loop {
                let writer = StoreWriter {
                    epoch: term.epoch,
                    sequence: next,
                };
                let attempt = || {
                    let wait = self.settings.append_wait_max;
                    self.store
                        .append(images, entries.clone(), Some(writer), wait)
                };
                let outcome = append_hedged(attempt, &self.patience, &self.clock).await;
                in_doubt |= outcome.in_doubt;
                match outcome.result {
                    Ok(_) => break,
                    Err(StoreFault::WrongSequence { expected }) => {
                        let done = in_doubt && expected == next + 1;
                        if done {
                            break;
                        }
                        next = expected;
                        in_doubt = false;
                    }
                    Err(StoreFault::Fenced) => return,
                    Err(fault) => {
                        reach.note_fault(&fault);
                        Timer::after(self.settings.store_retry).await;
                    }
                }
            }
            reach.note(true);
            if !entries.is_empty() {
                next += 1;
            }
            if !self.tell(term, ShardEvent::Stored(number)).await {
                return;
            }
            if !forgotten.is_empty() {
                self.forget_submissions(term, forgotten).await;
            }
        }
    }

    /// Removes the submissions of jobs whose state is removed already.
    async fn forget_submissions(&self, term: ShardTerm, entries: Vec<StoreEntry>) {
        let submissions = part(StoreTopic::Submissions, term.shard);
        if let Err(fault) = self.append(submissions, entries, None).await {
            let event = EventCode::StoreReach.number();
            tracing::warn!(event, %fault, "submissions of old jobs not removed");
        }
    }

    /// Proves the ownership again and again; ends when there is a later claim.
    async fn prove_ownership(&self, term: ShardTerm, claim: &ClaimRecord) {
        let claims = part(StoreTopic::Claims, term.shard);
        let mut from = term.epoch;
        loop {
            let asked = self.clock.now();
            let read = self
                .store
                .read(claims, from, self.settings.follow_wait)
                .await;
            match read {
                // An append of this claim without an answer may be carried out seconds later.
                Ok(read) if read.entries.iter().all(|e| claim.is_repeated_by(&e.value)) => {
                    from = read.next;
                    if !self.tell(term, ShardEvent::Proved(asked)).await {
                        return;
                    }
                    if term.shard == KEEPER_SHARD {
                        _ = self.links.keeper.send(KeeperMessage::Proved(asked)).await;
                    }
                }
                Ok(_) | Err(StoreFault::Expired { .. }) => return,
                Err(_) => {
                    Timer::after(self.settings.store_retry).await;
                }
            }
        }
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

fn decode_entry(entry: StoreEntry) -> Option<ShardEvent> {
    if entry.value.is_empty() {
        return None;
    }
    if let Some(job) = entry.key.strip_suffix(CANCEL_SUFFIX) {
        return Some(ShardEvent::Cancelled(job.into()));
    }
    match decode_submission(&entry.value) {
        Ok(record) => Some(ShardEvent::Submitted(entry.key.into(), Arc::new(record))),
        Err(error) => {
            skip_record(&entry.key, &error);
            None
        }
    }
}

fn skip_record(key: &str, error: &ImageError) {
    let event = EventCode::RecordSkipped.number();
    tracing::error!(event, key, %error, "record in the store passed over");
}

fn entry_of(record: StoreRecord) -> StoreEntry {
    let (job, value) = match record {
        StoreRecord::State(job, value) => (job, value),
        StoreRecord::Forget(job) => (job, Vec::new()),
    };
    StoreEntry {
        key: job.to_string(),
        value,
    }
}

/// Returns what removes the submissions of the jobs whose states `entries` remove.
fn forgotten_submissions(entries: &[StoreEntry]) -> Vec<StoreEntry> {
    let removed = entries.iter().filter(|entry| entry.value.is_empty());
    let keys =
        removed.flat_map(|entry| [entry.key.clone(), format!("{}{CANCEL_SUFFIX}", entry.key)]);
    keys.map(|key| StoreEntry {
        key,
        value: Vec::new(),
    })
    .collect()
}
