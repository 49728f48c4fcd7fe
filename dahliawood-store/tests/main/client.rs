//! Tests of the HTTP client against the platform stand-in, with each of its faults.

use crate::support::put;
use crate::support::start;
use async_std::task;
use dahliawood_store::client;
use dahliawood_store::protocol;
use dahliawood_testkit::platform;
use dahliawood_testkit::platform::faults::FaultSettings;
use dahliawood_testkit::platform::limits::CallRates;
use std::time::Duration;

fn watch(key: &str, after: u64, wait: Duration) -> client::WatchCall {
    client::WatchCall {
        key: key.to_owned(),
        after,
        wait,
    }
}

#[async_std::test]
async fn compare_and_swap_requires_the_current_version() {
    let (_handle, client) = start().await;
    let absent = (client.get)("a/b c%?".into()).await.unwrap();
    assert_eq!((absent.version, absent.value), (0, None));
    let first = (client.put)(put("a/b c%?", "1", Some(0))).await.unwrap();
    let error = (client.put)(put("a/b c%?", "2", Some(0)))
        .await
        .unwrap_err();
    assert!(matches!(error, client::error::StoreError::Conflict { found } if found == first));
    assert_eq!(error.effect(), client::error::WriteEffect::None);
    let second = (client.put)(put("a/b c%?", "2", Some(first)))
        .await
        .unwrap();
    assert!(second > first);
    let list = (client.list)("a/".into()).await.unwrap();
    assert_eq!(list.entries.len(), 1);
    assert_eq!(list.entries[0].value.as_deref(), Some("2"));
    let delete = client::DeleteCall {
        key: "a/b c%?".into(),
        expected: Some(second),
    };
    (client.delete)(delete).await.unwrap();
    assert_eq!((client.get)("a/b c%?".into()).await.unwrap().version, 0);
}

#[async_std::test]
async fn value_above_the_limit_is_refused_without_effect() {
    let (_handle, client) = start().await;
    let largest = "x".repeat(protocol::VALUE_LIMIT_BYTES);
    (client.put)(put("k", &largest, Some(0))).await.unwrap();
    let error = (client.put)(put("k", &(largest + "x"), None))
        .await
        .unwrap_err();
    assert!(matches!(error, client::error::StoreError::TooLarge));
    let entry = (client.get)("k".into()).await.unwrap();
    assert_eq!(
        entry.value.map(|value| value.len()),
        Some(protocol::VALUE_LIMIT_BYTES)
    );
}

#[async_std::test]
async fn watch_returns_on_a_change_and_at_the_end_of_its_wait() {
    let (_handle, client) = start().await;
    let version = (client.put)(put("k", "1", None)).await.unwrap();
    let wait = Duration::from_millis(50);
    let same = (client.watch)(watch("k", version, wait)).await.unwrap();
    assert_eq!(same.version, version);
    let waiting = task::spawn((client.watch)(watch("k", version, Duration::from_secs(20))));
    (client.put)(put("k", "2", None)).await.unwrap();
    assert_eq!(waiting.await.unwrap().value.as_deref(), Some("2"));
}

#[async_std::test]
async fn lost_response_is_reported_as_a_possible_effect() {
    let (handle, client) = start().await;
    handle.set_faults(FaultSettings {
        lose_reply_percent: 100,
        ..FaultSettings::default()
    });
    let error = (client.put)(put("k", "1", Some(0))).await.unwrap_err();
    assert_eq!(error.effect(), client::error::WriteEffect::Possible);
    let entry = (client.get)("k".into()).await.unwrap();
    assert_eq!(entry.value.as_deref(), Some("1"));
}

#[async_std::test]
async fn silent_and_slow_services_end_in_a_timeout() {
    let (handle, client) = start().await;
    let faults = [
        FaultSettings {
            silent: true,
            ..FaultSettings::default()
        },
        FaultSettings {
            delay_ms: 60_000,
            ..FaultSettings::default()
        },
    ];
    for fault in faults {
        handle.set_faults(fault);
        let error = (client.put)(put("k", "1", Some(0))).await.unwrap_err();
        assert!(
            matches!(error, client::error::StoreError::Timeout { .. }),
            "{error:?}"
        );
        assert_eq!(error.effect(), client::error::WriteEffect::Possible);
    }
}

#[async_std::test]
async fn outage_breaks_watches_and_calls_until_it_ends() {
    let (handle, client) = start().await;
    let waiting = task::spawn((client.watch)(watch("k", 0, Duration::from_secs(20))));
    task::sleep(Duration::from_millis(20)).await;
    handle.set_faults(FaultSettings {
        down: true,
        ..FaultSettings::default()
    });
    assert!(waiting.await.is_err());
    assert!((client.get)("k".into()).await.is_err());
    handle.set_faults(FaultSettings::default());
    assert_eq!((client.get)("k".into()).await.unwrap().version, 0);
}

