//! Connections to the VMs that serve requests for this one, and the calls on them.

use crate::state::SharedState;
use async_std::task;
use dahliawood_model::FastMap;
use dahliawood_peer::client::CallOptions;
use dahliawood_peer::client::error::CallError;
use dahliawood_peer::forward::client::{self, ForwardClient};
use dahliawood_peer::forward::message::{ForwardOutcome, ForwardedRequest};
use futures::channel::oneshot;
use futures::future::{self, Either};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Limit for opening a connection to another VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long bytes sent to another VM may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(700);
/// How recently a connection must have been heard from to be used for a request that must not run twice.
const RECENTLY_USED: Duration = Duration::from_millis(700);
/// How long a connection is kept without being used.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a call gave no outcome.
#[derive(Clone, Debug)]
pub enum ForwardFailure {
    /// The other VM was not reached: nothing was sent.
    NotSent(String),
    /// The call broke off: the request may have run.
    Lost(String),
}

/// A request to be forwarded.
#[derive(Debug)]
pub struct ForwardJob {
    /// Address of the VM to ask.
    pub address: SocketAddr,
    /// The request.
    pub request: ForwardedRequest,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Takes what became of the request; the request is cancelled when the receiver is dropped.
    pub reply: oneshot::Sender<Result<ForwardOutcome, ForwardFailure>>,
}

struct KeptClient {
    client: ForwardClient,
    heard_at: Cell<Instant>,
}

/// Connections to other VMs, kept between calls.
#[derive(Default)]
struct ClientTable {
    clients: RefCell<FastMap<SocketAddr, Rc<KeptClient>>>,
}

impl ClientTable {
    /// The kept connection to a VM, or a new one; `max_age` limits how long ago a kept one was heard
    /// from.
    async fn client(
        &self,
        address: SocketAddr,
        max_age: Duration,
    ) -> Result<Rc<KeptClient>, CallError> {
        let known = self.clients.borrow().get(&address).map(Rc::clone);
        let is_usable = |kept: &Rc<KeptClient>| {
            !kept.client.has_ended() && kept.heard_at.get().elapsed() < max_age
        };
        if let Some(kept) = known.filter(is_usable) {
            return Ok(kept);
        }
        let options = CallOptions {
            deadline: CONNECT_TIMEOUT,
            user_timeout: Some(USER_TIMEOUT),
        };
        let kept = Rc::new(KeptClient {
            client: client::connect(address, options).await?,
            heard_at: Cell::new(Instant::now()),
        });
        // Calls in progress on the former connection keep it until they end.
        self.clients.borrow_mut().insert(address, Rc::clone(&kept));
        Ok(kept)
    }

    /// Drops a connection on which a call failed.
    fn forget(&self, address: SocketAddr, failed: &Rc<KeptClient>) {
        let mut clients = self.clients.borrow_mut();
        if clients
            .get(&address)
            .is_some_and(|kept| Rc::ptr_eq(kept, failed))
        {
            clients.remove(&address);
        }
    }

    fn sweep(&self) {
        self.clients.borrow_mut().retain(|_, kept| {
            Rc::strong_count(kept) > 1 || kept.heard_at.get().elapsed() < IDLE_TIMEOUT
        });
    }
}

/// Forwards requests until the task is cancelled.
pub async fn run(state: SharedState) {
    let clients = Rc::new(ClientTable::default());
    while let Ok(job) = state.forward_jobs.1.recv().await {
        clients.sweep();
        task::spawn_local(perform(Rc::clone(&clients), job));
    }
}

async fn perform(clients: Rc<ClientTable>, mut job: ForwardJob) {
    let ended = {
        let call = pin!(exchange(
            &clients,
            job.address,
            &job.request,
            job.is_idempotent
        ));
        match future::select(call, pin!(job.reply.cancellation())).await {
            Either::Left((ended, _)) => ended,
            Either::Right(_) => return,
        }
    };
    // Nobody waits any more if the caller has left.
    let _unheard = job.reply.send(ended);
}

async fn exchange(
    clients: &ClientTable,
    address: SocketAddr,
    request: &ForwardedRequest,
    is_idempotent: bool,
) -> Result<ForwardOutcome, ForwardFailure> {
    let max_age = match is_idempotent {
        true => IDLE_TIMEOUT,
        false => RECENTLY_USED,
    };
    let kept = clients.client(address, max_age).await;
    let kept = kept.map_err(|error| ForwardFailure::NotSent(error.to_string()))?;
    match kept.client.forward(request).await {
        Ok(outcome) => {
            kept.heard_at.set(Instant::now());
            Ok(outcome)
        }
        Err(error) => {
            clients.forget(address, &kept);
            Err(ForwardFailure::Lost(error.to_string()))
        }
    }
}
