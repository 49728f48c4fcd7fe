//! The stand-ins, the proxies and the processes of a soak.

use crate::instance::{self, InstanceBehavior, TargetInstance};
use crate::keyspace::{self, KeyspaceStore, StoreBehavior};
use crate::operator_config;
use crate::serving::lock;
use crate::soak::SoakOptions;
use crate::soak::caller::{self, LARGE_KEY, SMALL_KEY};
use crate::soak::check::{
    BrokenPromise, ChangeKind, PlayedFault, SoakChange, SoakLimit, TargetRun,
};
use crate::soak::plan::{LinkFault, SoakEvent, SoakStep, TARGETS};
use crate::soak::proxy::{self, FaultProxy};
use crate::soak::vm::VmProcess;
use async_std::future::timeout;
use async_std::task;
use dahliawood_wire::raw::fields::FieldList;
use dahliawood_wire::raw::write;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The services; routes go to one of them at a time.
pub const SERVICES: [&str; 2] = ["first", "second"];
/// The customer whose limit is passed all the time.
pub const SMALL_LIMIT: SoakLimit = SoakLimit { rate: 8, burst: 8 };
/// The limit that is not reached, requests a second and at once.
const LARGE_RATE: u32 = 100_000;
/// How long a target works on a request.
const WORK: Duration = Duration::from_millis(20);
/// How long a process may take to end after it was told to, its grace time and some start-up.
const END_BOUND: Duration = Duration::from_secs(8);
/// How long the fleet may take to be whole at the start and at the end.
const WHOLE_BOUND: Duration = Duration::from_secs(20);
/// How often that is looked at.
const POLL: Duration = Duration::from_millis(50);
/// Memory of a VM, bytes.
const MOST_MEMORY: u64 = 256 << 20;

/// A place for targets, which other ones take over.
#[derive(Clone, Debug)]
struct TargetPlace {
    service: &'static str,
    proxy: FaultProxy,
    /// All that stood here, the newest last.
    instances: Vec<TargetInstance>,
}

/// Everything around the VMs, and their processes.
#[derive(Debug)]
pub struct SoakWorld {
    store: KeyspaceStore,
    store_links: Vec<FaultProxy>,
    places: Vec<TargetPlace>,
    vms: Arc<Mutex<Vec<VmProcess>>>,
    unexpected: Arc<Mutex<Vec<BrokenPromise>>>,
    home: PathBuf,
    version: u64,
    /// What was changed.
    pub changes: Vec<SoakChange>,
    /// What was played.
    pub faults: Vec<PlayedFault>,
}

impl SoakWorld {
    /// Starts all, and waits until the fleet is whole.
    ///
    /// # Errors
    /// Something cannot be started, or the fleet is not whole in time.
    pub async fn start(options: &SoakOptions) -> io::Result<Self> {
        let name = format!("dahliawood-soak-{}-{}", std::process::id(), options.seed);
        let home = std::env::temp_dir().join(name);
        fs::create_dir_all(&home)?;
        let mut world = Self {
            store: keyspace::start().await?,
            store_links: Vec::new(),
            places: Vec::new(),
            vms: Arc::default(),
            unexpected: Arc::default(),
            home,
            version: 0,
            changes: Vec::new(),
            faults: Vec::new(),
        };
        for index in 0..SERVICES.len() * TARGETS {
            world.add_place(index).await?;
        }
        world.declare(SERVICES[0]);
        for index in 0..options.vms {
            let link = proxy::start(world.store.address).await?;
            let domain = ["a-1", "a-2"][index % 2];
            let name = format!("vm-{index}");
            let program = &options.program;
            let mut vm = VmProcess::new(program, &world.home, &name, domain, link.address)?;
            vm.start()?;
            lock(&world.vms).push(vm);
            world.store_links.push(link);
        }
        match world.until_whole().await.first() {
            None => Ok(world),
            Some(broken) => Err(io::Error::other(broken.seen.clone())),
        }
    }

    async fn add_place(&mut self, index: usize) -> io::Result<()> {
        let service = SERVICES[index % SERVICES.len()];
        let target = instance::start(&format!("target-{index}-0")).await?;
        target.set_processing_time(WORK);
        let place = TargetPlace {
            service,
            proxy: proxy::start(target.address).await?,
            instances: vec![target],
        };
        register(&self.store, &place);
        self.places.push(place);
        Ok(())
    }

    fn declare(&mut self, service: &'static str) {
        self.version += 1;
        self.store
            .put("op/config", &document(self.version, service));
        let kind = ChangeKind::Routes(service);
        let at = Instant::now();
        self.changes.push(SoakChange { at, kind });
    }

