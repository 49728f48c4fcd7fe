//! A link between clients and a VM: a proxy that delays all bytes, and lets those towards the clients
//! through at a bounded rate, as the pages say of links.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes that are read at a time.
const PIECE: usize = 4 << 10;

/// The delay and the rate of a link.
#[derive(Clone, Copy)]
pub struct Terms {
    /// One way.
    pub delay: Duration,
    /// Bytes a second towards the clients, of all connections together.
    pub rate: f64,
}

/// Starts a link to `target`, and returns where clients connect.
pub fn start(target: SocketAddr, terms: Terms) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let free_at = Arc::new(Mutex::new(Instant::now()));
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let free_at = Arc::clone(&free_at);
            thread::spawn(move || relay(client, target, terms, &free_at));
        }
    });
    Ok(address)
}

fn relay(
    client: TcpStream,
    target: SocketAddr,
    terms: Terms,
    free_at: &Arc<Mutex<Instant>>,
) -> io::Result<()> {
    let server = TcpStream::connect(target)?;
    server.set_nodelay(true)?;
    client.set_nodelay(true)?;
    let (up_in, up_out) = (client.try_clone()?, server.try_clone()?);
    thread::spawn(move || pass(up_in, up_out, terms.delay, |_| {}));
    let free_at = Arc::clone(free_at);
    pass(server, client, terms.delay, move |count| {
        let wait = {
            let mut free_at = free_at.lock().unwrap();
            let now = Instant::now();
            *free_at = (*free_at).max(now) + Duration::from_secs_f64(count as f64 / terms.rate);
            free_at.saturating_duration_since(now)
        };
        thread::sleep(wait);
    });
    Ok(())
}

/// Passes bytes on until the connection ends, and then its end.
fn pass(mut input: TcpStream, output: TcpStream, delay: Duration, pace: impl Fn(usize)) {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || deliver(output, &receiver));
    loop {
        let mut piece = vec![0; PIECE];
        match input.read(&mut piece) {
            Ok(count) if count > 0 => {
                pace(count);
                piece.truncate(count);
                let _ = sender.send((Instant::now() + delay, piece));
            }
            _ => {
                let _ = sender.send((Instant::now() + delay, Vec::new()));
                return;
            }
        }
    }
}

fn deliver(mut output: TcpStream, pieces: &Receiver<(Instant, Vec<u8>)>) {
    for (due, piece) in pieces {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if piece.is_empty() {
            let _ = output.shutdown(Shutdown::Write);
        } else if output.write_all(&piece).is_err() {
            return;
        }
    }
}
