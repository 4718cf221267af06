//! Model of concurrent operators and of entry instances that follow the log.
//!
//! Each operator reads the log, adds its own zone to the configuration that it has read, and
//! appends the complete configuration. Followers read the log or receive records relayed by each
//! other. Responses are lost after the append took effect, appends are repeated, and operators and
//! followers are replaced.

use std::sync::Arc;
use std::time::SystemTime;

use pw_base::prelude::*;
use pw_fleet::prelude::*;
use pw_log::prelude::*;
use pw_zone::prelude::*;
use strum::{Display, EnumIter};

use crate::search::{ModelWorld, PropertyViolation};

/// Every accepted change is part of all later configurations.
pub const NO_LOST_UPDATE: &str = "no lost update";
/// All readers that have folded the same records have the same configuration.
pub const SAME_FOLD: &str = "same fold";
/// No follower reverts to an earlier configuration.
pub const NEVER_REVERTS: &str = "never reverts";
/// An operator learns the actual outcome of its own change.
pub const TRUE_OUTCOME: &str = "true outcome";

/// Bit that is set in the new identity of a repeated append.
const REPEAT_BIT: RecordId = 1 << 32;

/// Deliberate protocol mistake that the search has to detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum ConfigMistake {
    /// A repeated append gets a new identity.
    RepeatUnderNewIdentity,
    /// The fold accepts proposals with any base revision.
    ApplyWithoutBaseRevision,
    /// A relayed record is folded although records before it are missing.
    RelaySkipsRecords,
    /// An operator assumes that a change is accepted once the append is acknowledged.
    AnswerTakenForOutcome,
}

/// Parameters of a [`ConfigWorld`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigSettings {
    /// Number of operators.
    pub operators: usize,
    /// Number of entry instances that follow the log.
    pub followers: usize,
    /// Number of changes that each operator makes.
    pub changes: usize,
    /// Total number of faults: lost responses and replacements.
    pub faults: usize,
    /// Mistake in the protocol, if any.
    pub mistake: Option<ConfigMistake>,
}

/// Model world of the log, its operators and its followers.
#[derive(Debug, Clone)]
pub struct ConfigWorld {
    settings: ConfigSettings,
    base: Arc<FleetSpec>,
    log: Vec<Arc<LogRecord>>,
    /// Expected configuration after each record.
    expected: Vec<ExpectedFleet>,
    operators: Vec<OperatorState>,
    followers: Vec<LogFollower>,
    faults: usize,
    violation: Option<PropertyViolation>,
}

/// Action of an operator or a follower, or a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigAction {
    /// An operator folds the next record.
    OperatorReads(usize),
    /// An operator creates a change based on the configuration that it has read.
    OperatorChanges(usize),
    /// An operator's append takes effect and is acknowledged.
    AppendAnswered(usize),
    /// An operator's append takes effect and its response is lost.
    AnswerLost(usize),
    /// An operator's command is aborted and restarted.
    OperatorRestarts(usize),
    /// A follower folds the next record.
    FollowerReads(usize),
    /// A follower receives the record at an offset from another follower.
    RecordRelayed {
        /// Follower that receives the record.
        follower: usize,
        /// Offset of the record.
        offset: LogOffset,
    },
    /// A follower is replaced by one that has read no records.
    FollowerReplaced(usize),
}

/// Expected result of a log prefix by the specification, computed without the production fold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct ExpectedFleet {
    revision: FleetRevision,
    zones: Vec<ZoneId>,
    accepted: Vec<RecordId>,
    folded: Vec<RecordId>,
}

#[derive(Debug, Clone)]
struct OperatorState {
    reader: LogFollower,
    attempts: u128,
    changes: usize,
    phase: OperatorPhase,
}

#[derive(Debug, Clone)]
enum OperatorPhase {
    Reading,
    Appending(Arc<LogRecord>),
    Awaiting(RecordId),
}

#[derive(Debug, Clone, Default)]
struct LogFollower {
    fold: FleetFold,
    /// Offsets of the folded records in the order of folding.
    folded: Vec<LogOffset>,
}

