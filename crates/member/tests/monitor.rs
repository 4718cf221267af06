//! Tests member monitors on virtual time, with an in-memory ledger in place of the log.

use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_member::prelude::*;

const STEP: Duration = Duration::from_millis(100);

struct TestMember {
    monitor: MemberMonitor,
    running: bool,
    departed: bool,
}

struct TestFleet {
    now: Instant,
    ledger: MemberLedger,
    offset: LogOffset,
    members: Vec<TestMember>,
    log_up: bool,
    heartbeats: bool,
    appends: u32,
}

impl TestFleet {
    fn new(count: u128) -> Self {
        let now = Instant::now();
        let members = (1..=count).map(|process| {
            let key = MemberKey {
                entry: format!("entry-{process}").into(),
                process,
                incarnation: 1,
            };
            let spec = MemberSpec {
                zone: "a".into(),
                address: ([127, 0, 0, 1], process as u16).into(),
                format: 1,
            };
            TestMember {
                monitor: MemberMonitor::new(now, MemberSettings::default(), key, spec),
                running: true,
                departed: false,
            }
        });
        Self {
            now,
            ledger: MemberLedger::default(),
            offset: 0,
            members: members.collect(),
            log_up: true,
            heartbeats: true,
            appends: 0,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for index in 0..self.members.len() {
                self.step(index);
            }
        }
    }

    fn step(&mut self, index: usize) {
        if !self.members[index].running {
            return;
        }
        let event = if self.log_up {
            MemberEvent::LogRead {
                members: &self.ledger,
                next_offset: self.offset,
            }
        } else {
            MemberEvent::TimePassed
        };
        let commands = self.members[index].monitor.handle(self.now, event);
        for command in commands {
            self.execute(index, command);
        }
    }

    fn receive_heartbeat(&mut self, index: usize, peer: &MemberKey) {
        if self.members[index].running {
            let event = MemberEvent::HeartbeatReceived(peer);
            let commands = self.members[index].monitor.handle(self.now, event);
            for command in commands {
                self.execute(index, command);
            }
        }
    }

    fn execute(&mut self, index: usize, command: MemberCommand) {
        let key = self.members[index].monitor.key().clone();
        match command {
            MemberCommand::Propose(proposal) => {
                assert!(self.log_up, "proposal made while the log is unreachable");
                self.appends += 1;
                _ = self.ledger.apply(self.offset, &key, &proposal);
                self.ledger.note_record(self.offset, &key, 1);
                self.offset += 1;
            }
            MemberCommand::SendHeartbeat(addresses) if self.heartbeats => {
                for address in addresses {
                    let peer = usize::from(address.port()) - 1;
                    self.receive_heartbeat(peer, &key);
                }
            }
            MemberCommand::Departed => self.members[index].departed = true,
            MemberCommand::SendHeartbeat(_) | MemberCommand::ActAs(_) => {}
        }
    }
}

#[test]
fn silent_member_is_retired_only_after_the_hold_down() {
    let mut fleet = TestFleet::new(3);
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.ledger.len(), 3);
    let settings = MemberSettings::default();
    fleet.members[0].running = false;
    fleet.run(settings.hold_down);
    assert_eq!(
        fleet.ledger.len(),
        3,
        "member retired before the end of the hold-down"
    );
    fleet.run(settings.suspect_timeout + settings.stagger * 8 + STEP * 4);
    assert_eq!(fleet.ledger.len(), 2);
    assert!(fleet.ledger.current(1).is_none());

    // The process was only suspended. It resumes and rejoins with a new incarnation.
    fleet.members[0].running = true;
    fleet.run(Duration::from_secs(1));
    let (key, _) = fleet.ledger.current(1).expect("rejoined");
    assert_eq!(key.incarnation, 2);
}

#[test]
fn members_without_heartbeats_refute_every_suspicion() {
    let mut fleet = TestFleet::new(9);
    fleet.heartbeats = false;
    fleet.run(Duration::from_secs(60));
    assert_eq!(fleet.ledger.len(), 9);
    assert!(
        fleet
            .members
            .iter()
            .all(|m| m.monitor.key().incarnation == 1)
    );
    // At most two records per member and suspect timeout (60 s / 3 s = 20), and nine joins.
    assert!(fleet.appends <= 9 + 2 * 9 * 20, "{} appends", fleet.appends);
}

#[test]
fn healthy_members_append_only_their_joins() {
    let mut fleet = TestFleet::new(9);
    fleet.run(Duration::from_secs(60));
    assert_eq!(fleet.appends, 9);
}

#[test]
fn log_outage_causes_no_suspicions() {
    let mut fleet = TestFleet::new(3);
    fleet.run(Duration::from_secs(2));
    fleet.heartbeats = false;
    fleet.log_up = false;
    fleet.run(Duration::from_secs(600));
    fleet.log_up = true;
    fleet.run(Duration::from_secs(2));
    assert_eq!(fleet.appends, 3);
    assert_eq!(fleet.ledger.len(), 3);
}

#[test]
fn leaving_member_is_removed_immediately() {
    let mut fleet = TestFleet::new(3);
    fleet.run(Duration::from_secs(2));
    let now = fleet.now;
    for command in fleet.members[1]
        .monitor
        .handle(now, MemberEvent::TasksEnded)
    {
        fleet.execute(1, command);
    }
    assert_eq!(fleet.ledger.len(), 2);
    fleet.run(STEP);
    assert!(fleet.members[1].departed);
    fleet.run(Duration::from_secs(20));
    assert_eq!(fleet.ledger.len(), 2, "member rejoined after leaving");
}
