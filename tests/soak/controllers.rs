//! The controller processes, which faults kill, pause and restart. Signals go only to child processes of the test,
//! which are killed when [`Controllers`] is dropped, also after a panic.

use super::cloud::LIST_LAG_SECS;
use super::settings::Settings;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A controller and the paths of its files.
struct Controller {
    child: Option<Child>,
    config: PathBuf,
    log: PathBuf,
}

impl Controller {
    fn start(&mut self) {
        if self.child.is_some() {
            return;
        }
        let log: File = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("failed to open the log file");
        let child = Command::new(env!("CARGO_BIN_EXE_chalklug"))
            .args(["serve", "--config"])
            .arg(&self.config)
            .arg("--operator")
            .arg(self.config.with_file_name("operator.json"))
            .env("LOG_LEVEL", "debug")
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("failed to start a controller");
        self.child = Some(child);
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Whether the process has exited without being killed by the test.
    fn has_exited(&mut self) -> bool {
        let status = self.child.as_mut().map(Child::try_wait);
        matches!(status, Some(Ok(Some(_))))
    }
}

/// All controllers of a run.
pub struct Controllers {
    controllers: Vec<Controller>,
    directory: PathBuf,
}

/// Operator settings: a short leader lease, in proportion to the other intervals of the test.
const OPERATOR_CONFIG: &str = r#"{"leader_life_ms": 3000}"#;

impl Controllers {
    /// Writes the settings files and starts all controllers.
    pub fn start(directory: &Path, settings: &Settings) -> Controllers {
        std::fs::create_dir_all(directory).expect("failed to create the run's directory");
        std::fs::write(directory.join("operator.json"), OPERATOR_CONFIG)
            .expect("failed to write operator.json");
        let numbers = 0..settings.http_addrs.len();
        let controllers = numbers.map(|number| {
            let config = directory.join(format!("n{number}.toml"));
            std::fs::write(&config, settings.text(number, LIST_LAG_SECS))
                .expect("failed to write a settings file");
            let mut controller = Controller {
                child: None,
                config,
                log: directory.join(format!("n{number}.log")),
            };
            controller.start();
            controller
        });
        Controllers {
            controllers: controllers.collect(),
            directory: directory.to_owned(),
        }
    }

    pub fn kill(&mut self, number: usize) {
        self.controllers[number].kill();
    }

    pub fn restart(&mut self, number: usize) {
        self.controllers[number].start();
    }

    pub fn pause(&mut self, number: usize) {
        self.controllers[number].signal(Signal::SIGSTOP);
    }

    pub fn resume(&mut self, number: usize) {
        self.controllers[number].signal(Signal::SIGCONT);
    }

    /// Resumes the paused controllers and starts the killed ones.
    pub fn restore_all(&mut self) {
        for controller in &mut self.controllers {
            controller.signal(Signal::SIGCONT);
            controller.start();
        }
    }

    /// Returns the controllers that have exited without being killed by the test.
    pub fn exited(&mut self) -> Vec<usize> {
        let controllers = self.controllers.iter_mut().enumerate();
        let exited = controllers.filter_map(|(number, c)| c.has_exited().then_some(number));
        exited.collect()
    }

    /// Returns the directory of the settings files and logs.
    pub fn directory(&self) -> &Path {
        &self.directory
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for controller in &mut self.controllers {
            controller.signal(Signal::SIGCONT);
            controller.kill();
        }
    }
}
