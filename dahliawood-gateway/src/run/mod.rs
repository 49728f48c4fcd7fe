//! Starts a gateway, and shuts it down gracefully or at once.

pub mod error;

use crate::codec::PlatformCodec;
use crate::forward::waiting;
use crate::front::connection::{self, CallerRequest, RequestHandler};
use crate::front::refusal::FrontResponse;
use crate::front::{handler, listen};
use crate::metrics::GatewayMetrics;
use crate::peer_forward::{incoming, outgoing};
use crate::settings::GatewaySettings;
use crate::state::{GatewayState, SharedState};
use crate::structured_log::EventClass;
use crate::{clock, control, directory, reach, supervise};
use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::TcpListener;
use async_std::task;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_quota::allocation::REPORT_INTERVAL;
use dahliawood_store::keyspace::call::KeyspaceClient;
use dahliawood_wire::raw::head::RequestHead;
use error::{BindSnafu, MetricsSnafu, StartError, ThreadSnafu};
use serde::Serialize;
use snafu::ResultExt;
use std::future::ready;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// How often the shutdown checks whether all requests in flight and all connections have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a VM that shuts down still accepts connections, for callers that hold an earlier
/// look-up answer. After that it accepts none, so that requests already accepted end within the
/// limit.
const LOOKUP_DRAIN_TIME: Duration = Duration::from_millis(2_200);

/// A running gateway; requests are served on the thread that started it.
pub struct GatewayHandle {
    /// The state that the gateway's threads share.
    pub state: SharedState,
    listeners: Vec<task::JoinHandle<()>>,
    /// Ends the listeners when it is closed.
    stop_listening: Sender<()>,
    /// Accepts the connections on which other VMs forward requests.
    forward_listener: task::JoinHandle<()>,
    /// Tasks that requests in flight depend on.
    background: Vec<task::JoinHandle<()>>,
    control: thread::JoinHandle<()>,
    stop: Sender<()>,
}

/// Log event for the start and the end of the process.
#[derive(Serialize)]
struct LifecycleEvent<'a> {
    vm: &'a str,
    domain: &'a str,
    in_flight: i64,
}

/// Starts a gateway; a port of 0 selects a free one. Must be called inside `task::block_on`, whose
/// thread then serves the requests (the traffic thread).
///
/// # Errors
/// Fails if a metric cannot be registered, an address cannot be bound or the control thread cannot
/// be started.
pub async fn start(
    settings: GatewaySettings,
    codec: PlatformCodec,
    store: KeyspaceClient,
) -> Result<GatewayHandle, StartError> {
    let metrics = GatewayMetrics::new().context(MetricsSnafu)?;
    let mut settings = settings;
    let front_listener = bind(&mut settings.front).await?;
    let ready_listener = bind(&mut settings.ready).await?;
    let directory_listener = bind(&mut settings.directory).await?;
    let metrics_listener = bind(&mut settings.metrics).await?;
    let peer_listener = bind(&mut settings.peer).await?;
    let forward_listener = bind(&mut settings.forward).await?;
    let state: SharedState = Arc::new(GatewayState::new(settings, codec, metrics));
    let local_call = |request, state: SharedState| ready(directory::respond(&state, &request));
    let metrics_text = |request, state: SharedState| ready(directory::metrics(&state, &request));
    let request_handler = |request, state| handler::handle(state, request);
    let (stop_listening, stopped_listening) = bounded(1);
    let listeners = vec![
        serve(
            &state,
            (front_listener, &stopped_listening),
            request_handler,
        ),
        serve(&state, (ready_listener, &stopped_listening), local_call),
        serve(&state, (directory_listener, &stopped_listening), local_call),
        serve(&state, (metrics_listener, &stopped_listening), metrics_text),
    ];
    let forward_listener = task::spawn_local(incoming::serve(Arc::clone(&state), forward_listener));
    let background = vec![
        spawn_supervised(&state, "outgoing", outgoing::run),
        spawn_supervised(&state, "reach", reach::run),
        spawn_supervised(&state, "waiting", waiting::run),
    ];
    let (stop, stopped) = bounded(1);
    let control = control::start(control::ControlOptions {
        shared: Arc::clone(&state),
        store,
        peer_listener,
        stop: stopped,
    });
    let control = control.context(ThreadSnafu)?;
    log_lifecycle(&state, "start");
    Ok(GatewayHandle {
        state,
        listeners,
        stop_listening,
        forward_listener,
        background,
        control,
        stop,
    })
}

