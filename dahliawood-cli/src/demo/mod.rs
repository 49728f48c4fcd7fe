//! `demo`: a whole fleet in this process, on loopback, with callers that send through it.

mod summary;
mod traffic;

use crate::exit::CommandFailure;
use crate::output;
use async_std::task;
use dahliawood_testkit::fleet;
use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::time::Duration;

/// The deployment that the demo runs.
const LIANGUANG: &str = include_str!(concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../examples/lianguang.toml"
));
/// The example keys, as the page beside the file lists them.
const KEYS: &str = include_str!(concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../examples/README.md"
));

/// Entry VMs of the demo, as many as each deployment has today.
const VMS: usize = 11;
/// How long a request runs at a target.
const TARGET_DELAY: Duration = Duration::from_millis(5);

/// Runs the demo.
///
/// # Errors
/// Fails where the fleet does not start.
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
    let (tally, ()) = futures::join!(traffic::run(&plan), progress(seconds, output));
    let summary = summary::build(&fleet, &tally);
    output.show(&summary, || summary.print());
    if keep {
        advise(&fleet, &plan);
        futures::future::pending::<()>().await;
    }
    fleet.shutdown().await;
    Ok(())
}

/// Shows how far the demo is: a bar on a terminal, otherwise a line a second.
async fn progress(seconds: u64, output: output::OutputMode) {
    let is_live = std::io::stderr().is_terminal();
    let bar = if is_live {
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
        if !is_live && !output.is_json {
            println!("{second} of {seconds} s of traffic");
        }
    }
    bar.finish_and_clear();
}

/// Says how to try the fleet that was left running.
fn advise(fleet: &fleet::EmbeddedFleet, plan: &traffic::TrafficPlan) {
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
