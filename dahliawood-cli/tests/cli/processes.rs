//! Starts the processes of a small fleet on free ports, and stops each by its process id.

use async_std::task;
use dahliawood_wire::{client, one_shot};
use futures::AsyncReadExt;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::time::Duration;

/// Maximum time that a test waits for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Plaintext key of the first customer, as listed in `examples/README.md`.
pub const KEY: &str =
    "dw_yongguang-1_de280036edad085a7cd92da224714f8d2f5ef85876497792f7396e1a677e0172";

/// A process that is killed when the test ends.
pub struct TestProcess {
    child: Child,
    /// Listen addresses that the process printed in its first lines.
    pub addresses: Vec<String>,
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        // Killing fails if the process has exited already.
        let _killed = self.child.kill();
        let _status = self.child.wait();
    }
}

impl TestProcess {
    /// Kills the process, to simulate the failure of a VM.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process can be waited for");
    }

    /// Sends SIGTERM, which requests a graceful shutdown.
    pub fn terminate(&self) {
        let id = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(id, rustix::process::Signal::TERM)
            .expect("the process can be asked to stop");
    }

    /// Waits for the process to exit.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process can be waited for")
    }
}

/// The directory of the built binaries.
fn build_directory() -> PathBuf {
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_dahliawood"));
    binary
        .parent()
        .expect("a binary is in a directory")
        .to_owned()
}

/// Starts a program and reads the addresses in its first `lines` lines of output.
fn start(program: &std::path::Path, args: &[String], lines: usize) -> TestProcess {
    let mut child = Command::new(program)
        .args(args)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap_or_else(|error| {
            panic!("{}: {error}; build the workspace first", program.display())
        });
    let output = child.stdout.take().expect("the output is piped");
    let mut reader = BufReader::new(output);
    let mut addresses = Vec::new();
    for _ in 0..lines {
        let mut line = String::new();
        reader
            .read_line(&mut line)
            .expect("the process prints where it listens");
        let words = line.split_whitespace().filter(|word| word.contains(':'));
        addresses.extend(words.map(str::to_owned));
    }
    TestProcess { child, addresses }
}

/// Starts a fake platform.
pub fn platform() -> TestProcess {
    start(&build_directory().join("examples/platform"), &[], 1)
}

/// Starts a process with `count` fake targets.
pub fn targets(count: usize, delay_ms: u64) -> TestProcess {
    let mut args = vec!["--delay-ms".to_owned(), delay_ms.to_string()];
    args.extend(std::iter::repeat_n("127.0.0.1:0".to_owned(), count));
    start(&build_directory().join("examples/target"), &args, count)
}

/// Addresses of the two services of the platform.
#[derive(Clone, Debug)]
pub struct PlatformAddresses {
    /// The key-value store.
    pub store: String,
    /// The list of live VMs.
    pub live: String,
}

/// Starts a daemon and registers it in the platform's list of live VMs. Its addresses are those for
/// callers, for other VMs and for operators.
pub fn daemon(platform: &PlatformAddresses, name: &str, domain: &str) -> TestProcess {
    let mut args = Vec::new();
    for (flag, value) in [
        ("--name", name),
        ("--domain", domain),
        ("--store", &platform.store),
        ("--live-list", &platform.live),
        ("--listen", "127.0.0.1:0"),
        ("--peer-listen", "127.0.0.1:0"),
        ("--operator-listen", "127.0.0.1:0"),
    ] {
        args.extend([flag.to_owned(), value.to_owned()]);
    }
    let daemon = start(&build_directory().join("dahliawoodd"), &args, 1);
    let entry = format!(
        r#"{{"name":"{name}","http":"{}","peer":"{}","domain":"{domain}"}}"#,
        daemon.addresses[0], daemon.addresses[1]
    );
    let registered = call(
        "PUT",
        &format!("http://{}/v1/live/{name}", platform.live),
        &[],
        &entry,
    );
    assert!(
        registered.status < 300,
        "the platform did not register the VM: {}",
        registered.text()
    );
    daemon
}

/// Runs `dahliawood` with `args`.
pub fn cli(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dahliawood"));
    command.args(args).env("DAHLIAWOOD_KEY", KEY);
    command.output().expect("the command line can be run")
}

/// Makes one HTTP call; panics unless there is a complete response.
pub fn call(
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> one_shot::CallOutcome {
    let options = one_shot::CallOptions {
        headers,
        body,
        ..one_shot::CallOptions::new(method, url)
    };
    task::block_on(one_shot::call(&options)).unwrap_or_else(|error| panic!("{url}: {error}"))
}

/// Calls `attempt` until it succeeds; panics with the last error after [`WAIT_TIMEOUT`].
pub fn eventually<T>(what: &str, mut attempt: impl FnMut() -> Result<T, String>) -> T {
    let start = std::time::Instant::now();
    loop {
        match attempt() {
            Ok(value) => return value,
            Err(last) => assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "no {what}; last error: {last}"
            ),
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Runs a daemon that is expected to exit by itself, and returns its output.
pub fn run_daemon(args: &[&str]) -> Output {
    let mut command = Command::new(build_directory().join("dahliawoodd"));
    command.args(args).output().expect("the daemon can be run")
}

/// A persistent HTTP connection to a VM.
pub struct OpenConnection {
    stream: async_std::net::TcpStream,
    vm: String,
}

impl OpenConnection {
    /// Connects to a VM.
    pub fn new(vm: &str) -> Self {
        let connected = task::block_on(async_std::net::TcpStream::connect(vm));
        let stream = connected.expect("the VM takes the connection");
        Self {
            stream,
            vm: vm.to_owned(),
        }
    }

    /// Sends one GET request over the connection and returns the status of the response.
    pub fn get(&mut self, path: &str, key: &str) -> u16 {
        let url: http_types::Url = format!("http://{}{path}", self.vm)
            .parse()
            .expect("a plain URL");
        let mut request = http_types::Request::new(http_types::Method::Get, url);
        request.insert_header("authorization", format!("Bearer {key}"));
        let options = client::ExchangeOptions::default();
        task::block_on(async {
            let exchanged = client::exchange(self.stream.clone(), request, &options, |_| {}).await;
            let mut response = exchanged
                .expect("an answer over the open connection")
                .response;
            let mut body = Vec::new();
            response
                .read_to_end(&mut body)
                .await
                .expect("a whole answer");
            response.status().into()
        })
    }
}
