//! Starts the processes of a small fleet on free ports, and ends each by its id.

use async_std::task;
use dahliawood_wire::{client, one_shot};
use futures::AsyncReadExt;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::time::Duration;

/// How long anything may take before the test gives up on it.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Example key of the first customer, as `examples/README.md` lists it.
pub const KEY: &str =
    "dw_yongguang-1_de280036edad085a7cd92da224714f8d2f5ef85876497792f7396e1a677e0172";

/// A process that ends with the test.
pub struct TestProcess {
    child: Child,
    /// Addresses of its first lines.
    pub addresses: Vec<String>,
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

impl TestProcess {
    /// Kills it, as a VM that fails.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process can be waited for");
    }

    /// Asks it to stop gracefully.
    pub fn terminate(&self) {
        let id = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(id, rustix::process::Signal::TERM)
            .expect("the process can be asked to stop");
    }

    /// Waits for its end.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process can be waited for")
    }
}

/// The folder of the built binaries.
fn build_folder() -> PathBuf {
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_dahliawood"));
    binary.parent().expect("a binary is in a folder").to_owned()
}

/// Starts a program and reads the addresses of its first `lines` lines.
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

/// The platform's stand-in.
pub fn platform() -> TestProcess {
    start(&build_folder().join("examples/platform"), &[], 1)
}

/// Stand-ins of `count` targets.
pub fn targets(count: usize, delay_ms: u64) -> TestProcess {
    let mut args = vec!["--delay-ms".to_owned(), delay_ms.to_string()];
    args.extend(std::iter::repeat_n("127.0.0.1:0".to_owned(), count));
    start(&build_folder().join("examples/target"), &args, count)
}

/// Where the two services of the platform are.
#[derive(Clone, Debug)]
pub struct PlatformPlaces {
    /// The key-value service.
    pub store: String,
    /// The live list.
    pub live: String,
}

/// A daemon, told to the platform; its addresses are those of callers, VMs and operators.
pub fn daemon(places: &PlatformPlaces, name: &str, domain: &str) -> TestProcess {
    let mut args = Vec::new();
    for (flag, value) in [
        ("--name", name),
        ("--domain", domain),
        ("--store", &places.store),
        ("--live-list", &places.live),
        ("--listen", "127.0.0.1:0"),
        ("--peer-listen", "127.0.0.1:0"),
        ("--operator-listen", "127.0.0.1:0"),
    ] {
        args.extend([flag.to_owned(), value.to_owned()]);
    }
    let daemon = start(&build_folder().join("dahliawoodd"), &args, 1);
    let entry = format!(
        r#"{{"name":"{name}","http":"{}","peer":"{}","domain":"{domain}"}}"#,
        daemon.addresses[0], daemon.addresses[1]
    );
    let told = call(
        "PUT",
        &format!("http://{}/v1/live/{name}", places.live),
        &[],
        &entry,
    );
    assert!(
        told.status < 300,
        "the platform lists the VM: {}",
        told.text()
    );
    daemon
}

/// Runs the command line.
pub fn cli(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dahliawood"));
    command.args(args).env("DAHLIAWOOD_KEY", KEY);
    command.output().expect("the command line can be run")
}

/// One HTTP call that has to get a whole answer.
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

/// Asks again and again until `answer` is there; says what the last one was where it never is.
pub fn eventually<T>(what: &str, mut answer: impl FnMut() -> Result<T, String>) -> T {
    let start = std::time::Instant::now();
    loop {
        match answer() {
            Ok(answer) => return answer,
            Err(last) => assert!(
                start.elapsed() < PATIENCE,
                "no {what}, the last was: {last}"
            ),
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Runs a daemon that is expected to end by itself.
pub fn run_daemon(args: &[&str]) -> Output {
    let mut command = Command::new(build_folder().join("dahliawoodd"));
    command.args(args).output().expect("the daemon can be run")
}

/// A connection that stays open between requests.
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

    /// The status of the answer to one request over it.
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
