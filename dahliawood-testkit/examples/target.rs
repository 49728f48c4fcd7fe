//! Runs stand-in targets as a process of their own.
//!
//! Prints `listening ADDRESS` for each address that it was given, in their order.

use bpaf::Bpaf;
use dahliawood_testkit::target;
use std::net::SocketAddr;
use std::time::Duration;

/// Stand-ins for targets
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct TargetArgs {
    /// How long a request runs, milliseconds
    #[bpaf(argument("MILLIS"), fallback(0), display_fallback)]
    delay_ms: u64,
    /// Requests that each target runs at once
    #[bpaf(argument("COUNT"), fallback(3), display_fallback)]
    slots: usize,
    /// Where to listen; port 0 takes a free one
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
