//! Simulation of entry instances that run the production code, with a fake log and fake workers.
//!
//! Each worker times its leases by its own clock, and messages to workers may be delayed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_fleet::prelude::*;
use pw_log::prelude::*;
use pw_member::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const STEP: Duration = Duration::from_millis(100);
pub const LEASE_TTL: Duration = Duration::from_secs(2);
/// Lease duration on the workers, whose clocks run as slowly as the drift bound allows.
const SLOW_TTL: Duration = Duration::from_millis(2_039);
pub const LIMIT: u32 = 8;
pub const ENTRIES: usize = 4;
const ZONES: [&str; 2] = ["a", "b"];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Pause,
    LogPartition,
    /// The entry loses access to the log and is suspected right after its last read.
    LogPartitionAndSuspicion,
    Crash,
    Leave,
    LogOutage,
    ResponsesLost,
}

/// Fault with its start and length in steps of the virtual clock.
#[derive(Clone, Copy, Debug)]
pub struct FaultInjection {
    pub start: u32,
    pub length: u32,
    pub entry: usize,
    pub fault: Fault,
}

/// Task that is in flight to a worker or runs on it.
#[derive(Clone)]
pub struct Task {
    entry: usize,
    process: ProcessId,
    holder: MemberKey,
    permit: TaskPermit,
    lease: LeaseNumber,
    ends: Instant,
}

#[derive(Clone)]
pub enum Message {
    Lease {
        key: LeaseName,
        renews: Option<LeaseNumber>,
    },
    Start(Task),
    Fence {
        entry: usize,
        holder: MemberKey,
    },
}

type LeaseName = (MemberKey, PermitKind);
/// Id of a lease and number of its last renewal.
type LeaseNumber = (u32, u32);

#[derive(Default)]
pub struct Worker {
    leases: BTreeMap<LeaseName, (LeaseNumber, Instant)>,
    fenced: BTreeSet<MemberKey>,
    running: Vec<Task>,
    granted: u32,
}

pub struct Entry {
    pub process: ProcessId,
    pub fold: FleetFold,
    pub member: MemberMonitor,
    pub holder: PermitHolder,
    pub batcher: AppendBatcher,
    pub reclaim: PermitReclaimer,
    /// Leases with the time until which their holder uses them.
    pub held_leases: BTreeMap<(usize, LeaseName), (LeaseNumber, Instant)>,
    pub paused_until: Instant,
    pub partitioned_until: Instant,
    pub is_leaving: bool,
    pub has_left: bool,
    pub open_tasks: u32,
}

pub struct World {
    pub start: Instant,
    pub now: Instant,
    pub random: SmallRng,
    pub log: Vec<Arc<LogRecord>>,
    pub reference: FleetFold,
    pub late_records: Vec<(Instant, ControlBatch)>,
    pub log_down_until: Instant,
    pub lossy_until: Instant,
    pub entries: Vec<Entry>,
    pub workers: Vec<Worker>,
    pub messages: Vec<(Instant, usize, Message)>,
    pub next_process: ProcessId,
    pub demand: [u32; ENTRIES],
    pub started: u32,
    /// Maximum number of running tasks after another one starts.
    pub max_running: u32,
}

pub fn fleet(limit: u32) -> FleetSpec {
    let text = format!(
        "fleet = \"f\"\n{}[[accounts]]\nid = \"t\"\nshare = 1\nlimit = {limit}\n",
        ZONES.map(|zone| format!("[[zones]]\nid = \"{zone}\"\n[[workers]]\nid = \"w-{zone}\"\nzone = \"{zone}\"\nrack = \"r\"\ncores = 1\nmemory_gib = 1\nslots = 64\nconnections = 64\n")).concat()
    );
    toml::from_str(&text).expect("fleet is valid TOML")
}

pub fn account() -> AccountId {
    "t".into()
}

