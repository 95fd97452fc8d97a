//! Background loops that keep a node's state up to date: its configuration, the
//! host list, and the cache contents and load of each engine.

mod config;
mod engines;
mod host_list;
mod hosts;

use std::time::Duration;

use ntex::http::StatusCode;
use ntex::http::client::Client;
use serde::de::DeserializeOwned;

pub use config::config;
pub use engines::engines;
pub use hosts::hosts;

/// Largest answer accepted, in bytes.
const BODY_LIMIT: usize = 64 << 20;

/// The JSON body at `url`.
pub async fn get_json<T: DeserializeOwned>(
    client: &Client,
    url: &str,
    limit: Duration,
) -> Result<T, String> {
    read_json(client, url, limit).await?.ok_or_else(|| "not modified".into())
}

/// The JSON body at `url`, whole within `limit`; `None` when it is not modified.
async fn read_json<T: DeserializeOwned>(
    client: &Client,
    url: &str,
    limit: Duration,
) -> Result<Option<T>, String> {
    let answered = async {
        let mut response =
            client.get(url).timeout(limit).send().await.map_err(|e| e.to_string())?;
        match response.status() {
            StatusCode::NOT_MODIFIED => return Ok(None),
            status if !status.is_success() => return Err(format!("status {status}")),
            _ => {}
        }
        let body = response.body().limit(BODY_LIMIT).await.map_err(|e| e.to_string())?;
        serde_json::from_slice(&body).map(Some).map_err(|e| e.to_string())
    };
    // The client's own time-out ends with the head of the answer.
    let timed_out = |_| Err(format!("no complete answer in {} ms", limit.as_millis()));
    ntex::time::timeout(limit, answered).await.unwrap_or_else(timed_out)
}
