//! When long polls are renewed, so that no time limit depends on a single wake-up.
//!
//! Load pattern: a store answers a waiting read when a record is written, but may fail
//! to do so for all readers at once. Hosts that wait with long polls then learn of the
//! record with the next one, or when their polls end. Polls that are renewed often
//! enough for the limit at each host cost more calls the more hosts there are.
//!
//! Many hosts together renew their polls a few times within the limit, however many they
//! are, and those that find a record tell the others in their heartbeats. The times are
//! random, since a record that wakes all polls makes all of them begin at once. A few
//! hosts find each record on their own.

use std::time::Duration;

/// Renewals of many hosts together within the limit.
const RENEWALS: u32 = 8;

/// Fraction of the limit within which a host of a few renews its poll. The rest is for its
/// calls and for putting in force what it finds.
const FEW_HOSTS_SHARE: f64 = 0.6;

/// Divisor of that time for the shortest of these polls.
const MIN_FEW_HOSTS_DIVISOR: f64 = 2.0;

/// Shortest poll.
const MIN_POLL: Duration = Duration::from_millis(100);

/// Longest poll: the store need not keep a call for longer.
const MAX_POLL: Duration = Duration::from_secs(25);

/// How long one of `hosts` hosts asks the store to wait, where what is written is to be
/// known everywhere within `limit`. `random` is uniformly distributed between 0 and 1.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::poll_renewal::poll_time;
/// let limit = Duration::from_secs(2);
/// assert_eq!(poll_time(1, limit, 1.0), Duration::from_millis(1_200));
/// assert_eq!(poll_time(9, limit, 0.5), Duration::from_millis(2_250));
/// assert_eq!(poll_time(410, limit, 0.5), Duration::from_millis(12_500));
/// ```
pub fn poll_time(hosts: usize, limit: Duration, random: f64) -> Duration {
    let few = limit.mul_f64(FEW_HOSTS_SHARE);
    // The mean of the random times is half of this.
    let longest = limit * 2 / RENEWALS * hosts.max(1) as u32;
    let shortest = few.div_f64(MIN_FEW_HOSTS_DIVISOR);
    // Of the two, the one that renews less often.
    match longest < few + shortest {
        true => shortest + (few - shortest).mul_f64(random),
        false => longest.min(MAX_POLL).mul_f64(random).max(MIN_POLL),
    }
}
