//! A stand-in of the platform: the key-value service and the live list over HTTP on loopback.
//!
//! It speaks [`dahliawood_store::protocol`] and keeps everything in memory. Faults are set through
//! a [`PlatformHandle`], or from another process by `PUT /v1/admin/faults` with
//! [`faults::FaultSettings`], `POST /v1/admin/snapshot` (answers `{"version": ID}`) and
//! `POST /v1/admin/restore/ID`. Whoever runs VMs feeds the live list by `PUT /v1/live/NAME` and
//! `DELETE /v1/live/NAME`. `GET /v1/admin/counters` answers [`limits::CallCounters`]. None of
//! these counts as a call or suffers a fault.
//!
//! Snapshots keep the version counter of their moment, as a service restored from a backup does:
//! after a restore the same version can stand for another value.

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

/// How a stand-in starts.
#[derive(Clone, Copy, Debug)]
pub struct PlatformOptions {
    /// Where it listens; port 0 picks one.
    pub listen: SocketAddr,
    /// Call rates.
    pub rates: limits::CallRates,
    /// Seed of the draw of which calls suffer a fault.
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

/// A running stand-in; it stops when the handle is dropped.
#[derive(Debug)]
pub struct PlatformHandle {
    address: SocketAddr,
    service: Arc<service::PlatformService>,
    tasks: Vec<task::JoinHandle<()>>,
}

impl PlatformHandle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Puts other faults in force.
    pub fn set_faults(&self, settings: faults::FaultSettings) {
        self.service.set_faults(settings);
    }

    /// The faults in force.
    pub fn faults(&self) -> faults::FaultSettings {
        self.service.faults()
    }

    /// Keeps a copy of all keys and returns its id.
    pub fn snapshot(&self) -> u64 {
        self.service.snapshot()
    }

    /// Puts the keys of a copy back; returns `false` where there is no such copy.
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

    /// Calls since the start.
    pub fn counters(&self) -> limits::CallCounters {
        self.service.counters()
    }

    /// Runs for as long as the process.
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
            // The task ends at its next await; nobody needs to wait for it.
            drop(task::spawn(handle.cancel()));
        }
    }
}

/// Starts a stand-in.
///
/// # Errors
///
/// Fails where the address cannot be listened on.
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
        // A small answer is not to wait for the acknowledgement of its head.
        let _unsupported = stream.set_nodelay(true);
        let app = Arc::clone(&app);
        let service = Arc::clone(&service);
        task::spawn(async move {
            // A connection that breaks is the caller's to notice.
            let serve = async_h1::accept(stream, |request| routes::respond(&app, request));
            let _ended = futures::future::select(Box::pin(serve), service.stopped()).await;
        });
    }
}

async fn expire_leases(service: Arc<service::PlatformService>) {
    loop {
        task::sleep(limits::LEASE_TICK).await;
        service.expire();
    }
}
