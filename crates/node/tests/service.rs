//! Admission of callers by a configuration of some age.

mod support;

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use pw_account::prelude::*;
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_link::prelude::*;
use pw_node::message::CallerMessage;
use pw_node::owners::OwnerClient;
use pw_node::peer_duty::peer_bounds;
use pw_node::prelude::*;
use pw_ring::prelude::*;
use pw_worker::prelude::*;

use self::support::{MemoryStore, rule};

fn config() -> Arc<FleetConfig> {
    let account = AccountRule {
        weight: 1,
        maximum: ResourceSize::default(),
    };
    Arc::new(FleetConfig {
        version: 1,
        queues: IndexMap::from([
            (QueueId::from("keyed"), rule("keyed", false)),
            (QueueId::from("public"), rule("public", true)),
        ]),
        accounts: IndexMap::from([(AccountId::from("ane"), account)]),
        keys: IndexMap::from([(digest_key("key"), AccountId::from("ane"))]),
        ..Default::default()
    })
}

/// Returns a table with the pools of all queues of a configuration.
fn registered(config: &FleetConfig) -> Arc<IntakeTable> {
    let mut table = IntakeTable::default();
    for (queue, record) in table.missing(config) {
        table.apply(queue, Some(record));
    }
    Arc::new(table)
}

/// Runs `check` with a service that has just read its configuration.
fn with_service(check: impl FnOnce(&JobService, &ManualClock, &NodeSettings) + Send + 'static) {
    let duty = DutyThread::spawn("callers", move |spawner| async move {
        let clock = ManualClock::default();
        let source: Arc<dyn ClockSource> = Arc::new(clock.clone());
        let settings = NodeSettings::default();
        let (control, _messages) = ring("control", 1);
        let owners = OwnerClient::new(control, H2Client::new(peer_bounds(), spawner));
        let writer = SubmissionWriter::new(
            settings.clone(),
            Arc::clone(&source),
            Box::new(MemoryStore::default()),
        );
        let service = JobService::new(settings.clone(), source, writer, owners);
        service.handle(CallerMessage::ConfigRead {
            requested_at: clock.now(),
            config: Some(config()),
        });
        service.handle(CallerMessage::Intakes(registered(&config())));
        check(&service, &clock, &settings);
    });
    assert!(duty.expect("a thread").join(), "a check failed");
}

/// A queue that a newer configuration has added must not be reported as unknown.
#[test]
fn no_caller_is_refused_by_a_configuration_that_may_be_out_of_force() {
    with_service(|service, clock, settings| {
        let refusals = || {
            [("missing", None), ("keyed", Some("other"))]
                .map(|(host, key)| service.admit(host, "/job", key).err())
        };
        let known = [Some(ServiceRefusal::NoQueue), Some(ServiceRefusal::NoKey)];
        clock.advance(settings.max_config_age);
        assert_eq!(refusals(), known);
        clock.advance(Duration::from_millis(1));
        assert_eq!(refusals(), [Some(ServiceRefusal::StaleConfig); 2]);
    });
}

#[test]
fn no_caller_is_admitted_by_a_configuration_that_may_be_out_of_force() {
    with_service(|service, clock, settings| {
        let admitted = || {
            [("keyed", Some("key")), ("public", None)]
                .map(|(host, key)| service.admit(host, "/job", key).is_ok())
        };
        clock.advance(settings.max_config_age);
        assert_eq!(admitted(), [true; 2]);
        clock.advance(Duration::from_millis(1));
        assert_eq!(admitted(), [false; 2]);
    });
}
