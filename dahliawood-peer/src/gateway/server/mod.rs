//! RPC server for the calls of other gateways; dispatches each call to a closure.

use crate::gateway::loads::{LoadsRequest, LoadsResponse};
use crate::gateway::message::{
    self, ChangesRequest, ChangesResponse, KeyspaceSnapshot, PartRequest, ShareReport,
    ShareResponse, SightingMessage, ValuePart,
};
use crate::generated::peer_capnp::gateway_peer;
use crate::server::drain::ServerDrain;
use async_std::net::TcpListener;
use futures::future::LocalBoxFuture;
use std::rc::Rc;
use std::time::Duration;

/// Takes whether the caller has just started, and what it tells; returns what the callee tells.
pub type SightingHandler = dyn Fn(bool, &[SightingMessage]) -> Vec<SightingMessage>;

/// The handler of each call.
pub struct GatewayHandlers {
    /// Receives a VM's report and returns its shares.
    pub shares: Box<dyn Fn(&ShareReport) -> ShareResponse>,
    /// Returns all known keys, without the values of keys last written at or below a revision, and
    /// without long ones if the caller takes parts.
    pub keyspace: Box<dyn Fn(u64, bool) -> KeyspaceSnapshot>,
    /// Returns a part of a long value.
    pub part: Box<dyn Fn(&PartRequest) -> ValuePart>,
    /// Waits for news: changes after a revision, or a later date of the copy.
    pub changes: Box<dyn Fn(ChangesRequest) -> LocalBoxFuture<'static, ChangesResponse>>,
    /// Takes what the caller, which may be new, has seen, and returns what this VM has.
    pub sightings: Box<SightingHandler>,
    /// Takes the loads that the caller has seen, and returns what this VM has learned.
    pub loads: Box<dyn Fn(&LoadsRequest) -> LoadsResponse>,
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
            wants_table: params.get_wants_table(),
            has_table: params.get_has_table(),
            has_absent: params.get_has_absent(),
        };
        let response = (self.shares)(&report);
        let count = message::list_length(response.entries.len())?;
        let mut builder = results.get();
        builder.set_is_head(response.is_coordinator);
        builder.set_life(response.incarnation);
        message::write_shares(&response.entries, builder.reborrow().init_entries(count));
        if let Some(table) = &response.table {
            let count = message::list_length(table.len())?;
            builder.set_has_table(true);
            message::write_shares(table, builder.init_table(count));
        }
        Ok(())
    }

    async fn space(
        self: Rc<Self>,
        params: gateway_peer::SpaceParams,
        mut results: gateway_peer::SpaceResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let response = (self.keyspace)(params.get_above(), params.get_takes_parts());
        let count = message::list_length(response.keys.len())?;
        let mut builder = results.get();
        builder.set_revision(response.revision);
        builder.set_is_settled(response.is_settled);
        if let Some(date) = response.date {
            builder.set_is_dated(true);
            builder.set_date_offset_ms(date.offset_millis);
            builder.set_date_stamp(date.stamp);
        }
        message::write_answers(response.answers, builder.reborrow().init_answers());
        message::write_keys(&response.keys, builder.init_keys(count));
        Ok(())
    }

    async fn changes(
        self: Rc<Self>,
        params: gateway_peer::ChangesParams,
        mut results: gateway_peer::ChangesResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let known_stamp = params.get_known_stamp();
        let request = ChangesRequest {
            after: params.get_after(),
            wait: Duration::from_millis(params.get_wait_ms().into()),
            known_stamp: (known_stamp > 0).then_some(known_stamp),
            takes_parts: params.get_takes_parts(),
        };
        let response = (self.changes)(request).await;
        let mut builder = results.get();
        builder.set_is_current(response != ChangesResponse::NotCurrent);
        builder.set_is_too_old(response == ChangesResponse::TooOld);
        if let ChangesResponse::Changes(known) = response {
            let settles_in = u32::try_from(known.settles_in.as_millis());
            builder.set_revision(known.revision);
            builder.set_settles_in_ms(settles_in.unwrap_or(u32::MAX));
            if let Some(date) = known.date {
                builder.set_is_dated(true);
                builder.set_date_offset_ms(date.offset_millis);
                builder.set_date_stamp(date.stamp);
            }
            message::write_answers(known.answers, builder.reborrow().init_answers());
            let count = message::list_length(known.changes.len())?;
            message::write_changes(&known.changes, builder.init_changes(count));
        }
        Ok(())
    }

    async fn part(
        self: Rc<Self>,
        params: gateway_peer::PartParams,
        mut results: gateway_peer::PartResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let request = PartRequest {
            key: params.get_key()?.to_string()?,
            revision: params.get_revision(),
            offset: params.get_offset(),
            most: params.get_most(),
        };
        let part = (self.part)(&request);
        let mut builder = results.get();
        builder.set_length(part.length);
        builder.set_data(&part.data);
        Ok(())
    }

    async fn sightings(
        self: Rc<Self>,
        params: gateway_peer::SightingsParams,
        mut results: gateway_peer::SightingsResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let told = message::read_sightings(params.get_entries()?)?;
        let known = (self.sightings)(params.get_is_new(), &told);
        let count = message::list_length(known.len())?;
        message::write_sightings(&known, results.get().init_entries(count));
        Ok(())
    }

    async fn loads(
        self: Rc<Self>,
        params: gateway_peer::LoadsParams,
        mut results: gateway_peer::LoadsResults,
    ) -> capnp::Result<()> {
        let request = LoadsRequest::read(params.get()?)?;
        let response = (self.loads)(&request);
        response.write(results.get())
    }
}

/// Serves calls on `listener` until accepting fails; runs on the current thread.
///
/// # Errors
/// Returns the error of the listener.
pub async fn serve(listener: TcpListener, handlers: Rc<GatewayHandlers>) -> std::io::Result<()> {
    let client: gateway_peer::Client = capnp_rpc::new_client_from_rc(handlers);
    crate::server::accept(listener, client.client, &ServerDrain::default()).await
}
