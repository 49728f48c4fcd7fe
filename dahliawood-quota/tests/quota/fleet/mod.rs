//! A simulation of a few VMs with an unreliable network, store and live list.

use crate::scenario::{FAULT_PERIOD, Fault, FaultKind, FaultScenario, RECOVERY_PERIOD};
use crate::{oracle, store};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_quota::manager::{self, effect};
use dahliawood_quota::shares::{document, holder};
use dahliawood_quota::{amount, limit, member, message, options};
use rand::{Rng, SeedableRng, rngs};
use std::collections::{BTreeMap, BinaryHeap};
use std::{cmp, net::SocketAddr, time::Duration};

const REGIONS: [&str; 3] = ["north", "central", "south"];
const MAX_TICK_MICROS: u64 = 60_000;
/// The first place of the VMs that join later, so that no two live VMs share an address.
const FIRST_JOINED_PLACE: usize = 100;
pub const RATE: u64 = 20;
pub const BURST: u64 = 5;
pub const SLOTS: u64 = 4;

pub fn options() -> options::QuotaOptions {
    options::QuotaOptions {
        loan_time: Duration::from_millis(400),
        lease_time: Duration::from_millis(350),
        lease_idle_timeout: Duration::from_secs(2),
        max_loan_time: Duration::from_millis(800),
        loan_request_timeout: Duration::from_millis(150),
        liveness_timeout: Duration::from_millis(1_200),
        reclaim_delay: Duration::from_millis(3_500),
        read_interval: Duration::from_millis(300),
        write_timeout: Duration::from_millis(300),
        ..options::QuotaOptions::default()
    }
}

enum Event {
    Tick(usize),
    Arrival,
    Deliver(usize, member::HolderId, message::QuotaMessage),
    ReadList(usize),
    StoreRead(usize),
    StoreWrite(usize, holder::ShareWrite),
    ReadReply(
        usize,
        Option<document::ShareDocument>,
        document::ShareVersion,
    ),
    WriteReply(usize, u64, holder::WriteOutcome),
    ReleaseSlot(usize, u64, effect::QuotaPermit),
    Start(usize),
}

struct ScheduledEvent(u64, u64, Event);

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

struct Vm {
    id: member::HolderId,
    region: usize,
    origin: u64,
    manager: manager::QuotaManager,
    is_crashed: bool,
    slot_waits: BTreeMap<effect::WaitTicket, u64>,
    rate_waits: BTreeMap<effect::WaitTicket, u64>,
}

pub struct Fleet {
    rng: rngs::StdRng,
    now: u64,
    last: u64,
    events: BinaryHeap<ScheduledEvent>,
    vms: Vec<Vm>,
    listed: Vec<(u64, Vec<member::HolderId>)>,
    store: store::FakeStore,
    scenario: FaultScenario,
    revision: u64,
    specs: Vec<limit::LimitSpec>,
    rate: oracle::RateOracle,
    count: oracle::CountOracle,
    pub admitted: u64,
    pub violations: Vec<String>,
}

fn specs(permille: u64) -> Vec<limit::LimitSpec> {
    let part = |units: u64| units * 1_000 * permille;
    let rate = limit::LimitSpec {
        name: "customer/small".into(),
        terms: limit::LimitTerms::Rate {
            rate: amount::TokenRate::from_micros(part(RATE)),
            burst: amount::TokenAmount::from_micros(part(BURST)),
        },
        homes: limit::HomeRule {
            region: None,
            homes_max: 3,
        },
        is_paced: false,
    };
    let count = limit::LimitSpec {
        name: "slots/target".into(),
        terms: limit::LimitTerms::Count {
            count: amount::TokenAmount::from_whole(part(SLOTS) / amount::MICROS_PER_UNIT),
        },
        homes: limit::HomeRule {
            region: Some("north".into()),
            homes_max: 2,
        },
        is_paced: false,
    };
    vec![rate, count]
}

