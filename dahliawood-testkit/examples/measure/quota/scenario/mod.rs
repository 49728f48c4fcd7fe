//! One run: arrivals of all customers, a fault, and who was refused.

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
    /// One by one, at exponential intervals.
    #[display("poisson")]
    Poisson,
    /// Half a burst at once, at exponential intervals.
    #[display("bursts")]
    Bursts,
}

/// Which VM a caller uses.
#[derive(Clone, Copy, Debug, PartialEq, derive_more::Display)]
pub enum CallerKind {
    /// The first that the look-up names.
    #[display("follow")]
    Follow,
    /// Any.
    #[display("ignore")]
    Ignore,
}

/// What goes wrong after the warm-up.
#[derive(Clone, Copy, Debug, PartialEq, derive_more::Display)]
pub enum RunFault {
    /// Nothing.
    #[display("steady")]
    None,
    /// A home VM of the smallest customer dies before counting starts and stays away.
    #[display("vm-dead")]
    VmDead,
    /// The same, counted from its death on.
    #[display("vm-dies")]
    VmDies,
    /// The store and the live list are out.
    #[display("store-out")]
    StoreOut,
    /// All VMs are replaced, one after another.
    #[display("rolling")]
    Rolling,
    /// A region is cut off; only callers outside it are counted.
    #[display("region-cut")]
    RegionCut,
}

/// One run.
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

/// What became of one customer's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct CustomerTally {
    pub arrived: u64,
    pub refused: u64,
    pub central_refused: u64,
    pub split_refused: u64,
    /// Refused here and admitted by the central bucket, request by request.
    pub swapped: u64,
    /// Refused here beyond what the central bucket refused of the same second's arrivals.
    pub wrongful: u64,
    pub split_wrongful: u64,
    pub waited: u64,
}

impl CustomerTally {
    /// Percent of arrivals that were refused wrongly.
    pub fn wrongful_percent(&self) -> f64 {
        percent(self.wrongful, self.arrived)
    }

    /// Percent of arrivals that were refused and that the central bucket admitted.
    pub fn swapped_percent(&self) -> f64 {
        percent(self.swapped, self.arrived)
    }

    /// Percent of arrivals that the static split refused wrongly.
    pub fn split_percent(&self) -> f64 {
        percent(self.split_wrongful, self.arrived)
    }
}

fn percent(part: u64, whole: u64) -> f64 {
    part as f64 * 100.0 / whole.max(1) as f64
}

/// What a run came to.
pub struct RunOutcome {
    pub tallies: Vec<CustomerTally>,
    /// Messages a second of one VM, and their bytes.
    pub messages: f64,
    pub bytes: f64,
}

struct CustomerRun {
    limit: limit::LimitKey,
    central: bucket::TokenBucket,
    split: Vec<bucket::TokenBucket>,
    tally: CustomerTally,
    /// Refusals here less those of the central bucket, for each second of arrival.
    seconds: FastMap<u64, i64>,
}

impl CustomerRun {
    fn second(&mut self, at: u64) -> &mut i64 {
        self.seconds.entry(at / SECOND).or_default()
    }

    fn final_tally(&self) -> CustomerTally {
        let beyond = self
            .seconds
            .values()
            .map(|balance| (*balance).max(0) as u64);
        CustomerTally {
            wrongful: beyond.sum(),
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

/// Names of planned events beside the customers' arrivals.
const FAULT_BEGINS: u64 = 1_000;
const ROLL_NEXT: u64 = 1_001;
const ROLL_START: u64 = 1_002;
const FAULT_ENDS: u64 = 1_003;
const COUNT_BEGINS: u64 = 1_004;

/// Seconds between two replacements, and from the end of a VM to its next life.
const ROLL_EVERY: u64 = 20;
const ROLL_GAP: u64 = 5;

/// Runs a scenario.
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
    let begins = run.begins();
    let end = begins + options.seconds * SECOND;
    while run.fleet.now < end {
        run.step();
    }
    run.outcome()
}

fn customer_run(options: &RunOptions<'_>, fleet: &fleet::QuotaFleet, index: usize) -> CustomerRun {
    let spec = &options.customers[index];
    let parts = options.vms as u64;
    let limit = fleet.vms[0].book.limit(&spec.name).expect("configured");
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
            self.plan_arrival(customer);
        }
        self.fleet.plan(WARM_UP * SECOND, FAULT_BEGINS);
        self.fleet.plan(self.begins(), COUNT_BEGINS);
    }

