//! Model world of permits: members, workers, the log and delayed messages.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Instant, SystemTime};

use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_fleet::prelude::*;
use pw_log::prelude::*;
use pw_member::prelude::*;

use crate::permit::member::{MemberNode, MemberOutput, MemberTask, SUSPECT_TICKS, TICK};
use crate::permit::worker::{LeaseHolder, LeaseToken, Tick, WorkerNode};
use crate::permit::{
    GRANTED_WITHIN_LIMIT, PermitAction, PermitMistake, PermitSettings, WITHIN_LIMIT,
};
use crate::search::{ModelWorld, PropertyViolation};

/// Rounds of log reads before the search begins, after which the first member holds all permits.
const WARM_UP_ROUNDS: usize = 4;
/// Worker in the zone of the first member.
const OWN_WORKER: usize = 0;
/// Number of newest records that may be appended a second time.
const REPEATABLE_RECORDS: usize = 3;

/// Model world in which members share the limit of one account.
#[derive(Debug, Clone)]
pub struct PermitWorld {
    settings: PermitSettings,
    account: AccountId,
    start: Instant,
    now: Tick,
    end: Tick,
    log: Vec<Arc<LogRecord>>,
    /// Text of each record, which identifies the log in a [`PermitKey`].
    record_texts: Vec<Rc<str>>,
    /// Fold of the complete log.
    fold: Rc<FleetFold>,
    members: Vec<MemberNode>,
    workers: Vec<WorkerNode>,
    delayed: Vec<DelayedMessage>,
    counts: ActionCounts,
    /// Whether the other members have acted in this tick.
    others_acted: bool,
}

/// Number of executed actions of each kind that the settings limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct ActionCounts {
    reads: u32,
    tasks: u32,
    ends: u32,
    delayed_messages: u32,
    repeats: u32,
    crashes: u32,
}

/// Message that was sent and is not yet delivered.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum DelayedMessage {
    Reading {
        requested_at: Tick,
        end: LogOffset,
    },
    Lease {
        holder: LeaseHolder,
        worker: usize,
        token: Option<LeaseToken>,
    },
}

/// Identity of a state of a [`PermitWorld`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PermitKey {
    now: Tick,
    record_texts: Vec<Rc<str>>,
    members: Vec<MemberState>,
    workers: Vec<WorkerNode>,
    delayed: Vec<DelayedMessage>,
    counts: ActionCounts,
    others_acted: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct MemberState {
    next_offset: LogOffset,
    monitor: MemberMonitor,
    holder: PermitHolder,
    reclaim: PermitReclaimer,
    tasks: Vec<MemberTask>,
    sequence: RecordSequence,
}

impl PermitWorld {
    /// Creates a world in which all members have joined and the first one has demand for permits.
    pub fn new(settings: PermitSettings) -> Self {
        let start = Instant::now();
        let members = (0..settings.members).map(|index| {
            MemberNode::new(
                start,
                1 + index as ProcessId,
                zone_of(&settings, index),
                &settings,
            )
        });
        let workers = (0..settings.members).map(|index| {
            let id = WorkerId::from(format!("worker-{index}"));
            WorkerNode::new(id, zone_of(&settings, index), settings.lease)
        });
        let mut world = Self {
            settings,
            account: "account".into(),
            start,
            now: 0,
            end: Tick::MAX,
            log: Vec::new(),
            record_texts: Vec::new(),
            fold: Rc::default(),
            members: members.collect(),
            workers: workers.collect(),
            delayed: Vec::new(),
            counts: ActionCounts::default(),
            others_acted: false,
        };
        world.append(fleet_record(&settings));
        world.warm_up();
        world
    }

    /// Returns the number of running tasks of the account.
    pub fn running_tasks(&self) -> u32 {
        self.workers.iter().map(WorkerNode::running_tasks).sum()
    }

    /// Returns the number of running tasks that `member` started and knows.
    pub fn running_tasks_of(&self, member: usize) -> u32 {
        let is_running =
            |task: &&MemberTask| self.workers[task.worker].is_running(&task.lease, task.id);
        self.members[member].tasks.iter().filter(is_running).count() as u32
    }

