//! Golden files: each `tests/golden/NAME.toml` has its expected outcome in `NAME.expected`, and
//! each example file of the repository has it in `tests/golden/examples`.
//!
//! The outcome of a file that is not right is its report; that of a file that is right is its
//! revision and its canonical text. With `DAHLIAWOOD_GOLDEN=write` in the environment the outcomes
//! are written in place of being compared; read the difference before it is committed.

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

fn beside(path: &Path) -> datatest_stable::Result<()> {
    check(path, &path.with_extension("expected"))
}

fn example(path: &Path) -> datatest_stable::Result<()> {
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
    { test = beside, root = "tests/golden", pattern = r"\.toml$" },
    { test = example, root = "../examples", pattern = r"\.toml$" },
}
