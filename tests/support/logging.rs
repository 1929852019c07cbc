//! Log output of the scheduler, for whoever looks into a failing test.

/// With `TEST_LOG` set, what the scheduler logs goes to standard error.
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
