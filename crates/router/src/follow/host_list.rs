//! Parses the host list entry by entry: others may write to it, and an entry that is not valid is
//! skipped.

use std::net::SocketAddr;

use marjoram_core::wire::{HostEntry, HostList};
use serde::Deserialize;
use serde_json::value::RawValue;

/// The list as received, with its entries not parsed yet.
#[derive(Debug, Deserialize)]
pub struct ReceivedList {
    #[serde(default)]
    version: u64,
    hosts: Vec<Box<RawValue>>,
}

impl From<ReceivedList> for HostList {
    /// Logs entries that are not valid: they have no address, or lack a field.
    fn from(received: ReceivedList) -> Self {
        let (mut hosts, mut invalid) = (Vec::new(), Vec::new());
        for raw in received.hosts {
            match entry(raw.get()) {
                Ok(entry) => hosts.push(entry),
                Err(why) => invalid.push(why),
            }
        }
        if let Some(why) = invalid.first() {
            tracing::warn!(target: "follow", "hosts: {} entries of version {} skipped, the first one because of: {why}.", invalid.len(), received.version);
        }
        Self { version: received.version, hosts }
    }
}

fn entry(text: &str) -> Result<HostEntry, String> {
    let entry: HostEntry = serde_json::from_str(text).map_err(|e| e.to_string())?;
    match entry.addr.parse::<SocketAddr>() {
        Ok(_) => Ok(entry),
        Err(error) => Err(format!("address {:?}: {error}", entry.addr)),
    }
}
