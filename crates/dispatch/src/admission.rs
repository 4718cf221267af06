//! Which tasks may use which queue, for which team.

use std::sync::Arc;

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_fleet::prelude::*;
use pw_pool::prelude::*;
use pw_team::prelude::*;

use crate::message::{RefusalReason, TaskRequest};

/// Queues and keys of the configuration in force.
#[derive(Debug, Default)]
pub struct AdmissionRules {
    queues: IndexMap<QueueId, Arc<QueueSpec>>,
    key_teams: IndexMap<KeyDigest, TeamId>,
}

/// Queue and team that a task counts for.
#[derive(Debug, Clone)]
pub struct AdmittedTask {
    /// Queue that the task uses.
    pub queue: Arc<QueueSpec>,
    /// Team whose key came with the task; `None` on a queue open to all without a known key.
    pub team: ShareTeam,
}

impl AdmissionRules {
    /// Creates the rules of a configuration.
    pub fn new(spec: &FleetSpec) -> Self {
        let queues = spec.queues.iter();
        let teams = spec.teams.iter();
        Self {
            queues: queues
                .map(|queue| (queue.id.clone(), Arc::new(queue.clone())))
                .collect(),
            key_teams: teams
                .flat_map(|team| team.keys.iter().map(|key| (key.sha256, team.id.clone())))
                .collect(),
        }
    }

    /// Returns what the task counts for.
    ///
    /// # Errors
    ///
    /// Fails when there is no such queue, or when it is not open to all and the task's key is
    /// missing, unknown or withdrawn.
    pub fn admit(&self, request: &TaskRequest) -> Result<AdmittedTask, RefusalReason> {
        let queue = self
            .queues
            .get(&request.queue)
            .ok_or(RefusalReason::UnknownQueue)?;
        let team = request.key.as_ref().and_then(|key| self.team_of(key));
        if team.is_none() && !queue.open {
            return Err(RefusalReason::KeyRejected);
        }
        Ok(AdmittedTask {
            queue: Arc::clone(queue),
            team,
        })
    }

    /// Returns the team of a key; `None` when the key is unknown or withdrawn.
    pub fn team_of(&self, key: &KeyDigest) -> Option<TeamId> {
        self.key_teams.get(key).cloned()
    }
}
