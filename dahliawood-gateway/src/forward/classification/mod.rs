//! What a target's response says of the request and of the target.

use crate::codec::ResponseMetadata;
use crate::target_call::TargetResponse;
use dahliawood_model::catalog::TargetReport;
use dahliawood_steer::health::ResultKind;

/// Statuses by which a response says that the request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// What the target says of itself in a response that it produced itself.
pub(super) fn own_report(metadata: &ResponseMetadata) -> Option<TargetReport> {
    let is_own = !metadata.is_misdirected && (metadata.is_signed || metadata.has_not_run);
    is_own.then_some(metadata.report)
}

/// What a response says about its target's health.
pub(super) fn classify(response: &TargetResponse) -> ResultKind {
    let metadata = &response.metadata;
    match response.head.status {
        // The other end of a kept connection is not the target.
        _ if metadata.is_misdirected && response.was_reused => ResultKind::Cancelled,
        _ if metadata.is_misdirected => ResultKind::ConnectFailed,
        _ if metadata.has_not_run => ResultKind::Shed,
        status if NOT_RUN_STATUSES.contains(&status) => ResultKind::Errored,
        200..=499 if metadata.is_signed => ResultKind::Answered,
        _ => ResultKind::Errored,
    }
}

/// Whether an error response of a target may be passed on to the caller.
pub(super) fn is_forwardable(response: &TargetResponse) -> bool {
    let status = response.head.status;
    response.metadata.is_signed && status >= 400 && !NOT_RUN_STATUSES.contains(&status)
}

pub(super) fn label(kind: ResultKind) -> &'static str {
    match kind {
        ResultKind::Answered => "answered",
        ResultKind::Errored => "errored",
        ResultKind::Shed => "shed",
        ResultKind::ConnectFailed => "unreached",
        ResultKind::Refused => "not-listening",
        ResultKind::TimedOut => "timed-out",
        ResultKind::Cancelled => "cancelled",
    }
}
