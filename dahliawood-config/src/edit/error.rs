//! Errors of edits.
//!
//! Names and ids given by the operator are shown through [`report::excerpt`], so that a plaintext
//! key given by mistake is not repeated.

use crate::{drain, report};
use snafu::Snafu;

/// The reason why a file was not changed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum EditError {
    /// The file is invalid before the change.
    #[snafu(display("the file has errors; correct them first:\n{report}"))]
    InvalidFile {
        /// The errors in the file.
        report: report::CheckReport,
    },
    /// The file would be invalid after the change.
    #[snafu(display("the change would make the file invalid:\n{report}"))]
    InvalidResult {
        /// The errors in the changed file.
        report: report::CheckReport,
    },
    /// The file is valid, but the edit does not support the way it is written.
    #[snafu(display("the layout of the file can't be preserved; make the change by hand"))]
    NotEditable,
    /// The file declares no such customer.
    #[snafu(display("no customer `{}`", report::excerpt(customer)))]
    UnknownCustomer {
        /// Name of the customer.
        customer: String,
    },
    /// The file contains no such key.
    #[snafu(display("no key with id `{}`", report::excerpt(id)))]
    UnknownKey {
        /// Public id of the key.
        id: String,
    },
    /// The file already contains a key with this id.
    #[snafu(display("a key with id `{}` is in force already", report::excerpt(id)))]
    KeyExists {
        /// Public id of the key.
        id: String,
    },
    /// The customer has no key that could be rotated.
    #[snafu(display("customer `{customer}` has no key to rotate; grant one"))]
    NothingToRotate {
        /// Name of the customer.
        customer: String,
    },
    /// The customer has several keys, so a rotation is already in progress.
    #[snafu(display("customer `{customer}` has {count} keys; withdraw down to one first"))]
    RotationInProgress {
        /// Name of the customer.
        customer: String,
        /// Number of valid keys.
        count: usize,
    },
    /// The file declares nothing of this name that could be drained.
    #[snafu(display("no {} to drain", report::excerpt(&subject.to_string())))]
    UnknownSubject {
        /// The subject by name.
        subject: drain::DrainName,
    },
    /// The subject already has a drain.
    #[snafu(display("{subject} drains already"))]
    DrainExists {
        /// The subject by name.
        subject: drain::DrainName,
    },
    /// The subject has no drain.
    #[snafu(display("{} does not drain", report::excerpt(&subject.to_string())))]
    NoDrain {
        /// The subject by name.
        subject: drain::DrainName,
    },
}
