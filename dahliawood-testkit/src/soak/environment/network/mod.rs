//! What lies between one VM and the rest: its link to the store, one to each target, and those on which
//! other VMs reach it.

use crate::keyspace::{KeyspaceStore, OldReads, StoreFault};
use crate::link::{self, LinkCut, TargetLink};
use crate::soak::environment::faults::disrupt;
use crate::soak::plan::LinkFault;
use crate::soak::proxy::{self, FaultProxy};
use async_std::task;
use futures::future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// The links of one VM.
#[derive(Clone, Debug)]
pub(super) struct VmNetwork {
    /// The store as the VM sees it, with the addresses of its links to targets.
    store: KeyspaceStore,
    store_link: FaultProxy,
    target_links: Vec<TargetLink>,
    /// The links on which other VMs reach this one.
    peer_links: Vec<FaultProxy>,
    /// Addresses in the store, each with the one by which the VM reaches what has it.
    substitutes: Vec<(String, String)>,
}

/// Starts links on which all VMs reach the addresses of each other, `peers`.
pub(super) async fn link_peers(
    networks: &mut [VmNetwork],
    peers: &[[SocketAddr; 2]],
) -> io::Result<()> {
    let mut substitutes = Vec::new();
    for (network, addresses) in networks.iter_mut().zip(peers) {
        let mut of_vm = Vec::new();
        for address in addresses {
            let link = proxy::start(*address).await?;
            of_vm.push((address.to_string(), link.address.to_string()));
            network.peer_links.push(link);
        }
        substitutes.push(of_vm);
    }
    for (own, network) in networks.iter_mut().enumerate() {
        let others = substitutes.iter().enumerate();
        let others = others.filter(|(vm, _)| *vm != own);
        let others = others.flat_map(|(_, of_vm)| of_vm.iter().cloned());
        network.substitutes.extend(others);
        network.store.set_substitutes(network.substitutes.clone());
    }
    Ok(())
}

impl VmNetwork {
    /// Starts the links of a VM to a store and to the targets at `targets`.
    pub(super) async fn start(store: &KeyspaceStore, targets: &[SocketAddr]) -> io::Result<Self> {
        let store = store.second_address().await?;
        let mut target_links = Vec::new();
        let mut substitutes = Vec::new();
        for target in targets {
            let link = link::start(*target)?;
            substitutes.push((target.to_string(), link.address.to_string()));
            target_links.push(link);
        }
        store.set_substitutes(substitutes.clone());
        let store_link = proxy::start(store.address).await?;
        Ok(Self {
            store,
            store_link,
            target_links,
            peer_links: Vec::new(),
            substitutes,
        })
    }

    /// The address at which the VM reaches the store.
    pub(super) fn store_address(&self) -> SocketAddr {
        self.store_link.address
    }

    /// Sets the fault that the VM's calls to the store meet.
    pub(super) fn set_store_fault(&self, fault: StoreFault) {
        self.store.set_fault(fault);
    }

    /// Injects a fault into the link to the store for a time.
    pub(super) fn disrupt_store(&self, fault: LinkFault, duration: Duration) {
        disrupt(&self.store_link, fault, duration);
    }

    /// Injects a fault into the links on which other VMs reach the VM for a time.
    pub(super) fn disrupt_peers(&self, fault: LinkFault, duration: Duration) {
        for link in &self.peer_links {
            disrupt(link, fault, duration);
        }
    }

    /// Lets replicas answer that are behind: all of them, or those that continue a list.
    pub(super) fn set_old_reads(&self, all: bool, page_items: usize) {
        self.store.set_page_items(page_items);
        self.store.set_old_reads(match all {
            true => OldReads::All,
            false => OldReads::LaterPages,
        });
    }

    /// Lets no replica be behind any more.
    pub(super) fn end_old_reads(&self) {
        self.store.set_page_items(usize::MAX);
        self.store.set_old_reads(OldReads::None);
    }

    /// Cuts the links to all targets for a time.
    pub(super) async fn cut_off(&self, cut: LinkCut, duration: Duration) -> io::Result<()> {
        let links = self.target_links.clone();
        let cuts = links.iter().map(|link| link.cut(cut));
        let cuts = future::join_all(cuts).await;
        task::spawn(async move {
            task::sleep(duration).await;
            let healed = links.iter().map(TargetLink::heal);
            for healed in future::join_all(healed).await {
                if let Err(error) = healed {
                    log::error!("a link is not healed: {error}");
                }
            }
        });
        cuts.into_iter().collect()
    }
}
