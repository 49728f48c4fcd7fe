//! The link of one VM to one target: a TCP proxy on loopback that can be cut, as by a partition that
//! only this VM's connections to targets meet.

use crate::serving;
use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::future::{self, Either};
use futures::io::{AsyncReadExt, AsyncWriteExt};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::ErrorKind;
use std::net::{Shutdown, SocketAddr};
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How a cut link treats connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkCut {
    /// Open connections fall silent, and new ones are never established.
    Hang,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections work on, and new ones are refused.
    RefuseNew,
    /// Open connections are reset, and new ones reach another process, which has taken the address and
    /// closes them.
    Taken,
}

/// Bytes that are copied at a time.
const COPY_BYTES: usize = 8 * 1024;
/// The rate of a direction without a bound.
static NO_RATE: AtomicUsize = AtomicUsize::new(0);
/// Connections that wait to be accepted by a link.
const LISTEN_QUEUE: i32 = 128;
/// Connections that fill the queue of a listener which accepts none, so that further ones hang.
const FILLERS: usize = 3;

/// What a link does with its connections now.
#[derive(Debug)]
enum LinkMode {
    /// Connections pass, accepted by this task.
    Open(task::JoinHandle<()>),
    /// New connections are refused.
    Refusing,
    /// New connections are accepted and closed by this task.
    Closing(task::JoinHandle<()>),
    /// New connections hang, by a listener that accepts none and the connections that fill its queue.
    Hanging(#[allow(dead_code, reason = "held while the link hangs")] Vec<Socket>),
}

#[derive(Debug)]
struct LinkState {
    mode: LinkMode,
    cut: Option<LinkCut>,
    /// Closed when the link is cut or healed.
    changed: (Sender<()>, Receiver<()>),
    accepted: usize,
}

/// A running link; clones share its state.
#[derive(Clone, Debug)]
pub struct TargetLink {
    /// Address that the link listens on.
    pub address: SocketAddr,
    server: SocketAddr,
    state: Arc<Mutex<LinkState>>,
    /// Bytes a second from the server to its callers, zero for no bound.
    rate: Arc<AtomicUsize>,
    /// Keeps the port while nothing listens on it: other processes and tests bind free ports, and would
    /// accept the connections of a link that is cut.
    _reserved: Arc<Socket>,
}

/// Starts a link to a server on a free port of loopback.
///
/// # Errors
/// No port can be bound.
pub fn start(server: SocketAddr) -> std::io::Result<TargetLink> {
    let reserved = bound(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let address = reserved.local_addr()?.as_socket();
    let address = address.ok_or(ErrorKind::AddrNotAvailable)?;
    let link = TargetLink {
        address,
        server,
        state: Arc::new(Mutex::new(LinkState {
            mode: LinkMode::Refusing,
            cut: None,
            changed: bounded(1),
            accepted: 0,
        })),
        rate: Arc::default(),
        _reserved: Arc::new(reserved),
    };
    link.open(listen(address)?);
    Ok(link)
}

impl TargetLink {
    /// Cuts the link.
    ///
    /// # Errors
    /// Fails if new connections cannot be made to hang.
    pub async fn cut(&self, cut: LinkCut) -> std::io::Result<()> {
        self.close(Some(cut)).await;
        let mode = match cut {
            LinkCut::Hang => LinkMode::Hanging(hanging_listener(self.address)?),
            LinkCut::Taken => {
                let listener = listen(self.address)?;
                LinkMode::Closing(task::spawn(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        drop(stream);
                    }
                }))
            }
            LinkCut::Reset | LinkCut::RefuseNew => LinkMode::Refusing,
        };
        serving::lock(&self.state).mode = mode;
        Ok(())
    }

    /// Bounds what the server sends to `rate` bytes a second and connection.
    pub fn set_rate(&self, rate: usize) {
        self.rate.store(rate, Ordering::Relaxed);
    }

    /// Ends a cut. Connections that have hung are closed.
    ///
    /// # Errors
    /// Fails if the address cannot be bound again.
    pub async fn heal(&self) -> std::io::Result<()> {
        self.close(None).await;
        self.open(listen(self.address)?);
        Ok(())
    }

