//! Errors when a file is not accepted.

use crate::status;
use derive_more::Display;
use snafu::Snafu;

/// A VM's refusal of a file.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{vm}: {}", refusal.cause)]
pub struct VmRefusal {
    /// Name of the VM.
    pub vm: String,
    /// The refused revision and the reason.
    pub refusal: status::RevisionRefusal,
}

/// Why a file is not in force on any VM and never will be by this write.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum ApplyError {
    /// The store could not be reached.
    #[snafu(display("the store cannot be reached: {reason}"))]
    StoreUnreachable {
        /// The last error.
        reason: String,
    },
    /// The revision in force is not the expected one.
    #[snafu(display("revision {found} is in force, not {expected}"))]
    RevisionMismatch {
        /// The expected revision.
        expected: u64,
        /// The revision found, zero for none.
        found: u64,
    },
    /// The check of at least one VM rejected the file.
    #[snafu(display("refused by {}", join(refusals)))]
    Refused {
        /// The VMs and their reasons.
        refusals: Vec<VmRefusal>,
    },
    /// Some VMs did not acknowledge the file in time.
    #[snafu(display("not confirmed in time by {}", vms.join(", ")))]
    Unacknowledged {
        /// Names of these VMs.
        vms: Vec<String>,
    },
    /// Another operator's file was proposed or accepted first.
    #[snafu(display("another file was proposed or accepted meanwhile, revision {revision}"))]
    Superseded {
        /// The highest revision number found.
        revision: u64,
    },
    /// The file is too large.
    #[snafu(display("the file has {length} bytes, above the limit of {limit}"))]
    TooLarge {
        /// Length of the file, in bytes.
        length: usize,
        /// The limit, in bytes.
        limit: usize,
    },
}

fn join(refusals: &[VmRefusal]) -> String {
    let texts: Vec<_> = refusals.iter().map(VmRefusal::to_string).collect();
    texts.join("; ")
}