impl Default for ConfigSettings {
    fn default() -> Self {
        Self {
            operators: 2,
            followers: 2,
            changes: 1,
            faults: 2,
            mistake: None,
        }
    }
}

impl ConfigWorld {
    /// Creates a world with an empty log.
    ///
    /// # Panics
    ///
    /// Panics when the minimal fleet file is not accepted.
    pub fn new(settings: ConfigSettings) -> Self {
        let base =
            check_fleet("model.toml", "fleet = \"model\"").expect("minimal fleet file is valid");
        let operator = OperatorState {
            reader: LogFollower::default(),
            attempts: 0,
            changes: 0,
            phase: OperatorPhase::Reading,
        };
        Self {
            settings,
            base: Arc::new(base),
            log: Vec::new(),
            expected: vec![ExpectedFleet::default()],
            operators: vec![operator; settings.operators],
            followers: vec![LogFollower::default(); settings.followers],
            faults: 0,
            violation: None,
        }
    }

    fn has_mistake(&self, mistake: ConfigMistake) -> bool {
        self.settings.mistake == Some(mistake)
    }

    fn record_violation(&mut self, name: &'static str, observed: String) {
        self.violation
            .get_or_insert(PropertyViolation { name, observed });
    }

    fn append(&mut self, record: Arc<LogRecord>) {
        let last = self.expected.last().cloned().unwrap_or_default();
        self.expected.push(last.with_record(&record));
        self.log.push(record);
    }

    fn create_change(&mut self, operator: usize) {
        let state = &mut self.operators[operator];
        state.attempts += 1;
        let zone = format!("zone-{operator}-{}", state.attempts);
        let read = state.reader.fold.state();
        let mut spec = FleetSpec::clone(read.spec.as_ref().unwrap_or(&self.base));
        spec.zones.push(ZoneSpec {
            id: zone.into(),
            ..ZoneSpec::default()
        });
        let record = LogRecord {
            id: ((operator as u128) << 64) | state.attempts,
            author: format!("operator-{operator}"),
            written: SystemTime::UNIX_EPOCH,
            body: RecordBody::Fleet(FleetProposal::whole(read.revision, Arc::new(spec))),
        };
        state.phase = OperatorPhase::Appending(Arc::new(record));
    }

    fn append_change(&mut self, operator: usize, acknowledged: bool) {
        let OperatorPhase::Appending(record) = self.operators[operator].phase.clone() else {
            return;
        };
        self.append(Arc::clone(&record));
        if acknowledged {
            self.operators[operator].phase = OperatorPhase::Awaiting(record.id);
            if self.has_mistake(ConfigMistake::AnswerTakenForOutcome) {
                self.finish_change(operator, record.id, FoldOutcome::Accepted);
            }
        } else if self.has_mistake(ConfigMistake::RepeatUnderNewIdentity) {
            let mut record = LogRecord::clone(&record);
            record.id |= REPEAT_BIT;
            self.operators[operator].phase = OperatorPhase::Appending(Arc::new(record));
        }
    }

    fn read_as_operator(&mut self, operator: usize) {
        let offset = self.operators[operator].reader.next_offset();
        let Some(record) = self.log.get(offset as usize).cloned() else {
            return;
        };
        let outcome = self.fold(offset, &record, |world| {
            &mut world.operators[operator].reader
        });
        if let OperatorPhase::Awaiting(id) = self.operators[operator].phase
            && id == record.id
        {
            self.finish_change(operator, id, outcome);
        }
    }

    fn finish_change(&mut self, operator: usize, id: RecordId, outcome: FoldOutcome) {
        let is_own = |accepted: &RecordId| accepted & !REPEAT_BIT == id & !REPEAT_BIT;
        let accepted = self
            .expected
            .iter()
            .any(|fleet| fleet.accepted.iter().any(is_own));
        if accepted != (outcome == FoldOutcome::Accepted) {
            let observed =
                format!("operator {operator} was told {outcome:?}, accepted: {accepted}");
            self.record_violation(TRUE_OUTCOME, observed);
        }
        let state = &mut self.operators[operator];
        state.phase = OperatorPhase::Reading;
        state.changes += 1;
    }

