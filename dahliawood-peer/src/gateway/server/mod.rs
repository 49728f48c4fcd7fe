//! Answers other gateways' calls through closures.

use crate::gateway::message::{self, ShareAnswer, ShareReport, SpaceAnswer};
use crate::generated::peer_capnp::gateway_peer;
use async_std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// What answers each call.
pub struct GatewayHandlers {
    /// Takes a VM's report and answers with its shares.
    pub shares: Box<dyn Fn(&ShareReport) -> ShareAnswer>,
    /// All keys that are known, without the values up to a revision.
    pub space: Box<dyn Fn(u64) -> SpaceAnswer>,
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
            life: params.get_life(),
            age: Duration::from_millis(params.get_age_ms().into()),
            is_leaving: params.get_is_leaving(),
            entries: message::read_needs(params.get_entries()?)?,
        };
        let answer = (self.shares)(&report);
        let count = message::length(answer.entries.len())?;
        let mut builder = results.get();
        builder.set_is_head(answer.is_head);
        builder.set_life(answer.life);
        message::write_shares(&answer.entries, builder.init_entries(count));
        Ok(())
    }

    async fn space(
        self: Rc<Self>,
        params: gateway_peer::SpaceParams,
        mut results: gateway_peer::SpaceResults,
    ) -> capnp::Result<()> {
        let answer = (self.space)(params.get()?.get_above());
        let count = message::length(answer.keys.len())?;
        let mut builder = results.get();
        builder.set_revision(answer.revision);
        builder.set_is_settled(answer.is_settled);
        message::write_keys(&answer.keys, builder.init_keys(count));
        Ok(())
    }
}

/// Serves calls on `listener` until it fails; runs on the current thread.
///
/// # Errors
/// Returns the error that ended the listener.
pub async fn serve(listener: TcpListener, handlers: Rc<GatewayHandlers>) -> std::io::Result<()> {
    let client: gateway_peer::Client = capnp_rpc::new_client_from_rc(handlers);
    crate::server::accept(listener, client.client).await
}
