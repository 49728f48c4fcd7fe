//! The command `demo`: a whole fleet in this process, on loopback, with callers that send requests
//! to it.

mod summary;
mod traffic;

use crate::exit::CommandFailure;
use crate::output;
use async_std::task;
use dahliawood_testkit::fleet;
use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::time::Duration;

/// The configuration file of the demo's deployment.
const LIANGUANG: &str = include_str!(concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../examples/lianguang.toml"
));
/// The README beside the example files, which lists the plaintext example keys.
const KEYS: &str = include_str!(concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../examples/README.md"
));

/// Number of entry VMs, as in each deployment today.
const VMS: usize = 11;
/// Time that a target takes for a request.
const TARGET_DELAY: Duration = Duration::from_millis(5);

/// Runs the demo.
///
/// # Errors
/// Fails if the fleet does not start.
pub async fn run(
    seconds: u64,
    keep: bool,
    output: output::OutputMode,
) -> Result<(), CommandFailure> {
    let options = fleet::FleetOptions {
        file_text: LIANGUANG.to_owned(),
        vms: VMS,
        delay: TARGET_DELAY,
    };
    let started = fleet::start(&options).await;
    let fleet = started.map_err(|error| CommandFailure::Unreachable(error.to_string()))?;
    if !output.is_json {
        println!(
            "{}: {} entry VMs in {} regions, {} targets, the file is in force on all",
            fleet.config.name,
            fleet.daemons.len(),
            fleet.config.regions.len(),
            fleet.targets.len()
        );
    }
    let plan = traffic::TrafficPlan::new(&fleet, KEYS, Duration::from_secs(seconds));
    let (results, ()) = futures::join!(traffic::run(&plan), progress(seconds, output));
    let summary = summary::build(&fleet, &results);
    output.print(&summary, || summary.print());
    if keep {
        print_hints(&fleet, &plan);
        futures::future::pending::<()>().await;
    }
    fleet.shutdown().await;
    Ok(())
}

/// Shows the progress of the demo: a bar on a terminal, otherwise one line per second.
async fn progress(seconds: u64, output: output::OutputMode) {
    let is_terminal = std::io::stderr().is_terminal();
    let bar = if is_terminal {
        ProgressBar::new(seconds)
    } else {
        ProgressBar::hidden()
    };
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} s of traffic") {
        bar.set_style(style);
    }
    for second in 1..=seconds {
        task::sleep(Duration::from_secs(1)).await;
        bar.set_position(second);
        if !is_terminal && !output.is_json {
            println!("{second} of {seconds} s of traffic");
        }
    }
    bar.finish_and_clear();
}

/// Prints the addresses of the running fleet and commands to try.
fn print_hints(fleet: &fleet::EmbeddedFleet, plan: &traffic::TrafficPlan) {
    let vm = &fleet.daemons[0];
    println!("\nThe fleet is left running; interrupt to end it. Operators' API of each VM:");
    for daemon in &fleet.daemons {
        let settings = &daemon.shared.settings;
        println!(
            "  {} in {}: callers {}, operators {}",
            settings.name, settings.domain, daemon.listen, daemon.operator_listen
        );
    }
    println!("Try:");
    if let Some(sender) = plan.senders.first() {
        println!(
            "  curl -H 'Authorization: Bearer {}' 'http://{}/v1/lookup?service={}'",
            sender.key, vm.listen, sender.service
        );
        println!(
            "  curl -H 'Authorization: Bearer {}' 'http://{}{}'",
            sender.key, vm.listen, sender.path
        );
    }
    println!("  dahliawood status --operator {}", vm.operator_listen);
    println!("  dahliawood events --operator {}", vm.operator_listen);
}
