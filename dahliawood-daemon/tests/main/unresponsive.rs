//! Targets whose connections stay open but become unresponsive after the first response.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::thread;

/// Starts one target on each address from 127.9.0.1 to 127.9.0.`count`; returns their common port.
pub fn start(count: u8) -> u16 {
    let first = TcpListener::bind("127.9.0.1:0").expect("a port is free");
    let port = first
        .local_addr()
        .expect("the listener has an address")
        .port();
    let bind = |last| TcpListener::bind((Ipv4Addr::new(127, 9, 0, last), port));
    let others = (2..=count).map(|last| bind(last).expect("the port is free there too"));
    for listener in std::iter::once(first).chain(others) {
        thread::spawn(move || accept(&listener));
    }
    port
}

/// Accepts connections and serves each in a thread of its own.
fn accept(listener: &TcpListener) {
    for stream in listener.incoming().flatten() {
        thread::spawn(move || serve(stream));
    }
}

/// Responds to the first request, then only reads until the peer closes the connection.
fn serve(mut stream: TcpStream) {
    let mut bytes = [0; 4096];
    let first = stream.read(&mut bytes);
    if first.is_ok_and(|length| length > 0) {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }
    while stream.read(&mut bytes).is_ok_and(|length| length > 0) {}
}
