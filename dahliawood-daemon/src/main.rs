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

/// Exit code where settings are missing or bad.
const EXIT_SETTINGS: u8 = 2;
/// Exit code where the daemon cannot start.
const EXIT_START: u8 = 1;
/// Exit code where the shutdown cut requests.
const EXIT_REQUESTS_CUT: u8 = 3;

fn main() -> ExitCode {
    match dahliawood_platform::settings::path() {
        Some(path) => gateway::main(&path),
        None => standalone(),
    }
}

/// Runs by the product's own settings, with the operators' file and the live list.
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
            eprintln!("the log cannot be started: {error}");
            return ExitCode::from(EXIT_START);
        }
    };
    task::block_on(serve(settings))
}

/// Logs to standard error, its own lines at the level that was set, libraries' from warnings up.
fn start_log(level: log::LevelFilter) -> Result<LoggerHandle, FlexiLoggerError> {
    let spec = format!("warn,dahliawood_daemon={level},dahliawood_store={level}");
    Logger::try_with_str(spec)?
        .format(flexi_logger::opt_format)
        .start()
}

/// Serves until a signal, then shuts down; a second signal ends it at once.
async fn serve(settings: settings::DaemonSettings) -> ExitCode {
    let mut signals = match Signals::new([SIGTERM, SIGINT]) {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("signals cannot be handled: {error}");
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
    // Whoever started the daemon reads the addresses from its first line: ports may be 0.
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

/// Says how many requests were cut.
fn exit_with_cut(count: usize) -> ExitCode {
    eprintln!("requests cut: {count}");
    if count == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_REQUESTS_CUT)
    }
}
