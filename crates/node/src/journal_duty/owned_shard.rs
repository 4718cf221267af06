//! A shard from its claim to its loss: loading, following submissions, storing images and
//! confirming the ownership.

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

use super::{AppendRequest, JournalDuty, MACHINE_SHARD, partition};
use crate::cancellation::{CANCEL_SUFFIX, CancellationRecord};
use crate::claim::ClaimRecord;
use crate::feed_duty::OutageLog;
use crate::hedge::append_hedged;
use crate::links::{
    StoreEntry, StoreFault, StorePartition, StoreTopic, StoreWriter, split_appends,
};
use crate::message::{ControlMessage, MachineMessage, ShardTerm};
use crate::service::REROUTE_SUFFIX;

impl JournalDuty {
    /// Claims and loads a shard, then serves it until the ownership is lost.
    pub(super) async fn own_shard(
        self: &Rc<Self>,
        shard: ShardNumber,
        requests: RingReceiver<AppendRequest>,
    ) {
        let since_epoch = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH);
        let claim = ClaimRecord::Claim {
            member: self.settings.peers.to_string(),
            claimed_at: since_epoch.unwrap_or_default().as_nanos(),
        };
        let claimed_at = self.clock.now();
        let term = match self.claim(shard, &claim).await {
            Some(term) => term,
            None => {
                self.shards.borrow_mut().swap_remove(&shard);
                return;
            }
        };
        let (states, unreadable) = self.load_states(term).await;
        let requested_at = self.clock.now();
        let (mut image, end) = self.load_submissions(term).await;
        image.states = states;
        image.unreadable.extend(unreadable);
        image.leases = self.read_release(term).await;
        image.claimed_at = Some(claimed_at);
        let opened = ControlMessage::Opened(term, Box::new(image));
        let read = ShardEvent::SubmissionsRead(end, requested_at);
        if self.links.control.send(opened).await.is_err() || !self.send_event(term, read).await {
            return;
        }
        if shard == MACHINE_SHARD {
            let acquired = MachineMessage::RoleAcquired(term.epoch, claimed_at);
            _ = self.links.machines.send(acquired).await;
        }
        let follow = self.follow_submissions(term, end);
        let append = self.append_images(term, requests);
        let confirm = self.confirm_ownership(term, &claim);
        future::or(
            append,
            future::or(confirm, async {
                follow.await;
                future::pending::<()>().await;
            }),
        )
        .await;
        self.spawn_release(shard);
    }

    /// Claims a shard and fences earlier owners; `None` if there already is a later owner.
    async fn claim(&self, shard: ShardNumber, claim: &ClaimRecord) -> Option<ShardTerm> {
        let claims = partition(StoreTopic::Claims, shard);
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
        let images = partition(StoreTopic::Images, shard);
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

    /// Reads the leases that the previous owner stored when it released the shard, directly before
    /// this claim or after it.
    async fn read_release(&self, term: ShardTerm) -> Option<IndexMap<WorkerId, Duration>> {
        let claims = partition(StoreTopic::Claims, term.shard);
        let claim = term.epoch - 1;
        let before = claim.checked_sub(1)?;
        let read = self.store.read(claims, before, Duration::ZERO).await.ok()?;
        let records = read.entries.iter().map(|entry| &entry.value[..]);
        ClaimRecord::released_leases(records, claim)
    }

    /// Loads the states of all jobs, and the jobs whose states can't be read.
    async fn load_states(&self, term: ShardTerm) -> (Vec<(JobId, JobState)>, Vec<JobId>) {
        let images = partition(StoreTopic::Images, term.shard);
        let (entries, _) = self.load_newest(images).await;
        let (mut states, mut unreadable) = (Vec::new(), Vec::new());
        for StoreEntry { key, value } in entries {
            match decode_state(&value) {
                Ok(state) => states.push((key.into(), state)),
                Err(error) => {
                    log_skipped_record(&key, &error);
                    unreadable.push(key.into());
                }
            }
        }
        (states, unreadable)
    }

    /// Loads all submissions and cancellations, and the offset from which to follow them.
    async fn load_submissions(&self, term: ShardTerm) -> (ShardImage, LogOffset) {
        let submissions = partition(StoreTopic::Submissions, term.shard);
        let (entries, end) = self.load_newest(submissions).await;
        let mut image = ShardImage::default();
        for entry in entries {
            match decode_entry(entry) {
                Some(ShardEvent::Submitted(job, record)) => image.submissions.push((job, record)),
                Some(ShardEvent::Rerouted(job, record)) => image.rerouted.push((job, record)),
                Some(ShardEvent::Cancelled(job)) => image.cancelled.push(job),
                Some(ShardEvent::CancelledBefore(job, time)) => {
                    image.cancelled_before.push((job, time));
                }
                Some(ShardEvent::Unreadable(job)) => {
                    image.unreadable.insert(job);
                }
                _ => {}
            }
        }
        (image, end)
    }

    async fn load_newest(&self, partition: StorePartition) -> (Vec<StoreEntry>, LogOffset) {
        let mut entries: Vec<StoreEntry> = Vec::new();
        let mut first_end = None;
        let mut outage = OutageLog::new("records of a shard");
        loop {
            let after = entries.last().map(|entry| entry.key.clone());
            match self.store.newest(partition, after).await {
                Ok(page) => {
                    outage.set_reachable(true);
                    let end = *first_end.get_or_insert(page.end);
                    let more = page.more && !page.entries.is_empty();
                    entries.extend(page.entries);
                    if !more {
                        return (entries, end);
                    }
                }
                Err(fault) => {
                    outage.record_fault(&fault);
                    Timer::after(self.settings.store_retry_delay).await;
                }
            }
        }
    }

    /// Sends new submissions and cancellations to the controller.
    async fn follow_submissions(&self, term: ShardTerm, mut from: LogOffset) {
        let submissions = partition(StoreTopic::Submissions, term.shard);
        let mut outage = OutageLog::new("submissions");
        loop {
            let requested_at = self.clock.now();
            let read = self
                .store
                .read(submissions, from, self.settings.submission_timeout)
                .await;
            match read {
                Ok(read) => {
                    outage.set_reachable(true);
                    from = read.next;
                    for event in read.entries.into_iter().filter_map(decode_entry) {
                        if !self.send_event(term, event).await {
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
                    let rerouted = image.rerouted.into_iter();
                    let rerouted = rerouted.map(|(job, record)| ShardEvent::Rerouted(job, record));
                    let cancelled = image.cancelled.into_iter().map(ShardEvent::Cancelled);
                    let before = image.cancelled_before.into_iter();
                    let before = before.map(|(job, time)| ShardEvent::CancelledBefore(job, time));
                    let cancelled = cancelled.chain(before);
                    let unreadable = image.unreadable.into_iter().map(ShardEvent::Unreadable);
                    for event in submitted.chain(rerouted).chain(cancelled).chain(unreadable) {
                        if !self.send_event(term, event).await {
                            return;
                        }
                    }
                }
                Err(fault) => {
                    outage.record_fault(&fault);
                    Timer::after(self.settings.store_retry_delay).await;
                    continue;
                }
            }
            let read = ShardEvent::SubmissionsRead(from, requested_at);
            if !self.send_event(term, read).await {
                return;
            }
        }
    }

    /// Appends images one after the other; ends when a later owner fences the partition.
    async fn append_images(&self, term: ShardTerm, requests: RingReceiver<AppendRequest>) {
        let images = partition(StoreTopic::Images, term.shard);
        let mut next_sequence = 1;
        while let Some((number, records)) = requests.recv().await {
            for (shard, entries) in forwarded_entries(&records, self.settings.shards) {
                self.store_submissions(shard, entries).await;
            }
            let deletions = submission_deletions(&records);
            let entries: Vec<StoreEntry> = records.into_iter().filter_map(encode_entry).collect();
            if !deletions.is_empty() {
                self.store_submissions(term.shard, deletions).await;
            }
            // An append without records confirms the ownership all the same.
            let mut appends = split_appends(entries, self.settings.max_append_bytes);
            if appends.is_empty() {
                appends.push(Vec::new());
            }
            for entries in appends {
                let is_empty = entries.is_empty();
                let writer = StoreWriter {
                    epoch: term.epoch,
                    sequence: next_sequence,
                };
                let Some(sequence) = self.append_fenced(images, entries, writer).await else {
                    return;
                };
                next_sequence = sequence + u64::from(!is_empty);
            }
            if !self.send_event(term, ShardEvent::Stored(number)).await {
                return;
            }
        }
    }

    /// Appends to the images of a shard until the append is stored; returns the sequence number under
    /// which it is, or `None` if a later owner fences the partition.
    async fn append_fenced(
        &self,
        images: StorePartition,
        entries: Vec<StoreEntry>,
        mut writer: StoreWriter,
    ) -> Option<u64> {
        let mut outage = OutageLog::new("images");
        // An append without an answer may have been executed, so it is repeated unchanged.
        let mut in_doubt = false;
        loop {
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
                    let stored = in_doubt && expected == writer.sequence + 1;
                    if stored {
                        break;
                    }
                    writer.sequence = expected;
                    in_doubt = false;
                }
                Err(StoreFault::Fenced) => return None,
                Err(fault) => {
                    outage.record_fault(&fault);
                    Timer::after(self.settings.store_retry_delay).await;
                }
            }
        }
        outage.set_reachable(true);
        Some(writer.sequence)
    }

    /// Appends to the submissions of a shard: forwarded jobs, or the deletion of removed ones. The
    /// states of the latter are deleted afterwards, since a submission without a state is a new job.
    async fn store_submissions(&self, shard: ShardNumber, entries: Vec<StoreEntry>) {
        let submissions = partition(StoreTopic::Submissions, shard);
        for entries in split_appends(entries, self.settings.max_append_bytes) {
            while let Err(fault) = self.append(submissions, entries.clone(), None).await {
                let event = EventCode::StoreReach.number();
                tracing::warn!(event, shard, %fault, "failed to append to the submissions of a shard");
                Timer::after(self.settings.store_retry_delay).await;
            }
        }
    }

    /// Confirms the ownership repeatedly; ends when there is a later claim.
    async fn confirm_ownership(&self, term: ShardTerm, claim: &ClaimRecord) {
        let claims = partition(StoreTopic::Claims, term.shard);
        let mut from = term.epoch;
        loop {
            let requested_at = self.clock.now();
            let read = self
                .store
                .read(claims, from, self.settings.confirm_timeout)
                .await;
            match read {
                // These are not later claims: an unanswered append of this claim may be executed
                // seconds later, and the previous owner releases the shard after it has read this
                // claim.
                Ok(read)
                    if read.entries.iter().all(|entry| {
                        claim.is_duplicate(&entry.value)
                            || ClaimRecord::is_earlier_release(&entry.value, term.epoch)
                    }) =>
                {
                    from = read.next;
                    if !self
                        .send_event(term, ShardEvent::OwnershipConfirmed(requested_at))
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
        return Some(match CancellationRecord::decode(&entry.value) {
            CancellationRecord::All => ShardEvent::Cancelled(job.into()),
            CancellationRecord::Earlier(time) => ShardEvent::CancelledBefore(job.into(), time),
        });
    }
    let rerouted = entry.key.strip_suffix(REROUTE_SUFFIX);
    match decode_submission(&entry.value) {
        Ok(record) => Some(match rerouted {
            Some(job) => ShardEvent::Rerouted(job.into(), Arc::new(record)),
            None => ShardEvent::Submitted(entry.key.into(), Arc::new(record)),
        }),
        Err(error) => {
            log_skipped_record(&entry.key, &error);
            Some(ShardEvent::Unreadable(
                rerouted.unwrap_or(&entry.key).into(),
            ))
        }
    }
}

fn log_skipped_record(key: &str, error: &ImageError) {
    let event = EventCode::RecordSkipped.number();
    tracing::error!(event, key, %error, "malformed record skipped");
}

/// Encodes a record of the images; `None` for one that is stored elsewhere.
fn encode_entry(record: StoreRecord) -> Option<StoreEntry> {
    let (job, value) = match record {
        StoreRecord::State(job, value) => (job, value),
        StoreRecord::Remove(job) => (job, Vec::new()),
        StoreRecord::RemoveCancellation(_) | StoreRecord::Forward { .. } => return None,
    };
    let key = job.to_string();
    Some(StoreEntry { key, value })
}

/// Returns the submissions to forward, and their cancellations, by the shards of their pools.
fn forwarded_entries(
    records: &[StoreRecord],
    shards: u32,
) -> IndexMap<ShardNumber, Vec<StoreEntry>> {
    let mut forwarded: IndexMap<ShardNumber, Vec<StoreEntry>> = IndexMap::new();
    for record in records {
        let StoreRecord::Forward {
            job,
            record,
            cancelled,
        } = record
        else {
            continue;
        };
        let value = match encode_submission(record) {
            Ok(value) => value,
            Err(error) => {
                let event = EventCode::JobImageRefused.number();
                tracing::error!(event, job = &**job, %error, "submission can't be encoded");
                continue;
            }
        };
        let entries = forwarded
            .entry(find_shard(&record.pool, shards))
            .or_default();
        entries.push(StoreEntry {
            key: job.to_string(),
            value,
        });
        if *cancelled {
            entries.push(CancellationRecord::All.entry(job));
        }
    }
    forwarded
}

/// Returns records that delete the submissions and cancellations that `records` remove.
fn submission_deletions(records: &[StoreRecord]) -> Vec<StoreEntry> {
    let removed = records.iter().filter_map(|record| match record {
        StoreRecord::Remove(job) => Some((job, &["", CANCEL_SUFFIX, REROUTE_SUFFIX][..])),
        StoreRecord::RemoveCancellation(job) => Some((job, &[CANCEL_SUFFIX][..])),
        StoreRecord::State(..) | StoreRecord::Forward { .. } => None,
    });
    let keys =
        removed.flat_map(|(job, suffixes)| suffixes.iter().map(move |s| format!("{job}{s}")));
    keys.map(|key| StoreEntry {
        key,
        value: Vec::new(),
    })
    .collect()
}
