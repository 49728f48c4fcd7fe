//! The command `status`: the state of the fleet as known to the VM that answers.

use crate::args::OperatorArgs;
use crate::exit::CommandFailure;
use crate::{operator, output};
use dahliawood_daemon::operator::reply;

/// Prints the state of the fleet.
///
/// # Errors
/// Fails if no VM answers as expected.
pub async fn run(
    operator: &OperatorArgs,
    output: output::OutputMode,
) -> Result<(), CommandFailure> {
    let status: reply::StatusReply = operator::get_json(operator, "/v1/status").await?;
    output.print(&status, || print_lines(&status));
    Ok(())
}

/// Prints the state of the fleet as text.
fn print_lines(status: &reply::StatusReply) {
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
