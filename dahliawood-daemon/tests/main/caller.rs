//! A caller on a raw TCP socket, which can send any bytes and tells complete responses from
//! truncated ones.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A customer's key from the example file, published for testing.
pub const KEY: &str =
    "dw_yongguang-1_de280036edad085a7cd92da224714f8d2f5ef85876497792f7396e1a677e0172";
/// Read timeout that ends a test that hangs; no test depends on the value.
const HANG_LIMIT: Duration = Duration::from_secs(60);

/// A response, as far as it was received.
pub struct RawAnswer {
    /// Status of the response, `None` if no complete head was received.
    pub status: Option<u16>,
    /// Head of the response in lower case.
    pub head: String,
    /// Body of the response, as far as it was received.
    pub body: Vec<u8>,
}

impl RawAnswer {
    /// Whether a caller takes the response for complete: its body has the declared length.
    pub fn is_whole(&self) -> bool {
        self.status.is_some() && self.header("content-length") == Some(self.body.len().to_string())
    }

    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<String> {
        let prefix = format!("{name}:");
        let line = self.head.lines().find(|line| line.starts_with(&prefix));
        line.map(|line| line[prefix.len()..].trim().to_owned())
    }
}

/// The head of a GET request with `Connection: close`.
pub fn get(path: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\n\r\n"
    )
}

/// Connects and sends `bytes`.
pub fn send(address: SocketAddr, bytes: &[u8]) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(HANG_LIMIT))?;
    stream.write_all(bytes)?;
    Ok(stream)
}

/// Reads until the connection is closed or fails.
pub fn read(stream: &mut TcpStream) -> RawAnswer {
    let mut bytes = Vec::new();
    // If the connection is reset, the bytes received before stay in the buffer.
    let _ = stream.read_to_end(&mut bytes);
    parse(&bytes)
}

fn parse(bytes: &[u8]) -> RawAnswer {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    let Some(end) = end else {
        return RawAnswer {
            status: None,
            head: String::new(),
            body: Vec::new(),
        };
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    RawAnswer {
        status,
        head,
        body: bytes[end + 4..].to_vec(),
    }
}
