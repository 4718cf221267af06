//! Deduplication of requests by idempotency key, within limits of time and memory.

use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_dispatch::prelude::*;

const DIGEST: RequestDigest = [1; 32];
const OTHER_DIGEST: RequestDigest = [2; 32];
const SETTINGS: IdempotencySettings = IdempotencySettings {
    retention: Duration::from_secs(60),
    max_requests: 2,
    max_answer_bytes: 8,
};

struct TableFixture {
    table: IdempotencyTable,
    start: Instant,
}

impl TableFixture {
    fn new() -> Self {
        Self {
            table: IdempotencyTable::new(SETTINGS),
            start: Instant::now(),
        }
    }

    fn register(
        &mut self,
        secs: u64,
        key: &str,
        digest: RequestDigest,
        task: TaskId,
    ) -> IdempotencyDecision {
        let now = self.start + Duration::from_secs(secs);
        let key = RequestKey {
            account: Some("own".into()),
            key: key.into(),
        };
        self.table.register(now, key, digest, task)
    }

    fn close(&mut self, secs: u64, task: TaskId, outcome: TaskOutcome, answer: &[u8]) {
        let now = self.start + Duration::from_secs(secs);
        self.table.close(now, task, outcome, answer);
    }
}

fn refused(certainty: RunCertainty) -> TaskOutcome {
    TaskOutcome::Refused {
        reason: RefusalReason::BackendFailed,
        certainty,
    }
}

#[test]
fn repeated_request_joins_and_then_gets_the_cached_outcome() {
    let mut fixture = TableFixture::new();
    assert_eq!(
        fixture.register(0, "a", DIGEST, 1),
        IdempotencyDecision::Submit
    );
    assert_eq!(
        fixture.register(1, "a", DIGEST, 2),
        IdempotencyDecision::Join(1)
    );
    fixture.close(2, 1, TaskOutcome::Answered, b"done");
    let replay = IdempotencyDecision::Replay(ClosedTask {
        task: 1,
        outcome: TaskOutcome::Answered,
        answer: b"done".to_vec(),
    });
    assert_eq!(fixture.register(61, "a", DIGEST, 3), replay);
    assert_eq!(
        fixture.register(62, "a", DIGEST, 4),
        IdempotencyDecision::Submit,
        "the outcome has expired"
    );
}

#[test]
fn different_request_with_the_same_key_is_refused() {
    let mut fixture = TableFixture::new();
    let mismatch = IdempotencyDecision::Refuse(RefusalReason::RequestMismatch);
    fixture.register(0, "a", DIGEST, 1);
    assert_eq!(fixture.register(0, "a", OTHER_DIGEST, 2), mismatch);
    fixture.close(1, 1, TaskOutcome::Answered, b"");
    assert_eq!(fixture.register(2, "a", OTHER_DIGEST, 3), mismatch);
}

#[test]
fn only_task_that_certainly_did_not_run_may_run_again() {
    let cases = [
        (RunCertainty::NotRun, true),
        (RunCertainty::Unknown, false),
        (RunCertainty::Ran, false),
    ];
    for (certainty, again) in cases {
        let mut fixture = TableFixture::new();
        fixture.register(0, "a", DIGEST, 1);
        fixture.close(1, 1, refused(certainty), b"");
        let decision = fixture.register(2, "a", DIGEST, 2);
        assert_eq!(
            decision == IdempotencyDecision::Submit,
            again,
            "{certainty}"
        );
    }
}

#[test]
fn requests_beyond_the_limit_are_refused_until_one_expires() {
    let mut fixture = TableFixture::new();
    for (key, task) in [("a", 1), ("b", 2)] {
        assert_eq!(
            fixture.register(0, key, DIGEST, task),
            IdempotencyDecision::Submit
        );
        fixture.close(0, task, TaskOutcome::Answered, b"");
    }
    let full = IdempotencyDecision::Refuse(RefusalReason::Overloaded);
    assert_eq!(fixture.register(59, "c", DIGEST, 3), full);
    assert_eq!(
        fixture.register(60, "c", DIGEST, 3),
        IdempotencyDecision::Submit
    );
}

#[test]
fn answer_beyond_the_limit_is_not_cached_and_its_task_not_repeated() {
    let mut fixture = TableFixture::new();
    fixture.register(0, "a", DIGEST, 1);
    fixture.close(0, 1, TaskOutcome::Answered, b"123456");
    fixture.register(0, "b", DIGEST, 2);
    fixture.close(0, 2, TaskOutcome::Answered, b"123456");
    let IdempotencyDecision::Replay(closed) = fixture.register(1, "b", DIGEST, 3) else {
        panic!("the task would run again");
    };
    let not_kept = TaskOutcome::Refused {
        reason: RefusalReason::AnswerNotKept,
        certainty: RunCertainty::Ran,
    };
    assert_eq!((closed.outcome, closed.answer), (not_kept, Vec::new()));
}
