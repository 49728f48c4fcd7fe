//! Requests that crash targets are quarantined; requests that were only there are not.

use dahliawood_model::stamp::TimeStamp;
use dahliawood_request::quarantine::identity::{IdentityParts, RequestIdentity};
use dahliawood_request::quarantine::table::{CrashSighting, QuarantineTable, RequestAdmission};
use std::time::Duration;

const GUILTY: RequestIdentity = RequestIdentity(1);

fn at(seconds: f64) -> TimeStamp {
    TimeStamp::from_millis(1_000_000).after(Duration::from_secs_f64(seconds))
}

/// A crash of a process while a request was in flight from `sent` to `crashed`, seconds.
fn crash(process: u64, sent: f64, crashed: f64) -> CrashSighting {
    CrashSighting {
        identity: GUILTY,
        process,
        sent_at: at(sent),
        crashed_at: at(crashed),
    }
}

/// Three crashes that follow upon each other.
fn consecutive() -> [CrashSighting; 3] {
    [crash(1, 0.0, 0.1), crash(2, 0.2, 0.3), crash(3, 0.4, 0.5)]
}

fn table(crashes: &[CrashSighting]) -> QuarantineTable {
    let mut table = QuarantineTable::default();
    for crash in crashes {
        table.record_crash(*crash, at(0.5));
    }
    table
}

fn admit(table: &mut QuarantineTable, seconds: f64) -> RequestAdmission {
    table.admit(GUILTY, || false, at(seconds))
}

#[test]
fn a_request_that_crashed_three_targets_is_quarantined() {
    let mut table = table(&consecutive()[..2]);
    assert_eq!(admit(&mut table, 0.5), RequestAdmission::Open);
    assert!(table.record_crash(consecutive()[2], at(0.5)));
    assert_eq!(admit(&mut table, 0.5), RequestAdmission::Quarantined);
    let other = table.admit(RequestIdentity(2), || false, at(0.5));
    assert_eq!(other, RequestAdmission::Open);
}

#[test]
fn the_order_in_which_crashes_are_told_does_not_matter() {
    let [a, b, c] = consecutive();
    for order in [
        [a, b, c],
        [a, c, b],
        [b, a, c],
        [b, c, a],
        [c, a, b],
        [c, b, a],
    ] {
        let mut table = table(&order);
        assert_eq!(admit(&mut table, 1.0), RequestAdmission::Quarantined);
    }
}

#[test]
fn targets_that_crash_at_once_blame_nobody() {
    let crashes: Vec<_> = (0..8).map(|process| crash(process, 0.0, 0.1)).collect();
    let mut table = table(&crashes);
    assert_eq!(admit(&mut table, 0.5), RequestAdmission::Open);
    // Nor does another one that it meets long after, before it came again.
    table.record_crash(crash(9, 12.0, 12.1), at(12.1));
    assert_eq!(admit(&mut table, 12.2), RequestAdmission::Open);
}

#[test]
fn crashes_of_many_requests_at_a_time_do_not_hide_those_that_follow_upon_each_other() {
    let crashes: Vec<_> = (0..40_u32)
        .map(|number| {
            let crashed = 1.0 + f64::from(number) * 0.05;
            crash(u64::from(number), crashed - 0.6, crashed)
        })
        .collect();
    let mut table = table(&crashes);
    assert_eq!(admit(&mut table, 3.5), RequestAdmission::Quarantined);
}

#[test]
fn one_process_that_many_vms_saw_end_counts_once() {
    let crashes = [crash(1, 0.0, 0.1), crash(1, 0.2, 0.3), crash(1, 0.4, 0.5)];
    let mut table = table(&crashes);
    assert_eq!(admit(&mut table, 0.5), RequestAdmission::Open);
}

#[test]
fn a_request_that_completes_is_cleared() {
    let mut table = table(&consecutive());
    assert!(table.is_suspect(GUILTY));
    table.record_completion(GUILTY, at(1.0));
    assert!(!table.is_suspect(GUILTY));
    assert_eq!(admit(&mut table, 1.0), RequestAdmission::Open);
    // Crashes that are told of later, or met beside a guilty one, do not count for a while.
    assert!(!table.record_crash(crash(9, 0.0, 0.2), at(1.1)));
    assert_eq!(admit(&mut table, 1.1), RequestAdmission::Open);
}

#[test]
fn only_one_vm_tries_a_quarantined_request_and_ever_more_rarely() {
    let mut table = table(&consecutive());
    let mut trials = Vec::new();
    for second in 1..600 {
        assert_ne!(
            admit(&mut table, f64::from(second)),
            RequestAdmission::Trial
        );
        let admission = table.admit(GUILTY, || true, at(f64::from(second)));
        if admission == RequestAdmission::Trial {
            trials.push(second);
        }
    }
    assert_eq!(trials, [61, 181, 421]);
}

#[test]
fn a_quarantined_request_is_forgotten_only_once_it_no_longer_comes() {
    let mut table = table(&consecutive());
    for minute in 1..60 {
        let seconds = f64::from(minute * 60);
        table.expire(at(seconds));
        assert_eq!(admit(&mut table, seconds), RequestAdmission::Quarantined);
    }
    table.expire(at(3_540.0 + 601.0));
    assert!(table.is_empty());
}

#[test]
fn a_new_vm_that_is_told_of_all_crashes_quarantines_too() {
    let known = table(&consecutive());
    let told: Vec<_> = known.crashes().copied().collect();
    let mut new = table(&told);
    assert_eq!(admit(&mut new, 1.0), RequestAdmission::Quarantined);
}

#[test]
fn the_table_is_bounded_and_keeps_quarantined_requests() {
    let mut table = table(&consecutive());
    for number in 2..20_000 {
        let other = CrashSighting {
            identity: RequestIdentity(number),
            ..crash(1, 0.6, 0.7)
        };
        table.record_crash(other, at(1.0));
    }
    assert!(table.len() <= 4_096, "{}", table.len());
    assert_eq!(admit(&mut table, 1.0), RequestAdmission::Quarantined);
}

#[test]
fn customer_method_host_path_and_body_make_the_identity() {
    let parts = IdentityParts {
        customer: "c",
        method: "GET",
        host: "h",
        path: "/p?q",
        body: &[b"b"],
    };
    let others = [
        IdentityParts {
            customer: "d",
            ..parts
        },
        IdentityParts {
            method: "PUT",
            ..parts
        },
        IdentityParts { host: "i", ..parts },
        IdentityParts {
            path: "/p?r",
            ..parts
        },
        IdentityParts {
            body: &[b"c"],
            ..parts
        },
        IdentityParts {
            customer: "cG",
            method: "ET",
            ..parts
        },
    ];
    assert_eq!(RequestIdentity::new(&parts), RequestIdentity::new(&parts));
    // VMs that receive a body in other pieces must know the request again.
    let (whole, pieces): (&[&[u8]], &[&[u8]]) = (&[b"body"], &[b"bo", b"", b"dy"]);
    let of_body = |body| RequestIdentity::new(&IdentityParts { body, ..parts });
    assert_eq!(of_body(whole), of_body(pieces));
    for other in &others {
        assert_ne!(
            RequestIdentity::new(&parts),
            RequestIdentity::new(other),
            "{other:?}"
        );
    }
}
