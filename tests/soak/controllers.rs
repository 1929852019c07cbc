//! The controllers: real processes, which may be killed, paused and started again. Only our own children are
//! touched, by their ids, and they end with the run, however that ends.

use super::cloud::LIST_LAG_SECS;
use super::settings::Settings;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// One controller.
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
            .expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_chalklug"))
            .args(["serve", "--config"])
            .arg(&self.config)
            .arg("--operator")
            .arg(self.config.with_file_name("operator.json"))
            .env("LOG_LEVEL", "debug")
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("a process");
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

    /// Whether it has ended by itself.
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

/// The leader's lease is short, as everything here is.
const OPERATOR_CONFIG: &str = r#"{"leader_life_ms": 3000}"#;

impl Controllers {
    /// Writes the settings and starts every process.
    pub fn start(directory: &Path, settings: &Settings) -> Controllers {
        std::fs::create_dir_all(directory).expect("a directory");
        std::fs::write(directory.join("operator.json"), OPERATOR_CONFIG)
            .expect("the operator's file");
        let numbers = 0..settings.http_addrs.len();
        let controllers = numbers.map(|number| {
            let config = directory.join(format!("n{number}.toml"));
            std::fs::write(&config, settings.text(number, LIST_LAG_SECS)).expect("settings");
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

    /// All of them run, whatever was done to them.
    pub fn restore_all(&mut self) {
        for controller in &mut self.controllers {
            controller.signal(Signal::SIGCONT);
            controller.start();
        }
    }

    /// Controllers that have ended by themselves: none should.
    pub fn exited(&mut self) -> Vec<usize> {
        let controllers = self.controllers.iter_mut().enumerate();
        let exited = controllers.filter_map(|(number, c)| c.has_exited().then_some(number));
        exited.collect()
    }

    /// Where settings and logs are.
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
