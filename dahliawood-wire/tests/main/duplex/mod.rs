//! Responses without a length that are read while their request is written, with a model of a socket: all
//! orders of what arrives, and of writes, reads and the deadline between it.

use dahliawood_wire::raw::budget::ByteBudget;
use dahliawood_wire::raw::duplex::{self, WriteProgress};
use dahliawood_wire::raw::error::ReadError;
use dahliawood_wire::raw::head::BodyFraming;
use dahliawood_wire::raw::reader::ConnectionReader;
use futures::executor::block_on;
use futures::future::{self, Either};
use futures::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};

const BODY: &[u8] = b"the body of a response";
const REQUEST: &[u8] = b"a request";
/// Operations on the socket before the last event.
const LAST_OPERATION: usize = 9;

/// What arrives from the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerEvent {
    /// Half of the body.
    Data,
    /// The end of the peer's sending side.
    Fin,
    /// A reset.
    Reset,
}

/// A connected socket as the kernel keeps it. Each operation counts, and events arrive before the operations
/// that they are scheduled for.
#[derive(Debug)]
struct SocketModel {
    events: VecDeque<(usize, PeerEvent)>,
    operations: usize,
    received: VecDeque<u8>,
    data: VecDeque<&'static [u8]>,
    has_fin: bool,
    has_reset: bool,
    /// An error that was not reported yet.
    error: Option<io::ErrorKind>,
    /// Bytes that may be written until the peer reads; none after that.
    room: usize,
}

impl SocketModel {
    fn new(events: &[(usize, PeerEvent)], room: usize) -> Self {
        let (first, rest) = BODY.split_at(BODY.len() / 2);
        Self {
            events: events.iter().copied().collect(),
            operations: 0,
            received: VecDeque::new(),
            data: [first, rest].into(),
            has_fin: false,
            has_reset: false,
            error: None,
            room,
        }
    }

    fn begin_operation(&mut self) {
        while self
            .events
            .front()
            .is_some_and(|(at, _)| *at <= self.operations)
        {
            match self.events.pop_front().map(|(_, event)| event) {
                Some(PeerEvent::Data) => self.received.extend(self.data.pop_front().unwrap()),
                Some(PeerEvent::Fin) => self.has_fin = true,
                Some(PeerEvent::Reset) => {
                    self.has_reset = true;
                    // As Linux reports it: a peer that had ended its side before can't be written to.
                    self.error = Some(match self.has_fin {
                        true => io::ErrorKind::BrokenPipe,
                        false => io::ErrorKind::ConnectionReset,
                    });
                }
                None => {}
            }
        }
        self.operations += 1;
    }

    fn write(&mut self, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.begin_operation();
        if let Some(error) = self.error.take() {
            return Poll::Ready(Err(error.into()));
        }
        if self.has_reset {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        match self.room.min(bytes.len()) {
            0 => Poll::Pending,
            count => {
                self.room -= count;
                Poll::Ready(Ok(count))
            }
        }
    }

    fn read(&mut self, output: &mut [u8]) -> Poll<io::Result<usize>> {
        self.begin_operation();
        let count = output.len().min(self.received.len());
        if count > 0 {
            let taken = self.received.drain(..count);
            output
                .iter_mut()
                .zip(taken)
                .for_each(|(to, from)| *to = from);
            return Poll::Ready(Ok(count));
        }
        match self.error.take() {
            Some(error) => Poll::Ready(Err(error.into())),
            None if self.has_fin || self.has_reset => Poll::Ready(Ok(0)),
            None => Poll::Pending,
        }
    }
}

/// One side of a socket; polled again at once when it is not ready.
#[derive(Clone, Debug)]
struct ModelStream(Rc<RefCell<SocketModel>>);

impl AsyncRead for ModelStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        context.waker().wake_by_ref();
        self.0.borrow_mut().read(output)
    }
}

