//! The bound of the volume of logs.

use std::time::{Duration, Instant};

use pw_node::log_budget::LogBudget;
use tracing::Callsite;
use tracing::callsite::Identifier;

/// Returns the identity of a place that logs.
fn place() -> Identifier {
    tracing::callsite!(name: "place", kind: tracing::metadata::Kind::EVENT, fields: message)
        .metadata()
        .callsite()
}

#[test]
fn a_place_logs_so_many_lines_a_second_and_the_rest_is_counted() {
    let budget = LogBudget::new(10);
    let place = place();
    let now = Instant::now();
    let allowed = (0..25).filter(|_| budget.allows(&place, now)).count();
    assert_eq!(allowed, 10);
    assert_eq!(budget.take_suppressed(), 15);
    assert_eq!(budget.take_suppressed(), 0);
    assert!(budget.allows(&place, now + Duration::from_secs(1)));
}
