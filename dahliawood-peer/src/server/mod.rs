//! RPC server for the calls of other VMs; dispatches each call to a closure.

pub mod drain;

use crate::generated::peer_capnp::vm_peer;
use crate::{message, quota};
use async_std::net::TcpListener;
use async_std::task;
use drain::ServerDrain;
use std::rc::Rc;
use std::time::Duration;

/// The handler of each call.
pub struct PeerHandlers {
    /// Receives the caller's heartbeat and returns the callee's own.
    pub beat: Box<dyn Fn(message::VmBeat) -> message::VmBeat>,
    /// Returns the accepted configuration file if its revision is above the given one.
    pub config: Box<dyn Fn(u64) -> Option<message::ConfigText>>,
    /// Receives quota messages.
    pub quota: Box<dyn Fn(quota::QuotaBatch)>,
    /// Returns a page of events after a position, with at most the given number of entries.
    pub events: Box<dyn Fn(u64, u32) -> message::EventPage>,
}

impl vm_peer::Server for PeerHandlers {
    async fn beat(
        self: Rc<Self>,
        params: vm_peer::BeatParams,
        mut results: vm_peer::BeatResults,
    ) -> capnp::Result<()> {
        let beat = message::read_beat(params.get()?.get_beat()?)?;
        let response = (self.beat)(beat);
        message::write_beat(&response, results.get().init_beat())
    }

    async fn config(
        self: Rc<Self>,
        params: vm_peer::ConfigParams,
        mut results: vm_peer::ConfigResults,
    ) -> capnp::Result<()> {
        let text = (self.config)(params.get()?.get_above()).unwrap_or_default();
        let mut builder = results.get().init_config();
        builder.set_revision(text.revision);
        builder.set_hash(&text.hash);
        builder.set_write_id(&text.write_id);
        builder.set_text(&text.text);
        Ok(())
    }

    async fn quota(
        self: Rc<Self>,
        params: vm_peer::QuotaParams,
        _results: vm_peer::QuotaResults,
    ) -> capnp::Result<()> {
        (self.quota)(quota::read(params.get()?)?);
        Ok(())
    }

    async fn events(
        self: Rc<Self>,
        params: vm_peer::EventsParams,
        mut results: vm_peer::EventsResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let page = (self.events)(params.get_after(), params.get_most());
        let mut builder = results.get();
        builder.set_next(page.next);
        builder.set_lost(page.lost);
        let mut list = builder.init_events(page.events.len() as u32);
        for (index, event) in page.events.iter().enumerate() {
            list.set(index as u32, event);
        }
        Ok(())
    }
}

/// Serves calls on `listener` until accepting fails; runs on the current thread.
///
/// # Errors
/// Returns the error of the listener.
pub async fn serve(listener: TcpListener, handlers: Rc<PeerHandlers>) -> std::io::Result<()> {
    let client: vm_peer::Client = capnp_rpc::new_client_from_rc(handlers);
    accept(listener, client.client, &ServerDrain::default()).await
}

/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until the task is cancelled; all connections share one RPC interface. An error of one
/// accept does not end it, as the VM would take no more calls until its restart.
pub(crate) async fn accept(
    listener: TcpListener,
    client: capnp::capability::Client,
    drain: &ServerDrain,
) -> std::io::Result<()> {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn_local(drain::connection(stream, client.clone(), drain.clone()));
            }
            Err(error) => {
                log::warn!("cannot accept a connection of another VM: {error}");
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
