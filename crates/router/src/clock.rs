//! The clocks used for leases, deadlines and time stamps.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Time since boot, including suspension (`CLOCK_BOOTTIME`). Unlike with `Instant`, a
/// host that was suspended detects that its lease has expired.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

/// Time since the Unix epoch, for times that are used beyond this process. It may step
/// by seconds in either direction.
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
