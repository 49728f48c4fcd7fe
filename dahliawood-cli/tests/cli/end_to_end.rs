//! End-to-end tests with separate processes, from the configuration file to the responses to
//! callers.

use crate::processes::{self, KEY, PlatformAddresses, TestProcess};
use dahliawood_wire::one_shot;
use std::fs;
use std::path::PathBuf;

/// The example file, with the addresses of its targets replaced by `addresses`.
fn file_text(addresses: &[String]) -> String {
    let example = include_str!("../../../examples/lianguang.toml");
    let config = dahliawood_config::parse::file("example", example).expect("the example is valid");
    let mut text = example.to_owned();
    let targets = config.targets.values().zip(addresses.iter());
    for (target, address) in targets {
        text = text.replace(
            &format!("\"{}\"", target.address),
            &format!("\"{address}\""),
        );
    }
    text
}

/// Writes `text` to the file `name` in the tests' temporary directory.
fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the test can write its file");
    path
}

/// A fleet of separate processes in which the example file is in force.
struct ProcessFleet {
    platform: [TestProcess; 2],
    addresses: PlatformAddresses,
    _targets: TestProcess,
    daemons: Vec<TestProcess>,
}

const DOMAINS: [&str; 3] = ["north-a", "central-a", "south-a"];

fn fleet(name: &str) -> ProcessFleet {
    let platform = [processes::platform(), processes::platform()];
    let [store, live] = platform
        .each_ref()
        .map(|process| process.addresses[0].clone());
    let addresses = PlatformAddresses { store, live };
    let targets = processes::targets(44, 1);
    let daemons: Vec<_> = DOMAINS
        .iter()
        .zip(1..)
        .map(|(domain, number)| processes::daemon(&addresses, &format!("vm-{number}"), domain))
        .collect();
    let file = write_file(name, &file_text(&targets.addresses));
    let operator = daemons[0].addresses[2].clone();
    let applied = processes::cli(&[
        "apply",
        "--operator",
        &operator,
        file.to_str().expect("plain path"),
    ]);
    assert!(
        applied.status.success(),
        "{}",
        String::from_utf8_lossy(&applied.stderr)
    );
    let stdout = String::from_utf8_lossy(&applied.stdout);
    assert!(
        stdout.contains("revision 1 accepted, in force on 3 of 3"),
        "{stdout}"
    );
    ProcessFleet {
        platform,
        addresses,
        _targets: targets,
        daemons,
    }
}

/// Repeats a look-up until it returns a VM, and returns the URLs. A daemon returns other VMs only
/// once it has heard from them.
fn lookup_urls(vm: &str) -> Vec<String> {
    processes::eventually("look-up that returns a VM", || {
        let outcome = processes::cli(&["--json", "lookup", "--vm", vm, "catalogue"]);
        let stdout = String::from_utf8_lossy(&outcome.stdout).into_owned();
        let json: serde_json::Value = serde_json::from_str(&stdout).unwrap_or_default();
        let vms = json["vms"].as_array().into_iter().flatten();
        let urls: Vec<_> = vms
            .filter_map(|vm| vm["url"].as_str().map(str::to_owned))
            .collect();
        if urls.is_empty() {
            Err(stdout)
        } else {
            Ok(urls)
        }
    })
}

/// The response if its status is 200, otherwise its body as the error.
fn successful(response: one_shot::CallOutcome) -> Result<one_shot::CallOutcome, String> {
    if response.status == 200 {
        Ok(response)
    } else {
        Err(response.text().into_owned())
    }
}

#[test]
fn a_request_is_served_end_to_end_and_no_target_sees_the_key() {
    let fleet = fleet("served.toml");
    let urls = lookup_urls(&fleet.daemons[2].addresses[0]);
    let bearer = format!("Bearer {KEY}");
    let url = format!("{}/catalogue/1?access_token={KEY}&size=2", urls[0]);
    let response = processes::eventually("response", || {
        let headers = [("authorization", bearer.as_str()), ("cookie", "a=1")];
        let response = processes::call("GET", &url, &headers, "");
        successful(response)
    });
    let text = response.text().into_owned();
    let record: serde_json::Value = serde_json::from_str(&text).expect("the target's record");
    assert_eq!(record["uri"], "/catalogue/1?size=2");
    assert!(!text.contains(KEY), "the target saw the key: {text}");
    assert!(!text.to_lowercase().contains("bearer"), "{text}");
    assert_eq!(record["headers"]["x-forwarded-for"][0], "127.0.0.1");

    let refused = processes::call("GET", &format!("{}/catalogue/1", urls[0]), &[], "");
    assert_eq!(refused.status, 401);
    assert!(
        refused.text().contains("\"ran\":\"not-run\""),
        "{}",
        refused.text()
    );
}

