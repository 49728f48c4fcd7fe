//! RPC server for the calls of other gateways; dispatches each call to a closure.

use crate::gateway::message::{self, KeyspaceSnapshot, ShareReport, ShareResponse};
use crate::generated::peer_capnp::gateway_peer;
use async_std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// The handler of each call.
pub struct GatewayHandlers {
    /// Receives a VM's report and returns its shares.
    pub shares: Box<dyn Fn(&ShareReport) -> ShareResponse>,
    /// Returns all known keys, without the values of keys last written at or below a revision.
    pub keyspace: Box<dyn Fn(u64) -> KeyspaceSnapshot>,
}

impl gateway_peer::Server for GatewayHandlers {
    async fn shares(
        self: Rc<Self>,
        params: gateway_peer::SharesParams,
        mut results: gateway_peer::SharesResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let report = ShareReport {
            from: params.get_from()?.to_string()?,
            incarnation: params.get_life(),
            age: Duration::from_millis(params.get_age_ms().into()),
            is_leaving: params.get_is_leaving(),
            entries: message::read_needs(params.get_entries()?)?,
        };
        let response = (self.shares)(&report);
        let count = message::list_length(response.entries.len())?;
        let mut builder = results.get();
        builder.set_is_head(response.is_coordinator);
        builder.set_life(response.incarnation);
        message::write_shares(&response.entries, builder.init_entries(count));
        Ok(())
    }

    async fn space(
        self: Rc<Self>,
        params: gateway_peer::SpaceParams,
        mut results: gateway_peer::SpaceResults,
    ) -> capnp::Result<()> {
        let response = (self.keyspace)(params.get()?.get_above());
        let count = message::list_length(response.keys.len())?;
        let mut builder = results.get();
        builder.set_revision(response.revision);
        builder.set_is_settled(response.is_settled);
        message::write_keys(&response.keys, builder.init_keys(count));
        Ok(())
    }
}

/// Serves calls on `listener` until accepting fails; runs on the current thread.
///
/// # Errors
/// Returns the error of the listener.
pub async fn serve(listener: TcpListener, handlers: Rc<GatewayHandlers>) -> std::io::Result<()> {
    let client: gateway_peer::Client = capnp_rpc::new_client_from_rc(handlers);
    crate::server::accept(listener, client.client).await
}
