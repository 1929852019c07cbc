//! The command line.

use crate::config;
use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::prelude::*;

/// Exit code for invalid settings.
const EXIT_INVALID_CONFIG: u8 = 2;
/// Environment variable that sets the log level.
const LOG_LEVEL_VARIABLE: &str = "LOG_LEVEL";

/// Cluster scheduler for rented machines.
///
/// Run one controller on each of several hosts. The controllers elect a leader, which schedules; every controller
/// accepts jobs, serves status requests and cancels jobs.
#[derive(Parser)]
#[command(name = "chalklug", version, about, subcommand_required = true)]
#[command(after_help = "\
Environment:
  LOG_LEVEL  How much to log to standard error: error, warn, info, debug or trace [default: info]

Exit codes:
  0  Success
  1  The controller could not start
  2  The command line or the settings are invalid")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller until it is killed
    ///
    /// Listens on the addresses in the platform's settings, connects to the state store and the cloud, and takes
    /// part in leader election.
    Serve(ConfigFiles),
    /// Check the settings files and exit
    ///
    /// Reports the first invalid value with its file, its field and what was expected. Opens no connections.
    Check(ConfigFiles),
    /// Print the JSON schema of the operators' settings
    ///
    /// The schema lists every field of the file given as --operator, with its meaning and default.
    Schema,
}

#[derive(clap::Args)]
struct ConfigFiles {
    /// The platform's settings (TOML)
    #[arg(long = "config", value_name = "FILE")]
    platform: PathBuf,
    /// The operators' settings (JSON) [default: built-in values]
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

impl ConfigFiles {
    fn load(&self) -> Result<config::Config, config::ConfigError> {
        config::load(&self.platform, self.operator.as_deref())
    }
}

/// Parses the arguments and runs the command.
pub fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Serve(files) => serve(&files),
        Command::Check(files) => check(&files),
        Command::Schema => {
            print!("{}", config::operator_schema());
            ExitCode::SUCCESS
        }
    }
}

fn serve(files: &ConfigFiles) -> ExitCode {
    let config = match files.load() {
        Ok(config) => config,
        Err(error) => return report_error(&error, ExitCode::from(EXIT_INVALID_CONFIG)),
    };
    init_logging();
    match crate::runtime::run(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(&error, ExitCode::FAILURE),
    }
}

fn check(files: &ConfigFiles) -> ExitCode {
    match config::check(&files.platform, files.operator.as_deref()) {
        Ok(()) => {
            println!("settings are in order");
            ExitCode::SUCCESS
        }
        Err(error) => report_error(&error, ExitCode::from(EXIT_INVALID_CONFIG)),
    }
}

fn report_error(error: &dyn std::error::Error, code: ExitCode) -> ExitCode {
    eprintln!("chalklug: {error}");
    code
}

/// Starts logging to standard error at the level in `LOG_LEVEL`, or at `info` if that is unset or invalid.
fn init_logging() {
    let level = std::env::var(LOG_LEVEL_VARIABLE)
        .ok()
        .and_then(|name| name.parse::<tracing::Level>().ok())
        .unwrap_or(tracing::Level::INFO);
    // The level applies to this crate. Other crates log at most warnings, and warp's server logs nothing.
    let filter = Targets::new()
        .with_default(level.min(tracing::Level::WARN))
        .with_target("chalklug", level)
        .with_target("warp::server", LevelFilter::OFF);
    let layer = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time();
    tracing_subscriber::registry()
        .with(layer.with_filter(filter))
        .init();
}
