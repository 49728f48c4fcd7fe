//! `status`: the fleet as one of its VMs knows it.

use crate::args::OperatorArgs;
use crate::exit::CommandFailure;
use crate::{operator, output};
use dahliawood_daemon::operator::reply;

/// Shows the fleet.
///
/// # Errors
/// Fails where no VM answers.
pub async fn run(
    operator: &OperatorArgs,
    output: output::OutputMode,
) -> Result<(), CommandFailure> {
    let status: reply::StatusReply = operator::get_json(operator, "/v1/status").await?;
    output.show(&status, || lines(&status));
    Ok(())
}

/// The status for people.
fn lines(status: &reply::StatusReply) {
    println!(
        "{} in {}: {}, revision {}",
        status.name, status.domain, status.phase, status.revision
    );
    println!("{} requests in flight", status.in_flight);
    for vm in &status.vms {
        let heard = vm
            .heard_ms
            .map_or("never heard".to_owned(), |ms| format!("heard {ms} ms ago"));
        println!(
            "  {:<16} {:<14} {:<8} revision {:<6} {:<22} {heard}",
            vm.name, vm.domain, vm.state, vm.revision, vm.http
        );
    }
    for counter in status.counters.iter().filter(|counter| counter.value > 0) {
        println!("  {:<28} {}", counter.name, counter.value);
    }
}
