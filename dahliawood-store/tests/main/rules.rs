//! The small decisions: budget, leases, backoff, watches, parts of files, proofs.

use crate::support;
use dahliawood_model::stamp;
use dahliawood_store::acceptance::judge;
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
fn unseen_write_is_gone_only_once_the_version_has_passed() {
    let write_id = head::WriteId::from("own".to_owned());
    let head = head::HeadDocument::default()
        .with_accepted(&stamp(1, "other"), head::WriteMark::drawn(0.1));
    let mut record = judge::WriteRecord {
        revision: 2,
        expected: Some(7),
        unsure: Vec::new(),
    };
    assert_eq!(
        judge::prove(&head, 7, &write_id, &record),
        judge::WriteProof::Pending
    );
    assert_eq!(
        judge::prove(&head, 8, &write_id, &record),
        judge::WriteProof::Gone
    );
    record.unsure = vec![head::WriteMark::drawn(0.1)];
    assert_eq!(
        judge::prove(&head, 8, &write_id, &record),
        judge::WriteProof::Gone
    );
    // The head that was swapped is not in the past of this one: the store was restored.
    record.unsure = vec![head::WriteMark::drawn(0.2)];
    assert_eq!(
        judge::prove(&head, 8, &write_id, &record),
        judge::WriteProof::Forgotten
    );
}

#[test]
fn number_is_promised_to_one_write() {
    let mut tracker = revision::RevisionTracker::new("vm", 1);
    tracker.observe_proposed(&stamp(3, "first"));
    tracker.observe_proposed(&stamp(3, "second"));
    let line = tracker.status();
    assert_eq!(line.refused.unwrap().stamp, stamp(3, "second"));
    let head = head::HeadDocument::default();
    assert_eq!(judge::next_revision(&head, &[tracker.status()], 0), 4);
}

#[test]
fn lease_ends_at_its_holder_counted_from_the_sending() {
    let sent_at = stamp::TimeStamp::from_millis(1_000);
    let mut claim = lease::LeaseClaim::new(1, Duration::from_secs(9), sent_at);
    assert!(claim.holds(stamp::TimeStamp::from_millis(9_999)));
    assert!(!claim.holds(stamp::TimeStamp::from_millis(10_000)));
    assert_eq!(claim.keep_at(), stamp::TimeStamp::from_millis(4_000));
    claim.kept(stamp::TimeStamp::from_millis(4_000));
    claim.kept(stamp::TimeStamp::from_millis(2_000));
    assert_eq!(claim.ends_at(), stamp::TimeStamp::from_millis(13_000));
}

#[test]
fn watch_sees_another_value_of_the_same_version_and_its_own_silence() {
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
            .absorb(entry("a"), stamp::TimeStamp::from_millis(10))
            .is_some()
    );
    assert!(
        cursor
            .absorb(entry("a"), stamp::TimeStamp::from_millis(20))
            .is_none()
    );
    assert!(
        cursor
            .absorb(entry("b"), stamp::TimeStamp::from_millis(30))
            .is_some()
    );
    assert_eq!(
        cursor.silence(stamp::TimeStamp::from_millis(50)),
        Duration::from_millis(20)
    );
    let waits: Vec<_> = (0..5).map(|_| cursor.next_call(wait).wait).collect();
    assert!(waits.contains(&Duration::ZERO), "a plain read now and then");
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
    fn wait_is_within_its_bound(failures in 0u32..100, draw in 0.0f64..1.0) {
        let plan = backoff::RetryPlan::default();
        prop_assert!(plan.wait(failures, draw) <= plan.cap);
        prop_assert!(plan.wait(1, draw) <= plan.base);
    }

    #[test]
    fn parts_make_the_file_and_a_changed_line_moves_few(
        lines in prop::collection::vec("[a-zé]{0,40}", 400..1_500),
        changed in any::<prop::sample::Index>(),
    ) {
        let text = lines.join("\n");
        let (manifest, parts) = content::split(&text);
        let whole: String = parts.iter().map(|part| part.text.as_str()).collect();
        match manifest {
            content::ContentManifest::Inline(inline) => prop_assert_eq!(&inline, &text),
            content::ContentManifest::Parts(_) => prop_assert_eq!(&whole, &text),
        }
        let mut lines = lines;
        let index = changed.index(lines.len());
        lines[index] = "another line".to_owned();
        let (_, after) = content::split(&lines.join("\n"));
        let moved = after.iter().filter(|part| !parts.contains(part)).count();
        prop_assert!(moved <= 3, "{moved} of {} parts moved", after.len());
    }
}
