//! Membership tables of a whole fleet in one thread and in a time of their own.
//!
//! Messages can be lost, delayed (and so reordered) and repeated; VMs can die, pause, start again
//! with a new incarnation; links between regions can be cut; the live list lags and can be told to
//! be wrong. Nothing of the network but delay is modelled: no bandwidth, no connections.

mod event;
mod faults;
mod list;

pub use faults::{NetworkFaults, RegionPartition};
pub use list::PlatformList;

use dahliawood_membership::identity::VmProfile;
use dahliawood_membership::message::MemberMessage;
use dahliawood_membership::options::MemberOptions;
use dahliawood_membership::table::{MemberEffect, MemberState, MemberTable};
use dahliawood_model::stamp::TimeStamp;
use event::{EventQueue, FleetEvent};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// Time between two ticks of a table.
const TICK_EVERY: Duration = Duration::from_millis(100);
/// Time between two readings of the live list.
const LIST_EVERY: Duration = Duration::from_secs(1);
/// The port of every VM's peers.
const PEER_PORT: u16 = 7_000;
/// The port of every VM's callers.
const HTTP_PORT: u16 = 8_000;

/// The shape of a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberFleetOptions {
    /// VMs.
    pub members: usize,
    /// Regions.
    pub regions: usize,
    /// Failure domains, dealt out to the regions in turn.
    pub domains: usize,
    /// Seed of everything random.
    pub seed: u64,
    /// Options of each table.
    pub options: MemberOptions,
}

/// One VM.
#[derive(Debug)]
pub struct MemberVm {
    /// Who and where it is.
    pub profile: Arc<VmProfile>,
    /// The number of its region.
    pub region: usize,
    /// Which life it lives.
    pub incarnation: u64,
    /// Its table, `None` while it is dead.
    pub table: Option<MemberTable>,
    /// Until when it is paused.
    pub paused_until: TimeStamp,
    /// Messages that it sent.
    pub messages_sent: u64,
    /// Bytes of these, in a dense encoding.
    pub bytes_sent: u64,
    /// Messages that it received.
    pub messages_received: u64,
}

/// The fleet.
#[derive(Debug)]
pub struct MemberFleet {
    /// The VMs.
    pub vms: Vec<MemberVm>,
    /// What the network does.
    pub faults: NetworkFaults,
    /// What the platform says.
    pub list: PlatformList,
    options: MemberFleetOptions,
    now: TimeStamp,
    rng: StdRng,
    events: EventQueue,
}

impl MemberFleet {
    /// A fleet whose VMs all start at once, all of them on the list.
    pub fn new(options: MemberFleetOptions) -> Self {
        let mut fleet = Self {
            vms: Vec::new(),
            faults: NetworkFaults::default(),
            list: PlatformList::default(),
            options,
            now: TimeStamp::from_millis(1),
            rng: StdRng::seed_from_u64(options.seed),
            events: EventQueue::default(),
        };
        for index in 0..options.members {
            fleet.vms.push(vm(&options, index));
            fleet.list.add(fleet.now, &fleet.vms[index].profile);
        }
        (0..options.members).for_each(|index| fleet.start(index));
        fleet
    }

    /// The time.
    pub fn now(&self) -> TimeStamp {
        self.now
    }

