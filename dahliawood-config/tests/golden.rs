//! Golden tests: the expected outcome of each `tests/golden/NAME.toml` is in `NAME.expected`, and
//! that of each example file of the repository is in `tests/golden/examples`.
//!
//! The outcome of an invalid file is its report; the outcome of a valid file is its revision and
//! its canonical text. With `DAHLIAWOOD_GOLDEN=write` in the environment, the outcomes are written
//! instead of compared; review the diff before committing it.

use dahliawood_config::{canonical, parse};
use std::path::Path;

const MODE_VARIABLE: &str = "DAHLIAWOOD_GOLDEN";

fn outcome(name: &str, text: &str) -> String {
    match parse::file(name, text) {
        Ok(config) => {
            let revision = canonical::revision(&config);
            let text = canonical::text(&config);
            format!("revision {revision}\n\n{text}")
        }
        Err(report) => report.to_string(),
    }
}

fn golden_file(path: &Path) -> datatest_stable::Result<()> {
    check(path, &path.with_extension("expected"))
}

fn example_file(path: &Path) -> datatest_stable::Result<()> {
    let name = path.with_extension("expected");
    let expected = Path::new("tests/golden/examples").join(name.file_name().unwrap_or_default());
    check(path, &expected)
}

fn check(path: &Path, expected_path: &Path) -> datatest_stable::Result<()> {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let text = std::fs::read_to_string(path)?;
    let found = outcome(&name, &text);
    if std::env::var(MODE_VARIABLE).is_ok_and(|mode| mode == "write") {
        std::fs::write(expected_path, &found)?;
        return Ok(());
    }
    let expected = std::fs::read_to_string(expected_path)?;
    if found != expected {
        return Err(format!("expected\n{expected}\nfound\n{found}").into());
    }
    Ok(())
}

datatest_stable::harness! {
    { test = golden_file, root = "tests/golden", pattern = r"\.toml$" },
    { test = example_file, root = "../examples", pattern = r"\.toml$" },
}