    /// When counting begins, microseconds.
    fn begins(&self) -> u64 {
        const RECLAIMED_AFTER: u64 = 60;
        let settle = if self.options.fault == RunFault::VmDead {
            RECLAIMED_AFTER
        } else {
            0
        };
        (WARM_UP + settle) * SECOND
    }

    fn batch(&self, customer: usize) -> u64 {
        match self.options.arrivals {
            ArrivalKind::Poisson => 1,
            ArrivalKind::Bursts => self.options.customers[customer]
                .terms
                .burst()
                .whole()
                .div_ceil(2),
        }
    }

    fn plan_arrival(&mut self, customer: usize) {
        let rate = self.options.customers[customer]
            .terms
            .rate()
            .micros_per_second as f64;
        let per_micro = rate / amount::MICROS_PER_UNIT as f64 / SECOND as f64 * self.options.load;
        let uniform: f64 = self.fleet.rng.random_range(f64::MIN_POSITIVE..1.0);
        let gap = -uniform.ln() / per_micro * self.batch(customer) as f64;
        self.fleet.plan(gap as u64, customer as u64);
    }

    fn step(&mut self) {
        match self.fleet.step() {
            fleet::FleetStep::Planned(FAULT_BEGINS) => self.begin_fault(),
            fleet::FleetStep::Planned(FAULT_ENDS) => self.fleet.cut_region = None,
            fleet::FleetStep::Planned(ROLL_NEXT) => self.roll_next(),
            fleet::FleetStep::Planned(ROLL_START) => {
                let place = self.replaced;
                self.replaced += 1;
                self.fleet.start_vm(place);
            }
            fleet::FleetStep::Planned(COUNT_BEGINS) => {
                self.fleet.messages = 0;
                self.fleet.message_bytes = 0;
            }
            fleet::FleetStep::Planned(customer) => self.arrive(customer as usize),
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
            RunFault::Rolling => self.fleet.plan(0, ROLL_NEXT),
            RunFault::RegionCut => {
                self.fleet.cut_region = Some(2);
                self.fleet
                    .plan(self.options.seconds * SECOND / 2, FAULT_ENDS);
            }
        }
    }

    fn roll_next(&mut self) {
        if self.replaced < self.options.vms {
            let vm = self.replaced;
            self.fleet.vms[vm].is_leaving = true;
            self.fleet.vms[vm].book.leave();
            self.fleet.plan((ROLL_GAP + 5) * SECOND, ROLL_START);
            self.fleet.plan(ROLL_EVERY * SECOND, ROLL_NEXT);
        }
    }

    fn arrive(&mut self, customer: usize) {
        self.plan_arrival(customer);
        let region = self.fleet.rng.random_range(0..fleet::REGIONS.len());
        for _ in 0..self.batch(customer) {
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
        let usable = (0..self.fleet.vms.len()).filter(|vm| self.fleet.takes_work(*vm, region));
        let usable: Vec<_> = usable.collect();
        let chosen = self.fleet.rng.random_range(0..usable.len().max(1));
        usable.get(chosen).copied()
    }

    fn request(&mut self, customer: usize, region: usize) {
        let now = self.fleet.stamp();
        let Some(vm) = self.choose_vm(customer, region) else {
            return;
        };
        let is_counted = self.begins() <= self.fleet.now
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
        let admission = self.fleet.vms[vm].book.admit(run.limit, deadline, now);
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