impl AsyncWrite for ModelStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        context.waker().wake_by_ref();
        self.0.borrow_mut().write(bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// The body of a response without a length, `None` if the deadline came first; it is polled after the
/// exchange, as that of a timeout.
fn receive(
    events: &[(usize, PeerEvent)],
    room: usize,
    deadline: usize,
) -> Option<Result<Vec<u8>, ReadError>> {
    let socket = Rc::new(RefCell::new(SocketModel::new(events, room)));
    let mut output = ModelStream(Rc::clone(&socket));
    let mut reader = ConnectionReader::new(ModelStream(Rc::clone(&socket)));
    let budget = ByteBudget::new(usize::MAX);
    let progress = WriteProgress::default();
    let (framing, bound) = (BodyFraming::UntilClose, BODY.len());
    let reading = duplex::response_body(&progress, &mut reader, framing, bound, &budget);
    let (writing, reading) = (pin!(output.write_all(REQUEST)), pin!(reading));
    let exchange = duplex::exchange(&progress, writing, reading);
    let timer = future::poll_fn(|context| {
        context.waker().wake_by_ref();
        match socket.borrow().operations >= deadline {
            true => Poll::Ready(()),
            false => Poll::Pending,
        }
    });
    match block_on(future::select(pin!(exchange), pin!(timer))) {
        Either::Left((body, _)) => Some(body.map(|body| body.to_vec())),
        Either::Right(_) => None,
    }
}

/// Calls `check` with all times of `kinds`, in their order.
fn each_schedule(kinds: &[PeerEvent], check: &mut impl FnMut(&[(usize, PeerEvent)])) {
    fn extend(
        kinds: &[PeerEvent],
        schedule: &mut Vec<(usize, PeerEvent)>,
        check: &mut impl FnMut(&[(usize, PeerEvent)]),
    ) {
        let Some((kind, rest)) = kinds.split_first() else {
            return check(schedule);
        };
        let earliest = schedule.last().map_or(0, |(at, _)| *at);
        for at in earliest..=LAST_OPERATION {
            schedule.push((at, *kind));
            extend(rest, schedule, check);
            schedule.pop();
        }
    }
    extend(kinds, &mut Vec::new(), check);
}

/// Writes that are done at once, that are blocked after some bytes, and that are blocked from the start.
const ROOMS: [usize; 3] = [REQUEST.len(), 4, 0];

/// Guards against review/11 (MIXED) in all orders: a reset halfway whose error the write of the request takes
/// must not make half of a body a whole one.
#[test]
fn a_body_that_is_reset_is_never_whole() {
    for room in ROOMS {
        for deadline in [4, 7, usize::MAX] {
            each_schedule(&[PeerEvent::Data, PeerEvent::Reset], &mut |schedule| {
                let received = receive(schedule, room, deadline);
                let is_whole = matches!(received, Some(Ok(_)));
                assert!(!is_whole, "{schedule:?}, {room}, {deadline}: {received:?}");
            });
        }
    }
}

/// The counterpart: a body whose peer closed in order is whole, however slowly the request is written.
#[test]
fn a_body_that_ends_in_order_is_whole() {
    let kinds = [PeerEvent::Data, PeerEvent::Data, PeerEvent::Fin];
    for room in ROOMS {
        each_schedule(&kinds, &mut |schedule| {
            let received = receive(schedule, room, usize::MAX);
            let is_whole = matches!(&received, Some(Ok(body)) if body == BODY);
            assert!(is_whole, "{schedule:?}, {room}: {received:?}");
        });
    }
}

/// A peer that ends its side and then resets the connection, as one does that closes without having read
/// the whole request: all of the body or none, never a part.
#[test]
fn a_body_that_ends_in_order_before_a_reset_is_whole_or_an_error() {
    let kinds = [
        PeerEvent::Data,
        PeerEvent::Data,
        PeerEvent::Fin,
        PeerEvent::Reset,
    ];
    for room in ROOMS {
        each_schedule(
            &kinds,
            &mut |schedule| match receive(schedule, room, usize::MAX) {
                Some(Ok(body)) => assert_eq!(body, BODY, "{schedule:?}, {room}"),
                Some(Err(_)) => {}
                None => panic!("{schedule:?}, {room}: no end"),
            },
        );
    }
}
