//! One run: requests of all customers, an optional fault, and the refusals of each customer.

use crate::quota::{central, fleet};
use dahliawood_model::FastMap;
use dahliawood_quota::manager::effect;
use dahliawood_quota::{amount, bucket, limit};
use rand::Rng;
use std::time::Duration;

/// Microseconds in a second.
pub const SECOND: u64 = 1_000_000;
/// Seconds before anything is counted.
const WARM_UP: u64 = 30;

/// How requests arrive.
#[derive(Clone, Copy, Debug, PartialEq, derive_more::Display)]
pub enum ArrivalKind {
    /// Single requests at exponential intervals.
    #[display("poisson")]
    Poisson,
    /// Batches of half a burst at exponential intervals.
    #[display("bursts")]
    Bursts,
}

/// How a caller chooses a VM.
#[derive(Clone, Copy, Debug, PartialEq, derive_more::Display)]
pub enum CallerKind {
    /// It follows the look-up and uses the first VM named.
    #[display("follow")]
    Follow,
    /// It ignores the look-up and uses any VM at random.
    #[display("ignore")]
    Ignore,
}

/// The fault that begins after the warm-up.
#[derive(Clone, Copy, Debug, PartialEq, derive_more::Display)]
pub enum RunFault {
    /// No fault.
    #[display("steady")]
    None,
    /// A home VM of the smallest customer dies and does not return; counting starts once its share
    /// has been reclaimed.
    #[display("vm-dead")]
    VmDead,
    /// The same death, but counting starts when the VM dies.
    #[display("vm-dies")]
    VmDies,
    /// The store is down, and with it the live list.
    #[display("store-out")]
    StoreOut,
    /// A rolling replacement of all VMs.
    #[display("rolling")]
    Rolling,
    /// One region is partitioned from the others; only callers outside it are counted.
    #[display("region-cut")]
    RegionCut,
}

/// Options of one run.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions<'a> {
    pub customers: &'a [limit::LimitSpec],
    pub vms: usize,
    pub between_regions: u64,
    pub load: f64,
    pub arrivals: ArrivalKind,
    pub callers: CallerKind,
    pub fault: RunFault,
    pub seconds: u64,
    pub seed: u64,
}

/// Request counts of one customer.
#[derive(Clone, Copy, Debug, Default)]
pub struct CustomerTally {
    pub arrived: u64,
    pub refused: u64,
    pub central_refused: u64,
    pub split_refused: u64,
    /// Requests that the fleet refused and the central bucket admitted.
    pub swapped: u64,
    /// Refusals in a second of arrivals beyond those of the central bucket in that second.
    pub wrongful: u64,
    pub split_wrongful: u64,
    pub waited: u64,
}

impl CustomerTally {
    /// Percent of arrivals that were refused wrongfully.
    pub fn wrongful_percent(&self) -> f64 {
        percent(self.wrongful, self.arrived)
    }

    /// Percent of arrivals that the fleet refused and the central bucket admitted.
    pub fn swapped_percent(&self) -> f64 {
        percent(self.swapped, self.arrived)
    }

    /// Percent of arrivals that the static split refused and the central bucket admitted.
    pub fn split_percent(&self) -> f64 {
        percent(self.split_wrongful, self.arrived)
    }
}

fn percent(part: u64, whole: u64) -> f64 {
    part as f64 * 100.0 / whole.max(1) as f64
}

/// Results of a run.
pub struct RunOutcome {
    pub tallies: Vec<CustomerTally>,
    /// Messages per second and VM, and their bytes per second and VM.
    pub messages: f64,
    pub bytes: f64,
}

struct CustomerRun {
    limit: limit::LimitKey,
    central: bucket::TokenBucket,
    split: Vec<bucket::TokenBucket>,
    tally: CustomerTally,
    /// Refusals by the fleet less refusals by the central bucket, for each second of arrival.
    seconds: FastMap<u64, i64>,
}

impl CustomerRun {
    fn second(&mut self, at: u64) -> &mut i64 {
        self.seconds.entry(at / SECOND).or_default()
    }

    fn final_tally(&self) -> CustomerTally {
        let excess = self
            .seconds
            .values()
            .map(|balance| (*balance).max(0) as u64);
        CustomerTally {
            wrongful: excess.sum(),
            ..self.tally
        }
    }
}

#[derive(Clone, Copy)]
struct PendingRequest {
    arrived_at: u64,
    customer: usize,
    is_central_admitted: bool,
    is_counted: bool,
}

