//! Connections to other VMs: one per VM, shared by all tasks that call it.

use async_std::task;
use dahliawood_model::FastMap;
use dahliawood_peer::client;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The deadline for a call to another VM.
const CALL_DEADLINE: Duration = Duration::from_secs(1);
/// The pause after a failed connection attempt, during which other callers of the address wait too.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// The connections by peer address.
#[derive(Clone, Default)]
pub struct PeerTable {
    handles: Rc<RefCell<FastMap<SocketAddr, Rc<PeerHandle>>>>,
}

#[derive(Default)]
struct PeerHandle {
    connection: async_std::sync::Mutex<Option<Rc<client::PeerClient>>>,
}

impl PeerTable {
    /// Returns the connection to the VM at `address`, and connects if there is none.
    ///
    /// # Errors
    /// Fails if no connection can be made within the deadline.
    pub async fn connection(
        &self,
        address: SocketAddr,
    ) -> Result<Rc<client::PeerClient>, client::error::CallError> {
        let handle = Rc::clone(self.handles.borrow_mut().entry(address).or_default());
        let mut connection = handle.connection.lock().await;
        if let Some(connection) = connection.as_ref() {
            return Ok(Rc::clone(connection));
        }
        let options = client::CallOptions {
            deadline: CALL_DEADLINE,
            user_timeout: None,
        };
        match client::connect(address, options).await {
            Ok(made) => Ok(Rc::clone(connection.insert(Rc::new(made)))),
            Err(error) => {
                task::sleep(RECONNECT_PAUSE).await;
                Err(error)
            }
        }
    }

    /// Removes a failed connection, so that the next call makes a new one.
    pub fn forget(&self, address: SocketAddr, failed: &Rc<client::PeerClient>) {
        let handle = self.handles.borrow().get(&address).cloned();
        let Some(handle) = handle else { return };
        if let Some(mut connection) = handle.connection.try_lock()
            && connection
                .as_ref()
                .is_some_and(|known| Rc::ptr_eq(known, failed))
        {
            *connection = None;
        }
    }

    /// Drops the connections to addresses that no longer belong to members.
    pub fn retain(&self, is_member: impl Fn(SocketAddr) -> bool) {
        self.handles
            .borrow_mut()
            .retain(|address, _| is_member(*address));
    }
}
