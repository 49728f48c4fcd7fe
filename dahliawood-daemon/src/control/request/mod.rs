//! Requests from other threads to the control thread.

use crate::control::{ControlState, members};
use async_std::channel::{Receiver, Sender};
use async_std::task;
use dahliawood_peer::{client, message};
use futures::channel::oneshot;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// The deadline for a call to another VM.
const CALL_DEADLINE: Duration = Duration::from_secs(2);

/// A request with the sender for its reply.
pub enum ControlRequest {
    /// The members of the fleet.
    Members(oneshot::Sender<Vec<members::VmMember>>),
    /// A page of a VM's events.
    Events(EventRequest),
}

/// A page of events, or the reason why there is none.
pub type EventResult = Result<message::EventPage, String>;

/// A request for a page of a VM's events.
pub struct EventRequest {
    /// The name of the VM.
    pub vm: String,
    /// The position after which the page begins.
    pub after: u64,
    /// The maximum number of events.
    pub max_events: u32,
    /// Sends the reply.
    pub reply: oneshot::Sender<EventResult>,
}

/// Error: the control thread has ended.
#[derive(Clone, Copy, Debug, derive_more::Display)]
#[display("the daemon is ending")]
pub struct ControlStopped;

impl std::error::Error for ControlStopped {}

/// Sends a request to the control thread and waits for the reply.
///
/// # Errors
/// Fails if the thread has ended.
pub async fn call<T>(
    control: &Sender<ControlRequest>,
    request: impl FnOnce(oneshot::Sender<T>) -> ControlRequest,
) -> Result<T, ControlStopped> {
    let (sender, receiver) = oneshot::channel();
    control
        .send(request(sender))
        .await
        .map_err(|_| ControlStopped)?;
    receiver.await.map_err(|_| ControlStopped)
}

/// Answers requests until the channel closes.
pub async fn run(state: Rc<RefCell<ControlState>>, requests: Receiver<ControlRequest>) {
    while let Ok(request) = requests.recv().await {
        match request {
            ControlRequest::Members(reply) => {
                let members = state.borrow().members.members().to_vec();
                // The requester may have gone.
                let _unsent = reply.send(members);
            }
            ControlRequest::Events(request) => {
                task::spawn_local(events(Rc::clone(&state), request));
            }
        }
    }
}

/// Answers a request for events; calls the VM that has them if that is another one.
async fn events(state: Rc<RefCell<ControlState>>, request: EventRequest) {
    let page = page(&state, &request).await;
    let _unsent = request.reply.send(page);
}

async fn page(state: &Rc<RefCell<ControlState>>, request: &EventRequest) -> EventResult {
    if request.vm == state.borrow().shared.settings.name {
        return Ok(super::event_page(
            &state.borrow(),
            request.after,
            request.max_events,
        ));
    }
    let member = state.borrow().members.find(&request.vm).cloned();
    let member = member.ok_or_else(|| format!("no VM is called {:?}", request.vm))?;
    let options = client::CallOptions {
        deadline: CALL_DEADLINE,
        user_timeout: None,
    };
    let failed = |error: client::error::CallError| format!("{}: {error}", request.vm);
    let peer = client::connect(member.peer, options)
        .await
        .map_err(failed)?;
    peer.events(request.after, request.max_events)
        .await
        .map_err(failed)
}
