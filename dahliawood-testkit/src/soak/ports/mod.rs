//! Free ports for the processes of VMs.

use crate::serving::lock;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{LazyLock, Mutex, MutexGuard};

/// Ports below the system's ephemeral range, so that no outgoing connection takes one.
const PORT_RANGE: Range<u16> = 12_000..32_000;
/// Ports that one process of the soak uses.
const SLICE_PORTS: u16 = 1_000;
/// How many ports are tried before giving up.
const PORT_TRIES: usize = 100;

/// A part of the port range that no other process of the soak uses: the ports of a VM that was killed are
/// free until it starts again, and another process would take them.
struct PortSlice {
    first: u16,
    /// Position of the next port to try.
    next: AtomicUsize,
    /// Holds the first port, which tells other processes that the slice is taken.
    _guard: TcpListener,
}

static PORTS: LazyLock<PortSlice> = LazyLock::new(|| {
    let firsts: Vec<u16> = PORT_RANGE.step_by(SLICE_PORTS.into()).collect();
    let begin = rand::random_range(0..firsts.len());
    let mut firsts = firsts.iter().cycle().skip(begin).take(firsts.len());
    let taken = firsts.find_map(|first| {
        let guard = TcpListener::bind(("127.0.0.1", *first)).ok()?;
        Some(PortSlice {
            first: *first,
            next: AtomicUsize::new(0),
            _guard: guard,
        })
    });
    taken.expect("a part of the port range is free")
});

impl PortSlice {
    /// The first of `count` adjacent ports, of those that were not given out for the longest time. Runs of
    /// one process share the position, so that none takes a port that another one has picked and not bound
    /// yet.
    fn next(&self, count: usize) -> u16 {
        // The guard has the first one.
        let usable = usize::from(SLICE_PORTS) - count;
        let position = self.next.fetch_add(count, Ordering::Relaxed) % usable;
        self.first + 1 + position as u16
    }
}

/// Held while a port is tried and while a process is started: a process that is being started has a
/// copy of each open listener until it runs its program, and the port stays taken as long.
static PORTS_AND_STARTS: Mutex<()> = Mutex::new(());

/// Keeps ports from being tried, or processes from being started, until it is dropped.
pub(super) fn hold() -> MutexGuard<'static, ()> {
    lock(&PORTS_AND_STARTS)
}

/// A loopback address with a free port. Another program may still take the port before it is used.
///
/// # Errors
/// No port is free.
pub(super) fn free_address() -> io::Result<SocketAddr> {
    let tries = (0..PORT_TRIES).map(|_| PORTS.next(1));
    let mut listeners = tries.map(|port| TcpListener::bind(("127.0.0.1", port)));
    let free = listeners.find_map(Result::ok);
    free.ok_or_else(|| io::Error::other("no port is free"))?
        .local_addr()
}

/// The first of `count` adjacent free ports.
///
/// # Errors
/// No such ports are free.
pub(super) fn adjacent(count: usize) -> io::Result<u16> {
    let bind = |port: usize| TcpListener::bind(("127.0.0.1", port as u16));
    for _ in 0..PORT_TRIES {
        let first = usize::from(PORTS.next(count));
        if (first..first + count).map(bind).all(|bound| bound.is_ok()) {
            return Ok(first as u16);
        }
    }
    Err(io::Error::other("no adjacent ports are free"))
}
