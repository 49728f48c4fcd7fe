//! A caller on a bare socket: writes any bytes and tells a whole answer from a part.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A key of the example file, published for trials.
pub const KEY: &str =
    "dw_yongguang-1_de280036edad085a7cd92da224714f8d2f5ef85876497792f7396e1a677e0172";
/// Ends a test that hangs; no test rests on it.
const HANG_LIMIT: Duration = Duration::from_secs(60);

/// An answer as far as it came.
pub struct RawAnswer {
    /// Status of its head, `None` where no whole head came.
    pub status: Option<u16>,
    /// Its head in lower case.
    pub head: String,
    /// Its body as far as it came.
    pub body: Vec<u8>,
}

impl RawAnswer {
    /// Whether a caller takes it for whole: its length is declared and met.
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

/// The head of a GET that asks for the connection to be closed.
pub fn get(path: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\n\r\n"
    )
}

/// Connects, sends `bytes`, and says so.
pub fn send(address: SocketAddr, bytes: &[u8]) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(HANG_LIMIT))?;
    stream.write_all(bytes)?;
    Ok(stream)
}

/// Reads until the connection ends, in whichever way.
pub fn read(stream: &mut TcpStream) -> RawAnswer {
    let mut bytes = Vec::new();
    // A reset after the answer leaves what came before it.
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