struct ScenarioRun<'a> {
    options: RunOptions<'a>,
    fleet: fleet::QuotaFleet,
    customers: Vec<CustomerRun>,
    pending: FastMap<(usize, effect::WaitTicket), PendingRequest>,
    replaced: usize,
}

/// Ids of scheduled events; smaller ids are arrivals of the customer with that index.
const FAULT_BEGINS: u64 = 1_000;
const REPLACE_NEXT: u64 = 1_001;
const RESTART_VM: u64 = 1_002;
const FAULT_ENDS: u64 = 1_003;
const COUNT_BEGINS: u64 = 1_004;

/// Seconds between two replacements, and from the end of a VM that left to its restart.
const REPLACE_INTERVAL: u64 = 20;
const RESTART_DELAY: u64 = 5;

/// Simulates a scenario.
pub fn run(options: RunOptions<'_>) -> RunOutcome {
    let specs = options.customers.to_vec();
    let fleet = fleet::QuotaFleet::new(options.vms, options.between_regions, specs, options.seed);
    let customers = (0..options.customers.len()).map(|index| customer_run(&options, &fleet, index));
    let customers = customers.collect();
    let mut run = ScenarioRun {
        options,
        fleet,
        customers,
        pending: FastMap::default(),
        replaced: 0,
    };
    run.start();
    let count_begin = run.count_begin();
    let end = count_begin + options.seconds * SECOND;
    while run.fleet.now < end {
        run.step();
    }
    run.outcome()
}

fn customer_run(options: &RunOptions<'_>, fleet: &fleet::QuotaFleet, index: usize) -> CustomerRun {
    let spec = &options.customers[index];
    let parts = options.vms as u64;
    let limit = fleet.vms[0].manager.limit(&spec.name).expect("configured");
    CustomerRun {
        limit,
        central: central::full_bucket(spec.terms, 1),
        split: (0..parts)
            .map(|_| central::full_bucket(spec.terms, parts))
            .collect(),
        tally: CustomerTally::default(),
        seconds: FastMap::default(),
    }
}

