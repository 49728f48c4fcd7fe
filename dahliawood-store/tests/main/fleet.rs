//! VMs and operators apply files over HTTP through the platform stand-in.

use crate::support::start;
use async_std::task::{self, JoinHandle};
use dahliawood_store::acceptance;
use dahliawood_store::acceptance::error;
use dahliawood_store::client;
use dahliawood_store::clock;
use dahliawood_store::head;
use dahliawood_store::protocol;
use dahliawood_store::revision;
use dahliawood_store::revision::relay;
use dahliawood_store::revision::tracker;
use dahliawood_testkit::platform;
use dahliawood_testkit::platform::faults;
use std::sync::Arc;
use std::time::Duration;

struct TestVm {
    tracker: revision::SharedTracker,
    task: Option<JoinHandle<()>>,
}

fn check(text: &str) -> Result<(), String> {
    if text.contains("bad") {
        return Err("line 1: bad".to_owned());
    }
    Ok(())
}

fn start_vms(
    handle: &platform::PlatformHandle,
    client: &client::StoreClient,
    count: usize,
) -> Vec<TestVm> {
    let vms = (0..count).map(|index| {
        let name = format!("vm-{index}");
        handle.put_live(protocol::LiveVm {
            name: name.clone(),
            http: "127.0.0.1:1".into(),
            peer: "127.0.0.1:2".into(),
            domain: "north-1".into(),
            incarnation: Some(1),
            state: protocol::LiveState::Live,
        });
        let tracker = revision::RevisionTracker::new(&name, 1);
        let tracker =
            revision::SharedTracker::new(tracker, Arc::new(check), Arc::new(|_record| ()));
        let options = revision::FollowOptions::new(tracker.clone(), clock::boot(), count);
        let client = client.clone();
        let task = task::spawn(async move { revision::follow(&client, &options).await });
        TestVm {
            tracker,
            task: Some(task),
        }
    });
    vms.collect()
}

fn options(text: &str) -> acceptance::ApplyOptions {
    acceptance::ApplyOptions {
        file_text: text.to_owned(),
        expect: None,
        write_id: head::WriteId::random(&mut rand::rng()),
        accept: acceptance::AcceptOptions::new(clock::boot()),
    }
}

fn applied(outcome: &acceptance::ApplyOutcome) -> (u64, usize, usize) {
    match outcome {
        acceptance::ApplyOutcome::Applied { revision, report } => {
            (*revision, report.in_force.len(), report.missing.len())
        }
        other => panic!("not applied: {other:?}"),
    }
}

#[async_std::test]
async fn file_is_accepted_and_in_force_on_all() {
    let (handle, client) = start().await;
    let vms = start_vms(&handle, &client, 5);
    let outcome = acceptance::apply(&client, &options("one")).await;
    assert_eq!(applied(&outcome), (1, 5, 0));
    let large = "line of a larger file\n".repeat(20_000);
    let outcome = acceptance::apply(&client, &options(&large)).await;
    assert_eq!(applied(&outcome), (2, 5, 0));
    for vm in &vms {
        let record = vm.tracker.in_force().unwrap();
        assert_eq!((record.stamp.revision, &*record.text), (2, large.as_str()));
    }
    let outcome = acceptance::apply(&client, &options(&large)).await;
    assert!(matches!(
        outcome,
        acceptance::ApplyOutcome::NoChange { revision: 2, .. }
    ));
}

#[async_std::test]
async fn file_rejected_by_the_check_is_accepted_by_no_vm() {
    let (handle, client) = start().await;
    let vms = start_vms(&handle, &client, 3);
    let outcome = acceptance::apply(&client, &options("bad")).await;
    let acceptance::ApplyOutcome::NotApplied {
        why: error::ApplyError::Refused { refusals },
    } = outcome
    else {
        panic!("{outcome:?}");
    };
    assert_eq!(refusals[0].refusal.cause.to_string(), "line 1: bad");
    assert!(vms.iter().all(|vm| vm.tracker.in_force().is_none()));
    let entry = (client.get)(head::HEAD_KEY.into()).await.unwrap();
    let head = head::HeadDocument::parse(entry.value.as_deref()).unwrap();
    assert_eq!((head.accepted(), &head.proposal), (None, &None));
}

#[async_std::test]
async fn expected_revision_must_be_in_force() {
    let (handle, client) = start().await;
    let _vms = start_vms(&handle, &client, 2);
    assert_eq!(
        applied(&acceptance::apply(&client, &options("one")).await).0,
        1
    );
    let late = acceptance::ApplyOptions {
        expect: Some(0),
        ..options("two")
    };
    let why = error::ApplyError::RevisionMismatch {
        expected: 0,
        found: 1,
    };
    let outcome = acceptance::apply(&client, &late).await;
    assert_eq!(outcome, acceptance::ApplyOutcome::NotApplied { why });
    let right = acceptance::ApplyOptions {
        expect: Some(1),
        ..options("two")
    };
    assert_eq!(applied(&acceptance::apply(&client, &right).await).0, 2);
}

