//! The environment of a soak: the stand-ins, the proxies, and the processes of the VMs.

mod faults;
mod health;
mod network;
mod targets;

use crate::instance::{self, RunRequest, TargetInstance};
use crate::keyspace::{self, KeyspaceStore};
use crate::serving::lock;
use crate::soak::SoakOptions;
use crate::soak::check::{ChangeKind, GuaranteeViolation, InjectedFault, SoakChange, TargetRun};
use crate::soak::configuration::{ConfigurationVersion, SERVICES};
use crate::soak::environment::network::VmNetwork;
use crate::soak::proxy::{self, FaultProxy};
use crate::soak::vm::{self, VmProcess};
use async_std::task;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rustix::process::Signal;
use serde_json::json;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// VMs of each failure domain that have more processor time than the others.
const LARGE_VMS: usize = 2;
/// How long a target takes for a request.
const PROCESSING_TIME: Duration = Duration::from_millis(20);
/// How long after a restoration of the store its writers write again.
const REWRITE_TIME: Duration = Duration::from_millis(600);
/// How long a process may take to exit after the signal: its grace time, plus some
/// time for start-up.
const TERMINATION_LIMIT: Duration = Duration::from_secs(8);
/// Interval between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A place in a service that one target after another takes, most of them at one registered address. The
/// address is that of a proxy.
#[derive(Clone, Debug)]
struct TargetEndpoint {
    service: &'static str,
    /// Index of its failure domain.
    domain: usize,
    proxy: FaultProxy,
    /// The targets that used the address, the newest last.
    instances: Vec<TargetInstance>,
    /// Until when the newest target has not taken over the address yet.
    replaced_until: Instant,
    /// The same where the one before it states its leaving.
    left_until: Instant,
    /// Number of replacements that have begun.
    replacements: Arc<AtomicUsize>,
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
    /// Draws what the operators change.
    rng: StdRng,
    version: ConfigurationVersion,
    /// Until when replicas of the store are behind.
    old_reads_until: Instant,
    /// Whether each VM has its own links to targets.
    has_target_links: bool,
    /// The changes made so far.
    changes: Arc<Mutex<Vec<SoakChange>>>,
    /// The events applied so far, in order of time.
    faults: Arc<Mutex<Vec<InjectedFault>>>,
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
            rng: StdRng::seed_from_u64(options.seed),
            version: ConfigurationVersion::default(),
            old_reads_until: Instant::now(),
            has_target_links: options.has_target_links,
            changes: Arc::default(),
            faults: Arc::default(),
        };
        for index in 0..options.targets {
            environment.add_endpoint(index, options.domains).await?;
        }
        environment.publish();
        environment.add_vms(options).await?;
        let violations = environment.wait_until_healthy().await;
        environment.store.copy();
        match violations.first() {
            None => Ok(environment),
            Some(violation) => Err(io::Error::other(violation.seen.clone())),
        }
    }

    /// Starts the links and the processes of all VMs.
    async fn add_vms(&mut self, options: &SoakOptions) -> io::Result<()> {
        let targets = self.endpoints.iter().filter(|_| self.has_target_links);
        let targets: Vec<SocketAddr> = targets.map(|endpoint| endpoint.proxy.address).collect();
        let mut vms = Vec::new();
        for index in 0..options.vms {
            let network = VmNetwork::start(&self.store, &targets).await?;
            let place = vm::VmPlace {
                name: &format!("vm-{index}"),
                domain: index % options.domains,
                domains: options.domains,
                is_large: index / options.domains < LARGE_VMS,
            };
            let store = network.store_address();
            let vm = VmProcess::new(&options.program, &self.work_dir, place, store)?;
            self.networks.push(network);
            vms.push(vm);
        }
        if options.has_peer_links {
            let peers: Vec<_> = vms.iter().map(|vm| vm.addresses.calls).collect();
            network::link_peers(&mut self.networks, &peers).await?;
        }
        for mut vm in vms {
            vm.start()?;
            lock(&self.vms).push(vm);
        }
        Ok(())
    }

    async fn add_endpoint(&mut self, index: usize, domains: usize) -> io::Result<()> {
        let service = SERVICES[index % SERVICES.len()];
        let target = instance::start(&format!("target-{index}-0")).await?;
        target.set_processing_time(PROCESSING_TIME);
        let endpoint = TargetEndpoint {
            service,
            domain: index / SERVICES.len() % domains,
            proxy: proxy::start(target.address).await?,
            instances: vec![target],
            replaced_until: Instant::now(),
            left_until: Instant::now(),
            replacements: Arc::default(),
        };
        register(&self.store, &endpoint);
        self.endpoints.push(endpoint);
        Ok(())
    }

    /// Publishes the configuration as it is now.
    fn publish(&mut self) {
        let at = Instant::now();
        self.store.put("op/config", &self.version.document());
        let kind = ChangeKind::Configuration(Arc::new(self.version.clone()));
        self.record(SoakChange { at, kind });
    }

    fn record(&self, change: SoakChange) {
        lock(&self.changes).push(change);
    }

    /// The changes made so far, in order of time.
    pub fn changes(&self) -> Vec<SoakChange> {
        let mut changes = lock(&self.changes).clone();
        changes.sort_by_key(|change| change.at);
        changes
    }

    /// The events applied so far, in order of time.
    pub fn faults(&self) -> Vec<InjectedFault> {
        lock(&self.faults).clone()
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
                domain: self.endpoints[endpoint].domain,
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

    fn signal(&self, vm: usize, signal: Signal) -> io::Result<()> {
        lock(&self.vms)[vm].signal(signal)
    }

    /// Stops a process with a signal, and starts it again after it has exited and a pause has
    /// passed.
    fn restart(&self, vm: usize, signal: Signal, pause: Duration) -> io::Result<()> {
        if !lock(&self.vms)[vm].is_running() {
            return Ok(());
        }
        self.signal(vm, signal)?;
        // A process that is paused handles SIGTERM only after it continues.
        let (vms, restart_failures) = (Arc::clone(&self.vms), Arc::clone(&self.restart_failures));
        let limit = Instant::now() + pause + TERMINATION_LIMIT;
        let faults = Arc::clone(&self.faults);
        let place = lock(&faults).len().saturating_sub(1);
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
            // The fault lasts until the process has started.
            if let Some(fault) = lock(&faults).get_mut(place) {
                fault.until = fault.until.max(Instant::now());
            }
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
        self.store.put("op/config", &self.version.document());
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
        let mut entry = target.entry(endpoint.service, &vm::domain_name(endpoint.domain));
        entry["address"] = json!(endpoint.proxy.address.to_string());
        store.put(&target.key(), &entry);
    }
}

/// Runs `work` after a time, in a background task.
fn run_after(duration: Duration, work: impl FnOnce() + Send + 'static) {
    task::spawn(async move {
        task::sleep(duration).await;
        work();
    });
}
