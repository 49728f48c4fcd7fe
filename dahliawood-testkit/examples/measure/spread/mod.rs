//! `spread`: time from an operator's change until it is in force on the last VM. `withdraw`: time
//! from the withdrawal of a key until the last request with it is served.

use async_std::net::TcpStream;
use async_std::task;
use dahliawood_config::edit;
use dahliawood_testkit::platform::faults;
use dahliawood_testkit::{figures, fleet};
use dahliawood_wire::client;
use figures::FigureTarget;
use futures::AsyncReadExt;
use http_types::{Method, Request, Url};
use std::time::{Duration, Instant};

/// Configuration file of the deployment.
const FILE: &str = include_str!("../../../../examples/lianguang.toml");
/// A customer's example key and its public id, as documented next to the configuration file.
const KEY: &str = "dw_yongguang-1_de280036edad085a7cd92da224714f8d2f5ef85876497792f7396e1a677e0172";
const KEY_ID: &str = "yongguang-1";
/// Number of VMs in each deployment today.
const VMS: usize = 11;
/// Number of changes applied one after another.
const CHANGES: u32 = 10;
/// Interval of the check whether all VMs have a change in force, and of requests with the key.
const POLL: Duration = Duration::from_millis(5);
/// Interval of the check whether the first VM has a change in force. It is short, because the store
/// has to stop before the other VMs have the change.
const FIRST_POLL: Duration = Duration::from_micros(100);
/// Time limit for a change to be in force on all VMs, and for a withdrawn key to be refused.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Bound on both times, seconds.
const BOUND_SECONDS: f64 = 2.0;

/// Runs `spread`; the seed is unused, as nothing is drawn at random.
pub fn run(_seed: u64, report: &mut figures::FigureReport) {
    task::block_on(async {
        let Some(fleet) = start(report).await else {
            return;
        };
        let mut longest = Duration::ZERO;
        for change in 1..=CHANGES {
            let elapsed = change_rate(&fleet, change, false).await;
            longest = longest.max(elapsed);
        }
        figure(report, "spread.last_in_force", longest);
        let elapsed = change_rate(&fleet, CHANGES + 1, true).await;
        figure(report, "spread.store_dies_after_acceptance", elapsed);
        fleet.platform.set_faults(faults::FaultSettings::default());
        fleet.shutdown().await;
    });
}

/// Runs `withdraw`; the seed is unused, as nothing is drawn at random.
pub fn withdraw(_seed: u64, report: &mut figures::FigureReport) {
    task::block_on(async {
        let Some(fleet) = start(report).await else {
            return;
        };
        let callers: Vec<_> = fleet
            .daemons
            .iter()
            .map(|daemon| task::spawn(last_served(daemon.listen)))
            .collect();
        task::sleep(Duration::from_secs(1)).await;
        let options = edit::EditOptions {
            name: "fleet",
            text: &fleet.text,
        };
        let withdrawn = edit::FileEdit::WithdrawKey {
            id: KEY_ID.to_owned(),
        };
        let edited = edit::apply(options, &withdrawn).expect("the example has the key");
        let started = Instant::now();
        let applied = fleet.apply(&edited.text).await;
        if let Err(error) = applied {
            eprintln!("{error}");
        }
        let mut longest = Duration::ZERO;
        let mut unserved = 0;
        for caller in callers {
            match caller.await {
                Some(last) => longest = longest.max(last.saturating_duration_since(started)),
                None => unserved += 1,
            }
        }
        report.figure(
            "withdraw.never_served",
            f64::from(unserved),
            "VMs",
            FigureTarget::AtMost(0.0),
        );
        figure(report, "withdraw.last_request_served", longest);
        fleet.shutdown().await;
    });
}

/// Starts the fleet; on failure, reports it and returns `None`.
async fn start(report: &mut figures::FigureReport) -> Option<fleet::EmbeddedFleet> {
    let options = fleet::FleetOptions {
        file_text: FILE.to_owned(),
        vms: VMS,
        delay: Duration::ZERO,
    };
    let started = fleet::start(&options).await;
    if let Err(error) = &started {
        eprintln!("{error}");
        report.figure("fleet.started", 0.0, "-", FigureTarget::AtLeast(1.0));
    }
    started.ok()
}

/// Reports a time with its bound.
fn figure(report: &mut figures::FigureReport, name: &str, elapsed: Duration) {
    report.figure(
        name,
        elapsed.as_secs_f64(),
        "s",
        FigureTarget::AtMost(BOUND_SECONDS),
    );
}

/// Applies a change, and returns the time from when it is in force on the first VM, which stands
/// for its acceptance, until it is in force on the last. With `stop_store`, the store goes down
/// once the first VM has the change.
async fn change_rate(fleet: &fleet::EmbeddedFleet, change: u32, stop_store: bool) -> Duration {
    let revision = u64::from(change) + 1;
    let text = fleet.text.replace(
        "retry_percent = 10",
        &format!("retry_percent = {}", 10 + change),
    );
    let applied = fleet.apply(&text);
    let followed = async {
        let accepted = wait_until(FIRST_POLL, || in_force(fleet, revision) > 0).await;
        if stop_store {
            eprintln!(
                "the store goes down with the change in force on {} VMs",
                in_force(fleet, revision)
            );
            let down = faults::FaultSettings {
                down: true,
                ..faults::FaultSettings::default()
            };
            fleet.platform.set_faults(down);
        }
        wait_until(POLL, || in_force(fleet, revision) == fleet.daemons.len()).await;
        accepted.elapsed()
    };
    let (applied, elapsed) = futures::join!(applied, followed);
    if let (Err(error), false) = (applied, stop_store) {
        eprintln!("{error}");
    }
    elapsed
}

/// Number of VMs that have a revision in force.
fn in_force(fleet: &fleet::EmbeddedFleet, revision: u64) -> usize {
    let has = |snapshot: &std::sync::Arc<dahliawood_daemon::snapshot::RouteSnapshot>| {
        snapshot.state.revision >= revision
    };
    let daemons = fleet.daemons.iter();
    let has = |daemon: &&dahliawood_daemon::run::DaemonHandle| {
        daemon.shared.snapshot.load().as_ref().is_some_and(has)
    };
    daemons.filter(has).count()
}

/// Polls until `condition` holds or [`TIMEOUT`] has passed; returns the time of the last check.
async fn wait_until(poll: Duration, condition: impl Fn() -> bool) -> Instant {
    let start = Instant::now();
    while !condition() && start.elapsed() < TIMEOUT {
        task::sleep(poll).await;
    }
    Instant::now()
}

/// Sends requests over one open connection until the key is refused; returns the time at which the
/// last one was served. `None` if none was served, the connection failed or the key was never
/// refused.
async fn last_served(vm: std::net::SocketAddr) -> Option<Instant> {
    let stream = TcpStream::connect(vm).await.ok()?;
    let start = Instant::now();
    let mut last = None;
    while start.elapsed() < TIMEOUT {
        let url = Url::parse(&format!("http://{vm}/v1/lookup?service=drawings")).ok()?;
        let mut request = Request::new(Method::Get, url);
        request.insert_header("authorization", format!("Bearer {KEY}"));
        let options = client::ExchangeOptions::default();
        let exchanged = client::exchange(stream.clone(), request, &options, |_| {}).await;
        let mut response = exchanged.ok()?.response;
        let mut body = Vec::new();
        response.read_to_end(&mut body).await.ok()?;
        match u16::from(response.status()) {
            200 => last = Some(Instant::now()),
            401 => return last,
            _ => {}
        }
        task::sleep(POLL).await;
    }
    None
}