#[async_std::test]
async fn refused_connection_is_reported_as_no_effect() {
    let (handle, client) = start().await;
    drop(handle);
    // The stand-in's accept task may still accept a connection or two; calls on those fail later.
    let mut effects = Vec::new();
    for _ in 0..200 {
        let error = (client.put)(put("k", "1", None)).await;
        let Err(error) = error else { continue };
        effects.push(error.effect());
        if matches!(error, client::error::StoreError::Connect { .. }) {
            break;
        }
        task::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(effects.last(), Some(&client::error::WriteEffect::None));
}

#[async_std::test]
async fn stale_reads_return_the_state_when_the_fault_began() {
    let (handle, client) = start().await;
    (client.put)(put("k", "old", None)).await.unwrap();
    handle.set_faults(FaultSettings {
        stale_read_percent: 100,
        ..FaultSettings::default()
    });
    (client.put)(put("k", "new", None)).await.unwrap();
    let entry = (client.get)("k".into()).await.unwrap();
    assert_eq!(entry.value.as_deref(), Some("old"));
    handle.set_faults(FaultSettings::default());
    let entry = (client.get)("k".into()).await.unwrap();
    assert_eq!(entry.value.as_deref(), Some("new"));
}

#[async_std::test]
async fn restored_store_loses_later_writes() {
    let (handle, client) = start().await;
    (client.put)(put("k", "old", None)).await.unwrap();
    let snapshot = handle.snapshot();
    (client.put)(put("k", "new", None)).await.unwrap();
    assert!(handle.restore(snapshot));
    assert!(!handle.restore(snapshot + 1));
    let entry = (client.get)("k".into()).await.unwrap();
    assert_eq!(entry.value.as_deref(), Some("old"));
}

#[async_std::test]
async fn key_is_deleted_with_its_expired_or_revoked_lease() {
    let (_handle, client) = start().await;
    let bound = |key: &str, lease| client::PutCall {
        lease: Some(lease),
        ..put(key, "1", None)
    };
    let short = (client.grant_lease)(Duration::from_secs(1)).await.unwrap();
    let long = (client.grant_lease)(Duration::from_secs(60)).await.unwrap();
    let version = (client.put)(bound("short", short.lease)).await.unwrap();
    (client.put)(bound("long", long.lease)).await.unwrap();
    let gone = (client.watch)(watch("short", version, Duration::from_secs(20)));
    assert_eq!(gone.await.unwrap().version, 0);
    assert_ne!((client.get)("long".into()).await.unwrap().version, 0);
    assert!(matches!(
        (client.renew_lease)(short.lease).await,
        Err(client::error::StoreError::LeaseExpired)
    ));
    assert_eq!((client.renew_lease)(long.lease).await.unwrap(), long);
    (client.revoke_lease)(long.lease).await.unwrap();
    assert_eq!((client.get)("long".into()).await.unwrap().version, 0);
}

#[async_std::test]
async fn calls_above_the_rate_are_refused_without_effect() {
    let options = platform::PlatformOptions {
        rates: CallRates {
            writes_per_second: 1,
            reads_per_second: 2_000,
        },
        ..platform::PlatformOptions::default()
    };
    let handle = platform::start(options).await.unwrap();
    let options = dahliawood_store::client::HttpOptions::new(handle.address());
    let client = dahliawood_store::client::http(options);
    (client.put)(put("a", "1", None)).await.unwrap();
    let error = (client.put)(put("b", "1", None)).await.unwrap_err();
    assert!(matches!(error, client::error::StoreError::RateLimited));
    assert_eq!(error.effect(), client::error::WriteEffect::None);
    assert_eq!(handle.counters().refused, 1);
}

#[async_std::test]
async fn live_list_lags_by_the_configured_time() {
    let (handle, client) = start().await;
    let vm = protocol::LiveVm {
        name: "vm-1".into(),
        http: "127.0.0.1:1".into(),
        peer: "127.0.0.1:2".into(),
        domain: "north-1".into(),
        incarnation: Some(1),
        state: protocol::LiveState::Live,
    };
    handle.put_live(vm.clone());
    assert_eq!((client.live)(()).await.unwrap().vms, vec![vm]);
    handle.set_faults(FaultSettings {
        live_lag_ms: 60_000,
        ..FaultSettings::default()
    });
    handle.remove_live("vm-1");
    // The stand-in did not exist a minute ago, so it returns its first list.
    assert_eq!((client.live)(()).await.unwrap().vms.len(), 0);
    handle.set_faults(FaultSettings::default());
    assert_eq!((client.live)(()).await.unwrap().vms.len(), 0);
}
