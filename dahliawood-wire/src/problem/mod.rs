//! Refusals and failures as RFC 9457 problem documents.

use dahliawood_request::verdict;
use http_types::headers::{CACHE_CONTROL, RETRY_AFTER};
use http_types::{Body, Response, StatusCode};
use std::time::Duration;

/// Media type of a problem document.
pub const MEDIA_TYPE: &str = "application/problem+json";
/// Prefix of the problem type URN; the name of the problem is appended.
pub const TYPE_PREFIX: &str = "urn:dahliawood:problem:";

/// A refusal or failure as reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProblemDocument {
    /// Name of the problem type, in lower case with hyphens; its meaning never changes.
    pub name: &'static str,
    /// HTTP status.
    pub status: StatusCode,
    /// Short description of the problem type.
    pub title: &'static str,
    /// Description of this occurrence.
    pub detail: String,
    /// Whether the request may have run.
    pub ran: verdict::RunVerdict,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

#[derive(serde::Serialize)]
struct ProblemJson<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    ran: verdict::RunVerdict,
}

impl ProblemDocument {
    /// The HTTP response with this document as its body.
    ///
    /// # Panics
    /// Never, because all fields serialise.
    pub fn into_response(self) -> Response {
        let json = ProblemJson {
            r#type: format!("{TYPE_PREFIX}{}", self.name),
            title: self.title,
            status: self.status.into(),
            detail: &self.detail,
            ran: self.ran,
        };
        let mut response = Response::new(self.status);
        response.set_body(Body::from_json(&json).expect("plain fields serialise"));
        response.insert_header("content-type", MEDIA_TYPE);
        response.insert_header(CACHE_CONTROL, "no-store");
        if let Some(wait) = self.retry_after {
            response.insert_header(RETRY_AFTER, whole_seconds(wait).to_string());
        }
        response
    }
}

/// Whole seconds, rounded up, so that a caller does not retry too early.
fn whole_seconds(wait: Duration) -> u64 {
    wait.as_secs() + u64::from(wait.subsec_nanos() > 0)
}
