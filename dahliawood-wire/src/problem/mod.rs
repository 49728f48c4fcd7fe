//! Refusals and failures as RFC 9457 problem documents.

use dahliawood_fate::verdict;
use http_types::headers::{CACHE_CONTROL, RETRY_AFTER};
use http_types::{Body, Response, StatusCode};
use std::time::Duration;

/// Media type of a problem document.
pub const MEDIA_TYPE: &str = "application/problem+json";
/// What a problem's name is appended to.
pub const TYPE_PREFIX: &str = "urn:dahliawood:problem:";

/// One refusal or failure, as its caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProblemDocument {
    /// Name of the kind of problem, in lower case with hyphens; never changes its meaning.
    pub name: &'static str,
    /// HTTP status.
    pub status: StatusCode,
    /// What the kind of problem is.
    pub title: &'static str,
    /// What happened this time.
    pub detail: String,
    /// Whether the request may have run.
    pub ran: verdict::RunVerdict,
    /// When it makes sense to try again.
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
    /// The answer that carries it.
    ///
    /// # Panics
    /// Never: its fields serialise.
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

/// Whole seconds, rounded up: a caller that waits them does not come too early.
fn whole_seconds(wait: Duration) -> u64 {
    wait.as_secs() + u64::from(wait.subsec_nanos() > 0)
}