impl Fleet {
    pub fn new(scenario: FaultScenario) -> Self {
        let mut fleet = Self {
            rng: rngs::StdRng::seed_from_u64(scenario.seed),
            now: 0,
            last: 0,
            events: BinaryHeap::new(),
            vms: Vec::new(),
            listed: Vec::new(),
            store: store::FakeStore::default(),
            revision: 1,
            specs: specs(1_000),
            rate: oracle::RateOracle::new(),
            count: oracle::CountOracle::new(),
            admitted: 0,
            violations: Vec::new(),
            scenario,
        };
        (0..fleet.scenario.vms).for_each(|place| fleet.start_vm(place));
        fleet.push(0, Event::Arrival);
        let faults = fleet.scenario.faults.clone();
        for fault in faults {
            fleet.push(fault.at, Event::Start(usize::MAX));
        }
        fleet
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.last += 1;
        self.events
            .push(ScheduledEvent(self.now + delay, self.last, event));
    }

    fn start_vm(&mut self, place: usize) {
        let address = SocketAddr::from(([10, 0, 0, 1], 1_000 + place as u16));
        let id = member::HolderId {
            address,
            incarnation: self.vms.len() as u64 + 1,
        };
        let region = place % REGIONS.len();
        let me = member::MemberEntry {
            id,
            region: REGIONS[region].into(),
            domain: format!("{}-{}", REGIONS[region], place % 2),
            leaving: false,
            epoch: 0,
        };
        let origin = self.rng.random_range(0..1_u64 << 40);
        let now = TimeStamp::from_micros(self.now + origin);
        let mut manager = manager::QuotaManager::new(me, options(), now);
        manager.configure(self.revision, self.specs.clone(), now);
        let index = self.vms.len();
        self.vms.push(Vm {
            id,
            region,
            origin,
            manager,
            is_crashed: false,
            slot_waits: BTreeMap::new(),
            rate_waits: BTreeMap::new(),
        });
        self.push(0, Event::Tick(index));
        self.push(0, Event::ReadList(index));
        self.record_live_list();
    }

    /// Records the live list. A crashed VM is not in it; scenarios with an even seed also drop VMs
    /// that are partitioned or paused, which the platform may do.
    fn record_live_list(&mut self) {
        let drops_unreachable = self.scenario.seed.is_multiple_of(2);
        let is_listed = |(index, vm): &(usize, &Vm)| {
            let is_unreachable =
                self.is_partitioned(vm.region, 0) || self.now < self.paused_until(*index);
            !(vm.is_crashed || (drops_unreachable && is_unreachable))
        };
        let listed = self.vms.iter().enumerate().filter(is_listed);
        let list = listed.map(|(_, vm)| vm.id).collect();
        self.listed.push((self.now, list));
    }

    fn fault(&self, kind: FaultKind) -> Option<&Fault> {
        let active = |fault: &&Fault| {
            fault.kind == kind && fault.at <= self.now && self.now < fault.at + fault.span
        };
        self.scenario.faults.iter().find(active)
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let cut = self
            .fault(FaultKind::RegionPartition)
            .map(|fault| fault.victim % REGIONS.len());
        from != to && cut.is_some_and(|cut| from == cut || to == cut)
    }

    fn paused_until(&self, vm: usize) -> u64 {
        let pauses_vm = |fault: &&Fault| {
            fault.kind == FaultKind::Pause
                && fault.victim % self.vms.len() == vm
                && fault.at <= self.now
                && self.now < fault.at + fault.span
        };
        let ends = self
            .scenario
            .faults
            .iter()
            .filter(pauses_vm)
            .map(|fault| fault.at + fault.span);
        ends.max().unwrap_or(self.now)
    }

    pub fn run(&mut self) {
        while let Some(ScheduledEvent(at, _, event)) = self.events.pop() {
            if FAULT_PERIOD + RECOVERY_PERIOD < at || !self.violations.is_empty() {
                break;
            }
            self.now = at;
            self.step(event);
        }
    }

    fn stamp(&self, vm: usize) -> TimeStamp {
        TimeStamp::from_micros(self.now + self.vms[vm].origin)
    }

    fn step(&mut self, event: Event) {
        let vm = match &event {
            Event::Tick(vm)
            | Event::Deliver(vm, ..)
            | Event::ReadList(vm)
            | Event::ReadReply(vm, ..)
            | Event::WriteReply(vm, ..) => Some(*vm),
            _ => None,
        };
        if let Some(vm) = vm {
            if self.vms[vm].is_crashed {
                return;
            }
            let resume_at = self.paused_until(vm);
            if self.now < resume_at {
                let jitter = self.rng.random_range(0..1_000);
                self.push(resume_at - self.now + jitter, event);
                return;
            }
        }
        self.run_event(event);
    }

