//! Runs the daemon as a gateway of a platform, with the platform's settings and store.

use crate::{EXIT_SETTINGS, EXIT_START};
use async_std::stream::StreamExt;
use async_std::task;
use dahliawood_gateway::run;
use dahliawood_platform::settings::{self, PlatformSettings};
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use signal_hook::consts::signal::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_async_std::Signals;
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

/// Log filter: all lines of the gateway, those of libraries from warnings up.
const LOG_SPEC: &str = "warn,dahliawood_gateway=info,dahliawood_platform=info,dahliawoodd=info";

/// Serves until SIGTERM or SIGINT arrives.
pub fn main(path: &Path) -> ExitCode {
    let settings = match settings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let _logger = match start_log() {
        Ok(logger) => logger,
        Err(error) => {
            eprintln!("cannot start the logger: {error}");
            return ExitCode::from(EXIT_START);
        }
    };
    task::block_on(serve(path, settings))
}

/// Logs to standard output.
fn start_log() -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_str(LOG_SPEC)?
        .format(write_line)
        .log_to_stdout()
        .start()
}

/// Writes info lines as they are, because the gateway formats them as JSON; wraps lines of other
/// levels in a JSON object.
fn write_line(
    output: &mut dyn Write,
    _now: &mut DeferredNow,
    record: &log::Record<'_>,
) -> std::io::Result<()> {
    match record.level() {
        log::Level::Info => write!(output, "{}", record.args()),
        level => {
            let text = record.args().to_string();
            let line = serde_json::json!({ "event": "log", "level": level.as_str(), "text": text });
            write!(output, "{line}")
        }
    }
}

async fn serve(path: &Path, settings: PlatformSettings) -> ExitCode {
    let mut signals = match Signals::new([SIGTERM, SIGINT, SIGHUP]) {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("cannot install the signal handlers: {error}");
            return ExitCode::from(EXIT_START);
        }
    };
    let store = dahliawood_platform::store::client(settings.store);
    let codec = dahliawood_platform::codec();
    let gateway = match run::start(settings.gateway, codec, store).await {
        Ok(gateway) => gateway,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_START);
        }
    };
    while signals.next().await == Some(SIGHUP) {
        reload(path);
    }
    gateway.shutdown().await;
    ExitCode::SUCCESS
}

/// Reads and checks the settings again; changed addresses and places take effect only at the next
/// start.
fn reload(path: &Path) {
    match settings::read(path) {
        Ok(_) => log::info!(r#"{{"event":"reload","is_taken":true}}"#),
        Err(error) => log::error!("invalid settings, keeping the previous ones: {error}"),
    }
}
