//! Golden tests of complete conversations: compares received and sent bytes with stored files.
//!
//! In a file, `> ` lines are the bytes that the peer sends, with `\r\n` written as escapes; `< `
//! lines are the bytes that this crate sends; `= ` lines describe the outcome. `DATE` stands for a
//! date that async-h1 generated. If `DAHLIAWOOD_BLESS` is set, files are written instead of
//! compared.

#[path = "../support/mod.rs"]
mod support;

use async_std::task;
use dahliawood_wire::{client, server};
use futures::future;
use futures::io::{AsyncReadExt, AsyncWriteExt};
use http_types::{Body, Request, Response};
use std::fmt::Write;
use std::path::Path;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

/// Timeout of a stalled conversation; short to keep the tests fast. No test asserts a duration.
const STALL_TIMEOUT: Duration = Duration::from_millis(60);
/// The date that targets and handlers set.
const SET_DATE: &str = "Mon, 01 Jan 2024 00:00:00 GMT";

datatest_stable::harness! {
    { test = caller_conversation, root = "tests/golden/caller", pattern = r"\.txt$" },
    { test = target_conversation, root = "tests/golden/target", pattern = r"\.txt$" },
}

/// The input lines of a file.
struct Script {
    comments: Vec<String>,
    sent: Vec<String>,
    /// Whether the peer keeps the connection open after its last byte.
    stays_open: bool,
}

impl FromStr for Script {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let starting = |prefix: &str| {
            text.lines()
                .filter(|line| line.starts_with(prefix))
                .map(str::to_owned)
                .collect::<Vec<_>>()
        };
        Ok(Self {
            comments: starting("#"),
            sent: starting("> "),
            stays_open: text.lines().any(|line| line == "> (nothing more)"),
        })
    }
}

impl Script {
    fn bytes(&self) -> Vec<u8> {
        self.sent
            .iter()
            .filter(|line| *line != "> (nothing more)")
            .flat_map(|line| unescape(&line[2..]))
            .collect()
    }

    fn transcript(&self, output: &[u8], ends: &[String]) -> String {
        let mut text = String::new();
        let lines = self.comments.iter().chain(&self.sent).cloned();
        let output = escape(&replace_dates(output));
        let output = output.into_iter().map(|line| format!("< {line}"));
        let ends = ends.iter().map(|end| format!("= {end}"));
        for line in lines.chain(output).chain(ends) {
            writeln!(text, "{}", line.trim_end()).unwrap();
        }
        text
    }
}

fn unescape(line: &str) -> Vec<u8> {
    let line = line
        .replace("\\r", "\r")
        .replace("\\n", "\n")
        .replace("\\xe9", "\u{e9}");
    let (text, count) = match line.split_once("{x") {
        Some((before, after)) => {
            let (count, rest) = after.split_once('}').unwrap();
            (format!("{before}\u{0}{rest}"), count.parse().unwrap())
        }
        None => (line, 0),
    };
    text.replace('\u{0}', &"a".repeat(count)).into_bytes()
}

fn escape(bytes: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(bytes);
    text.split_inclusive('\n')
        .map(|line| line.replace('\r', "\\r").replace('\n', "\\n"))
        .collect()
}

/// Replaces dates that async-h1 generated: all but the one that targets and handlers set.
fn replace_dates(bytes: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(bytes);
    text.split_inclusive("\r\n")
        .map(|line| match line.strip_prefix("date: ") {
            Some(date) if date.trim_end() != SET_DATE => "date: DATE\r\n",
            _ => line,
        })
        .collect::<String>()
        .into_bytes()
}

fn compare(path: &Path, actual: &str) -> datatest_stable::Result<()> {
    if std::env::var_os("DAHLIAWOOD_BLESS").is_some() {
        std::fs::write(path, actual)?;
        return Ok(());
    }
    let expected = std::fs::read_to_string(path)?;
    if expected == actual {
        return Ok(());
    }
    Err(format!("expected:\n{expected}\nactual:\n{actual}").into())
}

fn caller_conversation(path: &Path) -> datatest_stable::Result<()> {
    let script: Script = std::fs::read_to_string(path)?.parse()?;
    let seen = Arc::new(Mutex::new(Vec::new()));
    let (output, end) = task::block_on(converse(&script, seen.clone()));
    let mut ends = seen.lock().unwrap().clone();
    ends.push(end);
    compare(path, &script.transcript(&output, &ends))
}

