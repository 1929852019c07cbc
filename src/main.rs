//! The thin binary: everything of substance lives in the library.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    chalklug::cli::main()
}
