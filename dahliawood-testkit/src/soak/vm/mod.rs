//! One VM's process, and the signals that it gets.

use rustix::process::{Pid, Signal};
use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};

/// The variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "DAHLIAWOOD_CONFIG";

/// Where a VM listens.
#[derive(Clone, Copy, Debug)]
pub struct VmAddresses {
    /// Callers.
    pub front: SocketAddr,
    /// Whether it takes work.
    pub ready: SocketAddr,
    /// Look-ups.
    pub directory: SocketAddr,
    /// Other VMs, and metrics.
    pub internal: [SocketAddr; 2],
}

/// A VM and its process.
#[derive(Debug)]
pub struct VmProcess {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub addresses: VmAddresses,
    program: PathBuf,
    home: PathBuf,
    starts: usize,
    child: Option<Child>,
    /// Whether its process was told to end or killed.
    is_over: bool,
}

/// Ports that the machine gives to no outgoing connection.
const PORTS: std::ops::Range<u16> = 12_000..32_000;
/// How many of them are tried.
const PORT_TRIES: usize = 100;

/// A free port of loopback; another program may still take it before it is used.
fn free() -> io::Result<SocketAddr> {
    let tries = (0..PORT_TRIES).map(|_| rand::random_range(PORTS));
    let mut listeners = tries.map(|port| TcpListener::bind(("127.0.0.1", port)));
    let free = listeners.find_map(Result::ok);
    free.ok_or_else(|| io::Error::other("no port is free"))?
        .local_addr()
}

fn addresses() -> io::Result<VmAddresses> {
    Ok(VmAddresses {
        front: free()?,
        ready: free()?,
        directory: free()?,
        internal: [free()?, free()?],
    })
}

impl VmProcess {
    /// Writes a VM's settings, without starting it.
    ///
    /// # Errors
    /// The file cannot be written, or no port is free.
    pub fn new(
        program: &Path,
        home: &Path,
        name: &str,
        domain: &str,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let addresses = addresses()?;
        let vm = Self {
            name: name.to_owned(),
            addresses,
            program: program.to_owned(),
            home: home.to_owned(),
            starts: 0,
            child: None,
            is_over: true,
        };
        let [peer, metrics] = addresses.internal.map(|address| address.port());
        let text = format!(
            "node_name = \"{name}\"\nip = \"127.0.0.1\"\nzone = \"{domain}\"\nregion = \"a\"\n\
             internal_ports = [{peer}, {metrics}]\n\
             bounds = [\"grace_s=6\", \"quota_slack=20\", \"budget_ratio=0.2\"]\n\
             [zones]\na-1 = \"a\"\na-2 = \"a\"\n\
             [listen]\nfront = \"{}\"\nready = \"{}\"\ndirectory = \"{}\"\n\
             [platform]\naddress = \"{store}\"\n",
            addresses.front, addresses.ready, addresses.directory
        );
        fs::write(vm.settings(), text)?;
        Ok(vm)
    }

    fn settings(&self) -> PathBuf {
        self.home.join(format!("{}.toml", self.name))
    }

    /// Starts the process; its log goes to a file of its own.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn start(&mut self) -> io::Result<()> {
        self.starts += 1;
        let log = self.home.join(format!("{}.{}.log", self.name, self.starts));
        let output = File::create(log)?;
        let child = Command::new(&self.program)
            .env(SETTINGS_VARIABLE, self.settings())
            .stderr(output.try_clone()?)
            .stdout(output)
            .spawn()?;
        self.child = Some(child);
        self.is_over = false;
        Ok(())
    }

    /// Sends a signal to the process, where there is one.
    ///
    /// # Errors
    /// The signal cannot be sent.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        self.is_over |= matches!(signal, Signal::TERM | Signal::KILL);
        let id = self.child.as_ref().map(Child::id);
        let id = id.and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        match id {
            Some(id) => Ok(rustix::process::kill_process(id, signal)?),
            None => Ok(()),
        }
    }

    /// Whether the process runs, and was not told to end.
    pub fn is_live(&self) -> bool {
        self.child.is_some() && !self.is_over
    }

    /// How the process ended, `None` while it runs or where there is none.
    ///
    /// # Errors
    /// It cannot be asked.
    pub fn ended(&mut self) -> io::Result<Option<String>> {
        let Some(child) = &mut self.child else {
            return Ok(None);
        };
        let status = child.try_wait()?;
        if status.is_some() {
            self.child = None;
        }
        Ok(status.map(|status| status.to_string()))
    }

    /// Whether there is no process.
    pub fn is_gone(&self) -> bool {
        self.child.is_none()
    }

    /// Memory in use, bytes, `None` where the machine does not tell.
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
            // It may have ended by itself.
            let _ended = child.kill().and_then(|()| child.wait());
        }
    }
}
