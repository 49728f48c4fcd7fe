//! Large answers that go on from another target where the first one breaks off.
//!
//! An answer can be resumed where its target gave a length and a strong validator: the rest is
//! asked for with `Range` and `If-Range`, and taken only where the answer is exactly that rest of
//! the same representation. Otherwise the body fails as it would without this module.

use crate::body;
use futures::future::BoxFuture;
use futures::io::AsyncRead;
use http_types::headers::{ACCEPT_RANGES, CONTENT_RANGE, ETAG, IF_RANGE};
use http_types::{Body, Method, Request, Response, StatusCode};
use std::io;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll, ready};

/// What of an answer is missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumeRange {
    /// The first missing byte.
    pub from: usize,
    /// Bytes of the whole representation.
    pub total: usize,
    /// Its strong validator.
    pub validator: String,
}

impl ResumeRange {
    /// Makes a request ask for the missing bytes only.
    pub fn ask(&self, request: &mut Request) {
        request.insert_header("range", format!("bytes={}-", self.from));
        request.insert_header(IF_RANGE, &*self.validator);
    }

    /// Whether an answer is exactly what is missing.
    fn is_answered_by(&self, response: &Response) -> bool {
        let expected = format!("bytes {}-{}/{}", self.from, self.total - 1, self.total);
        response.status() == StatusCode::PartialContent
            && header(response, &CONTENT_RANGE) == Some(&expected)
            && header(response, &ETAG) == Some(&self.validator)
            && response.len() == Some(self.total - self.from)
    }
}

/// Asks another target for what is missing; `None` where none can be asked.
pub type ResumeCall =
    Box<dyn Fn(ResumeRange) -> BoxFuture<'static, Option<Response>> + Send + Sync>;

/// Makes the body of an answer to `method` go on from where it breaks off, `most` times at most.
///
/// `request_ranged` says whether the caller itself asked for a range; such an answer, and one that
/// cannot be resumed, is returned as it is. `again` is where a retry budget is spent.
pub fn resumed(
    mut response: Response,
    method: Method,
    request_ranged: bool,
    most: u32,
    again: ResumeCall,
) -> Response {
    let Some(range) = whole_range(&response).filter(|_| method == Method::Get && !request_ranged)
    else {
        return response;
    };
    let total = range.total;
    body::replace(&mut response, |response| {
        let reader = ResumedReader {
            state: ResumeState::Reading(response.take_body()),
            range,
            left: most,
            again,
        };
        response.set_body(body::buffered(reader, Some(total)));
    });
    response
}

/// All of an answer that can be resumed.
fn whole_range(response: &Response) -> Option<ResumeRange> {
    let validator = header(response, &ETAG)?;
    let strong = validator.starts_with('"') && validator.ends_with('"') && validator.len() > 1;
    let refused = header(response, &ACCEPT_RANGES) == Some("none");
    if response.status() != StatusCode::Ok || !strong || refused {
        return None;
    }
    Some(ResumeRange {
        from: 0,
        total: response.len().filter(|total| *total > 0)?,
        validator: validator.to_owned(),
    })
}

fn header<'a>(response: &'a Response, name: &http_types::headers::HeaderName) -> Option<&'a str> {
    response.header(name).map(|values| values.as_str())
}

enum ResumeState {
    Reading(Body),
    /// The error is reported where nobody can go on.
    Asking(Mutex<BoxFuture<'static, Option<Response>>>, io::ErrorKind),
}

struct ResumedReader {
    state: ResumeState,
    range: ResumeRange,
    left: u32,
    again: ResumeCall,
}

impl AsyncRead for ResumedReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        loop {
            match &mut this.state {
                ResumeState::Reading(body) => {
                    match ready!(Pin::new(body).poll_read(context, output)) {
                        Ok(count) => {
                            this.range.from += count;
                            return Poll::Ready(Ok(count));
                        }
                        Err(error) if this.left == 0 => return Poll::Ready(Err(error)),
                        Err(error) => this.ask(error.kind()),
                    }
                }
                ResumeState::Asking(asked, error) => {
                    let error = *error;
                    let asked = asked.get_mut().map_err(|_| io::Error::from(error))?;
                    let answer = ready!(asked.as_mut().poll(context));
                    match answer.filter(|answer| this.range.is_answered_by(answer)) {
                        Some(mut answer) => this.state = ResumeState::Reading(answer.take_body()),
                        None if this.left == 0 => return Poll::Ready(Err(error.into())),
                        None => this.ask(error),
                    }
                }
            }
        }
    }
}

impl ResumedReader {
    fn ask(&mut self, error: io::ErrorKind) {
        self.left -= 1;
        let asked = (self.again)(self.range.clone());
        self.state = ResumeState::Asking(Mutex::new(asked), error);
    }
}