    fn run_event(&mut self, event: Event) {
        match event {
            Event::Tick(vm) => self.tick(vm),
            Event::Arrival => self.arrive(),
            Event::Deliver(vm, from, message) => {
                let now = self.stamp(vm);
                let effects = self.vms[vm].manager.receive(from, message, now);
                self.carry_out(vm, effects);
            }
            Event::ReadList(vm) => self.read_list(vm),
            Event::StoreRead(vm) => self.store_read(vm),
            Event::StoreWrite(vm, write) => self.store_write(vm, &write),
            Event::ReadReply(vm, document, version) => {
                let now = self.stamp(vm);
                self.vms[vm].manager.apply_read(document, version, now);
            }
            Event::WriteReply(vm, serial, outcome) => {
                let now = self.stamp(vm);
                self.vms[vm]
                    .manager
                    .apply_write_outcome(serial, outcome, now);
            }
            Event::ReleaseSlot(vm, name, permit) => {
                self.count.vacate(name);
                let now = self.stamp(vm);
                if !self.vms[vm].is_crashed {
                    let effects = self.vms[vm].manager.release(permit, now);
                    self.carry_out(vm, effects);
                }
            }
            Event::Start(usize::MAX) => self.begin_fault(),
            Event::Start(place) => self.start_vm(place),
        }
    }

    fn begin_fault(&mut self) {
        let now = self.now;
        let starting: Vec<Fault> = self
            .scenario
            .faults
            .iter()
            .filter(|fault| fault.at == now)
            .copied()
            .collect();
        for fault in starting {
            let vm = fault.victim % self.vms.len();
            match fault.kind {
                FaultKind::Crash if !self.vms[vm].is_crashed => self.crash(vm, fault),
                FaultKind::Join => self.start_vm(FIRST_JOINED_PLACE + self.vms.len()),
                FaultKind::Leave if !self.is_replacement(vm) => self.vms[vm].manager.leave(),
                FaultKind::Revision { permille } => self.revise(permille),
                _ => {}
            }
        }
        self.record_live_list();
    }

    /// Whether `vm` replaces an earlier VM at its address. If such a VM left before it reclaimed
    /// its predecessor, the remaining members might have no majority.
    fn is_replacement(&self, vm: usize) -> bool {
        let address = self.vms[vm].id.address;
        self.vms[..vm]
            .iter()
            .any(|other| other.id.address == address)
    }

    fn crash(&mut self, vm: usize, fault: Fault) {
        self.vms[vm].is_crashed = true;
        if !fault.span.is_multiple_of(3) || !self.tolerates_loss(vm) {
            let place = usize::from(self.vms[vm].id.address.port()) - 1_000;
            self.push(fault.span / 2, Event::Start(place));
        }
    }

    /// Whether the fleet can recover if `vm` is never replaced: only if no other fault affects the
    /// membership.
    fn tolerates_loss(&self, vm: usize) -> bool {
        let affects_membership = |fault: &&Fault| {
            use FaultKind::{Crash, Join, Leave, ListOutage, Pause, RegionPartition};
            matches!(
                fault.kind,
                Crash | Join | Leave | ListOutage | Pause | RegionPartition
            )
        };
        let membership_faults = self
            .scenario
            .faults
            .iter()
            .filter(affects_membership)
            .count();
        !self.is_replacement(vm) && membership_faults == 1
    }

    fn revise(&mut self, permille: u64) {
        self.revision += 1;
        self.specs = specs(permille);
        for vm in 0..self.vms.len() {
            if self.rng.random_range(0..4) != 0 {
                self.configure(vm);
            }
        }
    }

    fn configure(&mut self, vm: usize) {
        let now = self.stamp(vm);
        self.vms[vm]
            .manager
            .configure(self.revision, self.specs.clone(), now);
    }

    fn tick(&mut self, vm: usize) {
        if self.rng.random_range(0..20) == 0 {
            self.configure(vm);
        }
        let now = self.stamp(vm);
        let effects = self.vms[vm].manager.tick(now);
        self.carry_out(vm, effects);
        if !self.vms[vm].manager.is_released() {
            let next = self.rng.random_range(5_000..MAX_TICK_MICROS);
            self.push(next, Event::Tick(vm));
        }
    }

