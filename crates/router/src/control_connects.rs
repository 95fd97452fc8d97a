//! Connects to other upstreams by which a host finds out whether its own link is lost.

use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use crate::conn::Conn;

/// Upstreams that a host tries in order to find out whether its link is lost, and the
/// time-out of these connects.
pub const CONTROL_CONNECTS: usize = 3;
const CONTROL_TIMEOUT: Duration = Duration::from_millis(60);

/// Whether this host reaches one of the upstreams at `addrs`, so that a connect to
/// another one that fails at the same time is not the fault of its own link. True if
/// there are none.
pub async fn reaches_any(addrs: Vec<SocketAddr>) -> bool {
    let connects = addrs.iter().map(|addr| Conn::connect(*addr, CONTROL_TIMEOUT));
    let mut connects: FuturesUnordered<_> = connects.collect();
    while let Some(result) = connects.next().await {
        if result.is_ok() {
            return true;
        }
    }
    addrs.is_empty()
}
