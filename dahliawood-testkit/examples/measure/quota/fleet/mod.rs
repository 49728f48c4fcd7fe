//! An event loop of quota books with the latencies of a deployment.

use dahliawood_model::{FastMap, stamp};
use dahliawood_quota::manager::{self, effect};
use dahliawood_quota::shares::{document, holder};
use dahliawood_quota::{limit, member, message, options};
use rand::{Rng, SeedableRng, rngs};
use std::collections::BinaryHeap;
use std::{cmp, net};

/// Regions of both deployments; the store is in the first.
pub const REGIONS: [&str; 3] = ["first", "second", "third"];
/// Microseconds one way inside a region.
const WITHIN_REGION: u64 = 500;
/// Microseconds between two ticks of a control thread.
const TICK_EVERY: u64 = 10_000;
/// Microseconds from a waiting admission to the control thread's next step.
const WAKE_AFTER: u64 = 100;
/// Microseconds that the store takes for a call.
const STORE_SERVICE: u64 = 3_000;
/// Microseconds between two readings of the live list, and its lag.
const LIST_EVERY: u64 = 1_000_000;
const LIST_LAG: u64 = 2_000_000;
/// Bytes of a message beside its fields, as a remote call with its answer frame.
const ENVELOPE_BYTES: u64 = 64;

/// What happens at a moment.
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
    /// Something that the measurement itself planned.
    Planned(u64),
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

/// A VM of the loop.
pub struct FleetVm {
    pub id: member::HolderId,
    pub region: usize,
    pub book: manager::QuotaManager,
    pub is_alive: bool,
    pub is_leaving: bool,
    gone_at: u64,
}

/// A request that waited and is resolved.
#[derive(Clone, Copy, Debug)]
pub struct ResolvedWait {
    pub vm: usize,
    pub ticket: effect::WaitTicket,
    pub admission: effect::Admission,
}

/// What a step came to.
pub enum FleetStep {
    /// The measurement's own event.
    Planned(u64),
    /// Anything else.
    Other,
}

