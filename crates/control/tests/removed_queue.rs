//! Jobs whose queue is no longer in the configuration.

mod support;

use pw_control::prelude::*;
use pw_job::prelude::*;

use self::support::*;

/// Starts that may be refused for lack of a ticket: each task of the step once under each owner.
const MAX_REFUSALS: usize = 4;

/// Creates a cluster that runs the first of two steps of a job whose starts need tickets.
fn advised_cluster() -> TestCluster {
    let mut cluster = TestCluster::new(3);
    cluster.eligible_workers = vec!["w1".into()];
    cluster.tickets_required = true;
    cluster.set_config(|config| {
        config.queues["queue"].advice = Some(AdviceRule {
            base_time: millis(20),
            time_per_worker: millis(2),
            validity: seconds(3),
        });
    });
    let second = StepSpec {
        depends_on: vec![0],
        ..step(2)
    };
    cluster.submit("job", None, vec![step(2), second]);
    assert!(cluster.run_until(seconds(2), |cluster| cluster.running("job.0.0.0") == 1));
    cluster
}

/// Guards against a step that never starts since its job's queue with advice was removed.
#[test]
fn a_step_gets_tickets_after_its_queue_was_removed() {
    let mut cluster = advised_cluster();
    cluster.set_config(|config| config.queues.clear());
    assert!(cluster.run_until(seconds(5), |cluster| cluster.status("job") == COMPLETED));
    let refused = cluster.tickets.iter().filter(|ticket| ticket.is_none());
    assert!(refused.count() <= MAX_REFUSALS);
}

/// Guards against the same under an owner that never knew the queue.
#[test]
fn a_new_owner_gets_tickets_for_a_job_of_a_removed_queue() {
    let mut cluster = advised_cluster();
    cluster.set_config(|config| config.queues.clear());
    cluster.hand_over();
    assert!(cluster.run_until(seconds(5), |cluster| cluster.status("job") == COMPLETED));
    let refused = cluster.tickets.iter().filter(|ticket| ticket.is_none());
    assert!(refused.count() <= MAX_REFUSALS);
}

/// Guards against a worker that demands a ticket although there is no advice, and thereby stops a job
/// that other workers would run.
#[test]
fn an_odd_ticket_refusal_does_not_stop_a_job() {
    let mut cluster = TestCluster::new(1);
    cluster.advice_fails = true;
    cluster.tickets_required = true;
    cluster.submit("job", None, vec![step(1)]);
    cluster.run(seconds(2));
    let refused = cluster.tickets.len();
    assert!(refused <= 10, "{refused} starts were refused");
    cluster.tickets_required = false;
    assert!(cluster.run_until(seconds(3), |cluster| cluster.status("job") == COMPLETED));
}
