//! Runs one case: real controllers on loopback, with stand-ins of the state service, the cloud, the workers and the
//! users. Arguments: the case, the run line of the deploy file, a temporary folder and the record's path.
//! Exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.

mod cases;
mod controllers;
mod http;
mod json;
mod machines;
mod store;
mod world;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, run, dir, record] = args.as_slice() else {
        eprintln!("usage: standins CASE RUN-LINE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = cases::run(case, run, dir.as_ref(), record.as_ref(), trouble);
    match verdict {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
