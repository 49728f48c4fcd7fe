//! The command `lookup`: asks a VM which entry VMs to use for a service, like a caller.

use crate::exit::CommandFailure;
use crate::output;
use dahliawood_daemon::front::api;
use dahliawood_wire::one_shot;
use std::env;

/// Environment variable with the caller's key. A flag would expose the key in process listings.
const KEY_VARIABLE: &str = "DAHLIAWOOD_KEY";

/// Prints the VMs to use for `service`.
///
/// # Errors
/// Fails if the VM does not answer, or refuses the request.
pub async fn run(
    vm: &str,
    service: &str,
    output: output::OutputMode,
) -> Result<(), CommandFailure> {
    let url = format!("http://{vm}{}?service={service}", api::LOOKUP_PATH);
    let bearer = env::var(KEY_VARIABLE)
        .map(|key| format!("Bearer {key}"))
        .ok();
    let headers: Vec<_> = bearer
        .iter()
        .map(|bearer| ("authorization", bearer.as_str()))
        .collect();
    let options = one_shot::CallOptions {
        headers: &headers,
        ..one_shot::CallOptions::new("GET", &url)
    };
    let outcome = one_shot::call(&options).await;
    let outcome = outcome.map_err(|error| CommandFailure::Unreachable(error.to_string()))?;
    if outcome.status != 200 {
        return Err(CommandFailure::Refused(outcome.text().into_owned()));
    }
    let reply: api::LookupReply = crate::operator::parse(&outcome)?;
    output.print(&reply, || {
        reply
            .vms
            .iter()
            .for_each(|vm| println!("{} {}", vm.url, vm.name));
        println!("revision {}, for {} ms", reply.revision, reply.ttl_ms);
    });
    Ok(())
}
