//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A head and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or status line.
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Why a message could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection ended, or was reset, before the message was complete.
    Closed,
    /// The deadline passed.
    Late,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1).and_then(|text| text.parse().ok());
        status.unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _set = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> Option<Self> {
        TcpStream::connect_timeout(&address, limit).ok().map(Self::new)
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    fn fill(&mut self, until: Option<Instant>) -> Result<(), Failure> {
        let left = match until {
            Some(until) => {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(Failure::Late);
                }
                Some(left)
            }
            None => None,
        };
        let _set = self.stream.set_read_timeout(left);
        let mut bytes = [0; 16 * 1024];
        match self.stream.read(&mut bytes) {
            Ok(0) => Err(Failure::Closed),
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(())
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Err(Failure::Late)
            }
            Err(_) => Err(Failure::Closed),
        }
    }

    /// Reads the next message; one without a length has no body.
    pub fn read(&mut self, until: Option<Instant>) -> Result<Message, Failure> {
        let end = loop {
            let found = self.buffer.windows(4).position(|window| window == b"\r\n\r\n");
            match found {
                Some(position) => break position + 4,
                None => self.fill(until)?,
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
        let mut message = Message { first, fields: fields.collect(), body: Vec::new() };
        let length = message.field("content-length").and_then(|text| text.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.buffer.len() < end + length {
            self.fill(until)?;
        }
        message.body = self.buffer[end..end + length].to_vec();
        self.buffer.drain(..end + length);
        Ok(message)
    }
}

pub fn response(status: u16, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    [head.as_bytes(), body].concat()
}

/// The text after `"name":"`, up to the next quote: the bodies here hold no escapes.
pub fn json_text(body: &str, name: &str) -> Option<String> {
    let (_, rest) = body.split_once(&format!("\"{name}\":\""))?;
    rest.split('"').next().map(str::to_owned)
}

/// The number after `"name":`.
pub fn json_number(body: &str, name: &str) -> Option<f64> {
    let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
    let number: String = rest.chars().take_while(|c| c.is_ascii_digit() || ".-".contains(*c)).collect();
    number.parse().ok()
}

/// A parameter of a query, decoded.
pub fn parameter(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(known, _)| *known == name)?;
    let mut bytes = Vec::new();
    let mut rest = value.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'+' => bytes.push(b' '),
            b'%' => {
                let digits = [rest.next()?, rest.next()?];
                let digits = std::str::from_utf8(&digits).ok()?.to_owned();
                bytes.push(u8::from_str_radix(&digits, 16).ok()?);
            }
            byte => bytes.push(byte),
        }
    }
    String::from_utf8(bytes).ok()
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let part = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let word = part(0) << 16 | part(1) << 8 | part(2);
        for index in 0..4 {
            let digit = ALPHABET[(word >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= chunk.len() { digit } else { '=' });
        }
    }
    text
}
