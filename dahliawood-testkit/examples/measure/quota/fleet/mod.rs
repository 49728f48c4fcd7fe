//! Simulates a fleet of quota managers, the network between them and the store, in virtual time.

use dahliawood_model::{FastMap, stamp};
use dahliawood_quota::manager::{self, effect};
use dahliawood_quota::shares::{document, holder};
use dahliawood_quota::{limit, member, message, options};
use rand::{Rng, SeedableRng, rngs};
use std::collections::BinaryHeap;
use std::{cmp, net};

/// Regions of both deployments; the store is in the first one.
pub const REGIONS: [&str; 3] = ["first", "second", "third"];
/// One-way latency within a region, microseconds.
const WITHIN_REGION: u64 = 500;
/// Interval of a control thread's ticks, microseconds.
const TICK_INTERVAL: u64 = 10_000;
/// Time from an admission that waits to the control thread's next tick, microseconds.
const WAKE_DELAY: u64 = 100;
/// Service time of a store call, microseconds.
const STORE_SERVICE_TIME: u64 = 3_000;
/// Interval between two reads of the live list, and how far the list lags, microseconds.
const LIST_INTERVAL: u64 = 1_000_000;
const LIST_LAG: u64 = 2_000_000;
/// Framing bytes of a message, sent as a remote call with its answer.
const FRAMING_BYTES: u64 = 64;

/// An event of the simulation; the number is the VM that it concerns.
#[derive(Clone, Debug)]
pub enum FleetEvent {
    Tick(usize),
    Wake(usize),
    Deliver {
        to: usize,
        from: member::HolderId,
        message: message::QuotaMessage,
    },
    ReadList(usize),
    StoreRead(usize),
    StoreWrite(usize, holder::ShareWrite),
    ReadReply(
        usize,
        document::ShareVersion,
        Option<document::ShareDocument>,
    ),
    WriteReply(usize, u64, holder::WriteOutcome),
    /// An event that the measurement scheduled, with the id that it chose.
    Scheduled(u64),
}

#[derive(Debug)]
struct TimedEvent {
    at: u64,
    order: u64,
    event: FleetEvent,
}

impl PartialEq for TimedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for TimedEvent {}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimedEvent {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// A simulated VM.
pub struct FleetVm {
    pub id: member::HolderId,
    pub region: usize,
    pub manager: manager::QuotaManager,
    pub is_alive: bool,
    pub is_leaving: bool,
    gone_at: u64,
}

/// A waiting request whose admission has been decided.
#[derive(Clone, Copy, Debug)]
pub struct ResolvedWait {
    pub vm: usize,
    pub ticket: effect::WaitTicket,
    pub admission: effect::Admission,
}

/// Result of a simulation step.
pub enum FleetStep {
    /// An event that the measurement scheduled, with its id.
    Scheduled(u64),
    /// Any other event.
    Other,
}

/// The simulation.
pub struct QuotaFleet {
    pub rng: rngs::StdRng,
    pub now: u64,
    order: u64,
    events: BinaryHeap<TimedEvent>,
    pub vms: Vec<FleetVm>,
    by_id: FastMap<member::HolderId, usize>,
    pub between_regions: u64,
    pub cut_region: Option<usize>,
    pub is_store_down: bool,
    version: u64,
    document: Option<document::ShareDocument>,
    specs: Vec<limit::LimitSpec>,
    pub resolved: Vec<ResolvedWait>,
    pub messages: u64,
    pub message_bytes: u64,
}

impl QuotaFleet {
    /// A fleet of `vms` VMs, distributed over the regions, which all start at time zero.
    pub fn new(vms: usize, between_regions: u64, specs: Vec<limit::LimitSpec>, seed: u64) -> Self {
        let mut fleet = Self {
            rng: rngs::StdRng::seed_from_u64(seed),
            now: 0,
            order: 0,
            events: BinaryHeap::new(),
            vms: Vec::new(),
            by_id: FastMap::default(),
            between_regions,
            cut_region: None,
            is_store_down: false,
            version: 0,
            document: None,
            specs,
            resolved: Vec::new(),
            messages: 0,
            message_bytes: 0,
        };
        for position in 0..vms {
            fleet.start_vm(position);
        }
        fleet
    }

    /// The current time, which is the same at every VM.
    pub fn stamp(&self) -> stamp::TimeStamp {
        stamp::TimeStamp::from_micros(self.now)
    }

