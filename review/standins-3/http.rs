//! HTTP/1.1 messages over blocking sockets.

use crate::names;
use std::io::{self, BufRead, Read};

/// The head of a message: its first line and its fields.
#[derive(Clone, Debug)]
pub struct Head {
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// The value of the first field of that name, which may be a short one.
    pub fn get(&self, name: &str) -> Option<&str> {
        let name = names::fill(name);
        let field = self
            .fields
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(&name));
        field.map(|(_, value)| value.as_str())
    }

    /// The length that the message states.
    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of a response, 0 if it has none.
    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|word| word.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads a head, `None` if the connection ended before its first byte.
pub fn read_head(input: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return match lines.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    if lines.is_empty() {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let fields = lines[1..].iter().filter_map(|line| line.split_once(':'));
    Ok(Some(Head {
        line: lines[0].clone(),
        fields: fields
            .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
            .collect(),
    }))
}

/// Reads a body of `length` bytes.
pub fn read_body(input: &mut impl Read, length: usize) -> io::Result<Vec<u8>> {
    let mut body = vec![0; length];
    input.read_exact(&mut body)?;
    Ok(body)
}

/// The value of a parameter of a target's query, decoded.
pub fn parameter(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let pair = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name);
    pair.map(|(_, value)| decode(value))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text
            .get(at + 1..at + 3)
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 2;
            }
            (b'+', _) => decoded.push(b' '),
            (byte, _) => decoded.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
