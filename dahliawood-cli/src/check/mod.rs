//! The commands `check` and `diff`: validate a file, and compare it with the configuration in
//! force, without applying it.

use crate::args::OperatorArgs;
use crate::exit::CommandFailure;
use crate::{operator, output};
use dahliawood_config::{canonical, diff, parse};
use dahliawood_model::tables;
use std::path::Path;

/// A valid file.
pub struct CheckedFile {
    /// Text of the file.
    pub text: String,
    /// The configuration in the file.
    pub config: tables::FleetConfig,
}

/// The result of `check` for a valid file.
#[derive(serde::Serialize)]
struct CheckSummary {
    name: String,
    hash: String,
    regions: usize,
    services: usize,
    targets: usize,
    customers: usize,
}

/// Reads and validates a file.
///
/// # Errors
/// Fails with `Unreachable` if the file cannot be read, and with `Refused` and the report of all
/// errors if it is invalid.
pub fn read(path: &Path, output: output::OutputMode) -> Result<CheckedFile, CommandFailure> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| CommandFailure::Unreachable(format!("{name} cannot be read: {error}")))?;
    match parse::file(&name, &text) {
        Ok(config) => Ok(CheckedFile { text, config }),
        Err(report) => {
            if output.is_json {
                output::print_json(&report);
            }
            Err(CommandFailure::Refused(report.to_string()))
        }
    }
}

/// Runs `check`.
///
/// # Errors
/// Fails in the same cases as [`read`].
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
    output.print(&summary, || {
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

/// Runs `diff`: prints the differences from the configuration in force to the file.
///
/// # Errors
/// Fails in the same cases as [`read`], and if no VM answers as expected.
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
    output.print(&changes, || match changes.is_empty() {
        true => println!("no change"),
        false => changes.iter().for_each(|change| println!("{change}")),
    });
    Ok(())
}
