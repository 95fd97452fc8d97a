//! Open connections to other routers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use bytes::Bytes;
use h2::client::SendRequest;

/// Open connections to other routers, by link address.
#[derive(Debug, Default)]
pub struct PeerLinks(Mutex<HashMap<SocketAddr, SendRequest<Bytes>>>);

impl PeerLinks {
    /// The connection to `link`, if one is open.
    pub fn get(&self, link: SocketAddr) -> Option<SendRequest<Bytes>> {
        self.0.lock().unwrap().get(&link).cloned()
    }

    /// Stores the connection to `link` for later calls.
    pub fn insert(&self, link: SocketAddr, sender: SendRequest<Bytes>) {
        self.0.lock().unwrap().insert(link, sender);
    }

    /// Drops the connection to `link`.
    pub fn remove(&self, link: SocketAddr) {
        self.0.lock().unwrap().remove(&link);
    }
}
