//! The environment of a soak: the stand-ins, the proxies, and the processes of the VMs.

mod health;
mod network;
mod targets;

use crate::instance::{self, InstanceFault, RunRequest, TargetInstance};
use crate::keyspace::{self, KeyspaceStore, StoreFault};
use crate::operator_config;
use crate::serving::lock;
use crate::soak::SoakOptions;
use crate::soak::caller::{LARGE_KEY, SMALL_KEY};
use crate::soak::check::{
    ChangeKind, GuaranteeViolation, InjectedFault, SoakChange, SoakLimit, TargetRun,
};
use crate::soak::environment::network::VmNetwork;
use crate::soak::plan::{LinkFault, SoakEvent, SoakStep, TARGETS_PER_SERVICE};
use crate::soak::proxy::{self, FaultProxy};
use crate::soak::vm::VmProcess;
use async_std::task;
use dahliawood_steer::rendezvous;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The services; at any time, the routes lead to one of them.
pub const SERVICES: [&str; 2] = ["first", "second"];
/// Routes that the configuration grows by at a time, and the most.
const GROWTH: u64 = 1_400;
const MAX_ROUTES: u64 = 4_200;
/// The limit of the customer that callers constantly exceed.
pub const SMALL_LIMIT: SoakLimit = SoakLimit { rate: 8, burst: 8 };
/// The limit that is never reached, as rate in requests a second and as burst in requests.
const LARGE_RATE: u32 = 100_000;
/// How long a target takes for a request.
const PROCESSING_TIME: Duration = Duration::from_millis(20);
/// How long after a restoration of the store its writers write again.
const REWRITE_TIME: Duration = Duration::from_millis(600);
/// How long a process may take to exit after the signal: its grace time, plus some
/// time for start-up.
const TERMINATION_LIMIT: Duration = Duration::from_secs(8);
/// Interval between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A registered address that one target after another uses. The address is that of a proxy.
#[derive(Clone, Debug)]
struct TargetEndpoint {
    service: &'static str,
    proxy: FaultProxy,
    /// The targets that used the address, the newest last.
    instances: Vec<TargetInstance>,
    /// Until when the newest target has not taken over the address yet.
    replaced_until: Instant,
    /// The same where the one before it states its leaving.
    left_until: Instant,
}

/// The stand-ins, the proxies and the VM processes of a soak, and the record of what was injected.
#[derive(Debug)]
pub struct SoakEnvironment {
    store: KeyspaceStore,
    /// The links of each VM.
    networks: Vec<VmNetwork>,
    endpoints: Vec<TargetEndpoint>,
    vms: Arc<Mutex<Vec<VmProcess>>>,
    restart_failures: Arc<Mutex<Vec<GuaranteeViolation>>>,
    work_dir: PathBuf,
    version: u64,
    /// Routes of the configuration that are not used.
    routes: u64,
    /// The changes made so far, in order of time.
    pub changes: Vec<SoakChange>,
    /// The events applied so far, in order of time.
    pub faults: Vec<InjectedFault>,
}

