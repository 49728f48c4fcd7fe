//! The commands `drain` and `keys`: edit the file in force, and apply the result only if that file
//! is still in force.

use crate::args::{ApplyArgs, KeyCommand, OperatorArgs};
use crate::exit::CommandFailure;
use crate::{apply, operator, output};
use dahliawood_config::{drain as drains, edit, keys as caller_keys, parse, units};
use dahliawood_model::tables;
use rand::Rng;
use serde::Serialize;

/// A drain to add or to remove.
pub struct DrainChange {
    /// Time over which the traffic is moved away, as text such as `10 m`.
    pub over: String,
    /// Whether the drain is removed.
    pub is_undo: bool,
    /// Kind of the subject: `target`, `domain` or `region`.
    pub kind: String,
    /// Name of the subject.
    pub name: String,
}

/// The configuration file in force and its revision.
struct FileInForce {
    text: String,
    revision: u64,
}

/// The public ids of a customer's keys.
#[derive(Serialize)]
struct KeyRow {
    customer: String,
    ids: Vec<String>,
}

/// Adds or removes a drain.
///
/// # Errors
/// Fails if no VM answers, or if the change is refused, not applied, of unknown outcome, or not
/// confirmed by all VMs.
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
/// Fails if no VM answers, or if the change is refused, not applied, of unknown outcome, or not
/// confirmed by all VMs.
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
            print_key(&key, change_file(&operator, &apply, change, output).await)
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
            print_key(&key, change_file(&operator, &apply, change, output).await)
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

/// Prints a new plaintext key, the only time that it is shown, unless the key is certainly not in
/// force.
fn print_key(
    key: &caller_keys::NewKey,
    result: Result<(), CommandFailure>,
) -> Result<(), CommandFailure> {
    let is_not_in_force = matches!(
        result,
        Err(CommandFailure::Refused(_)
            | CommandFailure::NotApplied(_)
            | CommandFailure::Unreachable(_))
    );
    if !is_not_in_force {
        println!("{}", key.plaintext.reveal());
    }
    result
}

/// Generates a random key.
fn new_key() -> caller_keys::NewKey {
    let mut rng = rand::rng();
    let random = caller_keys::KeyEntropy {
        id: rng.random(),
        secret: rng.random(),
        salt: rng.random(),
    };
    caller_keys::generate(&random)
}

/// Prints the public ids of the keys in force.
async fn list(operator: &OperatorArgs, output: output::OutputMode) -> Result<(), CommandFailure> {
    let file = fetch_file(operator).await?;
    let config: tables::FleetConfig = parse::file("in force", &file.text).map_err(refused)?;
    let row = |customer: &tables::CustomerSpec| KeyRow {
        customer: customer.name.clone(),
        ids: customer.keys.iter().map(|key| key.id.clone()).collect(),
    };
    let rows: Vec<_> = config.customers.values().map(row).collect();
    output.print(&rows, || {
        rows.iter()
            .for_each(|row| println!("{:<32} {}", row.customer, row.ids.join(" ")));
    });
    Ok(())
}

/// Edits the file in force, and applies the result only if no other revision came into force
/// meanwhile.
async fn change_file(
    operator: &OperatorArgs,
    apply: &ApplyArgs,
    change: edit::FileEdit,
    output: output::OutputMode,
) -> Result<(), CommandFailure> {
    let file = fetch_file(operator).await?;
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

/// Fetches the file in force.
async fn fetch_file(operator: &OperatorArgs) -> Result<FileInForce, CommandFailure> {
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

/// Converts an input error to a failure of the command.
fn refused(error: impl std::fmt::Display) -> CommandFailure {
    CommandFailure::Refused(error.to_string())
}
