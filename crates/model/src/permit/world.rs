//! The world of permits: members, workers, the log and late messages.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Instant, SystemTime};

use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_fleet::prelude::*;
use pw_log::prelude::*;
use pw_member::prelude::*;

use crate::permit::member::{HeldTask, MemberNode, MemberOutput, SILENCE_TICKS, TICK};
use crate::permit::worker::{LeaseHolder, LeaseToken, Tick, WorkerNode};
use crate::permit::{
    GRANTED_WITHIN_LIMIT, PermitAction, PermitMistake, PermitSettings, WITHIN_LIMIT,
};
use crate::search::{ModelWorld, PropertyViolation};

/// Rounds of readings before the search begins; the first member has taken all permits then.
const WARM_UP_ROUNDS: usize = 4;
/// Worker in the zone of the first member.
const OWN_WORKER: usize = 0;
/// Newest records that may be appended once more.
const REPEATABLE_RECORDS: usize = 3;

/// Members that share the limit of one account.
#[derive(Debug, Clone)]
pub struct PermitWorld {
    settings: PermitSettings,
    account: AccountId,
    origin: Instant,
    now: Tick,
    ends: Tick,
    log: Vec<Arc<LogRecord>>,
    /// The records as texts, which tell one log from another.
    texts: Vec<Rc<str>>,
    /// Fold of the whole log.
    whole: Rc<FleetFold>,
    members: Vec<MemberNode>,
    workers: Vec<WorkerNode>,
    late: Vec<LateMessage>,
    spent: SpentBudget,
    /// Whether the other members have acted in this tick.
    acted: bool,
}

/// What the settings bound, as far as it has happened.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct SpentBudget {
    reads: u32,
    tasks: u32,
    ends: u32,
    late: u32,
    repeats: u32,
    crashes: u32,
}

/// A message that has been sent and has not arrived.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum LateMessage {
    Reading {
        asked: Tick,
        end: LogOffset,
    },
    Lease {
        holder: LeaseHolder,
        worker: usize,
        token: Option<LeaseToken>,
    },
}

/// What tells two states of a [`PermitWorld`] apart.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PermitKey {
    now: Tick,
    texts: Vec<Rc<str>>,
    members: Vec<MemberState>,
    workers: Vec<WorkerNode>,
    late: Vec<LateMessage>,
    spent: SpentBudget,
    acted: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct MemberState {
    next_offset: LogOffset,
    monitor: MemberMonitor,
    holder: PermitHolder,
    reclaim: PermitReclaimer,
    tasks: Vec<HeldTask>,
    sequence: RecordSequence,
}

