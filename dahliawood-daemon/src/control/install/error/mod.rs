//! Why a file cannot be brought into force.

use dahliawood_config::report;
use snafu::Snafu;

/// Why this VM cannot hold a file.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum InstallError {
    /// The file has mistakes.
    #[snafu(display("the file has mistakes:\n{report}"))]
    Mistakes {
        /// All of them.
        report: report::CheckReport,
    },
    /// The file does not declare the failure domain of this VM.
    #[snafu(display("the file declares no failure domain {domain:?}, where this VM is"))]
    Domain {
        /// The domain.
        domain: String,
    },
}
