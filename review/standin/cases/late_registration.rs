//! A daemon is stopped and started again while the store loses the answer to one write and carries it out
//! later.

use crate::cases::{Deployment, FAR_ZONES, QUOTELIGHT_BOUNDS};
use crate::client::{self, Outcome, Request};
use crate::fleet::SIGTERM;
use crate::record::Record;
use crate::store::WriteFate;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long clients send before the stop.
const CALM: Duration = Duration::from_secs(5);
/// For how long the store loses answers of writes (`for_s` of `platform_lost` in the site file).
const LOSS: Duration = Duration::from_millis(4_500);
/// How much later such a write is carried out (`how = "late"`: 1 to 6 s).
const DELAY: Duration = Duration::from_millis(2_500);
/// How long there must have been no disruption before a request counts (HOME), with a margin.
const SETTLED: Duration = Duration::from_secs(16);
/// How long clients send after that.
const JUDGED: Duration = Duration::from_secs(15);
/// How long a client uses an answer of the directory (`ttl_s`).
const LIFETIME: Duration = Duration::from_secs(3);
/// Clients that are there from the beginning.
const OLD_CLIENTS: usize = 4;
/// Time between two requests of new clients, and of the others together.
const INTERVAL: Duration = Duration::from_millis(250);

/// A client: keeps the directory's answer, asks anew when its time is over, keeps the old one if it gets none,
/// and leaves out addresses that have failed it (PROTOCOL.md, "Ingress").
struct Visitor {
    zone: &'static str,
    region: &'static str,
    /// The nearest first.
    directories: Vec<SocketAddr>,
    fronts: Vec<SocketAddr>,
    failed: HashSet<SocketAddr>,
    asked_at: Option<Instant>,
    turn: usize,
}

/// A request of a client: when it was sent, to which address, and whether it was served.
#[derive(Clone, Copy)]
struct Visit {
    at: Instant,
    front: Option<SocketAddr>,
    is_served: bool,
}

impl Visitor {
    /// A client in the first zone.
    fn new(directories: &[SocketAddr], turn: usize) -> Self {
        let (zone, region) = FAR_ZONES[0];
        let directories = directories.to_vec();
        let (fronts, failed) = (Vec::new(), HashSet::new());
        Self { zone, region, directories, fronts, failed, asked_at: None, turn }
    }

    /// Sends a request on the route with a home.
    fn visit(&mut self, record: &Record) -> Visit {
        let is_old = self.asked_at.is_none_or(|asked_at| asked_at.elapsed() >= LIFETIME);
        if is_old {
            self.asked_at = Some(Instant::now());
            if let Some(fronts) = client::resolve(record, &self.directories, self.region, self.zone) {
                self.fronts = fronts;
                self.failed.clear();
            }
        }
        self.turn += 1;
        let at = Instant::now();
        let usable: Vec<&SocketAddr> = self.fronts.iter().filter(|front| !self.failed.contains(front)).collect();
        let Some(front) = usable.get(self.turn % usable.len().max(1)).map(|front| **front) else {
            record.line(format!("a client in {} has no address to send to", self.zone));
            return Visit { at, front: None, is_served: false };
        };
        let target = format!("/homed/{}", self.turn);
        let deadline = Duration::from_secs(2);
        let request = Request { method: "POST", target: &target, key: client::KEY, deadline, body: b"a body", extra: "" };
        let (outcome, _) = client::send(record, front, &request);
        if matches!(outcome, Outcome::NoConnection | Outcome::Closed) {
            self.failed.insert(front);
        }
        Visit { at, front: Some(front), is_served: outcome == Outcome::Served }
    }
}

/// The requests that were sent from `from` on: how many, how many of them served, and how many sent to `front`.
fn count(visits: &Mutex<Vec<Visit>>, from: Instant, front: SocketAddr) -> (usize, usize, usize) {
    let visits = visits.lock().unwrap_or_else(|error| error.into_inner());
    let sent: Vec<&Visit> = visits.iter().filter(|visit| visit.at >= from && visit.front.is_some()).collect();
    let served = sent.iter().filter(|visit| visit.is_served).count();
    let there = sent.iter().filter(|visit| visit.front == Some(front)).count();
    (sent.len(), served, there)
}