impl SoakEnvironment {
    /// Starts everything and waits until the fleet is healthy.
    ///
    /// # Errors
    /// Fails where something cannot be started, or the fleet is not healthy in time.
    pub async fn start(options: &SoakOptions) -> io::Result<Self> {
        let name = format!("dahliawood-soak-{}-{}", std::process::id(), options.seed);
        let work_dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&work_dir)?;
        let mut environment = Self {
            store: keyspace::start().await?,
            networks: Vec::new(),
            endpoints: Vec::new(),
            vms: Arc::default(),
            restart_failures: Arc::default(),
            work_dir,
            version: 0,
            routes: 0,
            changes: Vec::new(),
            faults: Vec::new(),
        };
        for index in 0..SERVICES.len() * TARGETS_PER_SERVICE {
            environment.add_endpoint(index).await?;
        }
        environment.publish_routes(SERVICES[0]);
        for index in 0..options.vms {
            let targets = environment.endpoints.iter();
            let targets: Vec<SocketAddr> = targets.map(|endpoint| endpoint.proxy.address).collect();
            let network = VmNetwork::start(&environment.store, &targets).await?;
            let domain = ["a-1", "a-2"][index % options.domains];
            let name = format!("vm-{index}");
            let program = &options.program;
            let mut vm = VmProcess::new(
                program,
                &environment.work_dir,
                &name,
                domain,
                network.store_address(),
            )?;
            vm.start()?;
            lock(&environment.vms).push(vm);
            environment.networks.push(network);
        }
        let violations = environment.wait_until_healthy().await;
        environment.store.copy();
        match violations.first() {
            None => Ok(environment),
            Some(violation) => Err(io::Error::other(violation.seen.clone())),
        }
    }

    async fn add_endpoint(&mut self, index: usize) -> io::Result<()> {
        let service = SERVICES[index % SERVICES.len()];
        let target = instance::start(&format!("target-{index}-0")).await?;
        target.set_processing_time(PROCESSING_TIME);
        let endpoint = TargetEndpoint {
            service,
            proxy: proxy::start(target.address).await?,
            instances: vec![target],
            replaced_until: Instant::now(),
            left_until: Instant::now(),
        };
        register(&self.store, &endpoint);
        self.endpoints.push(endpoint);
        Ok(())
    }

    fn publish_routes(&mut self, service: &'static str) {
        self.version += 1;
        self.store
            .put("op/config", &document(self.version, service, self.routes));
        let kind = ChangeKind::Routes(service);
        let at = Instant::now();
        self.changes.push(SoakChange { at, kind });
    }

    /// The addresses to which callers send requests, one for each VM.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        let vms = lock(&self.vms);
        vms.iter().map(|vm| vm.addresses.front).collect()
    }

    /// All requests that ran at targets.
    pub fn runs(&self) -> Vec<TargetRun> {
        self.arrivals(TargetInstance::runs)
    }

    /// All requests that targets refused with a pause.
    pub fn refusals(&self) -> Vec<TargetRun> {
        self.arrivals(TargetInstance::refusals)
    }

    fn arrivals(&self, of: impl Fn(&TargetInstance) -> Vec<RunRequest>) -> Vec<TargetRun> {
        let run = |endpoint: usize, target: &TargetInstance, service| {
            let id = target.id.clone();
            of(target).into_iter().map(move |run| TargetRun {
                method: run.head.method,
                path: run.head.target,
                body: run.body,
                at: run.at,
                endpoint,
                target: id.clone(),
                service,
            })
        };
        let endpoints = self.endpoints.iter().enumerate();
        let at_endpoint = |(index, endpoint): (usize, &TargetEndpoint)| {
            let service = endpoint.service;
            let runs = endpoint.instances.iter();
            let runs = runs.flat_map(|target| run(index, target, service));
            runs.collect::<Vec<_>>()
        };
        endpoints.flat_map(at_endpoint).collect()
    }

    /// Applies an event; a background task ends it after its duration.
    ///
    /// # Errors
    /// Fails where a stand-in cannot be started or a signal cannot be sent.
    pub async fn apply(&mut self, step: &SoakStep) -> io::Result<()> {
        let from = Instant::now();
        let until = from + step.duration;
        let event = step.event;
        self.faults.push(InjectedFault { from, until, event });
        if event == SoakEvent::StoreRestored {
            self.restore_store().await;
        }
        self.store.copy();
        match event {
            SoakEvent::StoreRestored => {}
            SoakEvent::TargetLeaving(index) => {
                self.replace_target(index, step.duration, true).await?;
            }
            SoakEvent::TargetLimited(index) => self.limit_target(index, step.duration),
            SoakEvent::TargetPausing(index) => self.pause_target(index, step.duration),
            SoakEvent::StoreLink(vm, fault) => {
                self.networks[vm].disrupt_store(fault, step.duration);
            }
            SoakEvent::TargetLink(endpoint, fault) => {
                disrupt(&self.endpoints[endpoint].proxy, fault, step.duration);
            }
            SoakEvent::TargetFault(endpoint, fault) => {
                if let Some(target) = self.endpoints[endpoint].instances.last().cloned() {
                    target.set_fault(fault);
                    run_after(step.duration, move || target.set_fault(InstanceFault::Off));
                }
            }
            SoakEvent::StoreStalled(vm) => {
                let network = self.networks[vm].clone();
                network.set_store_fault(StoreFault::Stalled);
                run_after(step.duration, move || {
                    network.set_store_fault(StoreFault::Off);
                });
            }
            SoakEvent::StoreUnavailable => {
                let networks = self.networks.clone();
                let set_fault = move |fault| {
                    networks
                        .iter()
                        .for_each(|network| network.set_store_fault(fault));
                };
                set_fault(StoreFault::Unavailable);
                run_after(step.duration, move || set_fault(StoreFault::Off));
            }
            SoakEvent::StoreCompacted => self.store.compact(),
            SoakEvent::VmCutOff(vm, cut) => {
                self.networks[vm].cut_off(cut, step.duration).await?;
            }
            SoakEvent::VmPaused(vm) => {
                self.signal(vm, Signal::STOP)?;
                let vms = Arc::clone(&self.vms);
                // The process may have exited in the meantime; then no signal is sent.
                run_after(step.duration, move || {
                    let _sent = lock(&vms)[vm].signal(Signal::CONT);
                });
            }
            SoakEvent::VmKilled(vm) => self.restart(vm, Signal::KILL, step.duration)?,
            SoakEvent::VmTerminated(vm) => self.restart(vm, Signal::TERM, step.duration)?,
            SoakEvent::VmReloaded(vm) => self.signal(vm, Signal::HUP)?,
            SoakEvent::TargetReplaced(index) => {
                self.replace_target(index, step.duration, false).await?;
            }
            SoakEvent::RoutesGrown => {
                self.routes = (self.routes + GROWTH).min(MAX_ROUTES);
                let service = SERVICES[usize::from(self.version.is_multiple_of(2))];
                self.publish_routes(service);
            }
            SoakEvent::RoutesChanged => {
                let next = SERVICES[(self.version % 2) as usize];
                self.publish_routes(next);
            }
        }
        Ok(())
    }

    fn signal(&self, vm: usize, signal: Signal) -> io::Result<()> {
        lock(&self.vms)[vm].signal(signal)
    }

    /// Stops a process with a signal, and starts it again after it has exited and a pause has
    /// passed.
    fn restart(&mut self, vm: usize, signal: Signal, pause: Duration) -> io::Result<()> {
        if !lock(&self.vms)[vm].is_running() {
            return Ok(());
        }
        self.signal(vm, signal)?;
        // A process that is paused handles SIGTERM only after it continues.
        let (vms, restart_failures) = (Arc::clone(&self.vms), Arc::clone(&self.restart_failures));
        let limit = Instant::now() + pause + TERMINATION_LIMIT;
        if let Some(fault) = self.faults.last_mut() {
            fault.until = limit;
        }
        task::spawn(async move {
            task::sleep(pause).await;
            let started = loop {
                if Instant::now() > limit {
                    break Err(io::Error::other("the process does not exit"));
                }
                let exit_status = lock(&vms)[vm].exit_status();
                match exit_status {
                    Ok(_) if lock(&vms)[vm].has_exited() => break lock(&vms)[vm].start(),
                    Ok(_) => task::sleep(POLL_INTERVAL).await,
                    Err(error) => break Err(error),
                }
            };
            if let Err(error) = started {
                let seen = format!("VM {vm}: {error}");
                lock(&restart_failures).push(GuaranteeViolation {
                    guarantee: "a VM that is stopped exits and starts again",
                    seen,
                });
            }
        });
        Ok(())
    }

    /// Returns the store to its last copy. What the operators and the targets wrote since is written
    /// again a moment later.
    async fn restore_store(&mut self) {
        let all = self.endpoints.iter();
        let all: Vec<TargetInstance> = all
            .flat_map(|endpoint| endpoint.instances.iter().cloned())
            .collect();
        let is_listed = |target: &&TargetInstance| self.store.has(&target.key());
        let (listed, others): (Vec<_>, Vec<_>) = all.iter().partition(is_listed);
        self.store.restore();
        let lost: Vec<_> = listed
            .into_iter()
            .filter(|target| !is_listed(target))
            .collect();
        let revived: Vec<_> = others.into_iter().filter(is_listed).collect();
        task::sleep(REWRITE_TIME).await;
        let service = SERVICES[usize::from(self.version.is_multiple_of(2))];
        self.store
            .put("op/config", &document(self.version, service, self.routes));
        for target in revived {
            self.store.remove(&target.key());
        }
        for endpoint in &self.endpoints {
            let newest = endpoint.instances.last();
            if newest.is_some_and(|newest| lost.iter().any(|target| target.id == newest.id)) {
                register(&self.store, endpoint);
            }
        }
    }

    /// Kills all processes, and returns the directory that has, or had, their logs.
    pub fn shut_down(self, keep_logs: bool) -> PathBuf {
        lock(&self.vms).clear();
        if !keep_logs && let Err(error) = fs::remove_dir_all(&self.work_dir) {
            log::warn!("cannot remove the logs of the soak: {error}");
        }
        self.work_dir
    }
}

