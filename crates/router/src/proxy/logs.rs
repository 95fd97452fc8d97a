//! Structured logs to standard output, through a bounded queue that never blocks.
//!
//! The queue holds [`MAX_LINES`] lines; when it is full, further lines are dropped
//! and counted, so a stalled reader of the output never delays a request.

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Lines that may be queued for writing: about ten seconds of a busy host.
const MAX_LINES: usize = 4_096;

/// The writer of log lines; lines are flushed when it is dropped.
pub struct Logs {
    /// Lines dropped so far.
    pub dropped: ErrorCounter,
    _writer: WorkerGuard,
}

/// Sets up logging as JSON, filtered by the environment variable `MARJORAM_LOG`
/// (level `info` if it is unset or invalid). Panics are logged as errors.
pub fn init() -> Logs {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_LINES);
    let (writer, guard) = builder.finish(std::io::stdout());
    let dropped = writer.error_counter();
    let filter = tracing_subscriber::EnvFilter::try_from_env("MARJORAM_LOG")
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(writer)
        .init();
    std::panic::set_hook(Box::new(|panic| {
        let location = panic.location().map(ToString::to_string);
        let why = panic.payload_as_str();
        tracing::error!(target: "panic", location, why, "task panicked");
    }));
    Logs { dropped, _writer: guard }
}
