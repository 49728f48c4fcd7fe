//! Stand-ins of the review's scripts: the platform's store, backends and clients as the users' pages
//! describe them, and the code that starts the daemon's processes. Uses the standard library alone.

mod backend;
mod cases;
mod client;
mod fleet;
mod http;
mod record;
mod store;
mod wire;

use std::process::exit;

/// Exit code if a case could not run.
const NOT_RUN: i32 = 2;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let held = match arguments.as_slice() {
        ["sink", file] => return fleet::sink(file),
        ["case", name, folder] => cases::run(name, folder),
        _ => Err("usage: standin case NAME FOLDER | standin sink FILE".to_owned()),
    };
    match held {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            exit(NOT_RUN)
        }
    }
}
