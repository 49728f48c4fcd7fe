//! RPC server for requests that other VMs forward; dispatches each to a closure.

use crate::forward::message::{self, ForwardOutcome, ForwardedRequest};
use crate::generated::peer_capnp::request_forwarder;
use crate::server::drain::ServerDrain;
use async_std::net::TcpListener;
use futures::future::LocalBoxFuture;
use std::rc::Rc;

/// The handler of forwarded requests.
pub struct ForwardHandler {
    /// Sends a request to a target and returns what became of it. The future is dropped when the
    /// caller cancels the request or its connection ends.
    pub forward: Box<dyn Fn(ForwardedRequest) -> LocalBoxFuture<'static, ForwardOutcome>>,
}

impl request_forwarder::Server for ForwardHandler {
    async fn forward(
        self: Rc<Self>,
        params: request_forwarder::ForwardParams,
        mut results: request_forwarder::ForwardResults,
    ) -> capnp::Result<()> {
        let request = message::read_request(params.get()?.get_request()?)?;
        let outcome = (self.forward)(request).await;
        message::write_outcome(&outcome, results.get().init_outcome())
    }
}

/// Serves calls on `listener` until accepting fails; runs on the current thread. `drain` ends the
/// connections.
///
/// # Errors
/// Returns the error of the listener.
pub async fn serve(
    listener: TcpListener,
    handler: Rc<ForwardHandler>,
    drain: &ServerDrain,
) -> std::io::Result<()> {
    let client: request_forwarder::Client = capnp_rpc::new_client_from_rc(handler);
    crate::server::accept(listener, client.client, drain).await
}
