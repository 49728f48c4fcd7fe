//! Client for forwarding requests to another VM.

use crate::client::error::{CallError, CallSnafu};
use crate::client::{CallOptions, PeerConnection};
use crate::forward::message::{self, ForwardOutcome, ForwardedRequest};
use crate::generated::peer_capnp::request_forwarder;
use snafu::ResultExt;
use std::net::SocketAddr;

/// A connection to another VM; after any error the caller must drop it and open a new one.
pub struct ForwardClient {
    client: request_forwarder::Client,
    connection: PeerConnection,
}

/// Connects to the VM at `address`.
///
/// # Errors
/// Fails if no connection can be opened within the deadline. Nothing has been sent.
pub async fn connect(
    address: SocketAddr,
    options: CallOptions,
) -> Result<ForwardClient, CallError> {
    let (client, connection) = PeerConnection::open(address, options).await?;
    Ok(ForwardClient { client, connection })
}

impl ForwardClient {
    /// Whether the connection has ended, as far as is known.
    pub fn has_ended(&self) -> bool {
        self.connection.has_ended()
    }

    /// Forwards a request and returns what became of it. Dropping the future cancels the request.
    ///
    /// # Errors
    /// Fails if the call fails or no outcome arrives in the time that is left; the request may have
    /// run.
    pub async fn forward(&self, request: &ForwardedRequest) -> Result<ForwardOutcome, CallError> {
        let mut call = self.client.forward_request();
        message::write_request(request, call.get().init_request()).context(CallSnafu)?;
        let response = self
            .connection
            .with_longer_deadline(request.left, call.send().promise)
            .await?;
        let results = response.get().context(CallSnafu)?;
        let outcome = results.get_outcome().context(CallSnafu)?;
        message::read_outcome(outcome).context(CallSnafu)
    }
}
