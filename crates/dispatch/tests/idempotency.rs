//! A request with an idempotency key runs once, within bounds of time and memory.

use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_dispatch::prelude::*;

const DIGEST: RequestDigest = [1; 32];
const OTHER_DIGEST: RequestDigest = [2; 32];
const SETTINGS: IdempotencySettings = IdempotencySettings {
    keep: Duration::from_secs(60),
    max_requests: 2,
    max_answer_bytes: 8,
};

struct Rig {
    book: IdempotencyBook,
    start: Instant,
}

impl Rig {
    fn new() -> Self {
        Self {
            book: IdempotencyBook::new(SETTINGS),
            start: Instant::now(),
        }
    }

    fn judge(
        &mut self,
        secs: u64,
        key: &str,
        digest: RequestDigest,
        task: TaskId,
    ) -> IdempotencyVerdict {
        let now = self.start + Duration::from_secs(secs);
        let key = RequestKey {
            account: Some("own".into()),
            key: key.into(),
        };
        self.book.judge(now, key, digest, task)
    }

    fn close(&mut self, secs: u64, task: TaskId, outcome: TaskOutcome, answer: &[u8]) {
        let now = self.start + Duration::from_secs(secs);
        self.book.close(now, task, outcome, answer);
    }
}

fn refused(certainty: RunCertainty) -> TaskOutcome {
    TaskOutcome::Refused {
        reason: RefusalReason::BackendFailed,
        certainty,
    }
}

#[test]
fn repeated_request_joins_and_then_gets_the_kept_end() {
    let mut rig = Rig::new();
    assert_eq!(rig.judge(0, "a", DIGEST, 1), IdempotencyVerdict::Submit);
    assert_eq!(rig.judge(1, "a", DIGEST, 2), IdempotencyVerdict::Join(1));
    rig.close(2, 1, TaskOutcome::Answered, b"done");
    let kept = IdempotencyVerdict::Repeat(ClosedTask {
        task: 1,
        outcome: TaskOutcome::Answered,
        answer: b"done".to_vec(),
    });
    assert_eq!(rig.judge(61, "a", DIGEST, 3), kept);
    assert_eq!(
        rig.judge(62, "a", DIGEST, 4),
        IdempotencyVerdict::Submit,
        "expired"
    );
}

#[test]
fn other_request_with_the_same_key_is_refused() {
    let mut rig = Rig::new();
    let mismatch = IdempotencyVerdict::Refuse(RefusalReason::RequestMismatch);
    rig.judge(0, "a", DIGEST, 1);
    assert_eq!(rig.judge(0, "a", OTHER_DIGEST, 2), mismatch);
    rig.close(1, 1, TaskOutcome::Answered, b"");
    assert_eq!(rig.judge(2, "a", OTHER_DIGEST, 3), mismatch);
}

#[test]
fn only_what_certainly_did_not_run_may_run_again() {
    let lines = [
        (RunCertainty::NotRun, true),
        (RunCertainty::Unknown, false),
        (RunCertainty::Ran, false),
    ];
    for (certainty, again) in lines {
        let mut rig = Rig::new();
        rig.judge(0, "a", DIGEST, 1);
        rig.close(1, 1, refused(certainty), b"");
        let verdict = rig.judge(2, "a", DIGEST, 2);
        assert_eq!(verdict == IdempotencyVerdict::Submit, again, "{certainty}");
    }
}

#[test]
fn requests_beyond_the_bound_are_refused_until_one_expires() {
    let mut rig = Rig::new();
    for (key, task) in [("a", 1), ("b", 2)] {
        assert_eq!(rig.judge(0, key, DIGEST, task), IdempotencyVerdict::Submit);
        rig.close(0, task, TaskOutcome::Answered, b"");
    }
    let full = IdempotencyVerdict::Refuse(RefusalReason::Overloaded);
    assert_eq!(rig.judge(59, "c", DIGEST, 3), full);
    assert_eq!(rig.judge(60, "c", DIGEST, 3), IdempotencyVerdict::Submit);
}

#[test]
fn answer_beyond_the_bound_is_not_kept_but_runs_no_second_time() {
    let mut rig = Rig::new();
    rig.judge(0, "a", DIGEST, 1);
    rig.close(0, 1, TaskOutcome::Answered, b"123456");
    rig.judge(0, "b", DIGEST, 2);
    rig.close(0, 2, TaskOutcome::Answered, b"123456");
    let IdempotencyVerdict::Repeat(closed) = rig.judge(1, "b", DIGEST, 3) else {
        panic!("runs again");
    };
    let not_kept = TaskOutcome::Refused {
        reason: RefusalReason::AnswerNotKept,
        certainty: RunCertainty::Ran,
    };
    assert_eq!((closed.outcome, closed.answer), (not_kept, Vec::new()));
}
