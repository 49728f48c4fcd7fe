//! All daemons are killed and start again while the store loses answers to writes and carries these
//! writes out later.

use crate::cases::{Deployment, QUOTELIGHT_BOUNDS, ZONES};
use crate::client::{self, Outcome, Request};
use crate::store::WriteFate;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long clients send before the final fault.
const CALM: Duration = Duration::from_secs(6);
/// How long the processes are gone (`down_s` of the site's closings).
const DOWN: Duration = Duration::from_millis(750);
/// For how long the store loses answers of writes (`for_s` of `platform_lost` in the site file).
const LOSS: Duration = Duration::from_millis(4_500);
/// How much later such a write is carried out (`how = "late"`: 1 to 6 s).
const DELAY: Duration = Duration::from_millis(2_500);
/// `recovery_s`.
const RECOVERY: Duration = Duration::from_secs(15);
/// How long clients send after that.
const JUDGED: Duration = Duration::from_secs(20);
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(250);

/// One request of a client that asks the directory first.
fn visit(deployment: &Deployment, turn: usize) -> bool {
    let (zone, region) = ZONES[turn % ZONES.len()];
    // The nearest daemon first.
    let mut directories: Vec<SocketAddr> = Vec::new();
    directories.extend(deployment.vms.iter().filter(|vm| vm.zone == zone).map(|vm| vm.directory));
    directories.extend(deployment.vms.iter().filter(|vm| vm.zone != zone).map(|vm| vm.directory));
    let Some(fronts) = client::resolve(&deployment.record, &directories, region, zone) else {
        return false;
    };
    let target = format!("/read/{turn}");
    let deadline = Duration::from_secs(2);
    let request = Request { method: "GET", target: &target, key: client::KEY, deadline, body: b"", extra: "" };
    let (outcome, _) = client::send(&deployment.record, fronts[turn % fronts.len()], &request);
    outcome == Outcome::Served
}

/// Sends requests for some time; returns how many were sent and served.
fn visits(deployment: &Deployment, length: Duration) -> (usize, usize) {
    let until = Instant::now() + length;
    let (mut sent, mut served) = (0, 0);
    while Instant::now() < until {
        sent += 1;
        served += usize::from(visit(deployment, sent));
        thread::sleep(INTERVAL);
    }
    (sent, served)
}

pub fn run(folder: &str) -> Result<bool, String> {
    let mut deployment = Deployment::start(folder, QUOTELIGHT_BOUNDS)?;
    let record = Arc::clone(&deployment.record);
    let (sent, served) = visits(&deployment, CALM);
    record.say(format!("before the final fault: {served} of {sent} requests served"));
    if served * 4 < sent {
        return Err("too little was served before the final fault".to_owned());
    }
    for vm in &mut deployment.vms {
        vm.kill();
    }
    thread::sleep(DOWN);
    let beats = |deployment: &Deployment| deployment.backends.iter().map(|backend| backend.beats()).sum::<u64>();
    let (beats_before, lost, writes) = (beats(&deployment), Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    if deployment.has_trouble {
        // The first write of each daemon is lost, as long as the store loses any.
        let (until, hit) = (Instant::now() + LOSS, Mutex::new(HashSet::new()));
        let (lost, writes) = (Arc::clone(&lost), Arc::clone(&writes));
        deployment.store.set_fate(move |key| {
            if Instant::now() >= until {
                return WriteFate::Answered;
            }
            writes.fetch_add(1, Ordering::Relaxed);
            let mut hit = hit.lock().unwrap_or_else(|error| error.into_inner());
            if !hit.insert(key.to_owned()) {
                return WriteFate::Answered;
            }
            lost.fetch_add(1, Ordering::Relaxed);
            WriteFate::Late(DELAY)
        });
    }
    for vm in &mut deployment.vms {
        vm.write_settings(deployment.store.address, &ZONES, QUOTELIGHT_BOUNDS, false)?;
        vm.start()?;
    }
    let back = Instant::now();
    thread::sleep(LOSS);
    let (lost, writes) = (lost.load(Ordering::Relaxed), writes.load(Ordering::Relaxed));
    let all = writes as u64 + beats(&deployment) - beats_before;
    record.say(format!("the store lost the answers of {lost} of {all} writes in {LOSS:?}"));
    thread::sleep(RECOVERY.saturating_sub(back.elapsed()));
    let is_ready = deployment.vms.iter().all(|vm| vm.is_ready());
    record.say(format!("{RECOVERY:?} after the start: all daemons say that they are ready: {is_ready}"));
    record.say(format!("daemons that are registered: {:?}", deployment.store.keys("dahliawood/")));
    let (sent, served) = visits(&deployment, JUDGED);
    record.say(format!("later than recovery_s: {served} of {sent} requests served"));
    let is_kept = served * 4 >= sent;
    record.say(if is_kept { "RECOVER is kept" } else { "RECOVER is broken" });
    Ok(is_kept)
}
