//! `apply` and `status --write`: what became of a write, said truly.

use crate::args::{ApplyArgs, OperatorArgs};
use crate::exit::CommandFailure;
use crate::{operator, output};
use dahliawood_daemon::operator::apply::{ApplyReply, WriteState};
use rand::Rng;
use std::time::Duration;

/// Random bytes of a write's name.
const WRITE_ID_BYTES: usize = 16;
/// How long a VM may take to have a file accepted or to give it up.
const ACCEPT_WAIT: Duration = Duration::from_secs(25);

/// Applies a file's text.
///
/// The first VM that takes the connection gets the file. Where its answer is lost, the same write is
/// asked about at the others; it is never sent twice under another name.
///
/// # Errors
/// Refused, not applied, unknown, or not confirmed everywhere.
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
    let mut refusals = Vec::new();
    for address in operator.addresses.split(',').map(str::trim) {
        match operator::call(address, call).await {
            Ok(outcome) if outcome.status == 200 => {
                return finish(&operator::parse(&outcome)?, output);
            }
            Ok(outcome) if outcome.status == 422 || outcome.status == 400 => {
                return Err(CommandFailure::Refused(outcome.text().into_owned()));
            }
            Ok(outcome) => refusals.push(format!("{address}: {}", outcome.text())),
            Err(error) if is_unsent(&error) => refusals.push(format!("{address}: {error}")),
            Err(_) => return ask(operator, &write_id, output).await,
        }
    }
    Err(CommandFailure::Unreachable(format!(
        "no VM takes the file: {}",
        refusals.join("; ")
    )))
}

/// Whether a call failed before anything of it was sent.
fn is_unsent(error: &dahliawood_wire::one_shot::error::CallError) -> bool {
    matches!(
        error,
        dahliawood_wire::one_shot::error::CallError::Connect { .. }
    )
}

/// Asks what became of a write.
///
/// # Errors
/// Not applied, unknown, or not confirmed everywhere.
pub async fn ask(
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
    finish(&reply, output)
}

/// Prints what became of a write and turns it into the command's end.
fn finish(reply: &ApplyReply, output: output::OutputMode) -> Result<(), CommandFailure> {
    if output.is_json {
        output::json(reply);
    }
    let total = reply.in_force.len() + reply.missing.len();
    let place = format!("in force on {} of {total}", reply.in_force.len());
    match reply.state {
        WriteState::NotApplied => Err(CommandFailure::NotApplied(reply.detail.clone())),
        WriteState::Unknown => Err(CommandFailure::Unknown(format!(
            "ask again with: dahliawood status --write {}",
            reply.write_id
        ))),
        _ if !reply.missing.is_empty() => {
            let missing = reply.missing.join(", ");
            Err(CommandFailure::Unconfirmed(format!(
                "revision {} accepted, {place}; not confirmed by {missing}",
                reply.revision
            )))
        }
        state => {
            let word = if state == WriteState::NoChange {
                "no change"
            } else {
                "accepted"
            };
            if !output.is_json {
                println!("revision {} {word}, {place}", reply.revision);
            }
            Ok(())
        }
    }
}

/// A random name for a write.
fn random_id() -> String {
    let bytes: [u8; WRITE_ID_BYTES] = rand::rng().random();
    hex::encode(bytes)
}