impl ScenarioRun<'_> {
    fn start(&mut self) {
        for customer in 0..self.customers.len() {
            self.schedule_arrival(customer);
        }
        self.fleet.schedule(WARM_UP * SECOND, FAULT_BEGINS);
        self.fleet.schedule(self.count_begin(), COUNT_BEGINS);
    }

    /// Time at which counting begins, microseconds.
    fn count_begin(&self) -> u64 {
        const RECLAIM_SECONDS: u64 = 60;
        let settle = if self.options.fault == RunFault::VmDead {
            RECLAIM_SECONDS
        } else {
            0
        };
        (WARM_UP + settle) * SECOND
    }

    /// Number of requests in one arrival.
    fn batch_size(&self, customer: usize) -> u64 {
        match self.options.arrivals {
            ArrivalKind::Poisson => 1,
            ArrivalKind::Bursts => self.options.customers[customer]
                .terms
                .burst()
                .whole()
                .div_ceil(2),
        }
    }

    fn schedule_arrival(&mut self, customer: usize) {
        let rate = self.options.customers[customer]
            .terms
            .rate()
            .micros_per_second as f64;
        let per_micro = rate / amount::MICROS_PER_UNIT as f64 / SECOND as f64 * self.options.load;
        let uniform: f64 = self.fleet.rng.random_range(f64::MIN_POSITIVE..1.0);
        let gap = -uniform.ln() / per_micro * self.batch_size(customer) as f64;
        self.fleet.schedule(gap as u64, customer as u64);
    }

    fn step(&mut self) {
        match self.fleet.step() {
            fleet::FleetStep::Scheduled(FAULT_BEGINS) => self.begin_fault(),
            fleet::FleetStep::Scheduled(FAULT_ENDS) => self.fleet.cut_region = None,
            fleet::FleetStep::Scheduled(REPLACE_NEXT) => self.replace_next(),
            fleet::FleetStep::Scheduled(RESTART_VM) => {
                let position = self.replaced;
                self.replaced += 1;
                self.fleet.start_vm(position);
            }
            fleet::FleetStep::Scheduled(COUNT_BEGINS) => {
                self.fleet.messages = 0;
                self.fleet.message_bytes = 0;
            }
            fleet::FleetStep::Scheduled(customer) => self.arrive(customer as usize),
            fleet::FleetStep::Other => {}
        }
        self.resolve();
    }

    fn begin_fault(&mut self) {
        match self.options.fault {
            RunFault::None => {}
            RunFault::VmDead | RunFault::VmDies => {
                let smallest = self.customers.last().expect("there are customers");
                let homes = self.fleet.look_up(smallest.limit, 0);
                self.fleet.kill_vm(homes[0]);
            }
            RunFault::StoreOut => self.fleet.is_store_down = true,
            RunFault::Rolling => self.fleet.schedule(0, REPLACE_NEXT),
            RunFault::RegionCut => {
                self.fleet.cut_region = Some(2);
                self.fleet
                    .schedule(self.options.seconds * SECOND / 2, FAULT_ENDS);
            }
        }
    }

    fn replace_next(&mut self) {
        if self.replaced < self.options.vms {
            let vm = self.replaced;
            self.fleet.vms[vm].is_leaving = true;
            self.fleet.vms[vm].manager.leave();
            self.fleet
                .schedule((RESTART_DELAY + 5) * SECOND, RESTART_VM);
            self.fleet.schedule(REPLACE_INTERVAL * SECOND, REPLACE_NEXT);
        }
    }

    fn arrive(&mut self, customer: usize) {
        self.schedule_arrival(customer);
        let region = self.fleet.rng.random_range(0..fleet::REGIONS.len());
        for _ in 0..self.batch_size(customer) {
            self.request(customer, region);
        }
    }

    fn choose_vm(&mut self, customer: usize, region: usize) -> Option<usize> {
        if self.options.callers == CallerKind::Follow {
            let homes = self.fleet.look_up(self.customers[customer].limit, region);
            if let Some(home) = homes.first() {
                return Some(*home);
            }
        }
        let usable = (0..self.fleet.vms.len()).filter(|vm| self.fleet.is_usable(*vm, region));
        let usable: Vec<_> = usable.collect();
        let chosen = self.fleet.rng.random_range(0..usable.len().max(1));
        usable.get(chosen).copied()
    }

    fn request(&mut self, customer: usize, region: usize) {
        let now = self.fleet.stamp();
        let Some(vm) = self.choose_vm(customer, region) else {
            return;
        };
        let is_counted = self.count_begin() <= self.fleet.now
            && (self.options.fault != RunFault::RegionCut || region != 2);
        let run = &mut self.customers[customer];
        let is_central_admitted = central::admits(&mut run.central, now);
        let parts = run.split.len();
        let is_split_admitted = central::admits(&mut run.split[vm % parts], now);
        if is_counted {
            run.tally.arrived += 1;
            run.tally.central_refused += u64::from(!is_central_admitted);
            run.tally.split_refused += u64::from(!is_split_admitted);
            *run.second(now.as_micros()) -= i64::from(!is_central_admitted);
            run.tally.split_wrongful += u64::from(is_central_admitted && !is_split_admitted);
        }
        let request = PendingRequest {
            arrived_at: self.fleet.now,
            customer,
            is_central_admitted,
            is_counted,
        };
        let deadline = now.after(Duration::from_secs(2));
        let admission = self.fleet.vms[vm].manager.admit(run.limit, deadline, now);
        match admission {
            effect::Admission::Waiting { ticket, .. } => {
                run.tally.waited += u64::from(is_counted);
                self.pending.insert((vm, ticket), request);
                self.fleet.wake(vm);
            }
            effect::Admission::Refused { .. } => self.refuse(request),
            effect::Admission::Granted(_) => {}
        }
    }

    fn refuse(&mut self, request: PendingRequest) {
        if request.is_counted {
            let tally = &mut self.customers[request.customer].tally;
            tally.refused += 1;
            tally.swapped += u64::from(request.is_central_admitted);
            *self.customers[request.customer].second(request.arrived_at) += 1;
        }
    }

    fn resolve(&mut self) {
        for resolved in std::mem::take(&mut self.fleet.resolved) {
            let pending = self.pending.remove(&(resolved.vm, resolved.ticket));
            let refused = matches!(resolved.admission, effect::Admission::Refused { .. });
            if let Some(request) = pending.filter(|_| refused) {
                self.refuse(request);
            }
        }
    }

    fn outcome(&self) -> RunOutcome {
        let vm_seconds = (self.options.seconds * self.options.vms as u64) as f64;
        RunOutcome {
            tallies: self
                .customers
                .iter()
                .map(CustomerRun::final_tally)
                .collect(),
            messages: self.fleet.messages as f64 / vm_seconds,
            bytes: self.fleet.message_bytes as f64 / vm_seconds,
        }
    }
}