/// The loop.
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
    /// A fleet of `vms` VMs, spread over the regions, all starting now.
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
        for place in 0..vms {
            fleet.start_vm(place);
        }
        fleet
    }

    /// The time of every VM.
    pub fn stamp(&self) -> stamp::TimeStamp {
        stamp::TimeStamp::from_micros(self.now)
    }

    /// Plans an event of the measurement itself.
    pub fn plan(&mut self, delay: u64, name: u64) {
        self.push(delay, FleetEvent::Planned(name));
    }

    fn push(&mut self, delay: u64, event: FleetEvent) {
        self.order += 1;
        self.events.push(TimedEvent {
            at: self.now + delay,
            order: self.order,
            event,
        });
    }

    /// Starts a VM at a place; a new life at the place of a VM that is gone.
    pub fn start_vm(&mut self, place: usize) -> usize {
        let port = u16::try_from(1_000 + place).expect("a port for each place");
        let id = member::HolderId {
            address: net::SocketAddr::from(([10, 0, 0, 1], port)),
            incarnation: self.vms.len() as u64 + 1,
        };
        let region = place % REGIONS.len();
        let me = member::MemberEntry {
            id,
            region: REGIONS[region].to_owned(),
            domain: format!("{}-{}", REGIONS[region], place / REGIONS.len() % 2),
            leaving: false,
            epoch: 0,
        };
        let mut book =
            manager::QuotaManager::new(me, options::QuotaOptions::default(), self.stamp());
        book.configure(1, self.specs.clone(), self.stamp());
        let index = self.vms.len();
        self.by_id.insert(id, index);
        self.vms.push(FleetVm {
            id,
            region,
            book,
            is_alive: true,
            is_leaving: false,
            gone_at: u64::MAX,
        });
        let offset = self.rng.random_range(0..TICK_EVERY);
        self.push(offset, FleetEvent::Tick(index));
        self.push(offset, FleetEvent::ReadList(index));
        index
    }

    /// Ends a VM at once.
    pub fn kill_vm(&mut self, vm: usize) {
        self.vms[vm].is_alive = false;
        self.vms[vm].gone_at = self.now;
    }

    /// The VMs that a look-up of a limit names for a caller of `region`, nearest first.
    pub fn look_up(&self, limit: limit::LimitKey, region: usize) -> Vec<usize> {
        let serves = |vm: &&FleetVm| vm.is_alive && !self.is_cut(region, vm.region);
        let Some(answering) = self.vms.iter().find(serves) else {
            return Vec::new();
        };
        let homes = answering.book.homes(limit, REGIONS[region]);
        let homes = homes.iter().filter_map(|id| self.by_id.get(id).copied());
        homes.filter(|vm| self.takes_work(*vm, region)).collect()
    }

    /// Whether a caller of `region` can use a VM.
    pub fn takes_work(&self, vm: usize, region: usize) -> bool {
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

    /// Lets a VM's control thread run soon, as an admission that waits does.
    pub fn wake(&mut self, vm: usize) {
        self.push(WAKE_AFTER, FleetEvent::Wake(vm));
    }

    /// Runs the next event.
    pub fn step(&mut self) -> FleetStep {
        let Some(timed) = self.events.pop() else {
            return FleetStep::Other;
        };
        self.now = timed.at;
        match timed.event {
            FleetEvent::Planned(name) => return FleetStep::Planned(name),
            FleetEvent::Tick(vm) if self.vms[vm].is_alive => {
                self.tick(vm);
                self.push(TICK_EVERY, FleetEvent::Tick(vm));
            }
            FleetEvent::Wake(vm) if self.vms[vm].is_alive => self.tick(vm),
            FleetEvent::Deliver { to, from, message } if self.vms[to].is_alive => {
                let now = self.stamp();
                let effects = self.vms[to].book.receive(from, message, now);
                self.carry_out(to, effects);
            }
            FleetEvent::ReadList(vm) if self.vms[vm].is_alive => self.read_list(vm),
            FleetEvent::StoreRead(vm) => self.store_read(vm),
            FleetEvent::StoreWrite(vm, write) => self.store_write(vm, &write),
            FleetEvent::ReadReply(vm, version, document) if self.vms[vm].is_alive => {
                let now = self.stamp();
                self.vms[vm].book.apply_read(document, version, now);
            }
            FleetEvent::WriteReply(vm, serial, outcome) if self.vms[vm].is_alive => {
                let now = self.stamp();
                self.vms[vm].book.apply_write_outcome(serial, outcome, now);
            }
            _ => {}
        }
        FleetStep::Other
    }

    fn tick(&mut self, vm: usize) {
        let now = self.stamp();
        let effects = self.vms[vm].book.tick(now);
        self.carry_out(vm, effects);
        if self.vms[vm].book.is_released() {
            self.kill_vm(vm);
        }
    }

    fn read_list(&mut self, vm: usize) {
        self.push(LIST_EVERY, FleetEvent::ReadList(vm));
        if self.is_cut(self.vms[vm].region, 0) || self.is_store_down {
            return;
        }
        let seen = self.now.saturating_sub(LIST_LAG);
        let listed = self.vms.iter().filter(|vm| seen < vm.gone_at);
        let list: Vec<_> = listed.map(|vm| vm.id).collect();
        let now = self.stamp();
        self.vms[vm].book.apply_live_list(&list, now, now);
    }

    /// Carries out what a book asked for.
    pub fn carry_out(&mut self, vm: usize, effects: Vec<effect::QuotaEffect>) {
        for effect in effects {
            match effect {
                effect::QuotaEffect::Send { to, message } => self.send(vm, to, message),
                effect::QuotaEffect::ReadShares => {
                    let delay = self.one_way(self.vms[vm].region, 0) + STORE_SERVICE;
                    self.push(delay, FleetEvent::StoreRead(vm));
                }
                effect::QuotaEffect::WriteShares(write) => {
                    let delay = self.one_way(self.vms[vm].region, 0) + STORE_SERVICE;
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
        self.message_bytes += size_of::<message::QuotaMessage>() as u64 + ENVELOPE_BYTES;
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

    fn store_reaches(&self, vm: usize) -> bool {
        !self.is_store_down && !self.is_cut(self.vms[vm].region, 0)
    }

    fn store_read(&mut self, vm: usize) {
        if self.store_reaches(vm) {
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
        if self.store_reaches(vm) {
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
            .filter(|vm| self.store_reaches(*vm))
            .collect();
        for vm in watching {
            self.reply_document(vm);
        }
        holder::WriteOutcome::Applied(document::ShareVersion(self.version))
    }
}
