//! Why a file was not changed.
//!
//! What the caller gave is shown as a report shows it, so that a key in clear is not repeated.

use crate::{drain, report};
use snafu::Snafu;

/// Why a file was not changed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum EditError {
    /// The file has mistakes already.
    #[snafu(display("the file has mistakes, mend them first:\n{report}"))]
    InvalidFile {
        /// What is wrong.
        report: report::CheckReport,
    },
    /// The change would bring mistakes in.
    #[snafu(display("the change would leave the file with mistakes:\n{report}"))]
    InvalidResult {
        /// What would be wrong.
        report: report::CheckReport,
    },
    /// The text can be read but its layout can't be kept.
    #[snafu(display("the file's layout can't be kept; write the change by hand"))]
    NotEditable,
    /// There is no such customer.
    #[snafu(display("no customer `{}`", report::excerpt(customer)))]
    UnknownCustomer {
        /// The name.
        customer: String,
    },
    /// There is no such key.
    #[snafu(display("no key with id `{}`", report::excerpt(id)))]
    UnknownKey {
        /// The public id.
        id: String,
    },
    /// A key with this id is in force.
    #[snafu(display("a key with id `{}` is in force already", report::excerpt(id)))]
    KeyExists {
        /// The public id.
        id: String,
    },
    /// A customer without a key has none to rotate.
    #[snafu(display("customer `{customer}` has no key to rotate; grant one"))]
    NothingToRotate {
        /// The name.
        customer: String,
    },
    /// A customer with several keys is in a rotation already.
    #[snafu(display("customer `{customer}` has {count} keys; withdraw down to one first"))]
    RotationInProgress {
        /// The name.
        customer: String,
        /// Keys in force.
        count: usize,
    },
    /// There is nothing of this name to drain.
    #[snafu(display("no {} to drain", report::excerpt(&subject.to_string())))]
    UnknownSubject {
        /// The name.
        subject: drain::DrainName,
    },
    /// It drains already.
    #[snafu(display("{subject} drains already"))]
    DrainExists {
        /// The name.
        subject: drain::DrainName,
    },
    /// It does not drain.
    #[snafu(display("{} does not drain", report::excerpt(&subject.to_string())))]
    NoDrain {
        /// The name.
        subject: drain::DrainName,
    },
}
