//! The command line.

use crate::settings;
use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::prelude::*;

/// A small cluster scheduler for sites that rent their machines.
#[derive(Parser)]
#[command(name = "chalklug", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run one controller until it is killed
    Serve(Files),
    /// Check the settings and say what is wrong with them
    Check(Files),
    /// Print the JSON schema of the operators' settings
    Schema,
}

#[derive(clap::Args)]
struct Files {
    /// The platform's settings file (TOML)
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (JSON); built-in defaults without it
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

/// Parses the arguments and runs the command.
pub fn main() -> ExitCode {
    let (files, serve) = match Cli::parse().command {
        Command::Schema => {
            print!("{}", settings::operator_schema());
            return ExitCode::SUCCESS;
        }
        Command::Check(files) => (files, false),
        Command::Serve(files) => (files, true),
    };
    let loaded = match settings::load(&files.config, files.operator.as_deref()) {
        Ok(s) => s,
        Err(e) => {
            eprintln!("chalklug: {e}");
            return ExitCode::from(2);
        }
    };
    if !serve {
        println!("settings are in order");
        return ExitCode::SUCCESS;
    }
    start_log();
    match crate::runtime::run(loaded) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("chalklug: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Logs to standard error, in the amount that `LOG_LEVEL` sets; anything unknown means `info`.
fn start_log() {
    let level = std::env::var("LOG_LEVEL")
        .ok()
        .and_then(|l| l.parse::<tracing::Level>().ok())
        .unwrap_or(tracing::Level::INFO);
    // Our own events at the level asked for; libraries only when something is wrong.
    let filter = Targets::new()
        .with_default(level.min(tracing::Level::WARN))
        .with_target("chalklug", level)
        .with_target("warp::server", tracing::level_filters::LevelFilter::OFF);
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time();
    tracing_subscriber::registry()
        .with(lines.with_filter(filter))
        .init();
}
