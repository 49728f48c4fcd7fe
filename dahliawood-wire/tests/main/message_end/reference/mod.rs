//! A strict reader of whole messages, written from RFC 9112 alone, for comparison.

/// A message, as the reference reads it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Method and target of a request, or status of a response.
    pub start: String,
    /// Names and values of the fields.
    pub fields: Vec<(String, Vec<u8>)>,
    /// The whole body.
    pub body: Vec<u8>,
    /// Bytes that follow the message.
    pub rest: Vec<u8>,
}

/// How a body ends.
enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// Reads the message at the start of all that a connection carried, `None` if there is no such message.
pub fn read(bytes: &[u8], is_request: bool) -> Option<Message> {
    let mut bytes = bytes;
    loop {
        while is_request && bytes.starts_with(b"\r\n") {
            bytes = &bytes[2..];
        }
        let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
        let lines = split_lines(&bytes[..end])?;
        let (first, others) = lines.split_first()?;
        let (start, is_http10) = match is_request {
            true => request_line(first)?,
            false => status_line(first)?,
        };
        let fields: Option<Vec<_>> = others.iter().map(|line| field(line)).collect();
        let fields = fields?;
        let framing = framing(&fields, is_http10).ok()?;
        let after = &bytes[end + 4..];
        let is_informational = !is_request && start.starts_with('1');
        if is_informational {
            if start == "101" || framing.is_some() {
                return None;
            }
            bytes = after;
            continue;
        }
        let is_bodiless = !is_request && (start == "204" || start == "304");
        let default = match is_request {
            true => Framing::Length(0),
            false => Framing::UntilClose,
        };
        let framing = match is_bodiless {
            true => Framing::Length(0),
            false => framing.unwrap_or(default),
        };
        let (body, rest) = body(after, &framing)?;
        return Some(Message {
            start,
            fields,
            body,
            rest: rest.to_vec(),
        });
    }
}

/// The lines of a head, none with a control character.
fn split_lines(head: &[u8]) -> Option<Vec<&[u8]>> {
    let mut lines = Vec::new();
    let mut left = head;
    while let Some(end) = left.windows(2).position(|window| window == b"\r\n") {
        lines.push(&left[..end]);
        left = &left[end + 2..];
    }
    lines.push(left);
    let is_plain = |byte: &u8| *byte == b'\t' || !byte.is_ascii_control();
    let are_plain = lines.iter().all(|line| line.iter().all(is_plain));
    are_plain.then_some(lines)
}

fn is_http10(version: &str) -> Option<bool> {
    match version {
        "HTTP/1.0" => Some(true),
        "HTTP/1.1" => Some(false),
        _ => None,
    }
}

fn request_line(line: &[u8]) -> Option<(String, bool)> {
    let line = std::str::from_utf8(line).ok()?;
    let parts: Vec<&str> = line.split(' ').collect();
    let [method, target, version] = parts[..] else {
        return None;
    };
    let is_method = !method.is_empty() && method.bytes().all(is_token);
    let is_target = !target.is_empty() && !target.contains('\t');
    let start = format!("{method} {target}");
    (is_method && is_target).then_some((start, is_http10(version)?))
}

fn status_line(line: &[u8]) -> Option<(String, bool)> {
    let version = std::str::from_utf8(line.get(..8)?).ok()?;
    let status = std::str::from_utf8(line.get(9..12)?).ok()?;
    let is_separated = line[8] == b' ' && matches!(line.get(12), None | Some(b' '));
    let is_status = status.bytes().all(|byte| byte.is_ascii_digit());
    let is_known = ("100"..="599").contains(&status);
    let is_valid = is_separated && is_status && is_known;
    is_valid.then_some((status.to_owned(), is_http10(version)?))
}

fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn field(line: &[u8]) -> Option<(String, Vec<u8>)> {
    let colon = line.iter().position(|byte| *byte == b':')?;
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    let is_name = !name.is_empty() && name.iter().copied().all(is_token);
    let name = std::str::from_utf8(name).ok()?;
    is_name.then(|| (name.to_owned(), trim(value).to_vec()))
}

fn trim(value: &[u8]) -> &[u8] {
    let is_space = |byte: &u8| b" \t".contains(byte);
    let start = value.iter().position(|byte| !is_space(byte));
    let end = value.iter().rposition(|byte| !is_space(byte));
    match (start, end) {
        (Some(start), Some(end)) => &value[start..=end],
        _ => &[],
    }
}

/// The framing that the fields declare, if they declare any; an error if it is not allowed.
fn framing(fields: &[(String, Vec<u8>)], is_http10: bool) -> Result<Option<Framing>, ()> {
    let all = |name: &str| {
        let named = fields
            .iter()
            .filter(|(other, _)| other.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_slice()).collect::<Vec<_>>()
    };
    match (&all("content-length")[..], &all("transfer-encoding")[..]) {
        ([], []) => Ok(None),
        ([length], []) => {
            let is_number = !length.is_empty() && length.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(length).ok().filter(|_| is_number);
            let length = text.and_then(|text| text.parse().ok());
            length.map(Framing::Length).map(Some).ok_or(())
        }
        ([], [encoding]) if encoding.eq_ignore_ascii_case(b"chunked") && !is_http10 => {
            Ok(Some(Framing::Chunked))
        }
        _ => Err(()),
    }
}

fn body<'a>(after: &'a [u8], framing: &Framing) -> Option<(Vec<u8>, &'a [u8])> {
    match framing {
        Framing::Length(length) => {
            let body = after.get(..*length)?;
            Some((body.to_vec(), &after[*length..]))
        }
        Framing::UntilClose => Some((after.to_vec(), &[])),
        Framing::Chunked => chunks(after),
    }
}

fn line(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.windows(2).position(|window| window == b"\r\n")?;
    let line = &bytes[..end];
    let is_plain = |byte: &u8| *byte == b'\t' || !byte.is_ascii_control();
    line.iter()
        .all(is_plain)
        .then_some((line, &bytes[end + 2..]))
}

fn chunks(after: &[u8]) -> Option<(Vec<u8>, &[u8])> {
    let mut left = after;
    let mut body = Vec::new();
    loop {
        let (size, rest) = line(left)?;
        let digits = size.split(|byte| *byte == b';').next()?;
        let is_size = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
        let digits = std::str::from_utf8(digits).ok().filter(|_| is_size)?;
        let size = usize::from_str_radix(digits, 16).ok()?;
        left = rest;
        if size == 0 {
            break;
        }
        body.extend_from_slice(left.get(..size)?);
        left = left.get(size..)?.strip_prefix(b"\r\n")?;
    }
    loop {
        let (trailer, rest) = line(left)?;
        left = rest;
        if trailer.is_empty() {
            return Some((body, left));
        }
    }
}
