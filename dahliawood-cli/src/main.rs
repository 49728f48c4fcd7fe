//! `dahliawood`, the operators' command-line client.
//!
//! Files are validated locally by `dahliawood-config`; changes are sent to a VM through the
//! operators' API, and the VM applies them. The client keeps no state, and `check` needs no
//! network.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod apply;
mod args;
mod check;
mod demo;
mod edit;
mod events;
mod exit;
mod lookup;
mod operator;
mod output;
mod status;

use args::{CliArgs, CliCommand};
use async_std::task;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args = args::cli_args().run();
    match task::block_on(run(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            failure.exit_code()
        }
    }
}

/// Runs one command.
async fn run(args: CliArgs) -> Result<(), exit::CommandFailure> {
    let output = output::OutputMode { is_json: args.json };
    match args.command {
        CliCommand::Check { file } => check::run(&file, output),
        CliCommand::Diff { operator, file } => check::diff(&operator, &file, output).await,
        CliCommand::Apply {
            operator,
            apply,
            file,
        } => {
            let text = check::read(&file, output)?.text;
            apply::run(&operator, &apply, &text, output).await
        }
        CliCommand::Status {
            operator,
            write_id: None,
        } => status::run(&operator, output).await,
        CliCommand::Status {
            operator,
            write_id: Some(id),
        } => apply::query(&operator, &id, output).await,
        CliCommand::Lookup { vm, service } => lookup::run(&vm, &service, output).await,
        CliCommand::Drain {
            operator,
            apply,
            over,
            undo,
            kind,
            name,
        } => {
            let drain = edit::DrainChange {
                over,
                is_undo: undo,
                kind,
                name,
            };
            edit::drain(&operator, &apply, &drain, output).await
        }
        CliCommand::Keys { command } => edit::keys(command, output).await,
        CliCommand::Events {
            operator,
            since,
            follow,
            vm,
            kind,
        } => {
            let filter = events::EventFilter {
                since,
                is_following: follow,
                vm,
                kind,
            };
            events::run(&operator, &filter, output).await
        }
        CliCommand::Demo { seconds, keep } => demo::run(seconds, keep, output).await,
    }
}