    fn warm_up(&mut self) {
        for _ in 0..WARM_UP_ROUNDS {
            (0..self.members.len()).for_each(|member| self.read(member, self.now));
            self.exchange_heartbeats();
            self.now += 1;
        }
        // The suspect timeout of the first member has nearly elapsed when the search begins.
        for _ in 2..SUSPECT_TICKS {
            (0..self.members.len()).for_each(|member| self.read(member, self.now));
            (1..self.members.len()).for_each(|peer| self.deliver_heartbeat(0, peer));
            self.now += 1;
        }
        (0..self.members.len()).for_each(|member| self.read(member, self.now));
        while self.acquire_permit(0, OWN_WORKER) {}
        self.end = self.now + self.settings.horizon;
    }

    fn exchange_heartbeats(&mut self) {
        for member in 0..self.members.len() {
            (0..self.members.len()).for_each(|peer| self.deliver_heartbeat(member, peer));
        }
    }

    fn instant(&self, tick: Tick) -> Instant {
        self.start + TICK * tick
    }

    fn append(&mut self, record: LogRecord) {
        let offset = self.log.len() as LogOffset;
        Rc::make_mut(&mut self.fold).advance(offset, &record);
        self.record_texts.push(format!("{:?}", record.body).into());
        self.log.push(Arc::new(record));
    }

    fn reading(&self, from: LogOffset, end: LogOffset, requested_at: Tick) -> LogReading {
        let records = self.log.iter().enumerate();
        let selected = records.filter(|(offset, _)| (from..end).contains(&(*offset as LogOffset)));
        let items = selected.map(|(offset, record)| {
            let item = LogItem::Record(Arc::clone(record));
            (offset as LogOffset, item)
        });
        LogReading {
            requested_at: Some(self.instant(requested_at)),
            image: None,
            from,
            items: items.collect(),
            next_offset: end,
            end,
        }
    }

    fn read(&mut self, member: usize, requested_at: Tick) {
        self.read_to(member, requested_at, self.log.len() as LogOffset);
    }

    fn read_to(&mut self, member: usize, requested_at: Tick, end: LogOffset) {
        let from = self.members[member].fold.state().next_offset;
        let reading = self.reading(from.min(end), end, requested_at);
        let now = self.instant(self.now);
        // Every member has demand for the whole limit, the first one already during the warm-up.
        let has_demand = member == 0 || self.end != Tick::MAX;
        let waiting = if has_demand { self.settings.limit } else { 0 };
        let demand = (&self.account.clone(), waiting);
        let output = self.members[member].read(now, &reading, demand, &self.settings);
        self.execute(member, output);
    }

    fn execute(&mut self, member: usize, output: MemberOutput) {
        let is_lost = self.settings.loses_appends && member == 0 && self.end != Tick::MAX;
        if let Some(batch) = output.batch.filter(|_| !is_lost) {
            self.append(batch);
        }
        let ignore_leases = self.settings.has_mistake(PermitMistake::FenceUnderLease);
        for (holder, worker) in output.fences {
            let node = self.workers.iter_mut().find(|node| node.id == worker);
            if node.is_some_and(|node| node.fence(&holder, ignore_leases)) {
                let now = self.instant(self.now);
                let output = self.members[member].confirm_fence(now, &holder, &worker);
                self.execute(member, output);
            }
        }
    }

    fn deliver_heartbeat(&mut self, member: usize, peer: usize) {
        if member == peer {
            return;
        }
        let now = self.instant(self.now);
        let key = self.members[peer].monitor.key().clone();
        let output = self.members[member].receive_heartbeat(now, &key);
        self.execute(member, output);
    }

    fn advance_tick(&mut self) {
        self.now += 1;
        self.others_acted = false;
        let now = self.now;
        self.workers
            .iter_mut()
            .for_each(|worker| worker.expire_leases(now));
    }

    fn acquire_permit(&mut self, member: usize, worker: usize) -> bool {
        let now = self.instant(self.now);
        let zone = self.workers[worker].zone.clone();
        self.members[member].acquire_permit(now, &self.account, &zone, worker)
    }

