//! Unit tests of the call budget, leases, backoff, watches, parts of files and write proofs.

use crate::support;
use dahliawood_model::stamp;
use dahliawood_store::acceptance::decision;
use dahliawood_store::backoff;
use dahliawood_store::budget;
use dahliawood_store::content;
use dahliawood_store::head;
use dahliawood_store::lease;
use dahliawood_store::protocol;
use dahliawood_store::revision;
use dahliawood_store::watch;
use proptest::prelude::*;
use std::time::Duration;

fn stamp(revision: u64, write: &str) -> head::RevisionStamp {
    head::RevisionStamp {
        revision,
        write_id: head::WriteId::from(write.to_owned()),
        hash: content::ContentHash::of(write),
    }
}

#[test]
fn missing_write_is_fenced_only_above_the_expected_version() {
    let write_id = head::WriteId::from("own".to_owned());
    let head = head::HeadDocument::default()
        .with_accepted(&stamp(1, "other"), head::WriteNonce::from_draw(0.1));
    let mut record = decision::WriteRecord {
        revision: 2,
        expected: Some(7),
        unconfirmed: Vec::new(),
    };
    assert_eq!(
        decision::prove(&head, 7, &write_id, &record),
        decision::WriteProof::Pending
    );
    assert_eq!(
        decision::prove(&head, 8, &write_id, &record),
        decision::WriteProof::Fenced
    );
    record.unconfirmed = vec![head::WriteNonce::from_draw(0.1)];
    assert_eq!(
        decision::prove(&head, 8, &write_id, &record),
        decision::WriteProof::Fenced
    );
    // The trail of this head does not contain the head on which the write was sent: the store was
    // restored.
    record.unconfirmed = vec![head::WriteNonce::from_draw(0.2)];
    assert_eq!(
        decision::prove(&head, 8, &write_id, &record),
        decision::WriteProof::PossiblyDropped
    );
}

#[test]
fn revision_number_is_acknowledged_for_one_write_only() {
    let mut tracker = revision::RevisionTracker::new("vm", 1);
    tracker.observe_proposed(&stamp(3, "first"));
    tracker.observe_proposed(&stamp(3, "second"));
    let status = tracker.status();
    assert_eq!(status.refused.unwrap().stamp, stamp(3, "second"));
    let head = head::HeadDocument::default();
    assert_eq!(decision::next_revision(&head, &[tracker.status()], 0), 4);
}

#[test]
fn lease_expires_at_its_holder_counted_from_the_time_of_sending() {
    let sent_at = stamp::TimeStamp::from_millis(1_000);
    let mut lease = lease::HeldLease::new(1, Duration::from_secs(9), sent_at);
    assert!(lease.is_valid(stamp::TimeStamp::from_millis(9_999)));
    assert!(!lease.is_valid(stamp::TimeStamp::from_millis(10_000)));
    assert_eq!(lease.renew_at(), stamp::TimeStamp::from_millis(4_000));
    lease.renewed(stamp::TimeStamp::from_millis(4_000));
    lease.renewed(stamp::TimeStamp::from_millis(2_000));
    assert_eq!(lease.expires_at(), stamp::TimeStamp::from_millis(13_000));
}

#[test]
fn watch_detects_another_value_of_the_same_version_and_measures_silence() {
    let wait = Duration::from_secs(20);
    let mut cursor = watch::WatchCursor::new("k", stamp::TimeStamp::ZERO);
    assert_eq!(cursor.next_call(wait).wait, Duration::ZERO);
    let entry = |value: &str| protocol::KeyEntry {
        key: "k".into(),
        version: 5,
        value: Some(value.into()),
    };
    assert!(
        cursor
            .update(entry("a"), stamp::TimeStamp::from_millis(10))
            .is_some()
    );
    assert!(
        cursor
            .update(entry("a"), stamp::TimeStamp::from_millis(20))
            .is_none()
    );
    assert!(
        cursor
            .update(entry("b"), stamp::TimeStamp::from_millis(30))
            .is_some()
    );
    assert_eq!(
        cursor.silence(stamp::TimeStamp::from_millis(50)),
        Duration::from_millis(20)
    );
    let waits: Vec<_> = (0..5).map(|_| cursor.next_call(wait).wait).collect();
    assert!(
        waits.contains(&Duration::ZERO),
        "one of the calls does not wait"
    );
    assert_eq!(cursor.next_call(wait).after, 5);
}

proptest! {
    #![proptest_config(support::config(200))]

    #[test]
    fn fleet_never_calls_above_its_rate(
        vms in 1usize..1_000,
        gaps in prop::collection::vec(0u64..500, 1..60),
    ) {
        let options = budget::BudgetOptions::default();
        let mut budget = budget::CallBudget::new(options, vms, stamp::TimeStamp::ZERO);
        let mut now = stamp::TimeStamp::ZERO;
        let mut calls = Vec::new();
        for gap in gaps {
            now = now.after(Duration::from_millis(gap));
            calls.extend(budget.reserve(budget::CallKind::Write, now).map(|wait| now.after(wait)));
        }
        let rate = budget.rate(budget::CallKind::Write);
        for (first, start) in calls.iter().enumerate() {
            for (count, end) in calls[first..].iter().enumerate() {
                let allowed = rate.max(1.0) + rate * end.since(*start).as_secs_f64();
                prop_assert!((count + 1) as f64 <= allowed + 1e-3);
            }
        }
    }

    #[test]
    fn backoff_wait_is_within_its_bound(failures in 0u32..100, draw in 0.0f64..1.0) {
        let policy = backoff::BackoffPolicy::default();
        prop_assert!(policy.wait(failures, draw) <= policy.cap);
        prop_assert!(policy.wait(1, draw) <= policy.base);
    }

    #[test]
    fn parts_reassemble_to_the_file_and_a_changed_line_changes_few(
        statuses in prop::collection::vec("[a-zé]{0,40}", 400..1_500),
        changed in any::<prop::sample::Index>(),
    ) {
        let text = statuses.join("\n");
        let (manifest, parts) = content::split(&text);
        let whole: String = parts.iter().map(|part| part.text.as_str()).collect();
        match manifest {
            content::ContentManifest::Inline(inline) => prop_assert_eq!(&inline, &text),
            content::ContentManifest::Parts(_) => prop_assert_eq!(&whole, &text),
        }
        let mut statuses = statuses;
        let index = changed.index(statuses.len());
        statuses[index] = "another line".to_owned();
        let (_, after) = content::split(&statuses.join("\n"));
        let changed_parts = after.iter().filter(|part| !parts.contains(part)).count();
        prop_assert!(changed_parts <= 3, "{changed_parts} of {} parts changed", after.len());
    }
}
