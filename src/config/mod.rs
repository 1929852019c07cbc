//! The settings of a controller: the platform's file, the operators' file, their validation, and the times derived
//! from both.
//!
//! A controller starts only with valid settings. An error names the file, the field, its value and the requirement.

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

/// The settings that a controller is started with.
#[derive(Debug, Clone)]
pub struct Config {
    /// The platform's settings. Each limit of the state store is the lower of its current and its next value.
    pub platform: PlatformConfig,
    /// The operators' settings.
    pub operator: OperatorConfig,
    /// Time bounds of the leader's authority, derived from both.
    pub leader: LeaderTimes,
}

/// Why the settings were rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{file}: cannot be read: {source}")]
    Read {
        /// The settings file.
        file: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The file can't be parsed.
    #[error("{file}: {message}")]
    Parse {
        /// The settings file.
        file: PathBuf,
        /// The parser's message, which names the field.
        message: String,
    },
    /// A field has an invalid value.
    #[error("{file}: field `{field}` is {value}: {requirement}")]
    InvalidValue {
        /// The settings file.
        file: PathBuf,
        /// The path of the field, such as `facts.workers.lease_s`.
        field: String,
        /// The field's value.
        value: String,
        /// The requirement that the value doesn't meet.
        requirement: String,
    },
}

/// Reads and validates both files. Without an operators' file, the defaults apply.
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

/// Reads and validates both files as [`load`] does, and also rejects settings with which a controller starts but
/// should not be deployed.
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

/// Reads and parses a file; `parser` returns a message as its error.
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
