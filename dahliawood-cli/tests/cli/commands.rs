//! Commands by themselves: exit codes, and what is said of bad input.

use crate::processes;

#[test]
fn check_needs_no_network_and_takes_both_examples() {
    for file in ["lianguang.toml", "barrientos-urrego.toml"] {
        let path = format!("{}/../examples/{file}", env!("CARGO_MANIFEST_DIR"));
        let outcome = processes::cli(&["check", &path]);
        assert!(
            outcome.status.success(),
            "{}",
            String::from_utf8_lossy(&outcome.stderr)
        );
    }
}

#[test]
fn a_file_with_mistakes_is_refused_with_their_places() {
    let path = format!("{}/bad.toml", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&path, "[fleet]\nname = \"x\"\nrate = 3\n").expect("the test can write");
    let outcome = processes::cli(&["check", &path]);
    assert_eq!(outcome.status.code(), Some(2));
    let said = String::from_utf8_lossy(&outcome.stderr);
    assert!(said.contains("bad.toml:3:1"), "{said}");
}

#[test]
fn an_unreachable_fleet_is_told_from_a_refusal() {
    let outcome = processes::cli(&["status", "--operator", "127.0.0.1:1"]);
    assert_eq!(outcome.status.code(), Some(1));
}

#[test]
fn bad_settings_name_flag_variable_value_and_what_is_accepted() {
    let outcome = processes::run_daemon(&["--listen", "nowhere", "--name", "vm-1"]);
    assert_eq!(outcome.status.code(), Some(2));
    let said = String::from_utf8_lossy(&outcome.stderr);
    for expected in [
        "--listen",
        "DAHLIAWOOD_LISTEN",
        "\"nowhere\"",
        "an IP address and a port",
    ] {
        assert!(said.contains(expected), "{expected} is not in: {said}");
    }
    for expected in ["--domain (or DAHLIAWOOD_DOMAIN) is missing", "--store"] {
        assert!(said.contains(expected), "{expected} is not in: {said}");
    }
}