    /// Ends the present mode; new connections are refused.
    async fn close(&self, cut: Option<LinkCut>) {
        match self.set_mode(LinkMode::Refusing, cut) {
            LinkMode::Open(accepting) | LinkMode::Closing(accepting) => {
                accepting.cancel().await;
            }
            LinkMode::Refusing | LinkMode::Hanging(_) => {}
        }
    }

    /// Number of connections accepted so far.
    pub fn accepted(&self) -> usize {
        serving::lock(&self.state).accepted
    }

    /// Sets the mode and tells the connections; returns the former mode.
    fn set_mode(&self, mode: LinkMode, cut: Option<LinkCut>) -> LinkMode {
        let mut state = serving::lock(&self.state);
        state.cut = cut;
        let (former, _) = std::mem::replace(&mut state.changed, bounded(1));
        former.close();
        std::mem::replace(&mut state.mode, mode)
    }

    fn open(&self, listener: TcpListener) {
        let link = self.clone();
        let accepting = task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                serving::lock(&link.state).accepted += 1;
                task::spawn(link.clone().serve(stream));
            }
        });
        serving::lock(&self.state).mode = LinkMode::Open(accepting);
    }

    fn status(&self) -> (Option<LinkCut>, Receiver<()>) {
        let state = serving::lock(&self.state);
        (state.cut, state.changed.1.clone())
    }

    async fn serve(self, client: TcpStream) {
        let Ok(server) = TcpStream::connect(self.server).await else {
            return;
        };
        let _nodelay = (client.set_nodelay(true), server.set_nodelay(true));
        let mut copying = pin!(future::join(
            copy(&client, &server, &NO_RATE),
            copy(&server, &client, &self.rate),
        ));
        loop {
            let (cut, changed) = self.status();
            match cut {
                Some(LinkCut::Reset | LinkCut::Taken) => {
                    reset(&client);
                    reset(&server);
                    return;
                }
                Some(LinkCut::Hang) => {
                    let _healed = changed.recv().await;
                    reset(&client);
                    return;
                }
                None | Some(LinkCut::RefuseNew) => {}
            }
            let mut change = pin!(changed.recv());
            if let Either::Left(_) = future::select(&mut copying, &mut change).await {
                return;
            }
        }
    }
}

/// Copies bytes in one direction, `rate` of them a second unless it is zero, until the stream ends or
/// fails.
async fn copy(from: &TcpStream, to: &TcpStream, rate: &AtomicUsize) {
    let mut bytes = [0; COPY_BYTES];
    let (mut input, mut output) = (from, to);
    while let Ok(count @ 1..) = input.read(&mut bytes).await {
        if output.write_all(&bytes[..count]).await.is_err() {
            break;
        }
        let rate = rate.load(Ordering::Relaxed);
        if rate > 0 {
            task::sleep(Duration::from_secs_f64(count as f64 / rate as f64)).await;
        }
    }
    let _ended = to.shutdown(Shutdown::Write);
}

/// A socket that has an address which other sockets of [`bound`] may have too, and no others.
fn bound(address: SocketAddr) -> std::io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = bound(address)?;
    socket.listen(LISTEN_QUEUE)?;
    Ok(std::net::TcpListener::from(socket).into())
}

/// A listener whose queue is full, so that connections to it are never established.
fn hanging_listener(address: SocketAddr) -> std::io::Result<Vec<Socket>> {
    let listener = bound(address)?;
    listener.listen(0)?;
    let mut sockets = vec![listener];
    for _ in 0..FILLERS {
        let filler = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        filler.set_nonblocking(true)?;
        let _in_progress = filler.connect(&address.into());
        sockets.push(filler);
    }
    Ok(sockets)
}

/// Closes a connection so that the peer sees a reset.
pub(crate) fn reset(stream: &TcpStream) {
    // With a linger time of zero, closing sends RST instead of FIN.
    let _linger = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ended = stream.shutdown(Shutdown::Both);
}