/// Registers the newest target of an endpoint, with the address of the proxy.
fn register(store: &KeyspaceStore, endpoint: &TargetEndpoint) {
    if let Some(target) = endpoint.instances.last() {
        let mut entry = target.entry(endpoint.service, "a-1");
        entry["address"] = json!(endpoint.proxy.address.to_string());
        store.put(&target.key(), &entry);
    }
}

/// Injects a fault into a link for a time.
fn disrupt(link: &FaultProxy, fault: LinkFault, duration: Duration) {
    link.set_fault(Some(fault));
    let link = link.clone();
    run_after(duration, move || link.set_fault(None));
}

/// Runs `work` after a time, in a background task.
fn run_after(duration: Duration, work: impl FnOnce() + Send + 'static) {
    task::spawn(async move {
        task::sleep(duration).await;
        work();
    });
}

/// A configuration document whose routes lead to `service`, with further routes that are not used.
fn document(version: u64, service: &str, further: u64) -> Value {
    let mut routes = vec![
        operator_config::route("/read/", "idempotent", false, service),
        operator_config::route("/write/", "non_idempotent", false, service),
    ];
    routes.extend((0..further).map(|index| {
        let name = rendezvous::name_hash(&index.to_le_bytes());
        operator_config::route(&format!("/{name:x}-{index}/"), "idempotent", true, service)
    }));
    let SoakLimit { rate, burst } = SMALL_LIMIT;
    let customers = [
        operator_config::customer("large", LARGE_KEY, LARGE_RATE, LARGE_RATE),
        operator_config::customer("small", SMALL_KEY, rate, burst),
    ];
    operator_config::document(version, &routes, &customers, &SERVICES)
}
