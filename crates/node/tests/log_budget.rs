//! Rate limit for log lines.

use std::time::{Duration, Instant};

use pw_node::log_budget::LogBudget;
use tracing::Callsite;
use tracing::callsite::Identifier;

/// Returns the identifier of a callsite.
fn callsite() -> Identifier {
    tracing::callsite!(name: "place", kind: tracing::metadata::Kind::EVENT, fields: message)
        .metadata()
        .callsite()
}

#[test]
fn lines_over_the_limit_are_suppressed_and_counted() {
    let budget = LogBudget::new(10);
    let callsite = callsite();
    let now = Instant::now();
    let allowed = (0..25).filter(|_| budget.allows(&callsite, now)).count();
    assert_eq!(allowed, 10);
    assert_eq!(budget.take_suppressed(), 15);
    assert_eq!(budget.take_suppressed(), 0);
    assert!(budget.allows(&callsite, now + Duration::from_secs(1)));
}
