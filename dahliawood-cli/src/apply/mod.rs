//! The commands `apply` and `status --write`: apply a file, and report the outcome of a write.
//!
//! A write is reported as applied or not applied only if a VM has said so; otherwise its outcome is
//! unknown.

use crate::args::{ApplyArgs, OperatorArgs};
use crate::exit::CommandFailure;
use crate::{operator, output};
use dahliawood_daemon::operator::apply::{ApplyReply, WriteState};
use rand::Rng;
use std::time::Duration;

/// Number of random bytes in the id of a write.
const WRITE_ID_BYTES: usize = 16;
/// Maximum time that a VM needs until a file is accepted or the write is abandoned.
const ACCEPT_WAIT: Duration = Duration::from_secs(25);

/// Applies the text of a file.
///
/// The VMs are tried in order until one handles the file. If the call fails after connecting, the
/// VM may have applied the file, so the VMs are asked for the outcome of this write; the file is
/// never sent again under another write id.
///
/// # Errors
/// Fails if no VM handles the file, or if the change is refused, not applied, of unknown outcome,
/// or not confirmed by all VMs.
pub async fn run(
    operator: &OperatorArgs,
    apply: &ApplyArgs,
    text: &str,
    output: output::OutputMode,
) -> Result<(), CommandFailure> {
    let write_id = apply.write_id.clone().unwrap_or_else(random_id);
    let expect = apply
        .expect
        .map(|revision| format!("&expect={revision}"))
        .unwrap_or_default();
    let path = format!("/v1/config?write={write_id}&wait={}{expect}", apply.wait);
    let wait = ACCEPT_WAIT + Duration::from_secs(apply.wait);
    let call = operator::OperatorCall {
        method: "PUT",
        path: &path,
        body: text,
        wait,
    };
    let mut failures = Vec::new();
    for address in operator.addresses.split(',').map(str::trim) {
        match operator::call(address, call).await {
            Ok(outcome) if outcome.status == 200 => {
                return report(&operator::parse(&outcome)?, output);
            }
            Ok(outcome) if outcome.status == 422 || outcome.status == 400 => {
                return Err(CommandFailure::Refused(outcome.text().into_owned()));
            }
            Ok(outcome) => failures.push(format!("{address}: {}", outcome.text())),
            Err(error) if is_unsent(&error) => failures.push(format!("{address}: {error}")),
            Err(_) => return query(operator, &write_id, output).await,
        }
    }
    Err(CommandFailure::Unreachable(format!(
        "no VM takes the file: {}",
        failures.join("; ")
    )))
}

/// Whether a call failed to connect, so that nothing of the request was sent.
fn is_unsent(error: &dahliawood_wire::one_shot::error::CallError) -> bool {
    matches!(
        error,
        dahliawood_wire::one_shot::error::CallError::Connect { .. }
    )
}

/// Asks the VMs for the outcome of a write and prints it.
///
/// # Errors
/// Fails if the write is not applied, of unknown outcome, or not confirmed by all VMs.
pub async fn query(
    operator: &OperatorArgs,
    write_id: &str,
    output: output::OutputMode,
) -> Result<(), CommandFailure> {
    let path = format!("/v1/writes/{write_id}");
    let unknown = || {
        CommandFailure::Unknown(format!(
            "ask again with: dahliawood status --write {write_id}"
        ))
    };
    let reply: ApplyReply = operator::get_json(operator, &path)
        .await
        .map_err(|_| unknown())?;
    report(&reply, output)
}

/// Prints the outcome of a write and converts it to the result of the command.
fn report(reply: &ApplyReply, output: output::OutputMode) -> Result<(), CommandFailure> {
    if output.is_json {
        output::print_json(reply);
    }
    let total = reply.in_force.len() + reply.missing.len();
    let progress = format!("in force on {} of {total}", reply.in_force.len());
    match reply.state {
        WriteState::NotApplied => Err(CommandFailure::NotApplied(reply.detail.clone())),
        WriteState::Unknown => Err(CommandFailure::Unknown(format!(
            "ask again with: dahliawood status --write {}",
            reply.write_id
        ))),
        _ if !reply.missing.is_empty() => {
            let missing = reply.missing.join(", ");
            Err(CommandFailure::Unconfirmed(format!(
                "revision {} accepted, {progress}; not confirmed by {missing}",
                reply.revision
            )))
        }
        state => {
            let result = if state == WriteState::NoChange {
                "no change"
            } else {
                "accepted"
            };
            if !output.is_json {
                println!("revision {} {result}, {progress}", reply.revision);
            }
            Ok(())
        }
    }
}

/// A random id for a write.
fn random_id() -> String {
    let bytes: [u8; WRITE_ID_BYTES] = rand::rng().random();
    hex::encode(bytes)
}
