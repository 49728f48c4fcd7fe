//! What all stand-ins for backends share: the entry in the store, and the fields of requests.

use crate::http::Head;
use crate::names;
use crate::store::Store;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

/// A backend as its entry describes it.
struct Entry {
    id: String,
    service: String,
    zone: String,
    slots: u32,
    address: SocketAddr,
    born: u64,
}

impl Entry {
    fn text(&self) -> String {
        format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\
             \"slots\":{}}},\"status\":{{\"state\":\"ready\",\"sequence\":1,\"cold_remaining_s\":0}}}}",
            self.address, self.born, self.service, self.zone, self.slots
        )
    }
}

/// Starts a backend that answers each connection with `serve`, and puts its entry into the store.
pub fn start(
    store: &Store,
    (id, service, zone, slots): (&str, &str, &str, u32),
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64;
    let entry = Entry {
        id: id.to_owned(),
        service: service.to_owned(),
        zone: zone.to_owned(),
        slots,
        address: listener.local_addr()?,
        born,
    };
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || serve(stream));
        }
    });
    // The entry changes when more than its sequence changes, which it does not here.
    store.put(&format!("servers/{}", entry.id), &entry.text());
    Ok(())
}

/// The id of a request.
pub fn attempt_id(head: &Head) -> &str {
    head.get("@attempt-id").unwrap_or_default()
}

/// Whether a request expects another backend, which gets the response 421.
pub fn is_misdirected(head: &Head, id: &str) -> bool {
    head.get("@expected-instance")
        .is_some_and(|expected| expected != id)
}

/// The response to a request that expects another backend.
pub fn misdirected(id: &str) -> String {
    names::fill(&format!(
        "HTTP/1.1 421 Misdirected Request\r\n@instance-id: {id}\r\nContent-Length: 0\r\n\r\n"
    ))
}
