//! A planned stop of a VM process while requests come all through its grace time.

use async_std::task;
use dahliawood_testkit::planned_stop::{self, StopRecord};
use std::path::Path;
use std::time::Duration;

/// Requests that are sent later than this after the signal must be answered if they are passed on.
const EXCUSED: Duration = Duration::from_secs(3);
/// The last sixth of the grace time, in which a target may still be at work on an earlier request.
const LAST_SIXTH: Duration = Duration::from_secs(5);
/// A connection that ends later than this after a request was sent has left it unanswered.
const SLACK: Duration = Duration::from_millis(200);

fn play(name: &str, processing: Duration) -> Vec<StopRecord> {
    let work_dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let program = Path::new(env!("CARGO_BIN_EXE_dahliawoodd"));
    let played = task::block_on(planned_stop::play(program, &work_dir, processing));
    played.expect("the processes start")
}

/// Whether a request was taken and left without an answer, and nothing excuses it.
fn is_lost(record: &StopRecord, processing: Duration) -> bool {
    if record.status.is_some() {
        return false;
    }
    let was_at_work = record.sent <= EXCUSED && record.sent + processing > LAST_SIXTH;
    match record.has_run {
        true => !was_at_work,
        false => record.taken > SLACK,
    }
}

/// Guards against requests that come late in the grace time, are passed on, and cut at its end (LOST).
#[test]
fn requests_that_come_during_a_planned_stop_are_answered_or_not_taken() {
    for millis in [20, 1_000, 4_000] {
        let processing = Duration::from_millis(millis);
        let records = play(&format!("stop-{millis}"), processing);
        let lost: Vec<_> = records
            .iter()
            .filter(|record| is_lost(record, processing))
            .collect();
        assert!(lost.is_empty(), "{processing:?}: {lost:#?}");
        let is_refused = |record: &&StopRecord| matches!(record.status, Some(429 | 503));
        let mut refused = records.iter().filter(is_refused);
        assert!(refused.all(|record| !record.has_run), "refused and run");
        let served = records
            .iter()
            .filter(|record| record.status == Some(200))
            .count();
        assert!(served > 5, "{processing:?}: {served} served");
    }
}