#[test]
fn the_fleet_serves_after_a_vm_is_killed_and_a_stopped_vm_exits_gracefully() {
    let mut fleet = fleet("killed.toml");
    let urls = lookup_urls(&fleet.daemons[1].addresses[0]);
    fleet.daemons[0].kill();
    // The platform removes a VM from its list some time after the VM has failed; only then may
    // other VMs take over its allocations.
    let entry = format!("http://{}/v1/live/vm-1", fleet.addresses.live);
    processes::call("DELETE", &entry, &[], "");
    let killed = format!("http://{}", fleet.daemons[0].addresses[0]);
    let other = fleet.daemons[1].addresses[0].clone();
    processes::eventually("look-up without the killed VM", || {
        let urls = lookup_urls(&other);
        if urls.contains(&killed) {
            Err(urls.join(" "))
        } else {
            Ok(())
        }
    });
    let alive = urls.iter().find(|url| **url != killed).cloned();
    let url = format!("{}/catalogue/1", alive.unwrap_or(format!("http://{other}")));
    let bearer = format!("Bearer {KEY}");
    processes::eventually("response through another VM", || {
        let headers = [("authorization", bearer.as_str())];
        let response = processes::call("GET", &url, &headers, "");
        successful(response)
    });
    fleet.daemons[2].terminate();
    assert!(
        fleet.daemons[2].wait().success(),
        "a graceful shutdown ends with success"
    );
}

#[test]
fn a_vm_that_starts_during_a_store_outage_gets_the_configuration_from_its_peers() {
    let mut fleet = fleet("outage.toml");
    fleet.platform[0].kill();
    let daemon = processes::daemon(&fleet.addresses, "vm-4", "north-b");
    fleet.daemons.push(daemon);
    let url = format!("http://{}/v1/health", fleet.daemons[3].addresses[0]);
    processes::eventually("new VM that serves", || {
        let health = processes::call("GET", &url, &[], "");
        let text = health.text().into_owned();
        let serves = health.status == 200 && text.contains("\"revision\":1");
        if serves { Ok(()) } else { Err(text) }
    });
}

#[test]
fn two_daemons_cannot_listen_at_the_same_address() {
    let platform = processes::platform();
    let address = platform.addresses[0].clone();
    let addresses = PlatformAddresses {
        store: address.clone(),
        live: address.clone(),
    };
    let first = processes::daemon(&addresses, "vm-1", "north-a");
    let arguments = ["--name", "vm-2", "--domain", "north-a", "--store", &address];
    let listen = [
        "--listen",
        &first.addresses[0],
        "--peer-listen",
        "127.0.0.1:0",
    ];
    let second = processes::run_daemon(&[&arguments[..], &listen[..]].concat());
    assert_eq!(second.status.code(), Some(1));
    let stderr = String::from_utf8_lossy(&second.stderr);
    assert!(
        stderr.contains(&format!("cannot listen at {}", first.addresses[0])),
        "{stderr}"
    );
}

#[test]
fn a_vm_without_store_and_peers_refuses_requests() {
    let mut fleet = fleet("isolated.toml");
    lookup_urls(&fleet.daemons[2].addresses[0]);
    fleet.platform[0].kill();
    fleet.daemons[0].kill();
    fleet.daemons[1].kill();
    let vm = fleet.daemons[2].addresses[0].clone();
    let bearer = format!("Bearer {KEY}");
    let headers = [("authorization", bearer.as_str())];
    let refused = processes::eventually("refusal by an isolated VM", || {
        let response = processes::call("GET", &format!("http://{vm}/surveys/1"), &headers, "");
        let text = response.text().into_owned();
        if text.contains("problem:isolated") {
            Ok(response)
        } else {
            Err(text)
        }
    });
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    assert!(
        refused.text().contains("\"ran\":\"not-run\""),
        "{}",
        refused.text()
    );
}

#[test]
fn a_withdrawn_key_stops_working_on_an_open_connection() {
    let fleet = fleet("withdrawn.toml");
    let vm = fleet.daemons[1].addresses[0].clone();
    let mut open = processes::OpenConnection::new(&vm);
    processes::eventually("look-up over the open connection", || {
        let status = open.get("/v1/lookup?service=drawings", KEY);
        if status == 200 {
            Ok(())
        } else {
            Err(status.to_string())
        }
    });
    let operator = fleet.daemons[2].addresses[2].clone();
    let withdrawn = processes::cli(&["keys", "withdraw", "--operator", &operator, "yongguang-1"]);
    assert!(
        withdrawn.status.success(),
        "{}",
        String::from_utf8_lossy(&withdrawn.stderr)
    );
    // The command exits successfully only once the revision is in force on all three VMs.
    assert_eq!(open.get("/v1/lookup?service=drawings", KEY), 401);
}

#[test]
fn of_two_concurrent_writes_with_the_same_expected_revision_one_succeeds() {
    let fleet = fleet("operators.toml");
    let operator = |index: usize| fleet.daemons[index].addresses[2].clone();
    let customers = ["yongguang-lighting", "mingliang"];
    let (first, second) = (operator(0), operator(1));
    let [one, other] = std::thread::scope(|scope| {
        [(&first, customers[0]), (&second, customers[1])]
            .map(|(operator, customer)| {
                scope.spawn(move || {
                    let args = [
                        "keys",
                        "grant",
                        "--operator",
                        operator,
                        "--expect",
                        "1",
                        customer,
                    ];
                    processes::cli(&args)
                })
            })
            .map(|thread| thread.join().expect("the command line can be run"))
    });
    let codes = [one.status.code(), other.status.code()];
    let succeeded = codes.iter().filter(|code| **code == Some(0)).count();
    let failed = codes.iter().filter(|code| **code == Some(3)).count();
    assert_eq!((succeeded, failed), (1, 1), "{codes:?}");
}
