//! HTTP/1.1, JSON and base64 as far as the stand-ins need them; the standard library only.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A request or a response: its first line, header fields with names in lower case, and the body.
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let code = self.first.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message whose body has a length; `None` at the end of the connection.
pub fn read(input: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if input.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut fields = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut message = Message { first: first.trim_end().to_owned(), fields, body: Vec::new() };
    let length = message.field("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    message.body.resize(length, 0);
    input.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes one response.
pub fn respond(output: &mut TcpStream, status: &str, fields: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    output.write_all(&[head.as_bytes(), body].concat())
}

/// A JSON value; `true`, `false` and `null` are not told apart.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

/// Parses JSON without escapes other than of one character.
pub fn parse(text: &[u8]) -> Json {
    let mut place = 0;
    value(text, &mut place)
}

fn skip(text: &[u8], place: &mut usize) {
    while *place < text.len() && b" \t\r\n,:".contains(&text[*place]) {
        *place += 1;
    }
}

fn value(text: &[u8], place: &mut usize) -> Json {
    skip(text, place);
    match text.get(*place) {
        Some(b'{') => {
            *place += 1;
            let mut table = BTreeMap::new();
            loop {
                skip(text, place);
                if text.get(*place).is_none_or(|byte| *byte == b'}') {
                    *place += 1;
                    return Json::Table(table);
                }
                let name = string(text, place);
                table.insert(name, value(text, place));
            }
        }
        Some(b'[') => {
            *place += 1;
            let mut list = Vec::new();
            loop {
                skip(text, place);
                if text.get(*place).is_none_or(|byte| *byte == b']') {
                    *place += 1;
                    return Json::List(list);
                }
                list.push(value(text, place));
            }
        }
        Some(b'"') => Json::Text(string(text, place)),
        _ => {
            let start = *place;
            while *place < text.len() && !b",]} \r\n\t".contains(&text[*place]) {
                *place += 1;
            }
            let number = String::from_utf8_lossy(&text[start..*place]).parse();
            number.map_or(Json::Null, Json::Number)
        }
    }
}

fn string(text: &[u8], place: &mut usize) -> String {
    *place += 1;
    let mut bytes = Vec::new();
    while let Some(byte) = text.get(*place) {
        *place += 1;
        match byte {
            b'"' => break,
            b'\\' => {
                bytes.extend(text.get(*place));
                *place += 1;
            }
            byte => bytes.push(*byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

const ALPHABET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let padded = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            let digit = ALPHABET[(bits >> (18 - 6 * place)) as usize & 63] as char;
            text.push(if place <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

pub fn decode(text: &str) -> Vec<u8> {
    let digits = text.bytes().filter_map(|byte| ALPHABET.iter().position(|known| *known == byte));
    let digits: Vec<usize> = digits.collect();
    let mut bytes = Vec::new();
    for chunk in digits.chunks(4) {
        let bits = chunk.iter().fold(0, |bits, digit| bits << 6 | digit) << (6 * (4 - chunk.len()));
        bytes.extend((0..chunk.len() - 1).map(|place| (bits >> (16 - 8 * place)) as u8));
    }
    bytes
}

/// A parameter of a query, with `%XX` decoded.
pub fn parameter(target: &str, name: &str) -> Option<String> {
    let pairs = target.split_once('?')?.1.split('&').filter_map(|pair| pair.split_once('='));
    let raw = pairs.into_iter().find(|(known, _)| *known == name)?.1.as_bytes();
    let mut bytes = Vec::new();
    let mut place = 0;
    while place < raw.len() {
        if raw[place] == b'%' && place + 2 < raw.len() {
            let code = std::str::from_utf8(&raw[place + 1..place + 3]).ok()?;
            bytes.push(u8::from_str_radix(code, 16).ok()?);
            place += 3;
        } else {
            bytes.push(if raw[place] == b'+' { b' ' } else { raw[place] });
            place += 1;
        }
    }
    String::from_utf8(bytes).ok()
}
