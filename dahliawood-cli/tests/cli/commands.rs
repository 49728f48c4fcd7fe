//! Single commands: exit codes, and messages about invalid input.

use crate::processes;

#[test]
fn check_needs_no_network_and_accepts_both_examples() {
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
fn an_invalid_file_is_refused_with_the_position_of_the_error() {
    let path = format!("{}/bad.toml", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&path, "[fleet]\nname = \"x\"\nrate = 3\n").expect("the test can write");
    let outcome = processes::cli(&["check", &path]);
    assert_eq!(outcome.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&outcome.stderr);
    assert!(stderr.contains("bad.toml:3:1"), "{stderr}");
}

#[test]
fn an_unreachable_fleet_has_its_own_exit_code() {
    let outcome = processes::cli(&["status", "--operator", "127.0.0.1:1"]);
    assert_eq!(outcome.status.code(), Some(1));
}

#[test]
fn errors_of_settings_name_flag_variable_value_and_accepted_form() {
    let outcome = processes::run_daemon(&["--listen", "nowhere", "--name", "vm-1"]);
    assert_eq!(outcome.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&outcome.stderr);
    for expected in [
        "--listen",
        "DAHLIAWOOD_LISTEN",
        "\"nowhere\"",
        "an IP address and a port",
    ] {
        assert!(stderr.contains(expected), "{expected} is not in: {stderr}");
    }
    for expected in ["--domain (or DAHLIAWOOD_DOMAIN) is missing", "--store"] {
        assert!(stderr.contains(expected), "{expected} is not in: {stderr}");
    }
}