/// Binds an address, and replaces port 0 in it by the port that was bound.
async fn bind(address: &mut SocketAddr) -> Result<TcpListener, StartError> {
    let requested = *address;
    let bound = TcpListener::bind(requested).await;
    let listener = bound.context(BindSnafu { address: requested })?;
    *address = listener
        .local_addr()
        .context(BindSnafu { address: requested })?;
    Ok(listener)
}

/// Spawns a task that answers the requests of a listener's connections.
fn serve<F, A>(
    state: &SharedState,
    (listener, stopped): (TcpListener, &Receiver<()>),
    respond: A,
) -> task::JoinHandle<()>
where
    F: Future<Output = FrontResponse> + 'static,
    A: Fn(CallerRequest, SharedState) -> F + Copy + 'static,
{
    let state = Arc::clone(state);
    task::spawn_local(listen(listener, stopped.clone(), move |stream| {
        let shared = Arc::clone(&state);
        let overlapped = Arc::clone(&state);
        let handler = RequestHandler {
            respond: move |request| respond(request, Arc::clone(&shared)),
            may_overlap: move |head: &RequestHead| handler::may_overlap(&overlapped, head),
        };
        connection::serve(Arc::clone(&state), stream, handler)
    }))
}

fn spawn_supervised<F: Future<Output = ()> + 'static>(
    state: &SharedState,
    name: &'static str,
    start: impl Fn(SharedState) -> F + 'static,
) -> task::JoinHandle<()> {
    let state = Arc::clone(state);
    let start = move || start(Arc::clone(&state));
    task::spawn_local(supervise::run(name, start))
}

fn log_lifecycle(state: &GatewayState, event: &str) {
    state
        .log
        .write(EventClass::State, event, || LifecycleEvent {
            vm: &state.settings.name,
            domain: &state.settings.domain,
            in_flight: state.metrics.in_flight.get(),
        });
}

impl GatewayHandle {
    /// Shuts down gracefully: removes this VM from look-up answers, and waits for requests in
    /// flight up to the limit of the settings.
    pub async fn shutdown(self) {
        self.state.start_shutdown();
        log_lifecycle(&self.state, "leaving");
        let limit = self.state.ends_at().unwrap_or_else(clock::now);
        task::sleep(LOOKUP_DRAIN_TIME).await;
        let Self {
            state,
            listeners,
            stop_listening,
            forward_listener,
            background,
            control,
            stop,
        } = self;
        stop_listening.close();
        futures::future::join_all(listeners).await;
        state.stop_accepting();
        state.waiting.close(clock::now());
        // Meanwhile the next report returns this VM's allocations to the coordinator.
        task::sleep(REPORT_INTERVAL).await;
        wait_until(limit, || {
            let connections = state.connections.load(Ordering::Relaxed);
            connections == 0 && state.metrics.in_flight.get() == 0
        })
        .await;
        // VMs that come now are told that nothing was sent, and ask others.
        forward_listener.cancel().await;
        state.forward_drain.start();
        wait_until(limit, || state.forward_drain.open() == 0).await;
        // Leaves time for the last written bytes to be sent.
        task::sleep(DRAIN_POLL_INTERVAL).await;
        log_lifecycle(&state, "stop");
        cancel(background).await;
        stop.close();
        join_control(control);
    }

    /// Stops at once; requests in flight are aborted.
    pub async fn abort(self) {
        cancel(self.listeners).await;
        self.forward_listener.cancel().await;
        cancel(self.background).await;
        self.stop.close();
        join_control(self.control);
    }
}

/// Waits until a condition holds, at most until `limit`.
async fn wait_until(limit: TimeStamp, holds: impl Fn() -> bool) {
    while clock::now() < limit && !holds() {
        task::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

async fn cancel(tasks: Vec<task::JoinHandle<()>>) {
    for task in tasks {
        task.cancel().await;
    }
}

fn join_control(control: thread::JoinHandle<()>) {
    if control.join().is_err() {
        log::error!("the control thread panicked");
    }
}
