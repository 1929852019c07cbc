//! The `chalklug` binary; the implementation is in the library crate.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    chalklug::cli::main()
}