    /// Returns the key of the lease that `member` currently uses for `kind`.
    fn lease_holder(&self, member: usize, kind: PermitKind) -> LeaseHolder {
        let member = self.members[member].monitor.key().clone();
        LeaseHolder { member, kind }
    }

    /// Returns the lease request of `member` if its checks pass.
    fn lease_request(
        &mut self,
        member: usize,
        worker: usize,
        kind: PermitKind,
    ) -> Option<DelayedMessage> {
        let holder = self.lease_holder(member, kind);
        let now = self.instant(self.now);
        let checks_first = self.settings.has_mistake(PermitMistake::CheckBeforeToken);
        let node = &mut self.workers[worker];
        let token = if checks_first {
            None
        } else {
            Some(node.issue_token(self.now, &holder)?)
        };
        let target = (worker, &node.zone);
        let is_open = node.is_open(&holder);
        let node = &self.members[member];
        let may_send = node.may_lease(now, kind, target, is_open, &self.settings);
        may_send.then_some(DelayedMessage::Lease {
            holder,
            worker,
            token,
        })
    }

    fn deliver(&mut self, message: DelayedMessage) {
        match message {
            DelayedMessage::Reading { requested_at, end } => self.read_to(0, requested_at, end),
            DelayedMessage::Lease {
                holder,
                worker,
                token,
            } => {
                let now = self.now;
                let unchecked = self.settings.has_mistake(PermitMistake::RenewWithoutToken);
                let node = &mut self.workers[worker];
                if unchecked {
                    node.renew_unchecked(now, &holder);
                } else if let Some(token) = token.or_else(|| node.issue_token(now, &holder)) {
                    node.renew(now, &holder, token);
                }
            }
        }
    }

    fn renew_lease(&mut self, member: usize, worker: usize, kind: PermitKind) {
        if let Some(message) = self.lease_request(member, worker, kind) {
            self.deliver(message);
        }
    }

    fn start(&mut self, member: usize, task: usize) {
        let unchecked = self.settings.has_mistake(PermitMistake::StartWithoutLease);
        let releases_early = self.settings.has_mistake(PermitMistake::ReleaseBeforeEnd);
        let held = &mut self.members[member].tasks[task];
        held.started = true;
        let worker = &mut self.workers[held.worker];
        let started = if unchecked {
            worker.start_unchecked(&held.lease, held.id)
        } else {
            worker.start(self.now, &held.lease, held.id)
        };
        if !started || releases_early {
            let now = self.instant(self.now);
            self.members[member].release_permit(now, task);
        }
    }

    fn end(&mut self, member: usize, task: usize) {
        let now = self.instant(self.now);
        let task = self.members[member].release_permit(now, task);
        self.workers[task.worker].end(&task.lease, task.id);
    }

    /// Lets all members but the first one perform every possible action.
    fn run_other_members(&mut self) {
        self.others_acted = true;
        let others = 1..self.members.len();
        for member in others.clone() {
            others
                .clone()
                .for_each(|peer| self.deliver_heartbeat(member, peer));
            self.end_expired(member);
            // The second read folds the proposals that the first one caused.
            self.read(member, self.now);
            self.read(member, self.now);
            for worker in 0..self.workers.len() {
                (0..self.settings.limit).all(|_| self.run_task(member, worker));
            }
        }
    }

    /// Acquires a permit and a lease for one task and starts it; returns whether it runs.
    fn run_task(&mut self, member: usize, worker: usize) -> bool {
        if !self.acquire_permit(member, worker) {
            return false;
        }
        let task = self.members[member].tasks.len() - 1;
        let held = self.members[member].tasks[task].clone();
        self.renew_lease(member, worker, held.permit.kind);
        self.start(member, task);
        self.workers[worker].is_running(&held.lease, held.id)
    }

    /// Releases the permits of tasks whose leases have expired.
    fn end_expired(&mut self, member: usize) {
        for task in (0..self.members[member].tasks.len()).rev() {
            let held = &self.members[member].tasks[task];
            if held.started && !self.workers[held.worker].is_running(&held.lease, held.id) {
                self.end(member, task);
            }
        }
    }