    /// Runs for a span.
    pub fn run(&mut self, span: Duration) {
        let until = self.now.after(span);
        while let Some((at, event)) = self.events.next_until(until) {
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    /// Starts a VM with a new incarnation; it must not run.
    pub fn start(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        vm.incarnation += 1;
        vm.paused_until = TimeStamp::ZERO;
        vm.table = Some(MemberTable::new(
            Arc::clone(&vm.profile),
            vm.incarnation,
            self.options.options,
            self.now,
        ));
        let life = vm.incarnation;
        let phase = Duration::from_micros(self.rng.random_range(0..100_000));
        let at = self.now.after(phase);
        self.events.add(at, FleetEvent::Tick { vm: index, life });
        self.events.add(at, FleetEvent::Read { vm: index, life });
    }

    /// Ends a VM without a word.
    pub fn kill(&mut self, index: usize) {
        self.vms[index].table = None;
    }

    /// Pauses a VM: it does nothing, and what arrives waits.
    pub fn pause(&mut self, index: usize, span: Duration) {
        self.vms[index].paused_until = self.now.after(span);
    }

    /// The VMs that run and are not paused.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        let running = self.vms.iter().enumerate();
        running
            .filter(|(_, vm)| vm.table.is_some() && vm.paused_until <= self.now)
            .map(|(index, _)| index)
    }

    /// What a VM makes of another; `None` where it does not know it or does not run.
    pub fn state(&self, observer: usize, subject: usize) -> Option<MemberState> {
        let table = self.vms[observer].table.as_ref()?;
        let view = table.find(&self.vms[subject].profile.name)?;
        Some(view.state)
    }

    /// The running VMs whose look-ups would name `subject`.
    pub fn vms_listing(&self, subject: usize) -> impl Iterator<Item = usize> {
        self.running().filter(move |observer| {
            *observer != subject && self.state(*observer, subject) == Some(MemberState::Live)
        })
    }

    /// Sends what a table wants sent, for calls made from outside.
    pub fn apply(&mut self, from: usize, effects: Vec<MemberEffect>) {
        for MemberEffect::Send {
            address, message, ..
        } in effects
        {
            self.send(from, address, &Arc::new(message));
        }
    }

    fn handle(&mut self, event: FleetEvent) {
        let index = event.vm();
        let vm = &self.vms[index];
        if vm.table.is_some() && vm.paused_until > self.now {
            self.events.add(vm.paused_until, event);
            return;
        }
        match event {
            FleetEvent::Tick { vm, life } => self.tick(vm, life),
            FleetEvent::Read { vm, life } => self.read(vm, life),
            FleetEvent::Deliver { vm, from, message } => self.deliver(vm, from, &message),
        }
    }

    fn tick(&mut self, index: usize, life: u64) {
        let now = self.now;
        let vm = &mut self.vms[index];
        let Some(table) = vm.table.as_mut().filter(|_| vm.incarnation == life) else {
            return;
        };
        let effects = table.tick(now);
        self.apply(index, effects);
        let next = FleetEvent::Tick { vm: index, life };
        self.events.add(now.after(TICK_EVERY), next);
    }

    fn read(&mut self, index: usize, life: u64) {
        let now = self.now;
        let vm = &mut self.vms[index];
        let Some(table) = vm.table.as_mut().filter(|_| vm.incarnation == life) else {
            return;
        };
        if let Some(listed) = self.list.read(now) {
            table.apply_live_list(&listed, now, now);
        }
        let next = FleetEvent::Read { vm: index, life };
        self.events.add(now.after(LIST_EVERY), next);
    }

    fn deliver(&mut self, index: usize, from: usize, message: &MemberMessage) {
        let now = self.now;
        let vm = &mut self.vms[index];
        let Some(table) = &mut vm.table else { return };
        vm.messages_received += 1;
        if let Some(reply) = table.receive(message, now) {
            let address = self.vms[from].profile.peer;
            self.send(index, address, &Arc::new(reply));
        }
    }

    fn send(&mut self, from: usize, address: SocketAddr, message: &Arc<MemberMessage>) {
        let vm = &mut self.vms[from];
        vm.messages_sent += 1;
        vm.bytes_sent += message.dense_bytes() as u64;
        let to = index_of(address);
        let regions = (self.vms[from].region, self.vms[to].region);
        let copies = self.faults.copies(regions, &mut self.rng);
        for _ in 0..copies {
            let delay = self.faults.delay(regions, &mut self.rng);
            let event = FleetEvent::Deliver {
                vm: to,
                from,
                message: Arc::clone(message),
            };
            self.events.add(self.now.after(delay), event);
        }
    }
}

/// A VM that has not started.
fn vm(options: &MemberFleetOptions, index: usize) -> MemberVm {
    let domain = index % options.domains;
    let region = domain % options.regions;
    let ip = Ipv4Addr::from(0x0a00_0000 + index as u32);
    let profile = VmProfile {
        name: format!("vm-{index}"),
        http: SocketAddr::from((ip, HTTP_PORT)),
        peer: SocketAddr::from((ip, PEER_PORT)),
        domain: format!("domain-{domain}"),
        region: format!("region-{region}"),
    };
    MemberVm {
        profile: Arc::new(profile),
        region,
        incarnation: 0,
        table: None,
        paused_until: TimeStamp::ZERO,
        messages_sent: 0,
        bytes_sent: 0,
        messages_received: 0,
    }
}

/// The number of the VM at an address.
fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => (u32::from(*address.ip()) - 0x0a00_0000) as usize,
        SocketAddr::V6(_) => unreachable!("all VMs of the fleet have IPv4 addresses"),
    }
}