impl Entry {
    fn new(now: Instant, index: usize, process: ProcessId) -> Self {
        let zone: ZoneId = ZONES[index % 2].into();
        let key = MemberKey {
            entry: format!("entry-{index}").into(),
            process,
            incarnation: 1,
        };
        let spec = MemberSpec {
            zone: zone.clone(),
            address: ([127, 0, 0, 1], 1).into(),
            format: FORMAT_VERSION,
        };
        let settings = MemberSettings {
            hold_down: hold_down(LEASE_TTL),
            ..MemberSettings::default()
        };
        let holder = HolderSettings {
            process,
            zone,
            ..HolderSettings::default()
        };
        let mut batcher = AppendBatcher::new(AppendSettings::default());
        batcher.handle(now, AppendEvent::ActAs(key.clone()));
        Self {
            process,
            fold: FleetFold::default(),
            member: MemberMonitor::new(now, settings, key, spec),
            holder: PermitHolder::new(holder),
            batcher,
            reclaim: PermitReclaimer::new(process, Duration::from_secs(2)),
            held_leases: BTreeMap::new(),
            paused_until: now,
            partitioned_until: now,
            is_leaving: false,
            has_left: false,
            open_tasks: 0,
        }
    }
}

impl World {
    pub fn new(seed: u64) -> Self {
        let now = Instant::now();
        let mut world = Self {
            start: now,
            now,
            random: SmallRng::seed_from_u64(seed),
            log: Vec::new(),
            reference: FleetFold::default(),
            late_records: Vec::new(),
            log_down_until: now,
            lossy_until: now,
            entries: Vec::new(),
            workers: ZONES.iter().map(|_| Worker::default()).collect(),
            messages: Vec::new(),
            next_process: 1,
            demand: [6; ENTRIES],
            started: 0,
            max_running: LIMIT,
        };
        world.set_limit(LIMIT);
        for index in 0..ENTRIES {
            let entry = world.new_entry(index);
            world.entries.push(entry);
        }
        world
    }

    /// Runs until `condition` holds and returns the elapsed time.
    pub fn run_until(&mut self, bound: Duration, condition: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !condition(self) {
            assert!(
                self.now < start + bound,
                "condition not met within {bound:?}"
            );
            self.run(STEP, &[]);
        }
        self.now - start
    }

    /// Runs for `time` and returns the mean number of running tasks.
    pub fn mean_running(&mut self, time: Duration) -> f64 {
        self.mean(time, |world| world.running() as u32)
    }

    /// Runs for `time` and returns the mean number of permits in use, by tasks in flight too.
    pub fn mean_open_tasks(&mut self, time: Duration) -> f64 {
        self.mean(time, |world| {
            world.entries.iter().map(|entry| entry.open_tasks).sum()
        })
    }

    fn mean(&mut self, time: Duration, count: impl Fn(&Self) -> u32) -> f64 {
        let steps = (time.as_millis() / STEP.as_millis()) as u32;
        let sum: u32 = (0..steps)
            .map(|_| {
                self.run(STEP, &[]);
                count(self)
            })
            .sum();
        f64::from(sum) / f64::from(steps)
    }

    fn new_entry(&mut self, index: usize) -> Entry {
        self.next_process += 1;
        Entry::new(self.now, index, self.next_process)
    }

    pub fn set_limit(&mut self, limit: u32) {
        let base = self.reference.state().revision;
        let spec = Arc::new(fleet(limit));
        self.append(RecordBody::Fleet(FleetProposal::whole(base, spec)));
    }

    fn append(&mut self, body: RecordBody) {
        let record = LogRecord {
            id: self.log.len() as RecordId,
            author: String::new(),
            written: SystemTime::UNIX_EPOCH,
            body,
        };
        let granted = self.reference.permits().granted(&account());
        self.reference.advance(self.log.len() as LogOffset, &record);
        self.log.push(Arc::new(record));
        let permits = self.reference.permits();
        let limit = permits.table().limit(&account());
        let bound = limit.max(granted);
        assert!(
            permits.granted(&account()) <= bound,
            "more permits are granted than the limit allows"
        );
        let usable = |grant: &PermitGrant| grant.usable_floor + grant.usable_float;
        let usable: u32 = permits
            .grants(&account())
            .map(|(_, grant)| usable(grant))
            .sum();
        assert!(
            usable <= limit,
            "more permits are usable than the limit allows"
        );
    }

