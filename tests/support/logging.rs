//! Log output of the scheduler for the analysis of failed tests.

/// Writes the scheduler's log to standard error if `TEST_LOG` is set.
pub fn init_logging() {
    if std::env::var_os("TEST_LOG").is_some() {
        let _ = tracing_subscriber::fmt()
            .with_max_level(tracing::Level::DEBUG)
            .with_ansi(false)
            .without_time()
            .with_writer(std::io::stderr)
            .try_init();
    }
}
