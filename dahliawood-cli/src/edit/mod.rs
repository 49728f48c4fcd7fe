//! `drain` and `keys`: changes of the file in force, applied on the condition that it is still in
//! force.

use crate::args::{ApplyArgs, KeyCommand, OperatorArgs};
use crate::exit::CommandFailure;
use crate::{apply, operator, output};
use dahliawood_config::{drain as drains, edit, keys as caller_keys, parse, units};
use dahliawood_model::tables;
use rand::Rng;
use serde::Serialize;

/// A drain to begin or to end.
pub struct DrainChange {
    /// Over how long, as written.
    pub over: String,
    /// Whether the drain ends.
    pub is_undo: bool,
    /// target, domain or region.
    pub kind: String,
    /// Its name.
    pub name: String,
}

/// The file in force.
struct FileInForce {
    text: String,
    revision: u64,
}

/// A customer's keys, by their public ids.
#[derive(Serialize)]
struct KeyRow {
    customer: String,
    ids: Vec<String>,
}

/// Begins or ends a drain.
///
/// # Errors
/// Refused, not applied, unknown, or not confirmed everywhere.
pub async fn drain(
    operator: &OperatorArgs,
    apply: &ApplyArgs,
    drain: &DrainChange,
    output: output::OutputMode,
) -> Result<(), CommandFailure> {
    let name = format!("{} {}", drain.kind, drain.name);
    let subject: drains::DrainName = name.parse().map_err(refused)?;
    let change = if drain.is_undo {
        edit::FileEdit::RemoveDrain { subject }
    } else {
        let over = units::parse_duration(&drain.over).map_err(refused)?;
        edit::FileEdit::AddDrain { subject, over }
    };
    change_file(operator, apply, change, output).await
}

/// Grants, withdraws, rotates or lists keys.
///
/// # Errors
/// Refused, not applied, unknown, or not confirmed everywhere.
pub async fn keys(command: KeyCommand, output: output::OutputMode) -> Result<(), CommandFailure> {
    match command {
        KeyCommand::Grant {
            operator,
            apply,
            customer,
        } => {
            let key = new_key();
            let change = edit::FileEdit::GrantKey {
                customer,
                hash: key.hash.clone(),
            };
            show_key(&key, change_file(&operator, &apply, change, output).await)
        }
        KeyCommand::Rotate {
            operator,
            apply,
            customer,
        } => {
            let key = new_key();
            let change = edit::FileEdit::RotateKey {
                customer,
                hash: key.hash.clone(),
            };
            show_key(&key, change_file(&operator, &apply, change, output).await)
        }
        KeyCommand::Withdraw {
            operator,
            apply,
            id,
        } => {
            let change = edit::FileEdit::WithdrawKey { id };
            change_file(&operator, &apply, change, output).await
        }
        KeyCommand::List { operator } => list(&operator, output).await,
    }
}

/// Shows a new key once, on standard output, unless it is certain that it is not in force.
fn show_key(
    key: &caller_keys::NewKey,
    ended: Result<(), CommandFailure>,
) -> Result<(), CommandFailure> {
    let is_void = matches!(
        ended,
        Err(CommandFailure::Refused(_)
            | CommandFailure::NotApplied(_)
            | CommandFailure::Unreachable(_))
    );
    if !is_void {
        println!("{}", key.plaintext.reveal());
    }
    ended
}

/// A new random key.
fn new_key() -> caller_keys::NewKey {
    let mut rng = rand::rng();
    let random = caller_keys::KeyEntropy {
        id: rng.random(),
        secret: rng.random(),
        salt: rng.random(),
    };
    caller_keys::generate(&random)
}

/// Lists the public ids of keys in force.
async fn list(operator: &OperatorArgs, output: output::OutputMode) -> Result<(), CommandFailure> {
    let file = in_force(operator).await?;
    let config: tables::FleetConfig = parse::file("in force", &file.text).map_err(refused)?;
    let row = |customer: &tables::CustomerSpec| KeyRow {
        customer: customer.name.clone(),
        ids: customer.keys.iter().map(|key| key.id.clone()).collect(),
    };
    let rows: Vec<_> = config.customers.values().map(row).collect();
    output.show(&rows, || {
        rows.iter()
            .for_each(|row| println!("{:<32} {}", row.customer, row.ids.join(" ")));
    });
    Ok(())
}

/// Changes the file in force, on the condition that it still is.
async fn change_file(
    operator: &OperatorArgs,
    apply: &ApplyArgs,
    change: edit::FileEdit,
    output: output::OutputMode,
) -> Result<(), CommandFailure> {
    let file = in_force(operator).await?;
    let options = edit::EditOptions {
        name: "in force",
        text: &file.text,
    };
    let edited = edit::apply(options, &change).map_err(refused)?;
    let expect = Some(apply.expect.unwrap_or(file.revision));
    let apply = ApplyArgs {
        expect,
        ..apply.clone()
    };
    apply::run(operator, &apply, &edited.text, output).await
}

/// Reads the file in force.
async fn in_force(operator: &OperatorArgs) -> Result<FileInForce, CommandFailure> {
    let outcome = operator::get(operator, "/v1/config").await?;
    let revision = outcome
        .header("dahliawood-revision")
        .and_then(|text| text.parse().ok());
    match (outcome.status, revision) {
        (200, Some(revision)) => Ok(FileInForce {
            text: outcome.text().into_owned(),
            revision,
        }),
        _ => Err(CommandFailure::Unreachable(outcome.text().into_owned())),
    }
}

/// An input that is refused.
fn refused(error: impl std::fmt::Display) -> CommandFailure {
    CommandFailure::Refused(error.to_string())
}