#[async_std::test]
async fn dead_vm_blocks_acceptance_and_is_named() {
    let (handle, client) = start().await;
    let mut vms = start_vms(&handle, &client, 3);
    vms[2].task.take().unwrap().cancel().await;
    let mut options = options("one");
    options.accept.accept_within = Duration::from_millis(500);
    let why = error::ApplyError::Unacknowledged {
        vms: vec!["vm-2".into()],
    };
    let outcome = acceptance::apply(&client, &options).await;
    assert_eq!(outcome, acceptance::ApplyOutcome::NotApplied { why });
    handle.remove_live("vm-2");
    let outcome = acceptance::apply(&client, &options).await;
    assert_eq!(applied(&outcome).1, 2);
}

#[async_std::test]
async fn lost_responses_are_resolved_by_reading_back() {
    let (handle, client) = start().await;
    let vms = start_vms(&handle, &client, 3);
    handle.set_faults(faults::FaultSettings {
        lose_reply_percent: 100,
        ..faults::FaultSettings::default()
    });
    let outcome = acceptance::apply(&client, &options("one")).await;
    assert_eq!(applied(&outcome), (1, 3, 0));
    assert!(vms.iter().all(|vm| vm.tracker.in_force().is_some()));
}

#[async_std::test]
async fn restored_store_gets_the_lost_revision_back() {
    let (handle, client) = start().await;
    let vms = start_vms(&handle, &client, 3);
    applied(&acceptance::apply(&client, &options("one")).await);
    let snapshot = handle.snapshot();
    assert_eq!(
        applied(&acceptance::apply(&client, &options("two")).await).0,
        2
    );
    assert!(handle.restore(snapshot));
    let third = acceptance::apply(&client, &options("three")).await;
    assert!(applied(&third).0 > 2);
    for vm in &vms {
        assert_eq!(&*vm.tracker.in_force().unwrap().text, "three");
    }
}

#[async_std::test]
async fn interrupted_write_is_resolved_and_finished_by_another_process() {
    let (handle, client) = start().await;
    let vms = start_vms(&handle, &client, 3);
    handle.put_live(protocol::LiveVm {
        name: "vm-late".into(),
        http: "127.0.0.1:1".into(),
        peer: "127.0.0.1:2".into(),
        domain: "north-1".into(),
        incarnation: Some(1),
        state: protocol::LiveState::Live,
    });
    let options = options("one");
    let (write_id, accept) = (options.write_id.clone(), options.accept.clone());
    let operator = client.clone();
    let run = task::spawn(async move { acceptance::apply(&operator, &options).await });
    while vms[0].tracker.status().staged.is_none() {
        task::sleep(Duration::from_millis(5)).await;
    }
    run.cancel().await;
    let unknown = acceptance::ApplyOutcome::Unknown {
        write_id: write_id.clone(),
    };
    assert_eq!(
        acceptance::resolve(&client, &write_id, &accept).await,
        unknown
    );
    handle.remove_live("vm-late");
    let outcome = acceptance::resume(&client, &write_id, &accept).await;
    assert_eq!(applied(&outcome), (1, 3, 0));
    let outcome = acceptance::resolve(&client, &write_id, &accept).await;
    assert_eq!(applied(&outcome), (1, 3, 0));
    let other = head::WriteId::random(&mut rand::rng());
    let outcome = acceptance::resolve(&client, &other, &accept).await;
    assert!(matches!(
        outcome,
        acceptance::ApplyOutcome::NotApplied { .. }
    ));
}

#[async_std::test]
async fn vm_cut_off_from_the_store_acknowledges_through_a_peer() {
    let (handle, client) = start().await;
    let mut vms = start_vms(&handle, &client, 3);
    vms[2].task.take().unwrap().cancel().await;
    let (peer, cut) = (vms[0].tracker.clone(), vms[2].tracker.clone());
    let store = client.clone();
    let relays = task::spawn(async move {
        loop {
            if let Some(stamp) = peer.proposed() {
                cut.observe_proposed(&stamp);
            }
            if let Some(stamp) = peer.accepted() {
                cut.observe_accepted(&stamp, tracker::RevisionSource::Peer);
            }
            for hash in cut.hashes_to_fetch() {
                if let Some(text) = peer.file(&hash) {
                    cut.add_file(&hash, &text).unwrap();
                }
            }
            relay::report(&store, &cut.status()).await.unwrap();
            task::sleep(Duration::from_millis(10)).await;
        }
    });
    let outcome = acceptance::apply(&client, &options("one")).await;
    assert_eq!(applied(&outcome), (1, 3, 0));
    assert_eq!(
        vms[2].tracker.in_force().unwrap().source,
        tracker::RevisionSource::Peer
    );
    relays.cancel().await;
    let old = relay::report(&client, &vms[2].tracker.status())
        .await
        .unwrap();
    assert_eq!(old, relay::ReportOutcome::Old);
}
