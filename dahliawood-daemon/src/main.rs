//! `dahliawoodd`, the daemon of an entry VM.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod gateway;

use async_std::stream::StreamExt;
use async_std::task;
use dahliawood_daemon::{run, settings};
use flexi_logger::{FlexiLoggerError, Logger, LoggerHandle};
use signal_hook::consts::signal::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;
use std::process::ExitCode;

/// Exit code if settings are missing or invalid.
const EXIT_SETTINGS: u8 = 2;
/// Exit code if the daemon cannot start.
const EXIT_START: u8 = 1;
/// Exit code if the shutdown aborted requests in flight.
const EXIT_REQUESTS_CUT: u8 = 3;

fn main() -> ExitCode {
    match dahliawood_platform::settings::path() {
        Some(path) => gateway::main(&path),
        None => standalone(),
    }
}

/// Runs with flags and environment variables as settings, the operators' file and the live list.
fn standalone() -> ExitCode {
    let raw = settings::raw_settings().run();
    let settings = match settings::check(&raw) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let _logger = match start_log(settings.log) {
        Ok(logger) => logger,
        Err(error) => {
            eprintln!("cannot start the logger: {error}");
            return ExitCode::from(EXIT_START);
        }
    };
    task::block_on(serve(settings))
}

/// Logs to standard error: this project's lines at the configured level, those of libraries from
/// warnings up.
fn start_log(level: log::LevelFilter) -> Result<LoggerHandle, FlexiLoggerError> {
    let spec = format!("warn,dahliawood_daemon={level},dahliawood_store={level}");
    Logger::try_with_str(spec)?
        .format(flexi_logger::opt_format)
        .start()
}

/// Serves until a signal arrives, then shuts down gracefully; a second signal ends the shutdown at
/// once.
async fn serve(settings: settings::DaemonSettings) -> ExitCode {
    let mut signals = match Signals::new([SIGTERM, SIGINT]) {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("cannot install the signal handlers: {error}");
            return ExitCode::from(EXIT_START);
        }
    };
    let daemon = match run::start(settings).await {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_START);
        }
    };
    // The process that started the daemon reads the bound addresses from the first line of output,
    // because the configured ports may be 0.
    println!(
        "listening {} peer {} operator {}",
        daemon.listen, daemon.peer_listen, daemon.operator_listen
    );
    signals.next().await;
    let shared = daemon.shared.clone();
    let shutdown = task::spawn(daemon.shutdown());
    let second = signals.next();
    match futures::future::select(Box::pin(shutdown), Box::pin(second)).await {
        futures::future::Either::Left((outcome, _)) if outcome.cut == 0 => ExitCode::SUCCESS,
        futures::future::Either::Left((outcome, _)) => exit_with_cut(outcome.cut),
        futures::future::Either::Right(_) => {
            exit_with_cut(shared.in_flight.load(std::sync::atomic::Ordering::Acquire))
        }
    }
}

/// Prints how many requests were aborted, and returns the exit code for that.
fn exit_with_cut(count: usize) -> ExitCode {
    eprintln!("requests cut: {count}");
    if count == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_REQUESTS_CUT)
    }
}
