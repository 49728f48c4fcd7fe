//! Prepares requests for targets and responses for callers.

use crate::front::handler::TIMEOUT_HEADER;
use crate::front::refusal::RefusalCause;
use async_std::future::timeout;
use dahliawood_wire::headers;
use http_types::headers::{CONTENT_TYPE, HOST, Headers};
use http_types::{Body, Method, Request, Response, Url};
use std::net::SocketAddr;
use std::time::Duration;

/// The largest request body that is buffered so that it can be sent again, in bytes.
const MAX_REPLAY_BYTES: usize = 64 * 1024;
/// Number of random bytes in a request id.
const REQUEST_ID_BYTES: usize = 16;
/// How long a body that is to be buffered may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A request for a target: its head, and its body until a streamed one has been sent.
pub struct OutgoingRequest {
    head: Request,
    request_id: String,
    body: OutgoingBody,
}

enum OutgoingBody {
    /// Buffered completely; can be sent any number of times.
    Buffered(Vec<u8>),
    /// Streamed from the caller; can be sent once.
    Streamed(Body),
    /// Was streamed; cannot be sent again.
    Consumed,
}

/// Prepares the request's headers, and buffers a short body.
///
/// # Errors
/// Fails if a body that is to be buffered does not arrive completely; no target was called then.
pub async fn prepare(
    mut request: Request,
    client: SocketAddr,
    is_idempotent: bool,
) -> Result<OutgoingRequest, RefusalCause> {
    let body = request.take_body();
    let is_short = body.len().is_some_and(|length| length <= MAX_REPLAY_BYTES);
    let request_id = hex::encode(rand::random::<[u8; REQUEST_ID_BYTES]>());
    let origin = headers::RequestOrigin {
        caller: client.ip(),
        request_id: &request_id,
    };
    headers::prepare_request(&mut request, &origin);
    request.remove_header(HOST);
    let body = match is_short || (is_idempotent && body.is_empty() == Some(true)) {
        false => OutgoingBody::Streamed(body),
        true => OutgoingBody::Buffered(read_body(body).await?),
    };
    Ok(OutgoingRequest {
        head: request,
        request_id,
        body,
    })
}

/// Reads a body completely.
async fn read_body(body: Body) -> Result<Vec<u8>, RefusalCause> {
    let read = timeout(BODY_TIMEOUT, body.into_bytes()).await;
    let read = read.map_err(|_| malformed("the request's body came too slowly"))?;
    read.map_err(|_| malformed("the request's body broke off"))
}

fn malformed(detail: &str) -> RefusalCause {
    RefusalCause::Malformed(detail.to_owned())
}

impl OutgoingRequest {
    /// The method of the request.
    pub fn method(&self) -> Method {
        self.head.method()
    }

    /// Whether the request can be sent (again): its body is buffered, or was not streamed yet.
    pub fn is_replayable(&self) -> bool {
        !matches!(self.body, OutgoingBody::Consumed)
    }

    /// The request for one attempt at `address`, with the remaining time as its timeout header. A
    /// streamed body is consumed by the first call.
    pub fn request(&mut self, address: SocketAddr, remaining: Duration) -> Request {
        if self.is_buffered() {
            return self.build_copy(address, remaining);
        }
        let mut request = self.head_copy(address, remaining);
        if let OutgoingBody::Streamed(body) =
            std::mem::replace(&mut self.body, OutgoingBody::Consumed)
        {
            set_request_body(&mut request, body);
        }
        request
    }

    /// Whether the body is buffered, so that any number of attempts can send it.
    pub fn is_buffered(&self) -> bool {
        matches!(self.body, OutgoingBody::Buffered(_))
    }

    /// A copy of the request for one of several attempts; it has a body only if the body is
    /// buffered.
    pub fn build_copy(&self, address: SocketAddr, remaining: Duration) -> Request {
        let mut request = self.head_copy(address, remaining);
        if let OutgoingBody::Buffered(bytes) = &self.body {
            set_request_body(&mut request, Body::from_bytes(bytes.clone()));
        }
        request
    }

    /// A copy of the request without its body.
    fn head_copy(&self, address: SocketAddr, remaining: Duration) -> Request {
        let mut request = Request::new(self.head.method(), self.url(address));
        for (name, values) in &self.head {
            for value in values {
                request.append_header(name, value.clone());
            }
        }
        let millis = remaining.as_millis();
        request.insert_header(TIMEOUT_HEADER, millis.to_string());
        request
    }

    /// Removes the headers that concern only the connection to the target, and adds the request id.
    pub fn clean_response(&self, response: &mut Response) {
        headers::prepare_response(response, &self.request_id);
    }

    /// The URL of the request at a target.
    fn url(&self, address: SocketAddr) -> Url {
        let mut url = self.head.url().clone();
        let _ = url.set_scheme("http");
        let _ = url.set_ip_host(address.ip());
        let _ = url.set_port(Some(address.port()));
        url
    }
}

/// Sets the body of a response without adding a content type that the target did not send.
pub fn set_body(response: &mut Response, body: Body) {
    preserve_content_type(response, |response| response.set_body(body));
}

/// Sets the body of a request without adding a content type that the caller did not send.
pub fn set_request_body(request: &mut Request, body: Body) {
    preserve_content_type(request, |request| request.set_body(body));
}

/// Sets a message's body without the content type that `http_types` would add.
fn preserve_content_type<M: AsMut<Headers>>(message: &mut M, set: impl FnOnce(&mut M)) {
    let had_type = message.as_mut().get(CONTENT_TYPE).is_some();
    set(message);
    if !had_type {
        message.as_mut().remove(CONTENT_TYPE);
    }
}