async fn converse(script: &Script, seen: Arc<Mutex<Vec<String>>>) -> (Vec<u8>, String) {
    let (near, mut far) = support::connection(Vec::new());
    let options = server::ConnectionOptions {
        head_timeout: STALL_TIMEOUT,
        keep_alive: STALL_TIMEOUT,
        stall_timeout: STALL_TIMEOUT,
        drain_timeout: STALL_TIMEOUT,
        drain_bytes: 1_000,
        ..server::ConnectionOptions::default()
    };
    let served = async {
        let handler = |request| handle(request, seen.clone());
        let served = server::connection(near, &options, || false, handler).await;
        match served {
            Ok(outcome) => format!("{} served, {:?}", outcome.served, outcome.end),
            Err(error) => format!("{error}"),
        }
    };
    let called = async {
        far.write_all(&script.bytes()).await.unwrap();
        let mut output = Vec::new();
        far.read_to_end(&mut output).await.unwrap();
        output
    };
    let (end, output) = future::join(served, called).await;
    (output, end)
}

/// Responds depending on the path, and records which requests and body errors it saw.
async fn handle(mut request: Request, seen: Arc<Mutex<Vec<String>>>) -> Response {
    let line = format!("{} {}", request.method(), request.url());
    seen.lock().unwrap().push(format!("handler: {line}"));
    let mut response = Response::new(200);
    response.insert_header("date", "Mon, 01 Jan 2024 00:00:00 GMT");
    match request.url().path() {
        "/echo" => match request.body_string().await {
            Ok(text) => response.set_body(text),
            Err(error) => {
                seen.lock().unwrap().push(format!("body: {error}"));
                response.set_status(http_types::StatusCode::BadRequest);
            }
        },
        "/stream" => response.set_body(request.take_body()),
        "/short" => response.set_body(Body::from_reader(&b"abc"[..], Some(10))),
        "/fails" => response.set_body(Body::from_reader(failing_reader(), None)),
        "/chunked" => response.set_body(Body::from_reader(&b"abc"[..], None)),
        "/unchanged" => {
            response.set_status(http_types::StatusCode::NotModified);
            response.insert_header("content-length", "77");
        }
        "/none" => response.set_status(http_types::StatusCode::NoContent),
        _ => response.set_body("hello"),
    }
    response
}

fn failing_reader() -> impl futures::io::AsyncBufRead + Unpin + Send + Sync + 'static {
    let pieces = [
        Ok(b"abc".to_vec()),
        Err(std::io::Error::from(std::io::ErrorKind::ConnectionReset)),
    ];
    futures::stream::TryStreamExt::into_async_read(futures::stream::iter(pieces))
}

fn target_conversation(path: &Path) -> datatest_stable::Result<()> {
    let script: Script = std::fs::read_to_string(path)?.parse()?;
    let (output, ends) = task::block_on(exchange(&script));
    compare(path, &script.transcript(&output, &ends))
}

/// Runs one exchange; its method is the first word of the first `#` line of the file.
async fn exchange(script: &Script) -> (Vec<u8>, Vec<String>) {
    let (near, mut far) = support::connection(Vec::new());
    let reuse = Arc::new(Mutex::new("closed"));
    let end = reuse.clone();
    let on_end = move |reusable| {
        *end.lock().unwrap() = if reusable { "reused" } else { "closed" };
    };
    let client_side = async {
        let ends = send_request(near, script, on_end).await;
        (ends, *reuse.lock().unwrap())
    };
    let target_side = async {
        let mut output = vec![0; 64 * 1024];
        let count = far.read(&mut output).await.unwrap();
        output.truncate(count);
        far.write_all(&script.bytes()).await.unwrap();
        if !script.stays_open {
            far.close().await.unwrap();
        }
        let mut rest = Vec::new();
        far.read_to_end(&mut rest).await.unwrap();
        output.extend(rest);
        output
    };
    let ((mut ends, reuse), output) = future::join(client_side, target_side).await;
    ends.push(format!("connection {reuse}"));
    (output, ends)
}

async fn send_request(
    near: support::PipeEnd,
    script: &Script,
    on_end: impl FnOnce(bool) + Send + 'static,
) -> Vec<String> {
    let method = script.comments[0][2..].split(' ').next().unwrap();
    let method = http_types::Method::from_str(method).unwrap();
    let url = http_types::Url::parse("http://target:80/path?x=1").unwrap();
    let mut request = Request::new(method, url);
    if method == http_types::Method::Post {
        request.set_body("filing");
    }
    let options = client::ExchangeOptions {
        response_timeout: STALL_TIMEOUT,
        stall_timeout: STALL_TIMEOUT,
        ..client::ExchangeOptions::default()
    };
    match client::exchange(near, request, &options, on_end).await {
        Err(error) => vec![format!("{error}: {}", error.verdict())],
        Ok(mut outcome) => {
            let mut ends = vec![format!("status {}", outcome.response.status())];
            let mut headers: Vec<_> = outcome.response.iter().collect();
            headers.sort_by_key(|(name, _)| name.as_str());
            ends.extend(
                headers
                    .iter()
                    .map(|(name, values)| format!("{name}: {values}")),
            );
            ends.push(match outcome.response.body_bytes().await {
                Ok(body) => format!("whole: {:?}", String::from_utf8_lossy(&body)),
                Err(error) => format!("cut: {error}"),
            });
            ends
        }
    }
}
