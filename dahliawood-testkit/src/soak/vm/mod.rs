//! The process of one VM: settings, start, signals and exit.

use crate::soak::ports;
use rustix::process::{Pid, Signal};
use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};

/// Ports of a VM for other VMs: for calls, for requests that they forward, and for metrics.
const INTERNAL_PORTS: usize = 3;
/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "DAHLIAWOOD_CONFIG";

/// The addresses that a VM listens on.
#[derive(Clone, Copy, Debug)]
pub struct VmAddresses {
    /// Requests of callers.
    pub front: SocketAddr,
    /// The readiness check.
    pub ready: SocketAddr,
    /// Look-ups.
    pub directory: SocketAddr,
    /// Calls of other VMs, and metrics; the port between them is for requests that other VMs forward.
    pub internal: [SocketAddr; 2],
    /// Calls of other VMs, and requests that they forward.
    pub calls: [SocketAddr; 2],
}

/// A VM's place in the fleet.
#[derive(Clone, Copy, Debug)]
pub struct VmPlace<'a> {
    /// The VM's name.
    pub name: &'a str,
    /// Index of its failure domain.
    pub domain: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Whether it has more processor time than most.
    pub is_large: bool,
}

/// Failure domains of a region.
const DOMAINS_PER_REGION: usize = 2;
/// Processor share of a VM that has more of it, and of the others.
const LARGE_SHARE: f64 = 0.5;
const SMALL_SHARE: f64 = 0.1;

/// The name of a failure domain.
pub fn domain_name(index: usize) -> String {
    format!("a-{}", index + 1)
}

/// The name of the region of a failure domain.
fn region_name(domain: usize) -> String {
    format!("region-{}", domain / DOMAINS_PER_REGION + 1)
}

/// A VM and its process.
#[derive(Debug)]
pub struct VmProcess {
    /// The VM's name.
    pub name: String,
    /// The addresses that the VM listens on.
    pub addresses: VmAddresses,
    program: PathBuf,
    work_dir: PathBuf,
    starts: usize,
    child: Option<Child>,
    /// Whether the process was told to terminate or killed; also set before the first start.
    is_terminating: bool,
}

fn free_addresses() -> io::Result<VmAddresses> {
    let _no_start = ports::hold();
    let first = ports::adjacent(INTERNAL_PORTS)?;
    let [calls, forwarding, metrics] =
        [first, first + 1, first + 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    Ok(VmAddresses {
        front: ports::free_address()?,
        ready: ports::free_address()?,
        directory: ports::free_address()?,
        internal: [calls, metrics],
        calls: [calls, forwarding],
    })
}

impl VmProcess {
    /// Picks free ports and writes the settings file, without starting the process.
    ///
    /// # Errors
    /// Fails where the file cannot be written or no port is free.
    pub fn new(
        program: &Path,
        work_dir: &Path,
        place: VmPlace<'_>,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let addresses = free_addresses()?;
        let vm = Self {
            name: place.name.to_owned(),
            addresses,
            program: program.to_owned(),
            work_dir: work_dir.to_owned(),
            starts: 0,
            child: None,
            is_terminating: true,
        };
        let addresses = &vm.addresses;
        let [peer, metrics] = addresses.internal.map(|address| address.port());
        let zones = (0..place.domains)
            .map(|domain| format!("{} = \"{}\"\n", domain_name(domain), region_name(domain)));
        let zones: String = zones.collect();
        let processor_share = match place.is_large {
            true => LARGE_SHARE,
            false => SMALL_SHARE,
        };
        let text = format!(
            "node_name = \"{}\"\nip = \"127.0.0.1\"\nzone = \"{}\"\nregion = \"{}\"\n\
             internal_ports = [{peer}, {metrics}]\n\
             bounds = [\"grace_s=6\", \"config_apply_s=3\", \"drain_s=3\", \"contact_s=4\", \"quota_slack=20\", \"budget_ratio=0.2\"]\n\
             [zones]\n{zones}\
             [listen]\nfront = \"{}\"\nready = \"{}\"\ndirectory = \"{}\"\n\
             [limits]\ncpu_share = {processor_share}\n\
             [platform]\naddress = \"{store}\"\n",
            place.name,
            domain_name(place.domain),
            region_name(place.domain),
            addresses.front,
            addresses.ready,
            addresses.directory
        );
        fs::write(vm.settings_path(), text)?;
        Ok(vm)
    }

    fn settings_path(&self) -> PathBuf {
        self.work_dir.join(format!("{}.toml", self.name))
    }

    /// Starts the process. Each start writes its output to a new log file.
    ///
    /// # Errors
    /// Fails where the log file or the process cannot be created.
    pub fn start(&mut self) -> io::Result<()> {
        self.starts += 1;
        let log = self
            .work_dir
            .join(format!("{}.{}.log", self.name, self.starts));
        let output = File::create(log)?;
        let starting = ports::hold();
        let child = Command::new(&self.program)
            .env(SETTINGS_VARIABLE, self.settings_path())
            .stderr(output.try_clone()?)
            .stdout(output)
            .spawn()?;
        drop(starting);
        self.child = Some(child);
        self.is_terminating = false;
        Ok(())
    }

    /// Sends a signal to the process; does nothing where there is none.
    ///
    /// # Errors
    /// Fails where the signal cannot be sent.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        self.is_terminating |= matches!(signal, Signal::TERM | Signal::KILL);
        let id = self.child.as_ref().map(Child::id);
        let id = id.and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        match id {
            Some(id) => Ok(rustix::process::kill_process(id, signal)?),
            None => Ok(()),
        }
    }

    /// Whether there is a process that was not told to terminate.
    pub fn is_running(&self) -> bool {
        self.child.is_some() && !self.is_terminating
    }

    /// Returns the exit status of the process, once; `None` while it runs or where there is none.
    ///
    /// # Errors
    /// Fails where the status cannot be read.
    pub fn exit_status(&mut self) -> io::Result<Option<String>> {
        let Some(child) = &mut self.child else {
            return Ok(None);
        };
        let status = child.try_wait()?;
        if status.is_some() {
            self.child = None;
        }
        Ok(status.map(|status| status.to_string()))
    }

    /// Whether there is no process: none was started, or [`Self::exit_status`] returned its status.
    pub fn has_exited(&self) -> bool {
        self.child.is_none()
    }

    /// Resident memory of the process, bytes; `None` without a process or where the system does not
    /// tell.
    pub fn memory(&self) -> Option<u64> {
        let id = self.child.as_ref()?.id();
        let text = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: u64 = line.trim().trim_end_matches("kB").trim().parse().ok()?;
        Some(kilobytes * 1024)
    }
}

impl Drop for VmProcess {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // Fails where the process has exited by itself, which is fine.
            let _ended = child.kill().and_then(|()| child.wait());
        }
    }
}
