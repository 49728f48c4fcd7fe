//! Runs a stand-in for the platform until it is killed: `platform [--listen IP:PORT] [--seed N]`.
//!
//! Prints `listening IP:PORT` once it accepts connections.

use bpaf::Bpaf;
use dahliawood_testkit::platform;
use std::io;
use std::net::SocketAddr;

/// Stand-in for the platform
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct PlatformArgs {
    /// Address to listen on; port 0 picks a free port
    #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))), display_fallback)]
    listen: SocketAddr,
    /// Seed of the random number generator
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
}

#[async_std::main]
async fn main() -> io::Result<()> {
    let args = platform_args().run();
    let options = platform::PlatformOptions {
        listen: args.listen,
        seed: args.seed,
        ..platform::PlatformOptions::default()
    };
    let handle = platform::start(options).await?;
    println!("listening {}", handle.address());
    handle.serve().await;
    Ok(())
}
