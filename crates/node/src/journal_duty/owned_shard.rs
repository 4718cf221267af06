//! One shard under this node: taken over, followed, stored and proved until it is lost.

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

use super::{JournalDuty, MACHINE_SHARD, StoreJob, part};
use crate::claim::ClaimRecord;
use crate::feed_duty::OutageLog;
use crate::hedge::append_hedged;
use crate::links::{StoreEntry, StoreFault, StorePartition, StoreTopic, StoreWriter};
use crate::message::{ControlMessage, MachineMessage, ShardTerm};
use crate::service::CANCEL_SUFFIX;

impl JournalDuty {
    /// Takes a shard over, follows it and stores what its controller wants.
    pub(super) async fn own_shard(
        self: &Rc<Self>,
        shard: ShardNumber,
        jobs: RingReceiver<StoreJob>,
    ) {
        let since = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH);
        let claim = ClaimRecord::Claim {
            member: self.settings.peers.to_string(),
            claimed_at: since.unwrap_or_default().as_nanos(),
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
        if shard == MACHINE_SHARD {
            let appointed = MachineMessage::RoleAcquired(term.epoch);
            _ = self.links.machines.send(appointed).await;
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
        self.spawn_release(shard);
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
                Err(_) => Timer::after(self.settings.store_retry_delay).await,
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
                Err(_) => Timer::after(self.settings.store_retry_delay).await,
            };
        }
        Some(ShardTerm { shard, epoch })
    }

    /// Reads what the owner before left behind when it released the shard: before this claim, or
    /// just after it.
    async fn read_release(&self, term: ShardTerm) -> Option<IndexMap<WorkerId, Duration>> {
        let claims = part(StoreTopic::Claims, term.shard);
        let claim = term.epoch - 1;
        let before = claim.checked_sub(1)?;
        let read = self.store.read(claims, before, Duration::ZERO).await.ok()?;
        let records = read.entries.iter().map(|entry| &entry.value[..]);
        ClaimRecord::released_leases(records, claim)
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

    async fn load_newest(&self, part: StorePartition) -> (Vec<StoreEntry>, LogOffset) {
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
                    Timer::after(self.settings.store_retry_delay).await;
                }
            }
        }
    }

    /// Hands submissions and cancellations to the controller.
    async fn follow_submissions(&self, term: ShardTerm, mut from: LogOffset) {
        let submissions = part(StoreTopic::Submissions, term.shard);
        let mut outage = OutageLog::new("submissions");
        loop {
            let read = self
                .store
                .read(submissions, from, self.settings.follow_timeout)
                .await;
            match read {
                Ok(read) => {
                    outage.set_reachable(true);
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
                    outage.record_fault(&fault);
                    Timer::after(self.settings.store_retry_delay).await;
                }
            }
        }
    }

    /// Stores images one append after the other; ends when a later owner is there.
    async fn append_images(&self, term: ShardTerm, jobs: RingReceiver<StoreJob>) {
        let images = part(StoreTopic::Images, term.shard);
        let mut next = 1;
        let mut outage = OutageLog::new("images");
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
                    let wait = self.settings.append_timeout_max;
                    self.store
                        .append(images, entries.clone(), Some(writer), wait)
                };
                let outcome = append_hedged(attempt, &self.timeout, &self.clock).await;
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
                        outage.record_fault(&fault);
                        Timer::after(self.settings.store_retry_delay).await;
                    }
                }
            }
            outage.set_reachable(true);
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
            let requested_at = self.clock.now();
            let read = self
                .store
                .read(claims, from, self.settings.follow_timeout)
                .await;
            match read {
                // An append of this claim without an answer may be carried out seconds later, and the
                // owner before releases the shard once it has seen this claim.
                Ok(read)
                    if read.entries.iter().all(|entry| {
                        claim.is_duplicate(&entry.value)
                            || ClaimRecord::is_earlier_release(&entry.value, term.epoch)
                    }) =>
                {
                    from = read.next;
                    if !self
                        .tell(term, ShardEvent::OwnershipConfirmed(requested_at))
                        .await
                    {
                        return;
                    }
                    if term.shard == MACHINE_SHARD {
                        _ = self
                            .links
                            .machines
                            .send(MachineMessage::RoleConfirmed(requested_at))
                            .await;
                    }
                }
                Ok(_) | Err(StoreFault::Expired { .. }) => return,
                Err(_) => {
                    Timer::after(self.settings.store_retry_delay).await;
                }
            }
        }
    }
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
        StoreRecord::Remove(job) => (job, Vec::new()),
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
