//! Errors that keep a configuration file from being put in force.

use dahliawood_config::report;
use snafu::Snafu;

/// An error that keeps this VM from putting a configuration file in force.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum InstallError {
    /// The file has mistakes.
    #[snafu(display("the file has mistakes:\n{report}"))]
    Mistakes {
        /// All mistakes found.
        report: report::CheckReport,
    },
    /// The file does not declare the failure domain of this VM.
    #[snafu(display("the file declares no failure domain {domain:?}, where this VM is"))]
    Domain {
        /// The failure domain of this VM.
        domain: String,
    },
}
