//! From an operator's file to a caller's answer, through separate processes.

use crate::processes::{self, KEY, PlatformPlaces, TestProcess};
use dahliawood_wire::one_shot;
use std::fs;
use std::path::PathBuf;

/// A small file of two regions with one service, for the targets at `addresses`.
fn file_text(addresses: &[String]) -> String {
    let example = include_str!("../../../examples/lianguang.toml");
    let config = dahliawood_config::parse::file("example", example).expect("the example is right");
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

/// Writes a file of this test's own.
fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the test can write its file");
    path
}

/// A fleet of separate processes with the file in force.
struct ProcessFleet {
    platform: [TestProcess; 2],
    places: PlatformPlaces,
    _targets: TestProcess,
    daemons: Vec<TestProcess>,
}

const DOMAINS: [&str; 3] = ["north-a", "central-a", "south-a"];

fn fleet(name: &str) -> ProcessFleet {
    let platform = [processes::platform(), processes::platform()];
    let [store, live] = platform
        .each_ref()
        .map(|process| process.addresses[0].clone());
    let places = PlatformPlaces { store, live };
    let targets = processes::targets(44, 1);
    let daemons: Vec<_> = DOMAINS
        .iter()
        .zip(1..)
        .map(|(domain, number)| processes::daemon(&places, &format!("vm-{number}"), domain))
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
    let said = String::from_utf8_lossy(&applied.stdout);
    assert!(
        said.contains("revision 1 accepted, in force on 3 of 3"),
        "{said}"
    );
    ProcessFleet {
        platform,
        places,
        _targets: targets,
        daemons,
    }
}

/// Asks for a lookup until it names a VM; daemons name each other once they heard each other.
fn looked_up(vm: &str) -> Vec<String> {
    processes::eventually("a look-up that names a VM", || {
        let outcome = processes::cli(&["--json", "lookup", "--vm", vm, "catalogue"]);
        let said = String::from_utf8_lossy(&outcome.stdout).into_owned();
        let json: serde_json::Value = serde_json::from_str(&said).unwrap_or_default();
        let vms = json["vms"].as_array().into_iter().flatten();
        let urls: Vec<_> = vms
            .filter_map(|vm| vm["url"].as_str().map(str::to_owned))
            .collect();
        if urls.is_empty() { Err(said) } else { Ok(urls) }
    })
}

/// The answer where it is one of a target, otherwise what it says.
fn whole(answer: one_shot::CallOutcome) -> Result<one_shot::CallOutcome, String> {
    if answer.status == 200 {
        Ok(answer)
    } else {
        Err(answer.text().into_owned())
    }
}

#[test]
fn a_request_is_served_end_to_end_and_no_target_sees_the_key() {
    let fleet = fleet("served.toml");
    let urls = looked_up(&fleet.daemons[2].addresses[0]);
    let bearer = format!("Bearer {KEY}");
    let url = format!("{}/catalogue/1?access_token={KEY}&size=2", urls[0]);
    let answer = processes::eventually("an answer", || {
        let headers = [("authorization", bearer.as_str()), ("cookie", "a=1")];
        let answer = processes::call("GET", &url, &headers, "");
        whole(answer)
    });
    let text = answer.text().into_owned();
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
fn a_killed_vm_costs_nothing_but_itself_and_a_stopped_one_ends_gracefully() {
    let mut fleet = fleet("killed.toml");
    let urls = looked_up(&fleet.daemons[1].addresses[0]);
    fleet.daemons[0].kill();
    // The platform's list lags, but in the end it no longer has a VM that is gone: only then may
    // others take over what it held.
    let entry = format!("http://{}/v1/live/vm-1", fleet.places.live);
    processes::call("DELETE", &entry, &[], "");
    let dead = format!("http://{}", fleet.daemons[0].addresses[0]);
    let other = fleet.daemons[1].addresses[0].clone();
    processes::eventually("look-ups that do not name the dead VM", || {
        let urls = looked_up(&other);
        if urls.contains(&dead) {
            Err(urls.join(" "))
        } else {
            Ok(())
        }
    });
    let alive = urls.iter().find(|url| **url != dead).cloned();
    let url = format!("{}/catalogue/1", alive.unwrap_or(format!("http://{other}")));
    let bearer = format!("Bearer {KEY}");
    processes::eventually("an answer through another VM", || {
        let headers = [("authorization", bearer.as_str())];
        let answer = processes::call("GET", &url, &headers, "");
        whole(answer)
    });
    fleet.daemons[2].terminate();
    assert!(
        fleet.daemons[2].wait().success(),
        "a graceful shutdown ends with success"
    );
}

#[test]
fn a_vm_that_starts_during_an_outage_of_the_store_learns_from_its_peers() {
    let mut fleet = fleet("outage.toml");
    fleet.platform[0].kill();
    let newcomer = processes::daemon(&fleet.places, "vm-4", "north-b");
    fleet.daemons.push(newcomer);
    let url = format!("http://{}/v1/health", fleet.daemons[3].addresses[0]);
    processes::eventually("a newcomer that serves", || {
        let health = processes::call("GET", &url, &[], "");
        let text = health.text().into_owned();
        let serves = health.status == 200 && text.contains("\"revision\":1");
        if serves { Ok(()) } else { Err(text) }
    });
}

#[test]
fn two_daemons_cannot_have_one_address() {
    let platform = processes::platform();
    let place = platform.addresses[0].clone();
    let places = PlatformPlaces {
        store: place.clone(),
        live: place.clone(),
    };
    let first = processes::daemon(&places, "vm-1", "north-a");
    let arguments = ["--name", "vm-2", "--domain", "north-a", "--store", &place];
    let listen = [
        "--listen",
        &first.addresses[0],
        "--peer-listen",
        "127.0.0.1:0",
    ];
    let second = processes::run_daemon(&[&arguments[..], &listen[..]].concat());
    assert_eq!(second.status.code(), Some(1));
    let said = String::from_utf8_lossy(&second.stderr);
    assert!(
        said.contains(&format!("cannot listen at {}", first.addresses[0])),
        "{said}"
    );
}

#[test]
fn a_vm_that_is_cut_off_from_everything_takes_no_work() {
    let mut fleet = fleet("isolated.toml");
    looked_up(&fleet.daemons[2].addresses[0]);
    fleet.platform[0].kill();
    fleet.daemons[0].kill();
    fleet.daemons[1].kill();
    let vm = fleet.daemons[2].addresses[0].clone();
    let bearer = format!("Bearer {KEY}");
    let headers = [("authorization", bearer.as_str())];
    let refused = processes::eventually("refusal of an isolated VM", || {
        let answer = processes::call("GET", &format!("http://{vm}/surveys/1"), &headers, "");
        let text = answer.text().into_owned();
        if text.contains("problem:isolated") {
            Ok(answer)
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
    // It was in force on all three when the command ended.
    assert_eq!(open.get("/v1/lookup?service=drawings", KEY), 401);
}

#[test]
fn of_two_operators_who_expect_one_revision_one_wins() {
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
    let won = codes.iter().filter(|code| **code == Some(0)).count();
    let lost = codes.iter().filter(|code| **code == Some(3)).count();
    assert_eq!((won, lost), (1, 1), "{codes:?}");
}