    /// Schedules an event of the measurement; `delay` is in microseconds.
    pub fn schedule(&mut self, delay: u64, id: u64) {
        self.push(delay, FleetEvent::Scheduled(id));
    }

    fn push(&mut self, delay: u64, event: FleetEvent) {
        self.order += 1;
        self.events.push(TimedEvent {
            at: self.now + delay,
            order: self.order,
            event,
        });
    }

    /// Starts a VM at a position, which determines its address, region and failure domain. At the
    /// position of a VM that is gone, this starts a new incarnation at the same address. Returns
    /// the index of the VM.
    pub fn start_vm(&mut self, position: usize) -> usize {
        let port = u16::try_from(1_000 + position).expect("each position has a port");
        let id = member::HolderId {
            address: net::SocketAddr::from(([10, 0, 0, 1], port)),
            incarnation: self.vms.len() as u64 + 1,
        };
        let region = position % REGIONS.len();
        let own_entry = member::MemberEntry {
            id,
            region: REGIONS[region].to_owned(),
            domain: format!("{}-{}", REGIONS[region], position / REGIONS.len() % 2),
            leaving: false,
            epoch: 0,
        };
        let mut manager =
            manager::QuotaManager::new(own_entry, options::QuotaOptions::default(), self.stamp());
        manager.configure(1, self.specs.clone(), self.stamp());
        let index = self.vms.len();
        self.by_id.insert(id, index);
        self.vms.push(FleetVm {
            id,
            region,
            manager,
            is_alive: true,
            is_leaving: false,
            gone_at: u64::MAX,
        });
        let offset = self.rng.random_range(0..TICK_INTERVAL);
        self.push(offset, FleetEvent::Tick(index));
        self.push(offset, FleetEvent::ReadList(index));
        index
    }

    /// Stops a VM at once, without a shutdown.
    pub fn kill_vm(&mut self, vm: usize) {
        self.vms[vm].is_alive = false;
        self.vms[vm].gone_at = self.now;
    }

    /// The home VMs of a limit that a look-up names for a caller in `region`, nearest first.
    pub fn look_up(&self, limit: limit::LimitKey, region: usize) -> Vec<usize> {
        let serves = |vm: &&FleetVm| vm.is_alive && !self.is_cut(region, vm.region);
        let Some(answering) = self.vms.iter().find(serves) else {
            return Vec::new();
        };
        let homes = answering.manager.homes(limit, REGIONS[region]);
        let homes = homes.iter().filter_map(|id| self.by_id.get(id).copied());
        homes.filter(|vm| self.is_usable(*vm, region)).collect()
    }

    /// Whether a VM accepts requests and a caller in `region` can reach it.
    pub fn is_usable(&self, vm: usize, region: usize) -> bool {
        let vm = &self.vms[vm];
        vm.is_alive && !vm.is_leaving && !self.is_cut(region, vm.region)
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        from != to && self.cut_region.is_some_and(|cut| from == cut || to == cut)
    }

    fn one_way(&mut self, from: usize, to: usize) -> u64 {
        const JITTER: u64 = 100;
        let base = if from == to {
            WITHIN_REGION
        } else {
            self.between_regions
        };
        base + self.rng.random_range(0..JITTER)
    }

    /// Schedules a tick of a VM's control thread, as an admission that waits does.
    pub fn wake(&mut self, vm: usize) {
        self.push(WAKE_DELAY, FleetEvent::Wake(vm));
    }

    /// Handles the next event.
    pub fn step(&mut self) -> FleetStep {
        let Some(timed) = self.events.pop() else {
            return FleetStep::Other;
        };
        self.now = timed.at;
        match timed.event {
            FleetEvent::Scheduled(id) => return FleetStep::Scheduled(id),
            FleetEvent::Tick(vm) if self.vms[vm].is_alive => {
                self.tick(vm);
                self.push(TICK_INTERVAL, FleetEvent::Tick(vm));
            }
            FleetEvent::Wake(vm) if self.vms[vm].is_alive => self.tick(vm),
            FleetEvent::Deliver { to, from, message } if self.vms[to].is_alive => {
                let now = self.stamp();
                let effects = self.vms[to].manager.receive(from, message, now);
                self.apply_effects(to, effects);
            }
            FleetEvent::ReadList(vm) if self.vms[vm].is_alive => self.read_list(vm),
            FleetEvent::StoreRead(vm) => self.store_read(vm),
            FleetEvent::StoreWrite(vm, write) => self.store_write(vm, &write),
            FleetEvent::ReadReply(vm, version, document) if self.vms[vm].is_alive => {
                let now = self.stamp();
                self.vms[vm].manager.apply_read(document, version, now);
            }
            FleetEvent::WriteReply(vm, serial, outcome) if self.vms[vm].is_alive => {
                let now = self.stamp();
                self.vms[vm]
                    .manager
                    .apply_write_outcome(serial, outcome, now);
            }
            _ => {}
        }
        FleetStep::Other
    }