    /// Folds a record and compares the result with the expected one.
    fn fold(
        &mut self,
        offset: LogOffset,
        record: &LogRecord,
        reader: impl Fn(&mut Self) -> &mut LogFollower,
    ) -> FoldOutcome {
        let accepts_any_base = self.has_mistake(ConfigMistake::ApplyWithoutBaseRevision);
        let reader = reader(self);
        let before = reader.fold.state().revision;
        let mut record = record.clone();
        if accepts_any_base && let RecordBody::Fleet(proposal) = &mut record.body {
            proposal.base = before;
        }
        let outcome = reader.advance(offset, &record);
        let after = reader.fold.state().clone();
        if after.revision < before {
            let observed = format!("revision {} after {before}", after.revision);
            self.record_violation(NEVER_REVERTS, observed);
        }
        self.check_state(&after);
        outcome
    }

    fn check_state(&mut self, state: &FleetState) {
        let expected = &self.expected[state.next_offset as usize];
        let zones = zones_of(state.spec.as_deref());
        if (expected.revision, &expected.zones) == (state.revision, &zones) {
            return;
        }
        let observed = format!(
            "revision {} with {zones:?} at offset {} where revision {} with {:?} is in force",
            state.revision, state.next_offset, expected.revision, expected.zones
        );
        let is_lost = expected.zones.iter().any(|zone| !zones.contains(zone));
        let name = if is_lost && state.revision > expected.revision {
            NO_LOST_UPDATE
        } else {
            SAME_FOLD
        };
        self.record_violation(name, observed);
    }

    /// Returns the relays to `follower` of records that any follower has folded.
    ///
    /// Records after the next offset of the receiver are left out, because the receiver drops them.
    fn possible_relays(&self, follower: usize) -> Vec<ConfigAction> {
        let next = self.followers[follower].next_offset();
        let relayable_end = self.followers.iter().map(LogFollower::next_offset).max();
        let drops_ahead = !self.has_mistake(ConfigMistake::RelaySkipsRecords);
        (0..relayable_end.unwrap_or_default())
            .filter(|offset| !drops_ahead || *offset <= next)
            .map(|offset| ConfigAction::RecordRelayed { follower, offset })
            .collect()
    }

    fn relay_record(&mut self, follower: usize, offset: LogOffset) {
        let record = Arc::clone(&self.log[offset as usize]);
        let next = self.followers[follower].next_offset();
        if self.has_mistake(ConfigMistake::RelaySkipsRecords) && offset > next {
            self.followers[follower].fold.skip_to(offset);
        }
        self.fold(offset, &record, |world| &mut world.followers[follower]);
    }
}

impl ModelWorld for ConfigWorld {
    type Action = ConfigAction;
    type Key = String;

    fn key(&self) -> String {
        let log: Vec<_> = self.log.iter().map(|record| summary(record)).collect();
        let operators: Vec<_> = self
            .operators
            .iter()
            .map(|operator| {
                let phase = match &operator.phase {
                    OperatorPhase::Reading => "reading".to_owned(),
                    OperatorPhase::Appending(record) => summary(record),
                    OperatorPhase::Awaiting(id) => format!("awaiting {id}"),
                };
                (
                    &operator.reader.folded,
                    operator.attempts,
                    operator.changes,
                    phase,
                )
            })
            .collect();
        let followers: Vec<_> = self.followers.iter().map(LogFollower::summary).collect();
        format!(
            "{log:?} {operators:?} {followers:?} {} {:?}",
            self.faults, self.violation
        )
    }

