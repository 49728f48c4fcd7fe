//! A stand-in for the platform: the key-value service and the live list over HTTP on loopback.
//!
//! The stand-in implements [`dahliawood_store::protocol`] and keeps all state in memory. Faults are
//! set through a [`PlatformHandle`], or from another process with these calls:
//!
//! - `PUT /v1/admin/faults` sets [`faults::FaultSettings`],
//! - `POST /v1/admin/snapshot` takes a snapshot and answers `{"version": ID}`,
//! - `POST /v1/admin/restore/ID` restores a snapshot.
//!
//! The program that runs the VMs maintains the live list with `PUT /v1/live/NAME` and
//! `DELETE /v1/live/NAME`. `GET /v1/admin/counters` answers [`limits::CallCounters`]. None of these
//! calls is counted, limited or affected by faults.
//!
//! A snapshot includes the version counter, as a backup of the real service does. After a restore,
//! the same version number can therefore stand for another value.

pub mod faults;
pub mod limits;
pub mod live;
pub mod state;

mod routes;
mod service;

use async_std::net::TcpListener;
use async_std::task;
use dahliawood_store::protocol;
use futures::stream::StreamExt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// The settings of a stand-in platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformOptions {
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Limits on the rate of calls.
    pub rates: limits::CallRates,
    /// Seed of the random draws that decide which calls a fault affects.
    pub seed: u64,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            rates: limits::CallRates::default(),
            seed: 1,
        }
    }
}

/// A running stand-in; dropping the handle stops it.
#[derive(Debug)]
pub struct PlatformHandle {
    address: SocketAddr,
    service: Arc<service::PlatformService>,
    tasks: Vec<task::JoinHandle<()>>,
}

impl PlatformHandle {
    /// Address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, settings: faults::FaultSettings) {
        self.service.set_faults(settings);
    }

    /// The faults in force.
    pub fn faults(&self) -> faults::FaultSettings {
        self.service.faults()
    }

    /// Takes a snapshot of all keys and leases and returns the snapshot's id.
    pub fn snapshot(&self) -> u64 {
        self.service.snapshot()
    }

    /// Restores a snapshot; returns `false` where there is none with that id.
    pub fn restore(&self, id: u64) -> bool {
        self.service.restore(id)
    }

    /// Adds or replaces a VM of the live list.
    pub fn put_live(&self, vm: protocol::LiveVm) {
        self.service.put_live(vm);
    }

    /// Removes a VM from the live list.
    pub fn remove_live(&self, name: &str) {
        self.service.remove_live(name);
    }

    /// The call counters since the start.
    pub fn counters(&self) -> limits::CallCounters {
        self.service.counters()
    }

    /// Serves until the process ends.
    pub async fn serve(mut self) {
        for handle in self.tasks.drain(..) {
            handle.await;
        }
    }
}

impl Drop for PlatformHandle {
    fn drop(&mut self) {
        self.service.stop();
        for handle in self.tasks.drain(..) {
            // A cancelled task ends at its next await, so there is no need to wait for it here.
            drop(task::spawn(handle.cancel()));
        }
    }
}

/// Starts a stand-in.
///
/// # Errors
///
/// Fails where the address cannot be bound.
pub async fn start(options: PlatformOptions) -> io::Result<PlatformHandle> {
    let listener = TcpListener::bind(options.listen).await?;
    let address = listener.local_addr()?;
    let service = Arc::new(service::PlatformService::new(&options));
    let tasks = vec![
        task::spawn(accept_all(listener, Arc::clone(&service))),
        task::spawn(expire_leases(Arc::clone(&service))),
    ];
    Ok(PlatformHandle {
        address,
        service,
        tasks,
    })
}

async fn accept_all(listener: TcpListener, service: Arc<service::PlatformService>) {
    let app = Arc::new(routes::app(Arc::clone(&service)));
    let mut incoming = listener.incoming();
    while let Some(stream) = incoming.next().await {
        let Ok(stream) = stream else { continue };
        // Without TCP_NODELAY the body of a small response waits until the client acknowledges the
        // head.
        let _unsupported = stream.set_nodelay(true);
        let app = Arc::clone(&app);
        let service = Arc::clone(&service);
        task::spawn(async move {
            // Errors of a connection are ignored here; the client sees them on its side.
            let serve = async_h1::accept(stream, |request| routes::respond(&app, request));
            let _ended = futures::future::select(Box::pin(serve), service.stopped()).await;
        });
    }
}

async fn expire_leases(service: Arc<service::PlatformService>) {
    loop {
        task::sleep(limits::LEASE_CHECK_INTERVAL).await;
        service.expire();
    }
}
