//! What lies between one VM and the rest: its link to the store, and one to each target.

use crate::keyspace::{KeyspaceStore, StoreFault};
use crate::link::{self, LinkCut, TargetLink};
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
        store.set_substitutes(substitutes);
        let store_link = proxy::start(store.address).await?;
        Ok(Self {
            store,
            store_link,
            target_links,
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
        super::disrupt(&self.store_link, fault, duration);
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
