//! The state of this node's links to upstreams: which are lost, and which router relays
//! connections meanwhile.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use marjoram_core::reach::{Conclusion, Link, Path};

/// This node's links to engines and plain services.
#[derive(Debug, Default)]
pub struct UpstreamLinks {
    /// Lost links, by the upstream's address.
    lost: Mutex<HashMap<SocketAddr, Link>>,
    /// The router that relayed the last connection; it is asked first.
    last_relay: Mutex<Option<SocketAddr>>,
    /// Number of times that idle connections were given up.
    generation: AtomicU64,
}

impl UpstreamLinks {
    /// Closes the idle connections to all upstreams.
    pub fn drop_idle_connections(&self) {
        self.generation.fetch_add(1, Ordering::Relaxed);
    }

    /// Addresses of the upstreams to which the link is lost.
    pub fn lost(&self) -> Vec<SocketAddr> {
        self.lost.lock().unwrap().keys().copied().collect()
    }

    /// Whether the link to `addr` is lost.
    pub fn is_lost(&self, addr: SocketAddr) -> bool {
        self.lost.lock().unwrap().contains_key(&addr)
    }

    /// The path for a connection to `addr` that is opened at `now`.
    pub fn begin_connect(&self, addr: SocketAddr, now: Duration) -> Path {
        let mut lost = self.lost.lock().unwrap();
        lost.get_mut(&addr).map_or(Path::Direct, |link| link.begin_connect(now))
    }

    /// Applies what connects to `addr` have shown.
    pub fn apply(&self, addr: SocketAddr, conclusion: Conclusion, now: Duration) {
        let mut lost = self.lost.lock().unwrap();
        match conclusion {
            Conclusion::LinkWorks => {
                if lost.remove(&addr).is_some() {
                    tracing::info!(target: "reach", "reach: link to {addr} works again.");
                }
            }
            Conclusion::LinkLost => {
                if lost.entry(addr).or_default().lost(now) {
                    tracing::warn!(target: "reach", "reach: link to {addr} lost; other routers reach it.");
                    self.drop_idle_connections();
                }
            }
            Conclusion::Undecided | Conclusion::UpstreamDown | Conclusion::Unknown => {}
        }
    }

    /// The router that relayed the last connection.
    pub fn last_relay(&self) -> Option<SocketAddr> {
        *self.last_relay.lock().unwrap()
    }

    /// Records that `relay` relayed a connection.
    pub fn record_relay(&self, relay: SocketAddr) {
        *self.last_relay.lock().unwrap() = Some(relay);
    }

    /// Number of times that idle connections were given up.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Relaxed)
    }
}
