//! Members on virtual time, with a log that is a plain list.

use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_member::prelude::*;

const STEP: Duration = Duration::from_millis(100);

struct Member {
    monitor: MemberMonitor,
    running: bool,
    departed: bool,
}

struct Fleet {
    now: Instant,
    ledger: MemberLedger,
    offset: LogOffset,
    members: Vec<Member>,
    log_up: bool,
    heartbeats: bool,
    appends: u32,
}

impl Fleet {
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
            Member {
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
            self.carry_out(index, command);
        }
    }

    fn hear(&mut self, index: usize, peer: &MemberKey) {
        if self.members[index].running {
            let event = MemberEvent::HeartbeatReceived(peer);
            let commands = self.members[index].monitor.handle(self.now, event);
            for command in commands {
                self.carry_out(index, command);
            }
        }
    }

    fn carry_out(&mut self, index: usize, command: MemberCommand) {
        let key = self.members[index].monitor.key().clone();
        match command {
            MemberCommand::Propose(proposal) => {
                assert!(self.log_up, "no proposal from stale knowledge");
                self.appends += 1;
                _ = self.ledger.apply(self.offset, &key, &proposal);
                self.ledger.note_record(self.offset, &key, 1);
                self.offset += 1;
            }
            MemberCommand::SendHeartbeat(addresses) if self.heartbeats => {
                for address in addresses {
                    let peer = usize::from(address.port()) - 1;
                    self.hear(peer, &key);
                }
            }
            MemberCommand::Departed => self.members[index].departed = true,
            MemberCommand::SendHeartbeat(_) | MemberCommand::ActAs(_) => {}
        }
    }
}

#[test]
fn silent_member_is_retired_after_the_hold_down_and_not_before() {
    let mut fleet = Fleet::new(3);
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.ledger.len(), 3);
    let settings = MemberSettings::default();
    fleet.members[0].running = false;
    fleet.run(settings.hold_down);
    assert_eq!(fleet.ledger.len(), 3, "hold-down starts at the suspicion");
    fleet.run(settings.suspect_timeout + settings.stagger * 8 + STEP * 4);
    assert_eq!(fleet.ledger.len(), 2);
    assert!(fleet.ledger.current(1).is_none());

    // The process was only frozen: it wakes and rejoins with a new incarnation.
    fleet.members[0].running = true;
    fleet.run(Duration::from_secs(1));
    let (key, _) = fleet.ledger.current(1).expect("rejoined");
    assert_eq!(key.incarnation, 2);
}

#[test]
fn members_without_heartbeats_refute_every_suspicion() {
    let mut fleet = Fleet::new(9);
    fleet.heartbeats = false;
    fleet.run(Duration::from_secs(60));
    assert_eq!(fleet.ledger.len(), 9);
    assert!(
        fleet
            .members
            .iter()
            .all(|m| m.monitor.key().incarnation == 1)
    );
    // Two records for each member and silence, and the nine joins.
    assert!(fleet.appends <= 9 + 2 * 9 * 20, "{} appends", fleet.appends);
}

#[test]
fn steady_members_append_nothing() {
    let mut fleet = Fleet::new(9);
    fleet.run(Duration::from_secs(60));
    assert_eq!(fleet.appends, 9);
}

#[test]
fn outage_of_the_log_suspects_nobody() {
    let mut fleet = Fleet::new(3);
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
fn leaving_member_is_gone_at_once() {
    let mut fleet = Fleet::new(3);
    fleet.run(Duration::from_secs(2));
    let now = fleet.now;
    for command in fleet.members[1]
        .monitor
        .handle(now, MemberEvent::TasksEnded)
    {
        fleet.carry_out(1, command);
    }
    assert_eq!(fleet.ledger.len(), 2);
    fleet.run(STEP);
    assert!(fleet.members[1].departed);
    fleet.run(Duration::from_secs(20));
    assert_eq!(fleet.ledger.len(), 2, "a member that left does not rejoin");
}
