//! The time of day as the hosts agree on it.
//!
//! Load pattern: times that outlive all processes can only be kept as times of day,
//! and the time of day of single hosts steps by minutes or hours.
//!
//! Limits: hosts send each other their time of day. The median is correct as long as
//! fewer than half of the hosts that are heard have stepped. A process that has just
//! started and has heard nobody uses its own.

use std::time::Duration;

/// The median of this host's time of day `own` and those of the `others`, all at the same
/// moment, since the Unix epoch. Of an even number it is the later of the two in the middle.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::wall_clock::median;
/// let secs = Duration::from_secs;
/// assert_eq!(median(secs(2_500), []), secs(2_500));
/// assert_eq!(median(secs(2_500), [secs(100), secs(101)]), secs(101));
/// ```
pub fn median(own: Duration, others: impl IntoIterator<Item = Duration>) -> Duration {
    let mut times: Vec<Duration> = others.into_iter().collect();
    times.push(own);
    let middle = times.len() / 2;
    *times.select_nth_unstable(middle).1
}