    pub fn run(&mut self, time: Duration, faults: &[FaultInjection]) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let step = (self.now - self.start).as_millis() / STEP.as_millis();
            let due = faults
                .iter()
                .filter(|fault| u128::from(fault.start) == step);
            due.for_each(|fault| self.inject(*fault));
            self.append_late_records();
            self.deliver_messages();
            (0..self.workers.len()).for_each(|worker| self.step_worker(worker));
            (0..ENTRIES).for_each(|index| self.step_entry(index));
        }
    }

    pub fn inject(&mut self, injection: FaultInjection) {
        let until = self.now + STEP * injection.length;
        match injection.fault {
            Fault::Pause => self.entries[injection.entry].paused_until = until,
            Fault::LogPartition => self.entries[injection.entry].partitioned_until = until,
            Fault::LogPartitionAndSuspicion => {
                self.entries[injection.entry].partitioned_until = until;
                if let Some(member) = self.entries[injection.entry].holder.member().cloned() {
                    let suspicion = ControlProposal::Member(MemberProposal::Suspect { member });
                    let peer = (injection.entry + 1) % ENTRIES;
                    self.send_to_batcher(peer, AppendEvent::Propose(suspicion));
                }
            }
            Fault::Crash => self.entries[injection.entry] = self.new_entry(injection.entry),
            Fault::Leave => self.entries[injection.entry].is_leaving = true,
            Fault::LogOutage => self.log_down_until = until,
            Fault::ResponsesLost => self.lossy_until = until,
        }
    }

    fn delay(&mut self) -> Duration {
        STEP * self.random.random_range(0..8)
    }

    fn append_late_records(&mut self) {
        let now = self.now;
        let late = std::mem::take(&mut self.late_records);
        let (due, later): (Vec<_>, Vec<_>) = late.into_iter().partition(|(at, _)| *at <= now);
        self.late_records = later;
        for (_, batch) in due {
            self.append(RecordBody::Control(batch));
        }
    }

    fn deliver_messages(&mut self) {
        let now = self.now;
        let all = std::mem::take(&mut self.messages);
        let (due, later): (Vec<_>, Vec<_>) = all.into_iter().partition(|(at, ..)| *at <= now);
        self.messages = later;
        for (_, worker, message) in due {
            self.deliver(worker, message);
        }
    }

    fn deliver(&mut self, index: usize, message: Message) {
        let now = self.now;
        let worker = &mut self.workers[index];
        match message {
            Message::Lease { key, renews } => {
                let known = worker.leases.get(&key).map(|(number, _)| *number);
                if known == renews && !worker.fenced.contains(&key.0) {
                    worker.granted += 1;
                    let renewed = known.map(|(lease, renewal)| (lease, renewal + 1));
                    let number = renewed.unwrap_or((worker.granted, 0));
                    worker.leases.insert(key, (number, now + SLOW_TTL));
                }
            }
            Message::Start(task) => {
                let key = (task.holder.clone(), task.permit.kind);
                let lease = worker.leases.get(&key);
                let is_named = |((lease, renewal), _): &(LeaseNumber, Instant)| {
                    *lease == task.lease.0 && *renewal <= task.lease.1 + 1
                };
                if lease.is_some_and(is_named) {
                    self.started += 1;
                    worker.running.push(task);
                    let running = self.running();
                    assert!(
                        running <= self.max_running as usize,
                        "{running} tasks run, more than the limit"
                    );
                } else {
                    self.end_task(&task);
                }
            }
            Message::Fence { entry, holder } => {
                if worker.leases.keys().all(|(other, _)| *other != holder) {
                    worker.fenced.insert(holder.clone());
                    let event = ReclaimEvent::HolderFenced {
                        holder: &holder,
                        worker: &format!("w-{}", ZONES[index]).into(),
                    };
                    let commands = self.entries[entry].reclaim.handle(now, event);
                    self.execute_reclaim(entry, commands);
                }
            }
        }
    }

    /// Ends tasks that are complete or whose lease has expired.
    fn step_worker(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        worker.leases.retain(|_, (_, ends)| now < *ends);
        let leases = &worker.leases;
        let running = std::mem::take(&mut worker.running);
        let (running, ended): (Vec<_>, Vec<_>) = running.into_iter().partition(|task| {
            let key = (task.holder.clone(), task.permit.kind);
            now < task.ends && leases.contains_key(&key)
        });
        worker.running = running;
        ended.iter().for_each(|task| self.end_task(task));
    }

    fn end_task(&mut self, task: &Task) {
        let entry = &mut self.entries[task.entry];
        if entry.process == task.process {
            entry.open_tasks -= 1;
            entry.holder.release(self.now, task.permit.clone());
        }
    }

    fn step_entry(&mut self, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        if now < entry.paused_until || entry.has_left {
            return;
        }
        let can_reach = now >= entry.partitioned_until && now >= self.log_down_until;
        let events = if can_reach {
            self.read(index)
        } else {
            Vec::new()
        };
        let entry = &mut self.entries[index];
        let mut commands = events;
        commands.extend(entry.member.handle(now, MemberEvent::TimePassed));
        if entry.is_leaving && entry.open_tasks == 0 {
            commands.extend(entry.member.handle(now, MemberEvent::TasksEnded));
        }
        let mut proposals: Vec<ControlProposal> = Vec::new();
        for command in commands {
            match command {
                MemberCommand::Propose(proposal) => {
                    proposals.push(ControlProposal::Member(proposal));
                }
                MemberCommand::ActAs(key) => {
                    proposals.clear();
                    entry.batcher.handle(now, AppendEvent::ActAs(key));
                }
                MemberCommand::SendHeartbeat(_) => {}
                MemberCommand::Departed => entry.has_left = true,
            }
        }
        let permits = entry.holder.proposals(now).into_iter();
        proposals.extend(permits.map(ControlProposal::Permit));
        for proposal in proposals {
            self.send_to_batcher(index, AppendEvent::Propose(proposal));
        }
        self.send_to_batcher(index, AppendEvent::TimePassed);
        let commands = self.entries[index]
            .reclaim
            .handle(now, ReclaimEvent::TimePassed);
        self.execute_reclaim(index, commands);
        self.request_leases(index);
        self.start_tasks(index);
    }

    /// Reads the log up to its end and applies the records to the entry's state.
    fn read(&mut self, index: usize) -> Vec<MemberCommand> {
        let now = self.now;
        let entry = &mut self.entries[index];
        let from = entry.fold.state().next_offset;
        let items = (from..).zip(&self.log[from as usize..]);
        let end = self.log.len() as LogOffset;
        let reading = LogReading {
            requested_at: Some(now),
            image: None,
            from,
            items: items
                .map(|(offset, record)| (offset, LogItem::Record(Arc::clone(record))))
                .collect(),
            next_offset: end,
            end,
        };
        entry.fold.apply_reading(&reading);
        let fresh_at = entry.fold.freshness(&reading);
        let (permits, members) = (entry.fold.permits(), entry.fold.members());
        entry.holder.observe(now, fresh_at, permits, members);
        let count = AppendEvent::MembersCounted(members.len());
        let read = ReclaimEvent::LogRead { permits, members };
        let reclaim = entry.reclaim.handle(now, read);
        let read = MemberEvent::LogRead {
            members,
            next_offset: end,
        };
        let commands = entry.member.handle(now, read);
        self.execute_reclaim(index, reclaim);
        self.send_to_batcher(index, count);
        commands
    }

    fn execute_reclaim(&mut self, index: usize, commands: Vec<ReclaimCommand>) {
        for command in commands {
            match command {
                ReclaimCommand::Propose(proposal) => {
                    let proposal = ControlProposal::Permit(proposal);
                    self.send_to_batcher(index, AppendEvent::Propose(proposal));
                }
                ReclaimCommand::FenceHolder { holder, worker } => {
                    let worker_index = ZONES.iter().position(|zone| worker.ends_with(zone));
                    let at = self.now + self.delay();
                    let entry = index;
                    let message = Message::Fence { entry, holder };
                    self.messages
                        .push((at, worker_index.expect("known worker"), message));
                }
            }
        }
    }

    /// Passes an event to the batcher and appends its batches.
    ///
    /// Under faults, responses are lost and records are appended twice or late.
    fn send_to_batcher(&mut self, index: usize, event: AppendEvent) {
        let now = self.now;
        for command in self.entries[index].batcher.handle(now, event) {
            let AppendCommand::Append(batch) = command else {
                continue;
            };
            let is_partitioned =
                now < self.log_down_until || now < self.entries[index].partitioned_until;
            let is_lossy = now < self.lossy_until;
            let lost = AppendEvent::Failed(LogError::Unreachable(String::new()));
            if is_lossy {
                let delay = STEP * self.random.random_range(0..200);
                self.late_records.push((now + delay, batch.clone()));
            }
            if !is_partitioned && (!is_lossy || self.random.random()) {
                self.append(RecordBody::Control(batch));
            }
            let is_acknowledged = !is_partitioned && !is_lossy;
            let response = if is_acknowledged {
                AppendEvent::Appended
            } else {
                lost
            };
            self.entries[index].batcher.handle(now, response);
        }
    }

    /// Requests leases based on the state at this time; the request may be delayed.
    fn request_leases(&mut self, index: usize) {
        let Some(key) = self.entries[index].holder.member().cloned() else {
            return;
        };
        for worker in 0..self.workers.len() {
            for kind in [PermitKind::Floor, PermitKind::Float] {
                let name = (key.clone(), kind);
                let at = self.now + self.delay();
                let entry = &mut self.entries[index];
                // Reads the lease from the worker, as if the response had no latency.
                let known = self.workers[worker]
                    .leases
                    .get(&name)
                    .map(|(number, _)| *number);
                let held = entry.held_leases.get(&(worker, name.clone()));
                let is_new = known.is_some() && held.map(|(number, _)| *number) != known;
                if let Some(number) = known.filter(|_| is_new) {
                    let until = self.now + LEASE_TTL;
                    entry
                        .held_leases
                        .insert((worker, name.clone()), (number, until));
                }
                let is_fresh = entry.holder.is_fresh(self.now);
                let held = entry.held_leases.get(&(worker, name.clone()));
                let is_due = held.is_none_or(|(_, until)| *until < self.now + LEASE_TTL / 2);
                if is_due && (kind == PermitKind::Floor || is_fresh) {
                    let message = Message::Lease {
                        key: name,
                        renews: known,
                    };
                    self.messages.push((at, worker, message));
                }
            }
        }
    }

    /// Reports the number of waiting tasks to the holder and returns it.
    fn set_demand(&mut self, index: usize) -> u32 {
        let entry = &mut self.entries[index];
        let wanted = if entry.is_leaving {
            0
        } else {
            self.demand[index]
        };
        let waiting = wanted.saturating_sub(entry.open_tasks);
        entry.holder.set_demand(self.now, &account(), waiting);
        waiting
    }

    fn start_tasks(&mut self, index: usize) {
        let now = self.now;
        let waiting = self.set_demand(index);
        for _ in 0..waiting {
            let worker = self.random.random_range(0..self.workers.len());
            let zone = ZONES[worker].into();
            let entry = &mut self.entries[index];
            let Some(permit) = entry.holder.acquire(now, &account(), &zone) else {
                continue;
            };
            let holder = entry.holder.member().cloned().expect("entry is a member");
            let name = (worker, (holder.clone(), permit.kind));
            let grant = entry
                .held_leases
                .get(&name)
                .filter(|(_, until)| now < *until);
            let Some((lease, _)) = grant.copied() else {
                entry.holder.release(now, permit);
                continue;
            };
            entry.open_tasks += 1;
            let task = Task {
                entry: index,
                process: entry.process,
                holder,
                permit,
                lease,
                ends: now + STEP * self.random.random_range(5..60),
            };
            let at = now + self.delay();
            self.messages.push((at, worker, Message::Start(task)));
        }
        self.set_demand(index);
    }

    pub fn running(&self) -> usize {
        self.workers.iter().map(|worker| worker.running.len()).sum()
    }
}
