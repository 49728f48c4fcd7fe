//! Parsing and validation of a configuration file.
//!
//! Parsing continues after an error, so that one run reports every error in the file. The steps
//! are: parse the text into a tree with spans, read each table into a row of plain values, check
//! that each referenced name is declared, and build the arenas if there was no error.
//!
//! The arenas are sorted by name, and routes of a service that differ only in their methods are
//! merged. Equivalent files therefore give equal configurations, whatever the order of their
//! tables, and equal arena keys on every VM.

mod build;
mod context;
mod format;
mod leaf;
mod reader;
mod rows;

use crate::report;
use dahliawood_model::tables;
use toml::de::DeTable;

/// Parses and validates `text`; `name` is the file name for the report.
///
/// # Errors
/// Returns a report of all errors in the file.
pub fn file(name: &str, text: &str) -> Result<tables::FleetConfig, report::CheckReport> {
    let (document, syntax_errors) = DeTable::parse_recoverable(text);
    let mut context = context::CheckContext::default();
    for error in &syntax_errors {
        context.syntax_error(text, error);
    }
    let rows = format::read(&mut context, document.get_ref());
    context.check_references();
    let findings = context.into_findings(text);
    match rows {
        Some(rows) if findings.is_empty() => Ok(build::fleet(rows)),
        _ => Err(report::CheckReport {
            file: name.to_owned(),
            findings,
        }),
    }
}
