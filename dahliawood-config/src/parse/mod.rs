//! From the text of a file to a checked configuration.
//!
//! The whole text is read whatever is wrong with it, so that one check reports every mistake. The
//! steps are: parse the text into a tree with spans, read each table into a row of plain values,
//! settle every name that was declared or used, and build the arenas if nothing was wrong.
//!
//! The arenas come out sorted by name, and routes of a service that differ in their methods alone
//! come out as one. Two files with the same meaning therefore give equal configurations, whatever
//! the order of their tables, and equal keys on every VM.

mod build;
mod context;
mod format;
mod leaf;
mod reader;
mod rows;

use crate::report;
use dahliawood_model::tables;
use toml::de::DeTable;

/// Parses and checks `text`; `name` is the file's name in the report.
///
/// # Errors
/// A report with every mistake of the file.
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