    /// Where callers are answered.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        let vms = lock(&self.vms);
        vms.iter().map(|vm| vm.addresses.front).collect()
    }

    /// All requests that ran.
    pub fn runs(&self) -> Vec<TargetRun> {
        let run = |place: usize, target: &TargetInstance, service| {
            let id = target.id.clone();
            target.runs().into_iter().map(move |run| TargetRun {
                method: run.head.method,
                path: run.head.target,
                body: run.body,
                at: run.at,
                place,
                target: id.clone(),
                service,
            })
        };
        let places = self.places.iter().enumerate();
        let at_place = |(index, place): (usize, &TargetPlace)| {
            let service = place.service;
            let runs = place.instances.iter();
            let runs = runs.flat_map(move |target| run(index, target, service));
            runs.collect::<Vec<_>>()
        };
        places.flat_map(at_place).collect()
    }

    /// Begins an event, which ends by itself.
    ///
    /// # Errors
    /// A stand-in cannot be started, or a signal cannot be sent.
    pub async fn apply(&mut self, step: &SoakStep) -> io::Result<()> {
        let from = Instant::now();
        let until = from + step.duration;
        let event = step.event;
        self.faults.push(PlayedFault { from, until, event });
        match event {
            SoakEvent::StoreLink(vm, fault) => harm(&self.store_links[vm], fault, step.duration),
            SoakEvent::TargetLink(place, fault) => {
                harm(&self.places[place].proxy, fault, step.duration);
            }
            SoakEvent::TargetBehavior(place, behavior) => {
                if let Some(target) = self.places[place].instances.last().cloned() {
                    target.set_behavior(behavior);
                    after(step.duration, move || {
                        target.set_behavior(InstanceBehavior::Normal)
                    });
                }
            }
            SoakEvent::StoreUnavailable => {
                self.store.set_behavior(StoreBehavior::Unavailable);
                let store = self.store.clone();
                after(step.duration, move || {
                    store.set_behavior(StoreBehavior::Normal)
                });
            }
            SoakEvent::StoreCompacted => self.store.compact(),
            SoakEvent::VmPaused(vm) => {
                self.signal(vm, Signal::STOP)?;
                let vms = Arc::clone(&self.vms);
                // A process that is gone meanwhile gets no signal.
                after(step.duration, move || {
                    let _sent = lock(&vms)[vm].signal(Signal::CONT);
                });
            }
            SoakEvent::VmKilled(vm) => self.restart(vm, Signal::KILL, step.duration)?,
            SoakEvent::VmTerminated(vm) => self.restart(vm, Signal::TERM, step.duration)?,
            SoakEvent::VmReloaded(vm) => self.signal(vm, Signal::HUP)?,
            SoakEvent::TargetReplaced(place) => self.replace(place, step.duration).await?,
            SoakEvent::RoutesChanged => {
                let next = SERVICES[(self.version % 2) as usize];
                self.declare(next);
            }
        }
        Ok(())
    }

    fn signal(&self, vm: usize, signal: Signal) -> io::Result<()> {
        lock(&self.vms)[vm].signal(signal)
    }

    /// Ends a process, and starts it again once it is gone and a time has passed.
    fn restart(&mut self, vm: usize, signal: Signal, pause: Duration) -> io::Result<()> {
        if !lock(&self.vms)[vm].is_live() {
            return Ok(());
        }
        self.signal(vm, signal)?;
        // One that is paused ends once it goes on.
        let (vms, unexpected) = (Arc::clone(&self.vms), Arc::clone(&self.unexpected));
        let limit = Instant::now() + pause + END_BOUND;
        if let Some(fault) = self.faults.last_mut() {
            fault.until = limit;
        }
        task::spawn(async move {
            task::sleep(pause).await;
            let started = loop {
                if Instant::now() > limit {
                    break Err(io::Error::other("it does not end"));
                }
                let ended = lock(&vms)[vm].ended();
                match ended {
                    Ok(_) if lock(&vms)[vm].is_gone() => break lock(&vms)[vm].start(),
                    Ok(_) => task::sleep(POLL).await,
                    Err(error) => break Err(error),
                }
            };
            if let Err(error) = started {
                let seen = format!("VM {vm}: {error}");
                lock(&unexpected).push(BrokenPromise {
                    promise: "a VM that is told to end ends",
                    seen,
                });
            }
        });
        Ok(())
    }

    /// A target leaves and goes on answering for a time; then another one with another id has its
    /// address.
    async fn replace(&mut self, index: usize, pause: Duration) -> io::Result<()> {
        let count = self.places[index].instances.len();
        let target = instance::start(&format!("target-{index}-{count}")).await?;
        target.set_processing_time(WORK);
        let place = &mut self.places[index];
        if let Some(old) = place.instances.last() {
            self.store.remove(&old.key());
            let kind = ChangeKind::TargetLeft(old.id.clone());
            let at = Instant::now();
            self.changes.push(SoakChange { at, kind });
        }
        place.instances.push(target.clone());
        let (place, store) = (place.clone(), self.store.clone());
        after(pause, move || {
            place.proxy.set_server(target.address);
            register(&store, &place);
        });
        Ok(())
    }

    /// Waits until the fleet is whole: each VM runs, is ready, and names all of them. Answers what
    /// is not so, or was not on the way.
    pub async fn until_whole(&self) -> Vec<BrokenPromise> {
        let limit = Instant::now() + WHOLE_BOUND;
        let mut seen = self.whole().await;
        while seen.is_some() && Instant::now() < limit {
            task::sleep(POLL).await;
            seen = self.whole().await;
        }
        let mut broken = lock(&self.unexpected).clone();
        broken.extend(seen.map(|seen| BrokenPromise {
            promise: "the fleet is whole again",
            seen,
        }));
        let vms = lock(&self.vms);
        let large = vms
            .iter()
            .filter(|vm| vm.memory().is_some_and(|memory| memory > MOST_MEMORY));
        broken.extend(large.map(|vm| BrokenPromise {
            promise: "memory is bounded",
            seen: format!("{} has {:?} bytes", vm.name, vm.memory()),
        }));
        broken
    }

    /// What the fleet lacks.
    async fn whole(&self) -> Option<String> {
        let mut asked = Vec::new();
        for vm in lock(&self.vms).iter_mut() {
            if let Ok(Some(status)) = vm.ended() {
                return Some(format!("{} ended: {status}", vm.name));
            }
            if !vm.is_live() {
                return Some(format!("{} does not run", vm.name));
            }
            asked.push((vm.name.clone(), vm.addresses));
        }
        let mut fronts: Vec<String> = self.fronts().iter().map(ToString::to_string).collect();
        fronts.sort();
        for (name, addresses) in asked {
            if ask(addresses.ready, "/api/ready").await.is_none() {
                return Some(format!("{name} is not ready"));
            }
            let answer = ask(addresses.directory, "/api/resolve?name=host.example").await;
            let named: Value =
                serde_json::from_slice(&answer.unwrap_or_default()).unwrap_or_default();
            let named = named["addresses"].as_array().cloned().unwrap_or_default();
            let mut named: Vec<String> = named
                .iter()
                .filter_map(|address| address.as_str().map(str::to_owned))
                .collect();
            named.sort();
            if named != fronts {
                return Some(format!("{name} names {named:?}, not {fronts:?}"));
            }
        }
        None
    }

    /// Ends all processes, and answers where their logs are or were.
    pub fn end(self, keep_logs: bool) -> PathBuf {
        lock(&self.vms).clear();
        if !keep_logs && let Err(error) = fs::remove_dir_all(&self.home) {
            log::warn!("the logs cannot be removed: {error}");
        }
        self.home
    }
}