pub fn run(folder: &str) -> Result<bool, String> {
    let mut deployment = Deployment::start_in(FAR_ZONES, folder, QUOTELIGHT_BOUNDS)?;
    let record = Arc::clone(&deployment.record);
    let directories: Vec<SocketAddr> = deployment.vms.iter().map(|vm| vm.directory).collect();
    let (visits, is_over) = (Mutex::new(Vec::new()), AtomicBool::new(false));
    let note = |visit: Visit| visits.lock().unwrap_or_else(|error| error.into_inner()).push(visit);
    thread::scope(|scope| {
        let (record, directories, is_over) = (&record, &directories, &is_over);
        // Clients that are there from the beginning.
        for index in 0..OLD_CLIENTS {
            scope.spawn(move || {
                let mut visitor = Visitor::new(directories, index);
                while !is_over.load(Ordering::Relaxed) {
                    note(visitor.visit(record));
                    thread::sleep(INTERVAL * OLD_CLIENTS as u32);
                }
            });
        }
        // New ones, one after the other.
        scope.spawn(move || {
            for index in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                note(Visitor::new(directories, index).visit(record));
                thread::sleep(INTERVAL);
            }
        });
        let is_kept = disturb(&mut deployment, &visits);
        is_over.store(true, Ordering::Relaxed);
        is_kept
    })
}

/// The stop, the lost answer, and the judgement, while the clients send.
fn disturb(deployment: &mut Deployment, visits: &Mutex<Vec<Visit>>) -> Result<bool, String> {
    let record = Arc::clone(&deployment.record);
    let far = deployment.vms[1].front;
    let began = Instant::now();
    thread::sleep(CALM);
    let (sent, served, there) = count(visits, began, far);
    record.say(format!("before the stop: {sent} requests, {served} served, {there} sent to the other region"));
    if served * 2 < sent || there > 0 {
        return Err("the clients were not served in their region before the stop".to_owned());
    }
    let beats = |deployment: &Deployment| deployment.backends.iter().map(|backend| backend.beats()).sum::<u64>();
    deployment.vms[0].signal(SIGTERM);
    deployment.vms[0].wait();
    let (before, writes) = (beats(deployment), Arc::new(AtomicUsize::new(0)));
    if deployment.has_trouble {
        // The daemon's first write is lost.
        let (until, writes) = (Instant::now() + LOSS, Arc::clone(&writes));
        deployment.store.set_fate(move |_| {
            let is_first = writes.fetch_add(1, Ordering::Relaxed) == 0;
            match is_first && Instant::now() < until {
                true => WriteFate::Late(DELAY),
                false => WriteFate::Answered,
            }
        });
    }
    deployment.vms[0].write_settings(deployment.store.address, &FAR_ZONES, QUOTELIGHT_BOUNDS, false)?;
    deployment.vms[0].start()?;
    thread::sleep(LOSS);
    let all = writes.load(Ordering::Relaxed) as u64 + beats(deployment) - before;
    record.say(format!("the store carried out {all} writes in {LOSS:?}; it lost one answer: {}", deployment.has_trouble));
    thread::sleep(SETTLED);
    record.say(format!("the daemon that was stopped says that it is ready: {}", deployment.vms[0].is_ready()));
    record.say(format!("daemons that are registered: {:?}", deployment.store.keys("dahliawood/")));
    let from = Instant::now();
    thread::sleep(JUDGED);
    let (sent, served, there) = count(visits, from, far);
    record.say(format!(
        "of {sent} requests on a route with its home in the clients' region, {there} were sent to the other region, {served} served"
    ));
    if sent == 0 {
        return Err("no request was sent".to_owned());
    }
    let is_kept = there * 20 <= sent;
    record.say(if is_kept { "HOME is kept" } else { "HOME is broken" });
    Ok(is_kept)
}
