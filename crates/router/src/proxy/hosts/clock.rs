//! The time of day on which the hosts agree.

use std::time::Duration;

use marjoram_core::wall_clock;

use super::Peers;

impl Peers {
    /// The time of day at `now` on which the hosts agree, where this host's is `own`.
    pub fn unix_time(&self, own: Duration, now: Duration) -> Duration {
        let (peer_timeout, known) = (self.peer_timeout(), self.known.borrow());
        let alive = known.values().filter(|p| p.is_alive(now, peer_timeout));
        wall_clock::median(own, alive.filter_map(|p| Some(p.epoch_offset? + now)))
    }
}