impl PermitWorld {
    /// Creates a world in which all members have joined and the first one wants permits.
    pub fn new(settings: PermitSettings) -> Self {
        let origin = Instant::now();
        let members = (0..settings.members).map(|index| {
            MemberNode::new(
                origin,
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
            origin,
            now: 0,
            ends: Tick::MAX,
            log: Vec::new(),
            texts: Vec::new(),
            whole: Rc::default(),
            members: members.collect(),
            workers: workers.collect(),
            late: Vec::new(),
            spent: SpentBudget::default(),
            acted: false,
        };
        world.append(fleet_record(&settings));
        world.warm_up();
        world
    }

    /// Returns how many tasks of the account run.
    pub fn running(&self) -> u32 {
        self.workers.iter().map(WorkerNode::running).sum()
    }

    /// Returns how many tasks run that `member` started and knows of.
    pub fn running_of(&self, member: usize) -> u32 {
        let runs = |task: &&HeldTask| self.workers[task.worker].runs(&task.lease, task.id);
        self.members[member].tasks.iter().filter(runs).count() as u32
    }

    fn warm_up(&mut self) {
        for _ in 0..WARM_UP_ROUNDS {
            (0..self.members.len()).for_each(|member| self.read(member, self.now));
            self.hear_all();
            self.now += 1;
        }
        // The silence of the first member is nearly over when the search begins.
        for _ in 2..SILENCE_TICKS {
            (0..self.members.len()).for_each(|member| self.read(member, self.now));
            (1..self.members.len()).for_each(|peer| self.hear(0, peer));
            self.now += 1;
        }
        (0..self.members.len()).for_each(|member| self.read(member, self.now));
        while self.take(0, OWN_WORKER) {}
        self.ends = self.now + self.settings.horizon;
    }

    fn hear_all(&mut self) {
        for member in 0..self.members.len() {
            (0..self.members.len()).for_each(|peer| self.hear(member, peer));
        }
    }

    fn instant(&self, tick: Tick) -> Instant {
        self.origin + TICK * tick
    }

    fn append(&mut self, record: LogRecord) {
        let offset = self.log.len() as LogOffset;
        Rc::make_mut(&mut self.whole).advance(offset, &record);
        self.texts.push(format!("{:?}", record.body).into());
        self.log.push(Arc::new(record));
    }

    fn reading(&self, from: LogOffset, end: LogOffset, asked: Tick) -> LogReading {
        let records = self.log.iter().enumerate();
        let wanted = records.filter(|(offset, _)| (from..end).contains(&(*offset as LogOffset)));
        let items = wanted.map(|(offset, record)| {
            let item = LogItem::Record(Arc::clone(record));
            (offset as LogOffset, item)
        });
        LogReading {
            requested_at: Some(self.instant(asked)),
            image: None,
            from,
            items: items.collect(),
            next_offset: end,
            end,
        }
    }

    fn read(&mut self, member: usize, asked: Tick) {
        self.read_to(member, asked, self.log.len() as LogOffset);
    }

    fn read_to(&mut self, member: usize, asked: Tick, end: LogOffset) {
        let from = self.members[member].fold.state().next_offset;
        let reading = self.reading(from.min(end), end, asked);
        let now = self.instant(self.now);
        // Every member would run as many tasks as the limit allows, the first one from the start.
        let wants = member == 0 || self.ends != Tick::MAX;
        let waiting = if wants { self.settings.limit } else { 0 };
        let demand = (&self.account.clone(), waiting);
        let output = self.members[member].read(now, &reading, demand, &self.settings);
        self.carry_out(member, output);
    }

    fn carry_out(&mut self, member: usize, output: MemberOutput) {
        let lost = self.settings.mute && member == 0 && self.ends != Tick::MAX;
        if let Some(batch) = output.batch.filter(|_| !lost) {
            self.append(batch);
        }
        let under_lease = self.settings.mistaken(PermitMistake::FenceUnderLease);
        for (holder, worker) in output.fences {
            let node = self.workers.iter_mut().find(|node| node.id == worker);
            if node.is_some_and(|node| node.fence(&holder, under_lease)) {
                let now = self.instant(self.now);
                let output = self.members[member].fenced(now, &holder, &worker);
                self.carry_out(member, output);
            }
        }
    }

    fn hear(&mut self, member: usize, peer: usize) {
        if member == peer {
            return;
        }
        let now = self.instant(self.now);
        let key = self.members[peer].monitor.key().clone();
        let output = self.members[member].hear(now, &key);
        self.carry_out(member, output);
    }

    fn pass_tick(&mut self) {
        self.now += 1;
        self.acted = false;
        let now = self.now;
        self.workers
            .iter_mut()
            .for_each(|worker| worker.pass_time(now));
    }

    fn take(&mut self, member: usize, worker: usize) -> bool {
        let now = self.instant(self.now);
        let zone = self.workers[worker].zone.clone();
        self.members[member].take(now, &self.account, &zone, worker)
    }

    /// Returns the lease that `member` uses now for `kind`.
    fn lease_holder(&self, member: usize, kind: PermitKind) -> LeaseHolder {
        let member = self.members[member].monitor.key().clone();
        LeaseHolder { member, kind }
    }

    /// Sends a lease request; returns the message when the member's checks pass.
    fn lease_request(
        &mut self,
        member: usize,
        worker: usize,
        kind: PermitKind,
    ) -> Option<LateMessage> {
        let holder = self.lease_holder(member, kind);
        let now = self.instant(self.now);
        let before = self.settings.mistaken(PermitMistake::CheckBeforeToken);
        let node = &mut self.workers[worker];
        let token = if before {
            None
        } else {
            Some(node.token(self.now, &holder)?)
        };
        let place = (worker, &node.zone);
        let is_open = node.is_open(&holder);
        let node = &self.members[member];
        let passes = node.may_lease(now, kind, place, is_open, &self.settings);
        passes.then_some(LateMessage::Lease {
            holder,
            worker,
            token,
        })
    }

    fn arrive(&mut self, message: LateMessage) {
        match message {
            LateMessage::Reading { asked, end } => self.read_to(0, asked, end),
            LateMessage::Lease {
                holder,
                worker,
                token,
            } => {
                let now = self.now;
                let unchecked = self.settings.mistaken(PermitMistake::RenewWithoutToken);
                let node = &mut self.workers[worker];
                if unchecked {
                    node.take_unchecked(now, &holder);
                } else if let Some(token) = token.or_else(|| node.token(now, &holder)) {
                    node.take(now, &holder, token);
                }
            }
        }
    }

    fn lease(&mut self, member: usize, worker: usize, kind: PermitKind) {
        if let Some(message) = self.lease_request(member, worker, kind) {
            self.arrive(message);
        }
    }

    fn start(&mut self, member: usize, task: usize) {
        let unchecked = self.settings.mistaken(PermitMistake::StartWithoutLease);
        let early = self.settings.mistaken(PermitMistake::ReleaseBeforeEnd);
        let held = &mut self.members[member].tasks[task];
        held.started = true;
        let worker = &mut self.workers[held.worker];
        let started = if unchecked {
            worker.start_unchecked(&held.lease, held.id)
        } else {
            worker.start(self.now, &held.lease, held.id)
        };
        if !started || early {
            let now = self.instant(self.now);
            self.members[member].give_back(now, task);
        }
    }

    fn end(&mut self, member: usize, task: usize) {
        let now = self.instant(self.now);
        let task = self.members[member].give_back(now, task);
        self.workers[task.worker].end(&task.lease, task.id);
    }

    /// Lets the members after the first one do all that they can.
    fn others_act(&mut self) {
        self.acted = true;
        let others = 1..self.members.len();
        for member in others.clone() {
            others.clone().for_each(|peer| self.hear(member, peer));
            self.end_lapsed(member);
            // The second reading folds what the first one made it propose.
            self.read(member, self.now);
            self.read(member, self.now);
            for worker in 0..self.workers.len() {
                (0..self.settings.limit).all(|_| self.run(member, worker));
            }
        }
    }

    /// Takes, leases and starts one task; returns whether it runs.
    fn run(&mut self, member: usize, worker: usize) -> bool {
        if !self.take(member, worker) {
            return false;
        }
        let task = self.members[member].tasks.len() - 1;
        let held = self.members[member].tasks[task].clone();
        self.lease(member, worker, held.permit.kind);
        self.start(member, task);
        self.workers[worker].runs(&held.lease, held.id)
    }

    /// Gives back the permits of tasks whose leases have ended.
    fn end_lapsed(&mut self, member: usize) {
        for task in (0..self.members[member].tasks.len()).rev() {
            let held = &self.members[member].tasks[task];
            if held.started && !self.workers[held.worker].runs(&held.lease, held.id) {
                self.end(member, task);
            }
        }
    }

    fn repeat(&mut self, offset: usize) {
        let mut record = LogRecord::clone(&self.log[offset]);
        if self.settings.mistaken(PermitMistake::RepeatCountsAnew)
            && let RecordBody::Control(batch) = &mut record.body
        {
            let author = batch.author.clone();
            let last = self.whole.members().get(&author);
            batch.sequence = last.map_or(0, |state| state.sequence) + 1;
            let next_round = self.whole.permits().round(&author) + 1;
            for proposal in &mut batch.proposals {
                if let ControlProposal::Permit(PermitProposal::Hold { round, .. }) = proposal {
                    *round = next_round;
                }
            }
        }
        self.append(record);
    }

    fn crash(&mut self) {
        let process = (1 + self.members.len()) as ProcessId + ProcessId::from(self.spent.crashes);
        let zone = self.workers[0].zone.clone();
        let now = self.instant(self.now);
        self.members[0] = MemberNode::new(now, process, zone, &self.settings);
    }

    /// Returns the steps of the first member that no fault brings about.
    fn own_actions(&self) -> Vec<PermitAction> {
        let (settings, spent) = (&self.settings, &self.spent);
        let node = &self.members[0];
        let mut actions = Vec::new();
        if self.acted {
            return actions;
        }
        if spent.reads < settings.reads {
            actions.push(PermitAction::Read);
        }
        if spent.tasks < settings.tasks {
            actions.push(PermitAction::Take);
        }
        for (worker, kind) in self.used_leases() {
            actions.push(PermitAction::Lease(worker, kind));
        }
        for (task, held) in node.tasks.iter().enumerate() {
            if !held.started {
                actions.push(PermitAction::Start(task));
            } else if spent.ends < settings.ends {
                actions.push(PermitAction::End(task));
            }
        }
        actions
    }

    fn fault_actions(&self) -> Vec<PermitAction> {
        let (settings, spent) = (&self.settings, &self.spent);
        let mut actions = Vec::new();
        if self.acted {
            return actions;
        }
        if spent.late < settings.late {
            actions.push(PermitAction::ReadLate);
            let late_lease = |(worker, kind)| PermitAction::LeaseLate(worker, kind);
            actions.extend(self.used_leases().into_iter().map(late_lease));
        }
        if spent.repeats < settings.repeats {
            let first = self.log.len().saturating_sub(REPEATABLE_RECORDS).max(1);
            actions.extend((first..self.log.len()).map(PermitAction::Repeat));
        }
        if spent.crashes < settings.crashes {
            actions.push(PermitAction::Crash);
        }
        actions
    }

    /// Returns the leases of the first member that tasks need and that can be extended now.
    fn used_leases(&self) -> BTreeSet<(usize, PermitKind)> {
        let tasks = self.members[0].tasks.iter();
        let extensible = |held: &&HeldTask| {
            let ends = self.workers[held.worker].ends(&held.lease);
            ends < Some(self.now + self.settings.lease)
        };
        let places = tasks
            .filter(extensible)
            .map(|held| (held.worker, held.permit.kind));
        places.collect()
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
            texts: self.texts.clone(),
            members: members.collect(),
            workers: self.workers.clone(),
            late: self.late.clone(),
            spent: self.spent,
            acted: self.acted,
        }
    }

    fn actions(&self) -> Vec<PermitAction> {
        let mut actions = self.own_actions();
        if !self.acted {
            actions.push(PermitAction::OthersAct);
        } else if self.now < self.ends {
            actions.push(PermitAction::Tick);
        }
        if !self.acted {
            actions.extend((0..self.late.len()).map(PermitAction::Arrive));
        }
        actions.extend(self.fault_actions());
        actions
    }

    fn apply(&mut self, action: &PermitAction) {
        match *action {
            PermitAction::Tick => self.pass_tick(),
            PermitAction::OthersAct => self.others_act(),
            PermitAction::Read => {
                self.spent.reads += 1;
                self.read(0, self.now);
            }
            PermitAction::ReadLate => {
                self.spent.late += 1;
                let (asked, end) = (self.now, self.log.len() as LogOffset);
                self.late.push(LateMessage::Reading { asked, end });
            }
            PermitAction::Take => self.spent.tasks += u32::from(self.take(0, OWN_WORKER)),
            PermitAction::Lease(worker, kind) => self.lease(0, worker, kind),
            PermitAction::LeaseLate(worker, kind) => {
                if let Some(message) = self.lease_request(0, worker, kind) {
                    self.spent.late += 1;
                    self.late.push(message);
                }
            }
            PermitAction::Start(task) => self.start(0, task),
            PermitAction::End(task) => {
                self.spent.ends += 1;
                self.end(0, task);
            }
            PermitAction::Arrive(index) => {
                let message = self.late.remove(index);
                self.arrive(message);
            }
            PermitAction::Repeat(offset) => {
                self.spent.repeats += 1;
                self.repeat(offset);
            }
            PermitAction::Crash => {
                self.spent.crashes += 1;
                self.crash();
            }
        }
    }

    fn violation(&self) -> Option<PropertyViolation> {
        let limit = self.settings.limit;
        let granted = self.whole.permits().granted(&self.account);
        let running = self.running();
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

/// Returns the zone of a member; only the last zone has a floor permit of an odd number.
fn zone_of(settings: &PermitSettings, member: usize) -> ZoneId {
    let place = if settings.floor {
        settings.members - 1 - member
    } else {
        member
    };
    format!("zone-{place}").into()
}

fn fleet_record(settings: &PermitSettings) -> LogRecord {
    let text = fleet_text(settings);
    let mut spec = check_fleet("model.toml", &text).expect("fleet of the model");
    // Limits so small that the check of fleet files does not allow them.
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
