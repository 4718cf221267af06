//! The assignment of shards to nodes, which all nodes read from the store and any of them may replace.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use pw_base::prelude::*;

use super::{JournalDuty, partition};
use crate::feed_duty::OutageLog;
use crate::links::{StoreEntry, StoreFault, StorePartition, StoreTopic};
use crate::message::{CallerMessage, MachineMessage};
use crate::request::{decode_message, encode_message};

/// The only partition of the topic.
const ASSIGNMENT_PARTITION: ShardNumber = 0;
/// Key of the assignment, the only one of its topic.
const ASSIGNMENT_KEY: &str = "owners";
/// How long a read waits for a new assignment. Each node has one such read under way, and a connection
/// that has gone silent delays a node's knowledge by as much.
const ASSIGNMENT_WAIT: Duration = Duration::from_secs(5);

impl JournalDuty {
    /// Follows the assignments until the node leaves.
    pub(super) async fn follow_assignment(self: Rc<Self>) {
        let mut outage = OutageLog::new("assignment");
        while !self.leaving.get() {
            match self.read_assignment(ASSIGNMENT_WAIT).await {
                Ok(()) => outage.set_reachable(true),
                Err(fault) => {
                    outage.record_fault(&fault);
                    Timer::after(self.settings.store_retry_delay).await;
                }
            }
        }
    }

    /// Reads the assignment in force and tells the duties that send requests; waits up to `wait` for
    /// one that is not known yet.
    pub(super) async fn read_assignment(&self, wait: Duration) -> Result<(), StoreFault> {
        let known = self.assignment_end.get();
        let (entries, end) = match known {
            None => {
                let page = self.store.newest(assignment(), None).await?;
                (page.entries, page.end)
            }
            Some(from) => match self.store.read(assignment(), from, wait).await {
                Ok(read) => (read.entries, read.next),
                Err(StoreFault::Expired { .. }) => {
                    self.assignment_end.set(None);
                    return Ok(());
                }
                Err(fault) => return Err(fault),
            },
        };
        // Another read may have got further meanwhile.
        if self.assignment_end.get() > Some(end) {
            return Ok(());
        }
        self.assignment_end.set(Some(end));
        let latest = entries
            .into_iter()
            .rfind(|entry| entry.key == ASSIGNMENT_KEY);
        if let Some(entry) = latest {
            // One that can't be decoded counts as none, and the next proposal replaces it.
            let owners = decode_message(&entry.value).unwrap_or_default();
            self.adopt_assignment(owners).await;
        }
        Ok(())
    }

    /// Replaces the assignment if it does not suit the members, unless another node has done so.
    pub(super) async fn propose_assignment(&self, generation: u64) {
        let busy = self.busy.borrow().clone();
        let (Some(busy), Some(end)) = (busy, self.assignment_end.get()) else {
            return;
        };
        let proposal = {
            let mut table = self.table.borrow_mut();
            table.set_busy(&busy);
            table.propose(self.clock.now())
        };
        let Some(owners) = proposal else {
            return;
        };
        let entry = StoreEntry {
            key: ASSIGNMENT_KEY.to_owned(),
            value: encode_message(&owners).unwrap_or_default(),
        };
        let event = EventCode::ShardsAssigned.number();
        match self.store.append_at(assignment(), vec![entry], end).await {
            Ok(_) => {
                let members = self.table.borrow().member_count();
                let moved = self.table.borrow().count_moved(&owners);
                metrics::counter!("pw_shards_moved_total").increment(moved as u64);
                tracing::info!(event, generation, members, end, moved, "shards assigned");
                self.assignment_end
                    .set(self.assignment_end.get().max(Some(end + 1)));
                self.adopt_assignment(owners).await;
            }
            // The reader learns of the other assignment.
            Err(StoreFault::Conflict { .. }) => {}
            Err(fault) => {
                tracing::warn!(event, generation, %fault, "failed to store an assignment");
            }
        }
    }

    async fn adopt_assignment(&self, owners: Vec<NodeName>) {
        let now = self.clock.now();
        if !self.table.borrow_mut().adopt(owners, now) {
            return;
        }
        let rows: Vec<(ShardNumber, NodeName)> = {
            let table = self.table.borrow();
            let rows = table.owners().map(|(shard, name)| (shard, name.clone()));
            rows.collect()
        };
        // Both rings close only when the node stops.
        let message = MachineMessage::Owners(rows.clone());
        _ = self.links.machines.send(message).await;
        _ = self.links.callers.send(CallerMessage::Owners(rows)).await;
    }
}

fn assignment() -> StorePartition {
    partition(StoreTopic::Assignment, ASSIGNMENT_PARTITION)
}
