//! Connections to other VMs, and the handlers of their calls.

use crate::control::vms::VmRecord;
use crate::control::{ControlState, followers, loads, parts, shares, sightings};
use async_std::net::TcpListener;
use dahliawood_model::FastMap;
use dahliawood_peer::client::CallOptions;
use dahliawood_peer::client::error::CallError;
use dahliawood_peer::gateway::client::{self, GatewayClient};
use dahliawood_peer::gateway::server::{self, GatewayHandlers};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Deadline of a call: a round trip between regions with some margin, so that a silent connection
/// is abandoned soon.
const CALL_DEADLINE: Duration = Duration::from_millis(400);

/// Connections to other VMs, kept between calls.
#[derive(Default)]
pub struct PeerTable {
    clients: RefCell<FastMap<SocketAddr, Rc<GatewayClient>>>,
}

impl PeerTable {
    /// Returns the connection to the VM at `address`, and opens one if there is none.
    ///
    /// # Errors
    /// Fails if the connection cannot be opened.
    pub async fn client(&self, address: SocketAddr) -> Result<Rc<GatewayClient>, CallError> {
        if let Some(known) = self.clients.borrow().get(&address) {
            return Ok(Rc::clone(known));
        }
        let options = CallOptions {
            deadline: CALL_DEADLINE,
            user_timeout: None,
        };
        let client = Rc::new(client::connect(address, options).await?);
        let mut clients = self.clients.borrow_mut();
        clients.insert(address, Rc::clone(&client));
        Ok(client)
    }

    /// Drops a connection on which a call failed.
    pub fn forget(&self, address: SocketAddr) {
        self.clients.borrow_mut().remove(&address);
    }

    /// Drops the connections to VMs that are no longer registered.
    pub fn retain(&self, vms: &[VmRecord]) {
        let is_known = |address: &SocketAddr| vms.iter().any(|vm| vm.peer == *address);
        self.clients
            .borrow_mut()
            .retain(|address, _| is_known(address));
    }
}

/// Serves the calls of other VMs until the listener fails.
pub async fn serve(state: Rc<ControlState>, listener: TcpListener) {
    let (share_state, keyspace_state) = (Rc::clone(&state), Rc::clone(&state));
    let (sighting_state, load_state) = (Rc::clone(&state), Rc::clone(&state));
    let part_state = Rc::clone(&state);
    let handlers = GatewayHandlers {
        shares: Box::new(move |report| shares::handle_report(&share_state, report)),
        sightings: Box::new(move |is_new, told| sightings::handle(&sighting_state, is_new, told)),
        loads: Box::new(move |request| loads::handle(&load_state, request)),
        keyspace: Box::new(move |above, takes_parts| {
            followers::snapshot(&keyspace_state, above, takes_parts)
        }),
        part: Box::new(move |request| parts::handle(&part_state, request)),
        changes: Box::new(move |request| Box::pin(followers::changes(Rc::clone(&state), request))),
    };
    if let Err(error) = server::serve(listener, Rc::new(handlers)).await {
        log::error!("the listener for calls of other VMs failed: {error}");
    }
}
