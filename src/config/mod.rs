//! The settings of a controller: the platform's file, the operators' file, their checks, and what is derived
//! from both.
//!
//! A controller starts only with settings that have passed every check; an error names the file, the field, its
//! value and what would be right.

mod leader_times;
mod operator;
mod platform;
mod validation;

pub use leader_times::LeaderTimes;
pub use operator::{operator_schema, OperatorConfig};
pub use platform::{
    CloudLimits, DeploymentFacts, Endpoints, NextStateStoreLimits, PeerConfig, PlatformConfig,
    ProcessLimits, Slo, SloKind, StateStoreLimits, Team, WorkerTimes,
};

use serde::de::DeserializeOwned;
use std::path::{Path, PathBuf};

/// Everything a controller is started with.
#[derive(Debug, Clone)]
pub struct Config {
    /// The platform's settings. The state store's limits are the lower ones of those in force and those to come.
    pub platform: PlatformConfig,
    /// The operators' settings.
    pub operator: OperatorConfig,
    /// What bounds a leader's right to act, derived from both.
    pub leader: LeaderTimes,
}

/// Why the settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{file}: cannot be read: {source}")]
    Read {
        /// The file.
        file: PathBuf,
        /// What the operating system says.
        source: std::io::Error,
    },
    /// The file isn't of the right form.
    #[error("{file}: {message}")]
    Parse {
        /// The file.
        file: PathBuf,
        /// What the parser says, which names the field.
        message: String,
    },
    /// A value is not one that the field can have.
    #[error("{file}: field `{field}` is {value}: {requirement}")]
    InvalidValue {
        /// The file.
        file: PathBuf,
        /// The field, with the tables it is in.
        field: String,
        /// Its value.
        value: String,
        /// What would be right.
        requirement: String,
    },
}

/// Reads and checks both files. Without the operators' file, their defaults hold.
pub fn load(platform_file: &Path, operator_file: Option<&Path>) -> Result<Config, ConfigError> {
    let mut platform: PlatformConfig = parse(platform_file, |text| {
        toml::from_str(text).map_err(|error| error.to_string().trim().to_string())
    })?;
    validation::check_platform(platform_file, &platform)?;
    platform.facts.state = platform.facts.state.effective();
    let operator = match operator_file {
        None => OperatorConfig::default(),
        Some(file) => load_operator(file)?,
    };
    let leader = LeaderTimes::derive(&platform.facts.workers, &operator)
        .ok_or_else(|| validation::cancel_too_short(platform_file, &platform.facts.workers))?;
    Ok(Config {
        platform,
        operator,
        leader,
    })
}

/// Reads and checks both files as [`load`] does, and checks what a controller could start with but should not be
/// deployed with.
pub fn check(platform_file: &Path, operator_file: Option<&Path>) -> Result<(), ConfigError> {
    let config = load(platform_file, operator_file)?;
    validation::check_worker_lease(platform_file, &config)
}

fn load_operator(file: &Path) -> Result<OperatorConfig, ConfigError> {
    let operator = parse(file, |text| {
        serde_json::from_str(text).map_err(|error| error.to_string())
    })?;
    validation::check_operator(file, &operator)?;
    Ok(operator)
}

/// Reads a file and parses its text; the parser's error is a message.
fn parse<T: DeserializeOwned>(
    file: &Path,
    parser: impl Fn(&str) -> Result<T, String>,
) -> Result<T, ConfigError> {
    let text = std::fs::read_to_string(file).map_err(|source| ConfigError::Read {
        file: file.into(),
        source,
    })?;
    parser(&text).map_err(|message| ConfigError::Parse {
        file: file.into(),
        message,
    })
}