    fn read_list(&mut self, vm: usize) {
        self.push(200_000, Event::ReadList(vm));
        let is_partitioned = self.is_partitioned(self.vms[vm].region, 0);
        if is_partitioned || self.fault(FaultKind::ListOutage).is_some() {
            return;
        }
        self.record_live_list();
        let lag = self.rng.random_range(0..1_000_000);
        let listed_at = self.now.saturating_sub(lag);
        let list = self.listed.iter().rev().find(|(at, _)| *at <= listed_at);
        let list = list.map(|(_, list)| list.clone()).unwrap_or_default();
        let now = self.stamp(vm);
        self.vms[vm].manager.apply_live_list(&list, now, now);
        let kept = self.now.saturating_sub(3_000_000);
        self.listed.retain(|(at, _)| kept <= *at);
    }

    fn carry_out(&mut self, vm: usize, effects: Vec<effect::QuotaEffect>) {
        for effect in effects {
            match effect {
                effect::QuotaEffect::Send { to, message } => self.send(vm, to, message),
                effect::QuotaEffect::ReadShares => {
                    let delay = self.rng.random_range(500..20_000);
                    self.push(delay, Event::StoreRead(vm));
                }
                effect::QuotaEffect::WriteShares(write) => {
                    let is_slow = self.fault(FaultKind::SlowStore).is_some();
                    let max_delay = if is_slow { 3_000_000 } else { 20_000 };
                    let delay = self.rng.random_range(500..max_delay);
                    self.push(delay, Event::StoreWrite(vm, write));
                }
                effect::QuotaEffect::Resolved { ticket, admission } => {
                    self.resolve(vm, ticket, admission);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: member::HolderId, message: message::QuotaMessage) {
        let Some(to) = self.vms.iter().position(|vm| vm.id == to) else {
            return;
        };
        if self.is_partitioned(self.vms[from].region, self.vms[to].region) {
            return;
        }
        let loses_messages = self.fault(FaultKind::MessageLoss).is_some();
        let copies = match self.rng.random_range(0..10) {
            0..=3 if loses_messages => 0,
            4..=6 if loses_messages => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let max_delay = if loses_messages { 900_000 } else { 30_000 };
            let delay = self.rng.random_range(200..max_delay);
            let id = self.vms[from].id;
            self.push(delay, Event::Deliver(to, id, message));
        }
    }

    fn can_reach_store(&mut self, vm: usize) -> bool {
        self.fault(FaultKind::StoreOutage).is_none() && !self.is_partitioned(self.vms[vm].region, 0)
    }

    fn store_read(&mut self, vm: usize) {
        if !self.can_reach_store(vm) {
            return;
        }
        let is_stale = self.fault(FaultKind::StaleReads).is_some();
        let back = if is_stale {
            self.rng.random_range(0..3)
        } else {
            0
        };
        let (document, version) = self.store.read(back);
        let delay = self.rng.random_range(500..20_000);
        self.push(delay, Event::ReadReply(vm, document, version));
    }

    fn store_write(&mut self, vm: usize, write: &holder::ShareWrite) {
        let mut outcome = holder::WriteOutcome::Unknown;
        if self.can_reach_store(vm) {
            outcome = self.store.write(write);
        }
        if matches!(outcome, holder::WriteOutcome::Applied(_)) {
            let document = self.store.newest().expect("a document was written");
            if let Some(entry) = document.limit("customer/small") {
                self.rate.revise(entry, self.now);
            }
            if let Some(entry) = document.limit("slots/target") {
                self.count.revise(entry);
            }
        }
        if self.fault(FaultKind::LostReplies).is_some() && self.rng.random_range(0..2) == 0 {
            outcome = holder::WriteOutcome::Unknown;
        }
        let delay = self.rng.random_range(500..20_000);
        self.push(delay, Event::WriteReply(vm, write.serial, outcome));
    }

    fn arrive(&mut self) {
        let mean = 1_000_000_000 / (RATE * self.scenario.demand_permille);
        let next = self.rng.random_range(0..2 * mean + 1);
        if self.now + next < FAULT_PERIOD {
            self.push(next, Event::Arrival);
        }
        for _ in 0..self.rng.random_range(1..3) {
            let vm = self.rng.random_range(0..self.vms.len());
            if !self.vms[vm].is_crashed && self.paused_until(vm) <= self.now {
                self.request(vm);
            }
        }
    }

    fn request(&mut self, vm: usize) {
        let now = self.stamp(vm);
        let customer = self.vms[vm]
            .manager
            .limit("customer/small")
            .expect("configured");
        let admission = self.vms[vm].manager.admit(customer, TimeStamp::MAX, now);
        if let effect::Admission::Waiting { ticket, .. } = admission {
            self.vms[vm].rate_waits.insert(ticket, 0);
        }
        self.check_rate(admission);
        let slots = self.vms[vm]
            .manager
            .limit("slots/target")
            .expect("configured");
        let span = self.rng.random_range(1_000..800_000);
        let deadline = now.after(Duration::from_micros(span));
        let admission = self.vms[vm].manager.admit(slots, deadline, now);
        if let effect::Admission::Waiting { ticket, .. } = admission {
            self.vms[vm].slot_waits.insert(ticket, 0);
        }
        self.check_slot(vm, admission);
    }

    fn resolve(&mut self, vm: usize, ticket: effect::WaitTicket, admission: effect::Admission) {
        if self.vms[vm].slot_waits.remove(&ticket).is_some() {
            self.check_slot(vm, admission);
        } else if self.vms[vm].rate_waits.remove(&ticket).is_some() {
            self.check_rate(admission);
        } else {
            self.violations.push(format!("{ticket} was resolved twice"));
        }
    }

    fn check_rate(&mut self, admission: effect::Admission) {
        if let effect::Admission::Granted(_) = admission {
            self.admitted += 1;
            if !self.rate.admit(amount::TokenAmount::ONE, self.now) {
                self.violations
                    .push(format!("rate limit exceeded at {} us", self.now));
            }
        }
    }

    fn check_slot(&mut self, vm: usize, admission: effect::Admission) {
        let effect::Admission::Granted(permit) = admission else {
            return;
        };
        let until = permit.usable_until.as_micros() - self.vms[vm].origin;
        let (name, is_within_bound) = self.count.occupy(self.now, until);
        if !is_within_bound {
            self.violations
                .push(format!("slot limit exceeded at {} us", self.now));
        }
        let max_delay = until.saturating_sub(self.now).max(1);
        let delay = self.rng.random_range(0..=max_delay);
        self.push(delay, Event::ReleaseSlot(vm, name, permit));
    }

    /// Checks that the fleet has recovered at the end: the shares add up to the limit and nothing
    /// is outstanding.
    pub fn check_recovered(&mut self) {
        let end_times: Vec<_> = (0..self.vms.len()).map(|vm| self.stamp(vm)).collect();
        let live = self
            .vms
            .iter_mut()
            .zip(end_times)
            .filter(|(vm, _)| !vm.is_crashed);
        let mut active: Vec<_> = live
            .filter(|(vm, _)| !vm.manager.is_released())
            .filter_map(|(vm, end)| vm.manager.is_active(end).then_some(&vm.manager))
            .collect();
        if active.is_empty() {
            return;
        }
        for spec in &self.specs {
            let shares: Vec<_> = active
                .iter_mut()
                .map(|manager| manager.bucket(manager.limit(&spec.name).expect("configured")))
                .collect();
            let outstanding: amount::TokenAmount =
                shares.iter().map(|share| share.outstanding()).sum();
            let burst: amount::TokenAmount = shares.iter().map(|share| share.burst()).sum();
            let rate: amount::TokenRate = shares.iter().map(|share| share.rate()).sum();
            let level: amount::TokenAmount = shares.iter().map(|share| share.level()).sum();
            let terms = spec.terms;
            let is_complete = burst == terms.burst() && rate == terms.rate();
            if !is_complete || !outstanding.is_zero() || level != burst {
                let name = &spec.name;
                let found = format!(
                    "{name}: {rate} {burst} level {level} outstanding {outstanding} of {terms:?}"
                );
                self.violations.push(found);
            }
        }
    }
}
