//! The clock leases and deadlines are judged by.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time since boot, suspension included (`CLOCK_BOOTTIME`): unlike
/// `Instant` it shows a host that slept that its lease is over.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}
