//! A proxy that counts the bytes of both directions.

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::io::{AsyncReadExt, AsyncWriteExt};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Starts a proxy for a server; returns its address and the number of bytes that passed.
pub async fn start(server: SocketAddr) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("a bound socket");
    let count = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&count);
    task::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let server = TcpStream::connect(server).await.expect("loopback");
            for stream in [&client, &server] {
                stream.set_nodelay(true).expect("a connected socket");
            }
            task::spawn(relay(client.clone(), server.clone(), Arc::clone(&counted)));
            task::spawn(relay(server, client, Arc::clone(&counted)));
        }
    });
    (address, count)
}

async fn relay(mut from: TcpStream, mut to: TcpStream, count: Arc<AtomicU64>) {
    let mut bytes = vec![0; 64 * 1024];
    while let Ok(read) = from.read(&mut bytes).await {
        count.fetch_add(read as u64, Ordering::Relaxed);
        if read == 0 || to.write_all(&bytes[..read]).await.is_err() {
            return;
        }
    }
}
