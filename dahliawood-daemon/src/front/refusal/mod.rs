//! The reasons for which this VM refuses a request itself. A refused request has not run.

use crate::counters;
use dahliawood_request::verdict;
use dahliawood_wire::problem;
use http_types::{Response, StatusCode};
use std::time::Duration;

/// `Retry-After` delay of refusals by a VM that is starting or isolated.
const RETRY_OTHER_VM: Duration = Duration::from_secs(1);

/// Why a request is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// This VM knows no configuration yet.
    Starting,
    /// This VM reaches neither the store nor any other VM.
    Isolated,
    /// No route matches the path.
    NoRoute,
    /// Routes match the path, but none allows the method.
    OtherMethod,
    /// The configuration does not declare the service of a look-up.
    NoService,
    /// The request has no key.
    NoKey,
    /// The key is not valid.
    BadKey,
    /// The customer is not granted the service.
    NotGranted,
    /// The customer is not granted the place of the caller.
    OtherPlace,
    /// The customer's rate and burst are used up; the caller may try again after this time.
    OverRate(Duration),
    /// No target has a free slot in time; the caller may try again after this time.
    Busy(Duration),
    /// No target can be used.
    NoTarget {
        /// The reason.
        detail: String,
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
    /// The request is malformed.
    Malformed(String),
}

impl RefusalCause {
    /// The counter for this refusal.
    pub fn counter(&self) -> counters::CounterKind {
        match self {
            Self::NoKey | Self::BadKey => counters::CounterKind::RefusedKey,
            Self::NotGranted | Self::OtherPlace => counters::CounterKind::RefusedGrant,
            Self::OverRate(_) => counters::CounterKind::RefusedRate,
            Self::Busy(_) | Self::NoTarget { .. } => counters::CounterKind::RefusedBusy,
            _ => counters::CounterKind::RefusedOther,
        }
    }

    /// Builds the response.
    pub fn into_response(self) -> Response {
        let needs_key = matches!(self, Self::NoKey | Self::BadKey);
        let is_bad = self == Self::BadKey;
        let mut response = self.into_document().into_response();
        if needs_key {
            let challenge = match is_bad {
                true => "Bearer realm=\"dahliawood\", error=\"invalid_token\"",
                false => "Bearer realm=\"dahliawood\"",
            };
            response.insert_header("www-authenticate", challenge);
        }
        response
    }

    /// Builds the problem document.
    fn into_document(self) -> problem::ProblemDocument {
        let (status, name, title) = self.kind();
        let retry_after = match &self {
            Self::Starting | Self::Isolated => Some(RETRY_OTHER_VM),
            Self::OverRate(wait) | Self::Busy(wait) => Some(*wait),
            Self::NoTarget { retry_after, .. } => Some(*retry_after),
            _ => None,
        };
        let detail = match self {
            Self::NoTarget { detail, .. } | Self::Malformed(detail) => detail,
            other => other.detail().to_owned(),
        };
        let ran = verdict::RunVerdict::NotRun;
        problem::ProblemDocument {
            name,
            status,
            title,
            detail,
            ran,
            retry_after,
        }
    }

    /// Status, stable name and title of the problem type.
    fn kind(&self) -> (StatusCode, &'static str, &'static str) {
        use StatusCode as Status;
        match self {
            Self::Starting => (
                Status::ServiceUnavailable,
                "starting",
                "This VM is starting",
            ),
            Self::Isolated => (Status::ServiceUnavailable, "isolated", "This VM is cut off"),
            Self::NoRoute => (Status::NotFound, "no-route", "No such route"),
            Self::OtherMethod => (Status::MethodNotAllowed, "no-method", "No such method here"),
            Self::NoService => (Status::NotFound, "no-service", "No such service"),
            Self::NoKey => (Status::Unauthorized, "no-key", "A key is needed"),
            Self::BadKey => (Status::Unauthorized, "bad-key", "The key is not valid"),
            Self::NotGranted => (
                Status::Forbidden,
                "not-granted",
                "The service is not granted",
            ),
            Self::OtherPlace => (Status::Forbidden, "other-place", "The place is not granted"),
            Self::OverRate(_) => (Status::TooManyRequests, "over-rate", "The rate is used up"),
            Self::Busy(_) => (
                Status::ServiceUnavailable,
                "busy",
                "No target has room in time",
            ),
            Self::NoTarget { .. } => (
                Status::ServiceUnavailable,
                "no-target",
                "No target can be used",
            ),
            Self::Malformed(_) => (Status::BadRequest, "malformed", "The request is malformed"),
        }
    }

    /// The default detail of the problem, for refusals that carry none of their own.
    fn detail(&self) -> &'static str {
        match self {
            Self::Starting => "no configuration is known to this VM yet; ask another one",
            Self::Isolated => "this VM could miss a withdrawn key; ask another one",
            Self::NoRoute => "no declared route covers this path",
            Self::OtherMethod => "the routes that cover this path take other methods",
            Self::NoService => "the operators' file declares no such service",
            Self::NoKey => "send the key as Authorization: Bearer",
            Self::BadKey => "the key is unknown, wrong or withdrawn",
            Self::NotGranted => "the customer may not call this service",
            Self::OtherPlace => "the customer may not call from this address",
            Self::OverRate(_) => "the customer's rate and burst over the whole fleet are used up",
            Self::Busy(_) => "every target that could run it is busy for longer than it may wait",
            Self::NoTarget { .. } | Self::Malformed(_) => "",
        }
    }
}