    fn tick(&mut self, vm: usize) {
        let now = self.stamp();
        let effects = self.vms[vm].manager.tick(now);
        self.apply_effects(vm, effects);
        if self.vms[vm].manager.is_released() {
            self.kill_vm(vm);
        }
    }

    fn read_list(&mut self, vm: usize) {
        self.push(LIST_INTERVAL, FleetEvent::ReadList(vm));
        if self.is_cut(self.vms[vm].region, 0) || self.is_store_down {
            return;
        }
        let listed_at = self.now.saturating_sub(LIST_LAG);
        let listed = self.vms.iter().filter(|vm| listed_at < vm.gone_at);
        let list: Vec<_> = listed.map(|vm| vm.id).collect();
        let now = self.stamp();
        self.vms[vm].manager.apply_live_list(&list, now, now);
    }

    /// Applies the effects that a quota manager returned.
    pub fn apply_effects(&mut self, vm: usize, effects: Vec<effect::QuotaEffect>) {
        for effect in effects {
            match effect {
                effect::QuotaEffect::Send { to, message } => self.send(vm, to, message),
                effect::QuotaEffect::ReadShares => {
                    let delay = self.one_way(self.vms[vm].region, 0) + STORE_SERVICE_TIME;
                    self.push(delay, FleetEvent::StoreRead(vm));
                }
                effect::QuotaEffect::WriteShares(write) => {
                    let delay = self.one_way(self.vms[vm].region, 0) + STORE_SERVICE_TIME;
                    self.push(delay, FleetEvent::StoreWrite(vm, write));
                }
                effect::QuotaEffect::Resolved { ticket, admission } => {
                    self.resolved.push(ResolvedWait {
                        vm,
                        ticket,
                        admission,
                    });
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: member::HolderId, message: message::QuotaMessage) {
        self.messages += 1;
        self.message_bytes += size_of::<message::QuotaMessage>() as u64 + FRAMING_BYTES;
        let (id, region) = (self.vms[from].id, self.vms[from].region);
        let to = self.by_id[&to];
        if self.is_cut(region, self.vms[to].region) {
            return;
        }
        let delay = self.one_way(region, self.vms[to].region);
        let event = FleetEvent::Deliver {
            to,
            from: id,
            message,
        };
        self.push(delay, event);
    }

    fn can_reach_store(&self, vm: usize) -> bool {
        !self.is_store_down && !self.is_cut(self.vms[vm].region, 0)
    }

    fn store_read(&mut self, vm: usize) {
        if self.can_reach_store(vm) {
            self.reply_document(vm);
        }
    }

    fn reply_document(&mut self, vm: usize) {
        let delay = self.one_way(0, self.vms[vm].region);
        let version = document::ShareVersion(self.version);
        let event = FleetEvent::ReadReply(vm, version, self.document.clone());
        self.push(delay, event);
    }

    fn store_write(&mut self, vm: usize, write: &holder::ShareWrite) {
        let mut outcome = holder::WriteOutcome::Unknown;
        if self.can_reach_store(vm) {
            outcome = self.compare_and_swap(write);
        }
        let delay = self.one_way(0, self.vms[vm].region);
        self.push(delay, FleetEvent::WriteReply(vm, write.serial, outcome));
    }

    fn compare_and_swap(&mut self, write: &holder::ShareWrite) -> holder::WriteOutcome {
        let base = write.base.unwrap_or_default();
        if base != document::ShareVersion(self.version) {
            return holder::WriteOutcome::Conflict;
        }
        self.version += 1;
        self.document = Some(write.document.clone());
        let watching: Vec<_> = (0..self.vms.len())
            .filter(|vm| self.can_reach_store(*vm))
            .collect();
        for vm in watching {
            self.reply_document(vm);
        }
        holder::WriteOutcome::Applied(document::ShareVersion(self.version))
    }
}
