//! Client for the calls to another VM, with a deadline on each call.

pub mod error;

use crate::generated::peer_capnp::vm_peer;
use crate::{message, quota};
use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use capnp::capability::FromClientHook;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use futures::AsyncReadExt;
use futures::future::{AbortHandle, abortable};
use snafu::ResultExt;
use socket2::SockRef;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Options of the calls to another VM.
#[derive(Clone, Copy, Debug)]
pub struct CallOptions {
    /// The longest that a connection attempt or a call may take.
    pub deadline: Duration,
    /// How long sent bytes may stay unacknowledged before the connection fails, `None` for the
    /// system's limit.
    pub user_timeout: Option<Duration>,
}

/// A connection to another VM; after any error the caller must drop it and open a new one.
pub struct PeerClient {
    client: vm_peer::Client,
    connection: PeerConnection,
}

/// The task that drives the RPC system of a connection, and the deadline of its calls.
pub(crate) struct PeerConnection {
    options: CallOptions,
    driver: AbortHandle,
    has_ended: Rc<Cell<bool>>,
}

impl Drop for PeerConnection {
    fn drop(&mut self) {
        // The task would otherwise keep a connection that went silent open forever.
        self.driver.abort();
    }
}

/// Connects to the VM at `address`.
///
/// # Errors
/// Fails if no connection can be opened within the deadline.
pub async fn connect(
    address: SocketAddr,
    options: CallOptions,
) -> Result<PeerClient, error::CallError> {
    let (client, connection) = PeerConnection::open(address, options).await?;
    Ok(PeerClient { client, connection })
}

impl PeerConnection {
    /// Connects to `address` and returns the RPC interface that is served there.
    pub(crate) async fn open<C: FromClientHook>(
        address: SocketAddr,
        options: CallOptions,
    ) -> Result<(C, Self), error::CallError> {
        let stream = timeout(options.deadline, TcpStream::connect(address))
            .await
            .map_err(|_| error::CallError::Deadline)?
            .context(error::ConnectSnafu { address })?;
        stream
            .set_nodelay(true)
            .context(error::ConnectSnafu { address })?;
        SockRef::from(&stream)
            .set_tcp_user_timeout(options.user_timeout)
            .context(error::ConnectSnafu { address })?;
        let (reader, writer) = stream.split();
        let network = twoparty::VatNetwork::new(
            reader,
            writer,
            rpc_twoparty_capnp::Side::Client,
            capnp::message::ReaderOptions::default(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
        let (system, driver) = abortable(system);
        let has_ended = Rc::new(Cell::new(false));
        let ended = Rc::clone(&has_ended);
        task::spawn_local(async move {
            let _ended = system.await;
            ended.set(true);
        });
        Ok((
            client,
            Self {
                options,
                driver,
                has_ended,
            },
        ))
    }

    /// Whether the connection has ended, as far as is known.
    pub(crate) fn has_ended(&self) -> bool {
        self.has_ended.get()
    }

    /// Waits for the response to a call, at most until the deadline.
    pub(crate) async fn with_deadline<T>(
        &self,
        response: impl Future<Output = capnp::Result<T>>,
    ) -> Result<T, error::CallError> {
        self.with_longer_deadline(Duration::ZERO, response).await
    }

    /// Waits for the response to a call that the callee holds back for up to `wait`.
    pub(crate) async fn with_longer_deadline<T>(
        &self,
        wait: Duration,
        response: impl Future<Output = capnp::Result<T>>,
    ) -> Result<T, error::CallError> {
        timeout(self.options.deadline + wait, response)
            .await
            .map_err(|_| error::CallError::Deadline)?
            .context(error::CallSnafu)
    }
}

impl PeerClient {
    /// Exchanges heartbeats.
    ///
    /// # Errors
    /// Fails if the call fails or no response arrives within the deadline.
    pub async fn beat(&self, beat: &message::VmBeat) -> Result<message::VmBeat, error::CallError> {
        let mut request = self.client.beat_request();
        message::write_beat(beat, request.get().init_beat()).context(error::CallSnafu)?;
        let response = self
            .connection
            .with_deadline(request.send().promise)
            .await?;
        let results = response.get().context(error::CallSnafu)?;
        let reader = results.get_beat().context(error::CallSnafu)?;
        message::read_beat(reader).context(error::CallSnafu)
    }

    /// Fetches the accepted configuration file if its revision is above the given one, else `None`.
    ///
    /// # Errors
    /// Fails if the call fails or no response arrives within the deadline.
    pub async fn config(
        &self,
        above: u64,
    ) -> Result<Option<message::ConfigText>, error::CallError> {
        let mut request = self.client.config_request();
        request.get().set_above(above);
        let response = self
            .connection
            .with_deadline(request.send().promise)
            .await?;
        let results = response.get().context(error::CallSnafu)?;
        let reader = results.get_config().context(error::CallSnafu)?;
        if reader.get_revision() <= above {
            return Ok(None);
        }
        let text = |field: capnp::Result<capnp::text::Reader<'_>>| -> capnp::Result<String> {
            Ok(field?.to_string()?)
        };
        Ok(Some(message::ConfigText {
            revision: reader.get_revision(),
            hash: text(reader.get_hash()).context(error::CallSnafu)?,
            write_id: text(reader.get_write_id()).context(error::CallSnafu)?,
            text: text(reader.get_text()).context(error::CallSnafu)?,
        }))
    }

    /// Sends quota messages.
    ///
    /// # Errors
    /// Fails if the call fails or no response arrives within the deadline; the messages may have
    /// arrived all the same.
    pub async fn quota(&self, batch: &quota::QuotaBatch) -> Result<(), error::CallError> {
        let mut request = self.client.quota_request();
        quota::write(batch, request.get()).context(error::CallSnafu)?;
        self.connection
            .with_deadline(request.send().promise)
            .await
            .map(|_| ())
    }

    /// Fetches a page of at most `limit` of the other VM's events.
    ///
    /// # Errors
    /// Fails if the call fails or no response arrives within the deadline.
    pub async fn events(
        &self,
        after: u64,
        limit: u32,
    ) -> Result<message::EventPage, error::CallError> {
        let mut request = self.client.events_request();
        request.get().set_after(after);
        request.get().set_most(limit);
        let response = self
            .connection
            .with_deadline(request.send().promise)
            .await?;
        let results = response.get().context(error::CallSnafu)?;
        let mut page = message::EventPage {
            next: results.get_next(),
            lost: results.get_lost(),
            ..message::EventPage::default()
        };
        for event in results.get_events().context(error::CallSnafu)? {
            let event = event.context(error::CallSnafu)?;
            page.events.push(
                event
                    .to_string()
                    .map_err(capnp::Error::from)
                    .context(error::CallSnafu)?,
            );
        }
        Ok(page)
    }
}