    fn actions(&self) -> Vec<ConfigAction> {
        let mut actions = Vec::new();
        let end = self.log.len() as LogOffset;
        let has_faults_left = self.faults < self.settings.faults;
        for (index, operator) in self.operators.iter().enumerate() {
            let is_appending = matches!(operator.phase, OperatorPhase::Appending(_));
            if !is_appending && operator.reader.next_offset() < end {
                actions.push(ConfigAction::OperatorReads(index));
            }
            match operator.phase {
                OperatorPhase::Reading if operator.changes < self.settings.changes => {
                    actions.push(ConfigAction::OperatorChanges(index));
                }
                OperatorPhase::Appending(_) => {
                    actions.push(ConfigAction::AppendAnswered(index));
                    if has_faults_left {
                        actions.push(ConfigAction::AnswerLost(index));
                        actions.push(ConfigAction::OperatorRestarts(index));
                    }
                }
                _ => {}
            }
        }
        for (index, follower) in self.followers.iter().enumerate() {
            if follower.next_offset() < end {
                actions.push(ConfigAction::FollowerReads(index));
            }
            actions.extend(self.possible_relays(index));
            if has_faults_left && follower.next_offset() > 0 {
                actions.push(ConfigAction::FollowerReplaced(index));
            }
        }
        actions
    }

    fn apply(&mut self, action: &ConfigAction) {
        match *action {
            ConfigAction::OperatorReads(operator) => self.read_as_operator(operator),
            ConfigAction::OperatorChanges(operator) => self.create_change(operator),
            ConfigAction::AppendAnswered(operator) => self.append_change(operator, true),
            ConfigAction::AnswerLost(operator) => {
                self.faults += 1;
                self.append_change(operator, false);
            }
            ConfigAction::OperatorRestarts(operator) => {
                self.faults += 1;
                let state = &mut self.operators[operator];
                state.reader = LogFollower::default();
                state.phase = OperatorPhase::Reading;
            }
            ConfigAction::FollowerReads(follower) => {
                let offset = self.followers[follower].next_offset();
                let record = Arc::clone(&self.log[offset as usize]);
                self.fold(offset, &record, |world| &mut world.followers[follower]);
            }
            ConfigAction::RecordRelayed { follower, offset } => self.relay_record(follower, offset),
            ConfigAction::FollowerReplaced(follower) => {
                self.faults += 1;
                self.followers[follower] = LogFollower::default();
            }
        }
    }

    fn violation(&self) -> Option<PropertyViolation> {
        self.violation.clone()
    }
}

impl ExpectedFleet {
    /// Returns the expected result after one more `record`, by the specification.
    fn with_record(&self, record: &LogRecord) -> Self {
        let mut next = self.clone();
        let RecordBody::Fleet(proposal) = &record.body else {
            return next;
        };
        let is_repeated = next.folded.contains(&record.id);
        next.folded.push(record.id);
        if !is_repeated && proposal.base == next.revision {
            next.revision += 1;
            next.zones = zones_of(proposal.resolve(None).as_deref());
            next.accepted.push(record.id);
        }
        next
    }
}

impl LogFollower {
    fn next_offset(&self) -> LogOffset {
        self.fold.state().next_offset
    }

    fn advance(&mut self, offset: LogOffset, record: &LogRecord) -> FoldOutcome {
        let before = self.next_offset();
        let outcome = self.fold.advance(offset, record);
        if self.next_offset() > before {
            self.folded.push(offset);
        }
        outcome
    }

    fn summary(&self) -> String {
        let state = self.fold.state();
        let zones = zones_of(state.spec.as_deref());
        format!(
            "{:?} {} {} {zones:?}",
            self.folded, state.next_offset, state.revision
        )
    }
}

fn zones_of(spec: Option<&FleetSpec>) -> Vec<ZoneId> {
    spec.into_iter()
        .flat_map(|spec| &spec.zones)
        .map(|zone| Arc::clone(&zone.id))
        .collect()
}

fn summary(record: &LogRecord) -> String {
    let RecordBody::Fleet(proposal) = &record.body else {
        return record.body.to_string();
    };
    let zones = zones_of(proposal.resolve(None).as_deref());
    format!("{}@{} {zones:?}", record.id, proposal.base)
}