/// Registers the newest target of a place.
fn register(store: &KeyspaceStore, place: &TargetPlace) {
    if let Some(target) = place.instances.last() {
        let mut entry = target.entry(place.service, "a-1");
        entry["address"] = json!(place.proxy.address.to_string());
        store.put(&target.key(), &entry);
    }
}

/// Harms a link for a time.
fn harm(link: &FaultProxy, fault: LinkFault, duration: Duration) {
    link.set_fault(Some(fault));
    let link = link.clone();
    after(duration, move || link.set_fault(None));
}

fn after(duration: Duration, work: impl FnOnce() + Send + 'static) {
    task::spawn(async move {
        task::sleep(duration).await;
        work();
    });
}

/// The body of an answer with status 200.
async fn ask(address: SocketAddr, path: &str) -> Option<Vec<u8>> {
    let asked = async {
        let mut fields = FieldList::default();
        fields.push("Host", "host.example");
        let bytes = write::request("GET", path, &fields, b"");
        let (head, body) = caller::connect(address).await?.exchange(&bytes).await?;
        (head.status == 200).then_some(body)
    };
    timeout(Duration::from_secs(1), asked).await.ok()?
}

/// A document whose routes go to a service.
fn document(version: u64, service: &str) -> Value {
    let routes = [
        operator_config::route("/read/", "idempotent", false, service),
        operator_config::route("/write/", "non_idempotent", false, service),
    ];
    let SoakLimit { rate, burst } = SMALL_LIMIT;
    let customers = [
        operator_config::customer("large", LARGE_KEY, LARGE_RATE, LARGE_RATE),
        operator_config::customer("small", SMALL_KEY, rate, burst),
    ];
    operator_config::document(version, &routes, &customers, &SERVICES)
}