    fn repeat(&mut self, offset: usize) {
        let mut record = LogRecord::clone(&self.log[offset]);
        if self.settings.has_mistake(PermitMistake::RepeatCountsAnew)
            && let RecordBody::Control(batch) = &mut record.body
        {
            let author = batch.author.clone();
            let last = self.fold.members().get(&author);
            batch.sequence = last.map_or(0, |state| state.sequence) + 1;
            let next_round = self.fold.permits().round(&author) + 1;
            for proposal in &mut batch.proposals {
                if let ControlProposal::Permit(PermitProposal::Hold { round, .. }) = proposal {
                    *round = next_round;
                }
            }
        }
        self.append(record);
    }

    fn crash(&mut self) {
        let process = (1 + self.members.len()) as ProcessId + ProcessId::from(self.counts.crashes);
        let zone = self.workers[0].zone.clone();
        let now = self.instant(self.now);
        self.members[0] = MemberNode::new(now, process, zone, &self.settings);
    }

    /// Returns the possible actions of the first member that are not faults.
    fn own_actions(&self) -> Vec<PermitAction> {
        let (settings, counts) = (&self.settings, &self.counts);
        let node = &self.members[0];
        let mut actions = Vec::new();
        if self.others_acted {
            return actions;
        }
        if counts.reads < settings.reads {
            actions.push(PermitAction::Read);
        }
        if counts.tasks < settings.tasks {
            actions.push(PermitAction::Take);
        }
        for (worker, kind) in self.used_leases() {
            actions.push(PermitAction::Lease(worker, kind));
        }
        for (task, held) in node.tasks.iter().enumerate() {
            if !held.started {
                actions.push(PermitAction::Start(task));
            } else if counts.ends < settings.ends {
                actions.push(PermitAction::End(task));
            }
        }
        actions
    }

    fn fault_actions(&self) -> Vec<PermitAction> {
        let (settings, counts) = (&self.settings, &self.counts);
        let mut actions = Vec::new();
        if self.others_acted {
            return actions;
        }
        if counts.delayed_messages < settings.delayed_messages {
            actions.push(PermitAction::ReadLate);
            let delayed_lease = |(worker, kind)| PermitAction::LeaseLate(worker, kind);
            actions.extend(self.used_leases().into_iter().map(delayed_lease));
        }
        if counts.repeats < settings.repeats {
            let first = self.log.len().saturating_sub(REPEATABLE_RECORDS).max(1);
            actions.extend((first..self.log.len()).map(PermitAction::Repeat));
        }
        if counts.crashes < settings.crashes {
            actions.push(PermitAction::Crash);
        }
        actions
    }

    /// Returns the leases that tasks of the first member need and that can be extended now.
    fn used_leases(&self) -> BTreeSet<(usize, PermitKind)> {
        let tasks = self.members[0].tasks.iter();
        let is_extensible = |held: &&MemberTask| {
            let expires_at = self.workers[held.worker].expires_at(&held.lease);
            expires_at < Some(self.now + self.settings.lease)
        };
        let leases = tasks
            .filter(is_extensible)
            .map(|held| (held.worker, held.permit.kind));
        leases.collect()
    }
}

impl ModelWorld for PermitWorld {
    type Action = PermitAction;
    type Key = PermitKey;

    fn key(&self) -> PermitKey {
        let members = self.members.iter().map(|node| MemberState {
            next_offset: node.fold.state().next_offset,
            monitor: node.monitor.clone(),
            holder: node.holder.clone(),
            reclaim: node.reclaim.clone(),
            tasks: node.tasks.clone(),
            sequence: node.sequence,
        });
        PermitKey {
            now: self.now,
            record_texts: self.record_texts.clone(),
            members: members.collect(),
            workers: self.workers.clone(),
            delayed: self.delayed.clone(),
            counts: self.counts,
            others_acted: self.others_acted,
        }
    }

