//! Runs of tasks, from the journals of the backend servers.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use anyhow::{Context, ensure};
use http_types::{Method, Request, StatusCode};
use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_link::prelude::*;
use pw_standin::prelude::*;
use pw_worker::prelude::*;

/// Timeout of a journal request.
const JOURNAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Run of a task on a worker.
#[derive(Debug, Clone)]
pub(super) struct RunRecord {
    pub(super) worker: WorkerId,
    pub(super) marker: String,
    pub(super) started: SystemTime,
    /// End of the run; `None` while it is running.
    pub(super) ended: Option<SystemTime>,
}

/// Requests the journal of the backend server of `worker` and returns its runs.
pub(super) async fn read_runs(
    worker: &WorkerSpec,
    address: SocketAddr,
) -> anyhow::Result<Vec<RunRecord>> {
    let url = format!("http://{address}/v1/journal");
    let request = Request::new(Method::Get, url.as_str());
    let response = call_http(address, request, JOURNAL_TIMEOUT).await?;
    ensure!(
        response.status() == StatusCode::Ok,
        "journal: status {}",
        response.status()
    );
    let entries: Vec<JournalEntry> =
        serde_json::from_slice(&response.body).context("malformed journal")?;
    let mut runs: IndexMap<TaskId, RunRecord> = IndexMap::new();
    for entry in entries {
        match entry.event {
            JournalEvent::Started => {
                let run = RunRecord {
                    worker: worker.id.clone(),
                    marker: entry.marker.unwrap_or_default(),
                    started: entry.at,
                    ended: None,
                };
                runs.insert(entry.task, run);
            }
            JournalEvent::Finished | JournalEvent::Stopped => {
                if let Some(run) = runs.get_mut(&entry.task) {
                    run.ended = Some(entry.at);
                }
            }
        }
    }
    Ok(runs.into_values().collect())
}

/// Returns the maximum number of concurrent runs; `runs` must be ordered by start time.
pub(super) fn max_concurrent(runs: &[RunRecord]) -> usize {
    let running_at = |at: SystemTime| {
        let still_running = |run: &&RunRecord| run.ended.is_none_or(|ended| ended > at);
        runs.iter()
            .take_while(|run| run.started <= at)
            .filter(still_running)
            .count()
    };
    runs.iter()
        .map(|run| running_at(run.started))
        .max()
        .unwrap_or_default()
}
