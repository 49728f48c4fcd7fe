//! `spread` and `withdraw`: from an operator's change to the last VM, and to the last request that a
//! withdrawn key was served.

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

/// The deployment that is run.
const FILE: &str = include_str!("../../../../examples/lianguang.toml");
/// A customer's example key and its public id, as the page beside the file lists them.
const KEY: &str = "dw_yongguang-1_de280036edad085a7cd92da224714f8d2f5ef85876497792f7396e1a677e0172";
const KEY_ID: &str = "yongguang-1";
/// VMs of each deployment today.
const VMS: usize = 11;
/// Changes in a row.
const CHANGES: u32 = 10;
/// How often it is looked at whether the last VM has a change.
const POLL: Duration = Duration::from_millis(5);
/// How often it is looked at whether the first one has it: the store is to die before others do.
const FIRST_POLL: Duration = Duration::from_micros(100);
/// When a change is given up.
const PATIENCE: Duration = Duration::from_secs(20);
/// The stated bound, seconds.
const BOUND_SECONDS: f64 = 2.0;

/// Runs `spread`; nothing in it is drawn at random.
pub fn run(_seed: u64, report: &mut figures::FigureReport) {
    task::block_on(async {
        let Some(fleet) = start(report).await else {
            return;
        };
        let mut longest = Duration::ZERO;
        for change in 1..=CHANGES {
            let taken = change_rate(&fleet, change, false).await;
            longest = longest.max(taken);
        }
        figure(report, "spread.last_in_force", longest);
        let taken = change_rate(&fleet, CHANGES + 1, true).await;
        figure(report, "spread.store_dies_after_acceptance", taken);
        fleet.platform.set_faults(faults::FaultSettings::default());
        fleet.shutdown().await;
    });
}

/// Runs `withdraw`; nothing in it is drawn at random.
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
        let begun = Instant::now();
        let applied = fleet.apply(&edited.text).await;
        if let Err(error) = applied {
            eprintln!("{error}");
        }
        let mut longest = Duration::ZERO;
        let mut unserved = 0;
        for caller in callers {
            match caller.await {
                Some(last) => longest = longest.max(last.saturating_duration_since(begun)),
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

/// Starts the fleet.
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

/// Prints a time with the bound.
fn figure(report: &mut figures::FigureReport, name: &str, taken: Duration) {
    report.figure(
        name,
        taken.as_secs_f64(),
        "s",
        FigureTarget::AtMost(BOUND_SECONDS),
    );
}

/// Applies a change; the time from its acceptance, as the first VM learns of it, to its being in
/// force on the last. The store dies at that moment where it is told to.
async fn change_rate(fleet: &fleet::EmbeddedFleet, change: u32, dies: bool) -> Duration {
    let revision = u64::from(change) + 1;
    let text = fleet.text.replace(
        "retry_percent = 10",
        &format!("retry_percent = {}", 10 + change),
    );
    let applied = fleet.apply(&text);
    let followed = async {
        let accepted = until(FIRST_POLL, || in_force(fleet, revision) > 0).await;
        if dies {
            eprintln!(
                "the store dies with the change in force on {}",
                in_force(fleet, revision)
            );
            let down = faults::FaultSettings {
                down: true,
                ..faults::FaultSettings::default()
            };
            fleet.platform.set_faults(down);
        }
        until(POLL, || in_force(fleet, revision) == fleet.daemons.len()).await;
        accepted.elapsed()
    };
    let (applied, taken) = futures::join!(applied, followed);
    if let (Err(error), false) = (applied, dies) {
        eprintln!("{error}");
    }
    taken
}

/// VMs that have a revision in force.
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

/// Waits for a condition; the moment at which it was seen, or given up.
async fn until(poll: Duration, is_there: impl Fn() -> bool) -> Instant {
    let start = Instant::now();
    while !is_there() && start.elapsed() < PATIENCE {
        task::sleep(poll).await;
    }
    Instant::now()
}

/// Sends requests over one open connection until the key is refused; when the last was served.
async fn last_served(vm: std::net::SocketAddr) -> Option<Instant> {
    let stream = TcpStream::connect(vm).await.ok()?;
    let start = Instant::now();
    let mut last = None;
    while start.elapsed() < PATIENCE {
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
