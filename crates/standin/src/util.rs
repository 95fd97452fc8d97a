//! Logging setup and clock shared by the stand-ins.

use std::time::{SystemTime, UNIX_EPOCH};

/// Sets up `tracing` output: text on stderr, JSON when `MARJORAM_LOG_JSON=1`.
pub fn init_logs() {
    let filter = tracing_subscriber::EnvFilter::try_from_env("MARJORAM_LOG")
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match std::env::var("MARJORAM_LOG_JSON").as_deref() {
        Ok("1") => builder.json().init(),
        _ => builder.init(),
    }
}

/// Milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map(|d| d.as_millis() as u64).unwrap_or(0)
}
