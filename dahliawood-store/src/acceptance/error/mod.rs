//! Why a file was not accepted.

use crate::status;
use derive_more::Display;
use snafu::Snafu;

/// A VM and why it refused a file.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{vm}: {}", refusal.cause)]
pub struct VmRefusal {
    /// Name of the VM.
    pub vm: String,
    /// What it refused and why.
    pub refusal: status::RevisionRefusal,
}

/// Why a file is not in force anywhere and never will be by this write.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum ApplyError {
    /// The store could not be reached.
    #[snafu(display("the store cannot be reached: {reason}"))]
    StoreLost {
        /// The last failure.
        reason: String,
    },
    /// Another revision than the expected one is in force.
    #[snafu(display("revision {found} is in force, not {expected}"))]
    Unexpected {
        /// The revision expected.
        expected: u64,
        /// The one found, zero for none.
        found: u64,
    },
    /// VMs do not understand the file.
    #[snafu(display("refused by {}", join(refusals)))]
    Refused {
        /// Who and why.
        refusals: Vec<VmRefusal>,
    },
    /// VMs did not confirm in time that they hold the file.
    #[snafu(display("not confirmed in time by {}", vms.join(", ")))]
    Unconfirmed {
        /// Names of these VMs.
        vms: Vec<String>,
    },
    /// Another operator's file came first.
    #[snafu(display("another file was proposed or accepted meanwhile, revision {revision}"))]
    Overtaken {
        /// The highest number found.
        revision: u64,
    },
    /// The file is too long.
    #[snafu(display("the file has {length} bytes, above the limit of {limit}"))]
    TooLarge {
        /// Its length, bytes.
        length: usize,
        /// The limit, bytes.
        limit: usize,
    },
}

fn join(refusals: &[VmRefusal]) -> String {
    let texts: Vec<_> = refusals.iter().map(VmRefusal::to_string).collect();
    texts.join("; ")
}
