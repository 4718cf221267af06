//! What a stand-in backend server ran, for tests that ask it afterwards.

use std::time::SystemTime;

use pw_base::prelude::*;
use pw_link::lease_wire::hex_id;
use serde::{Deserialize, Serialize};

/// Most entries that a journal keeps; later ones are dropped.
const MAX_JOURNAL_ENTRIES: usize = 200_000;

/// Starts and ends of tasks in their order.
#[derive(Debug, Default)]
pub struct RunJournal {
    entries: Vec<JournalEntry>,
}

/// Start or end of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Identity of the task.
    #[serde(with = "hex_id")]
    pub task: TaskId,
    /// Wall-clock time at the worker.
    pub at: SystemTime,
    /// Marker in the payload, for starts.
    pub marker: Option<String>,
    /// What happened.
    pub event: JournalEvent,
}

/// What happened to a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalEvent {
    /// It started.
    Started,
    /// It ended with its whole answer.
    Finished,
    /// It ended without one.
    Stopped,
}

impl RunJournal {
    /// Adds an entry.
    pub fn add(&mut self, task: TaskId, marker: Option<String>, event: JournalEvent) {
        if self.entries.len() < MAX_JOURNAL_ENTRIES {
            self.entries.push(JournalEntry {
                task,
                at: SystemTime::now(),
                marker,
                event,
            });
        }
    }

    /// Returns the entries so far.
    pub fn entries(&self) -> &[JournalEntry] {
        &self.entries
    }
}
