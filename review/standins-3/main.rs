//! Runs a case of the review: `case NUMBER FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and
//! 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod backend;
mod case_11;
mod case_12;
mod case_13;
mod case_14;
mod case_15;
mod fleet;
mod http;
mod json;
mod link;
mod names;
mod store;

use fleet::{Record, TemporaryFolder};
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

/// What a case gets.
pub struct Setting {
    pub record: Record,
    pub folder: TemporaryFolder,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    match run() {
        Ok(0) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(count) => {
            println!("the rule was broken {count} times");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run() -> io::Result<usize> {
    let mut arguments = std::env::args().skip(1);
    let number = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_default());
    let setting = Setting {
        record: Record::create(&folder)?,
        folder: TemporaryFolder::create()?,
        has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    match number.as_str() {
        "11" => case_11::run(&setting),
        "12" => case_12::run(&setting),
        "13" => case_13::run(&setting),
        "14" => case_14::run(&setting),
        "15" => case_15::run(&setting),
        _ => Err(io::Error::other("no such case")),
    }
}