    fn actions(&self) -> Vec<PermitAction> {
        let mut actions = self.own_actions();
        if !self.others_acted {
            actions.push(PermitAction::OthersAct);
        } else if self.now < self.end {
            actions.push(PermitAction::Tick);
        }
        if !self.others_acted {
            actions.extend((0..self.delayed.len()).map(PermitAction::Arrive));
        }
        actions.extend(self.fault_actions());
        actions
    }

    fn apply(&mut self, action: &PermitAction) {
        match *action {
            PermitAction::Tick => self.advance_tick(),
            PermitAction::OthersAct => self.run_other_members(),
            PermitAction::Read => {
                self.counts.reads += 1;
                self.read(0, self.now);
            }
            PermitAction::ReadLate => {
                self.counts.delayed_messages += 1;
                let (requested_at, end) = (self.now, self.log.len() as LogOffset);
                self.delayed
                    .push(DelayedMessage::Reading { requested_at, end });
            }
            PermitAction::Take => {
                self.counts.tasks += u32::from(self.acquire_permit(0, OWN_WORKER));
            }
            PermitAction::Lease(worker, kind) => self.renew_lease(0, worker, kind),
            PermitAction::LeaseLate(worker, kind) => {
                if let Some(message) = self.lease_request(0, worker, kind) {
                    self.counts.delayed_messages += 1;
                    self.delayed.push(message);
                }
            }
            PermitAction::Start(task) => self.start(0, task),
            PermitAction::End(task) => {
                self.counts.ends += 1;
                self.end(0, task);
            }
            PermitAction::Arrive(index) => {
                let message = self.delayed.remove(index);
                self.deliver(message);
            }
            PermitAction::Repeat(offset) => {
                self.counts.repeats += 1;
                self.repeat(offset);
            }
            PermitAction::Crash => {
                self.counts.crashes += 1;
                self.crash();
            }
        }
    }

    fn violation(&self) -> Option<PropertyViolation> {
        let limit = self.settings.limit;
        let granted = self.fold.permits().granted(&self.account);
        let running = self.running_tasks();
        let (name, count) = if running > limit {
            (WITHIN_LIMIT, running)
        } else if granted > limit {
            (GRANTED_WITHIN_LIMIT, granted)
        } else {
            return None;
        };
        let observed = format!("{count} of {limit}");
        Some(PropertyViolation { name, observed })
    }
}

/// Returns the zone of a member.
///
/// The last zone gets the additional permit of an odd number of floor permits, so the zone of the
/// first member comes last if it has to have floor permits.
fn zone_of(settings: &PermitSettings, member: usize) -> ZoneId {
    let number = if settings.has_floor {
        settings.members - 1 - member
    } else {
        member
    };
    format!("zone-{number}").into()
}

fn fleet_record(settings: &PermitSettings) -> LogRecord {
    let text = fleet_text(settings);
    let mut spec = check_fleet("model.toml", &text).expect("model fleet is valid");
    // The validation of fleet files rejects limits as small as those of the model.
    spec.accounts[0].limit = settings.limit;
    LogRecord {
        id: 0,
        author: "operator".to_owned(),
        written: SystemTime::UNIX_EPOCH,
        body: RecordBody::Fleet(FleetProposal {
            base: 0,
            update: FleetUpdate::Whole(Arc::new(spec)),
        }),
    }
}

fn fleet_text(settings: &PermitSettings) -> String {
    let zones = (0..settings.members).map(|index| {
        let zone = zone_of(settings, index);
        format!(
            "[[zones]]\nid = \"{zone}\"\n\
             [[workers]]\nid = \"worker-{index}\"\nzone = \"{zone}\"\n\
             rack = \"rack-{index}\"\ncores = 1\nmemory_gib = 1\nslots = 1\nconnections = 1\n"
        )
    });
    let workers: Vec<String> = (0..settings.members)
        .map(|index| format!("worker-{index}"))
        .collect();
    let rest = format!(
        "[[pools]]\nid = \"pool\"\nworkers = {workers:?}\nmax_unavailable = 1\n\
         [[accounts]]\nid = \"account\"\nshare = 1\nlimit = {}\n",
        settings.members
    );
    format!("fleet = \"model\"\n{}{rest}", zones.collect::<String>())
}
