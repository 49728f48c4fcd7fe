//! A deterministic simulation of the membership tables of a whole fleet, in one thread and with
//! simulated time.
//!
//! Messages can be lost, delayed (and so reordered) and duplicated; VMs can crash, pause, and start
//! again with a new incarnation; regions can be partitioned; the live list lags and can be made
//! wrong. Of the network, the simulation models delay only: no bandwidth and no connections.

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

/// Interval between two ticks of a table.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a VM reads the live list.
const LIST_READ_INTERVAL: Duration = Duration::from_secs(1);
/// The port on which every VM listens for its peers.
const PEER_PORT: u16 = 7_000;
/// The port on which every VM listens for callers.
const HTTP_PORT: u16 = 8_000;

/// The size of a fleet and the settings of its simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberFleetOptions {
    /// Number of VMs.
    pub members: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of failure domains, assigned to the regions round robin.
    pub domains: usize,
    /// Seed of all random draws.
    pub seed: u64,
    /// Options of each membership table.
    pub options: MemberOptions,
}

/// One simulated VM.
#[derive(Debug)]
pub struct MemberVm {
    /// The VM's name, addresses, failure domain and region.
    pub profile: Arc<VmProfile>,
    /// Index of the VM's region.
    pub region: usize,
    /// Incarnation of the current or last run, 0 before the first start.
    pub incarnation: u64,
    /// The membership table; `None` while the VM does not run.
    pub table: Option<MemberTable>,
    /// Time until which the VM is paused; zero or in the past where it is not.
    pub paused_until: TimeStamp,
    /// Number of messages sent.
    pub messages_sent: u64,
    /// Size of the sent messages in a dense encoding, bytes.
    pub bytes_sent: u64,
    /// Number of messages received.
    pub messages_received: u64,
}

/// The simulated fleet.
#[derive(Debug)]
pub struct MemberFleet {
    /// The VMs.
    pub vms: Vec<MemberVm>,
    /// The faults and delays of the network.
    pub faults: NetworkFaults,
    /// The live list of the platform.
    pub list: PlatformList,
    options: MemberFleetOptions,
    now: TimeStamp,
    rng: StdRng,
    events: EventQueue,
}

impl MemberFleet {
    /// Creates a fleet whose VMs all start now and are all on the live list.
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
            fleet.vms.push(new_vm(&options, index));
            fleet.list.add(fleet.now, &fleet.vms[index].profile);
        }
        (0..options.members).for_each(|index| fleet.start(index));
        fleet
    }

    /// The simulated time.
    pub fn now(&self) -> TimeStamp {
        self.now
    }

    /// Runs the simulation for a span of simulated time.
    pub fn run(&mut self, span: Duration) {
        let until = self.now.after(span);
        while let Some((at, event)) = self.events.pop_until(until) {
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    /// Starts a VM with a new incarnation. The VM must not be running.
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
        let incarnation = vm.incarnation;
        let phase = Duration::from_micros(self.rng.random_range(0..100_000));
        let at = self.now.after(phase);
        self.events.add(
            at,
            FleetEvent::Tick {
                vm: index,
                incarnation,
            },
        );
        self.events.add(
            at,
            FleetEvent::ReadList {
                vm: index,
                incarnation,
            },
        );
    }

    /// Crashes a VM: the VM stops without telling its peers.
    pub fn kill(&mut self, index: usize) {
        self.vms[index].table = None;
    }

    /// Pauses a VM: its ticks and the messages that arrive wait until the pause is over.
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

    /// The state that `observer` holds for `subject`; `None` where `observer` does not run or does
    /// not know `subject`.
    pub fn state(&self, observer: usize, subject: usize) -> Option<MemberState> {
        let table = self.vms[observer].table.as_ref()?;
        let view = table.find(&self.vms[subject].profile.name)?;
        Some(view.state)
    }

    /// The running VMs that hold `subject` for live, so that their look-up answers list it.
    pub fn vms_listing(&self, subject: usize) -> impl Iterator<Item = usize> {
        self.running().filter(move |observer| {
            *observer != subject && self.state(*observer, subject) == Some(MemberState::Live)
        })
    }

    /// Sends the messages that a table asks to send. Public for tests that call a table themselves.
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
            FleetEvent::Tick { vm, incarnation } => self.tick(vm, incarnation),
            FleetEvent::ReadList { vm, incarnation } => self.read_list(vm, incarnation),
            FleetEvent::Deliver { vm, from, message } => self.deliver(vm, from, &message),
        }
    }

    fn tick(&mut self, index: usize, incarnation: u64) {
        let now = self.now;
        let vm = &mut self.vms[index];
        let Some(table) = vm.table.as_mut().filter(|_| vm.incarnation == incarnation) else {
            return;
        };
        let effects = table.tick(now);
        self.apply(index, effects);
        let next = FleetEvent::Tick {
            vm: index,
            incarnation,
        };
        self.events.add(now.after(TICK_INTERVAL), next);
    }

    fn read_list(&mut self, index: usize, incarnation: u64) {
        let now = self.now;
        let vm = &mut self.vms[index];
        let Some(table) = vm.table.as_mut().filter(|_| vm.incarnation == incarnation) else {
            return;
        };
        if let Some(listed) = self.list.read(now) {
            table.apply_live_list(&listed, now, now);
        }
        let next = FleetEvent::ReadList {
            vm: index,
            incarnation,
        };
        self.events.add(now.after(LIST_READ_INTERVAL), next);
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

/// Creates a VM that has not started.
fn new_vm(options: &MemberFleetOptions, index: usize) -> MemberVm {
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

/// The index of the VM with an address.
fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => (u32::from(*address.ip()) - 0x0a00_0000) as usize,
        SocketAddr::V6(_) => unreachable!("all VMs of the fleet have IPv4 addresses"),
    }
}
