//! `check` and `diff`: what a file says, without applying it.

use crate::args::OperatorArgs;
use crate::exit::CommandFailure;
use crate::{operator, output};
use dahliawood_config::{canonical, diff, parse};
use dahliawood_model::tables;
use std::path::Path;

/// A file that was read and checked.
pub struct CheckedFile {
    /// Its text.
    pub text: String,
    /// Its checked form.
    pub config: tables::FleetConfig,
}

/// What `check` says of a file without mistakes.
#[derive(serde::Serialize)]
struct CheckSummary {
    name: String,
    hash: String,
    regions: usize,
    services: usize,
    targets: usize,
    customers: usize,
}

/// Reads and checks a file.
///
/// # Errors
/// Fails where it cannot be read; refuses it with all its mistakes.
pub fn read(path: &Path, output: output::OutputMode) -> Result<CheckedFile, CommandFailure> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| CommandFailure::Unreachable(format!("{name} cannot be read: {error}")))?;
    match parse::file(&name, &text) {
        Ok(config) => Ok(CheckedFile { text, config }),
        Err(report) => {
            if output.is_json {
                output::json(&report);
            }
            Err(CommandFailure::Refused(report.to_string()))
        }
    }
}

/// Checks a file.
///
/// # Errors
/// Refuses it with all its mistakes.
pub fn run(path: &Path, output: output::OutputMode) -> Result<(), CommandFailure> {
    let file = read(path, output)?;
    let summary = CheckSummary {
        name: file.config.name.clone(),
        hash: canonical::revision(&file.config),
        regions: file.config.regions.len(),
        services: file.config.services.len(),
        targets: file.config.targets.len(),
        customers: file.config.customers.len(),
    };
    output.show(&summary, || {
        println!(
            "{}: no mistakes; {} regions, {} services, {} targets, {} customers",
            path.display(),
            summary.regions,
            summary.services,
            summary.targets,
            summary.customers
        );
        println!("content {}", summary.hash);
    });
    Ok(())
}

/// Shows what a file would change of the configuration in force.
///
/// # Errors
/// Refuses a file with mistakes; fails where no VM answers.
pub async fn diff(
    operator: &OperatorArgs,
    path: &Path,
    output: output::OutputMode,
) -> Result<(), CommandFailure> {
    let file = read(path, output)?;
    let outcome = operator::get(operator, "/v1/config").await?;
    let before = match outcome.status {
        404 => tables::FleetConfig::default(),
        200 => parse::file("in force", &outcome.text()).map_err(|report| {
            CommandFailure::Unreachable(format!("the configuration in force: {report}"))
        })?,
        status => return Err(CommandFailure::Unreachable(format!("status {status}"))),
    };
    let changes = diff::between(&before, &file.config);
    output.show(&changes, || match changes.is_empty() {
        true => println!("no change"),
        false => changes.iter().for_each(|change| println!("{change}")),
    });
    Ok(())
}
