//! Whether the fleet of a soak is healthy.

use crate::serving::lock;
use crate::soak::caller;
use crate::soak::check::GuaranteeViolation;
use crate::soak::environment::{POLL_INTERVAL, SoakEnvironment};
use async_std::future::timeout;
use async_std::task;
use dahliawood_wire::raw::fields::FieldList;
use dahliawood_wire::raw::write;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long the fleet may take to become healthy, at the start and at the end.
const HEALTHY_LIMIT: Duration = Duration::from_secs(20);
/// Upper bound on the resident memory of a VM, bytes.
const MAX_MEMORY_BYTES: u64 = 256 << 20;

impl SoakEnvironment {
    /// Waits until the fleet is healthy: each VM runs, is ready, and lists all VMs in its look-up
    /// answers. Returns what is still wrong after 20 s, the restarts that failed during the run,
    /// and the VMs that use too much memory.
    pub async fn wait_until_healthy(&self) -> Vec<GuaranteeViolation> {
        let limit = Instant::now() + HEALTHY_LIMIT;
        let mut seen = self.find_unhealthy().await;
        while seen.is_some() && Instant::now() < limit {
            task::sleep(POLL_INTERVAL).await;
            seen = self.find_unhealthy().await;
        }
        let mut violations = lock(&self.restart_failures).clone();
        violations.extend(seen.map(|seen| GuaranteeViolation {
            guarantee: "the fleet is healthy again",
            seen,
        }));
        let vms = lock(&self.vms);
        let large = vms
            .iter()
            .filter(|vm| vm.memory().is_some_and(|memory| memory > MAX_MEMORY_BYTES));
        violations.extend(large.map(|vm| GuaranteeViolation {
            guarantee: "memory is bounded",
            seen: format!("{} has {:?} bytes", vm.name, vm.memory()),
        }));
        violations
    }

    /// Describes the first thing that keeps the fleet from being healthy; `None` where it is
    /// healthy.
    async fn find_unhealthy(&self) -> Option<String> {
        let mut probed = Vec::new();
        for vm in lock(&self.vms).iter_mut() {
            if let Ok(Some(status)) = vm.exit_status() {
                return Some(format!("{} exited: {status}", vm.name));
            }
            if !vm.is_running() {
                return Some(format!("{} does not run", vm.name));
            }
            probed.push((vm.name.clone(), vm.addresses));
        }
        let mut fronts: Vec<String> = self.fronts().iter().map(ToString::to_string).collect();
        fronts.sort();
        for (name, addresses) in probed {
            if get(addresses.ready, "/api/ready").await.is_none() {
                return Some(format!("{name} is not ready"));
            }
            let answer = get(addresses.directory, "/api/resolve?name=host.example").await;
            let listed: Value =
                serde_json::from_slice(&answer.unwrap_or_default()).unwrap_or_default();
            let listed = listed["addresses"].as_array().cloned().unwrap_or_default();
            let mut listed: Vec<String> = listed
                .iter()
                .filter_map(|address| address.as_str().map(str::to_owned))
                .collect();
            listed.sort();
            if listed != fronts {
                return Some(format!("{name} lists {listed:?}, not {fronts:?}"));
            }
        }
        None
    }
}

/// Sends a GET request; returns the body of a response with status 200, else `None`.
async fn get(address: SocketAddr, path: &str) -> Option<Vec<u8>> {
    let exchange = async {
        let mut fields = FieldList::default();
        fields.push("Host", "host.example");
        let bytes = write::request("GET", path, &fields, b"");
        let (head, body) = caller::connect(address).await?.exchange(&bytes).await?;
        (head.status == 200).then_some(body)
    };
    timeout(Duration::from_secs(1), exchange).await.ok()?
}
