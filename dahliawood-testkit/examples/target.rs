//! Runs stand-in targets in a separate process until it is killed.
//!
//! Prints `listening ADDRESS` for each address given, in the given order.

use bpaf::Bpaf;
use dahliawood_testkit::target;
use std::net::SocketAddr;
use std::time::Duration;

/// Stand-ins for targets
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct TargetArgs {
    /// Service time of a request, milliseconds
    #[bpaf(argument("MILLIS"), fallback(0), display_fallback)]
    delay_ms: u64,
    /// Number of requests that each target runs at once
    #[bpaf(argument("COUNT"), fallback(3), display_fallback)]
    slots: usize,
    /// Address of one target to listen on; port 0 picks a free port
    #[bpaf(positional("ADDRESS"), some("give at least one address"))]
    addresses: Vec<SocketAddr>,
}

fn main() -> std::io::Result<()> {
    let args = target_args().run();
    for (index, address) in args.addresses.iter().enumerate() {
        let options = target::TargetOptions {
            name: format!("target-{}", index + 1),
            slots: args.slots,
            delay: Duration::from_millis(args.delay_ms),
            bytes: 0,
        };
        println!("listening {}", target::start(*address, options)?.address);
    }
    async_std::task::block_on(futures::future::pending())
}
