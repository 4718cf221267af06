//! Journal of the tasks that a stand-in backend server ran, for checks in tests.

use std::time::SystemTime;

use pw_base::prelude::*;
use pw_link::lease_wire::hex_id;
use serde::{Deserialize, Serialize};

/// Maximum number of entries of a journal; later ones are dropped.
const MAX_JOURNAL_ENTRIES: usize = 200_000;

/// Starts and ends of tasks in chronological order.
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
    /// Marker from the payload, only for starts.
    pub marker: Option<String>,
    /// Kind of the event.
    pub event: JournalEvent,
}

/// Kind of a journal entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalEvent {
    /// The task started.
    Started,
    /// The task was completed.
    Finished,
    /// The task was stopped before it was completed.
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
