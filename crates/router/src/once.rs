//! Calls to plain services that must run at most once.
//!
//! A call with an idempotency key is claimed in the log service's `claims`
//! stream before it is sent (see [`marjoram_core::claims`]). The router
//! sends it only once it has read its own claim back as the key's holder,
//! and never retries after sending. The caller's answer is truthful:
//!
//! - `not_run: true` when nothing was sent: the claim could not be
//!   appended or read back, or the service refused the connection;
//! - the service's own answer, live or replayed from the stored outcome;
//! - 409 `not_run: false` when another claim holds the key and no outcome
//!   is known yet: the call may have run, so it must not be sent again.

use std::sync::Arc;
use std::time::Duration;

use marjoram_core::claims::{Answer, ClaimRecord, Decision};
use marjoram_core::ids::{Offset, RequestId};
use marjoram_core::wire::{Appended, LogRead};
use ntex::http::client::Client;
use ntex::http::client::error::SendRequestError;
use ntex::util::Bytes;

use crate::error::Error;
use crate::node::Node;

/// The log-service stream holding claims.
pub const STREAM: &str = "claims";
/// Longest wait for one log-service call.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between background reads of the claims stream.
const FOLLOW_EVERY: Duration = Duration::from_millis(500);

thread_local! {
    static CLIENT: Client = Client::build().timeout(LOG_TIMEOUT).finish();
}

/// What the caller is answered.
pub enum Reply {
    /// The service's answer, and whether it was replayed from the log.
    Answer(Answer, bool),
    /// The call was refused; the error says whether it ran.
    Refused(Error),
}

/// Sends `body` to `service` at `path` at most once under `key`.
pub async fn call(node: &Arc<Node>, service: &str, path: &str, key: &str, body: Bytes) -> Reply {
    let owner = format!("{}/{}", node.settings.advertise, RequestId(node.request_id()));
    let log = node.settings.log_service.to_string();
    let claim = ClaimRecord::Claim { key: key.into(), owner: owner.clone() };
    let claimed = match append(&log, &claim).await {
        Ok(offset) => offset,
        Err(why) => {
            abandon(&log, key, &owner).await;
            return Reply::Refused(Error::Claim("append claim", log, why));
        }
    };
    if let Err(why) = catch_up(node, Offset(claimed.0 + 1)).await {
        abandon(&log, key, &owner).await;
        return Reply::Refused(Error::Claim("read claims", log, why));
    }
    let decision = node.claims.lock().unwrap().decide(key, &owner, claimed);
    match decision {
        Decision::Send => send(node, service, path, key, &owner, body).await,
        Decision::Done(answer) => Reply::Answer(answer, true),
        Decision::Held(_) => Reply::Refused(Error::Held(key.into())),
        Decision::Unseen => {
            abandon(&log, key, &owner).await;
            Reply::Refused(Error::Claim("read claims", log, "own claim not found".into()))
        }
    }
}

/// Sends a call with no idempotency key once, without any claim.
pub async fn call_plain(service: &str, path: &str, body: Bytes) -> Reply {
    let url = format!("http://{service}/v1/{path}");
    let sent = CLIENT
        .with(|client| client.post(&url))
        .timeout(Duration::from_secs(10))
        .send_body(body)
        .await;
    match sent {
        Ok(mut response) => match response.body().await {
            Ok(bytes) => {
                let body = String::from_utf8_lossy(&bytes).into_owned();
                Reply::Answer(Answer { status: response.status().as_u16(), body }, false)
            }
            Err(e) => Reply::Refused(Error::Engine("answer", service.into(), e.to_string())),
        },
        Err(SendRequestError::Connect(e)) => {
            Reply::Refused(Error::Connect(service.into(), e.to_string()))
        }
        Err(e) => Reply::Refused(Error::Engine("send", service.into(), e.to_string())),
    }
}

async fn send(
    node: &Arc<Node>,
    service: &str,
    path: &str,
    key: &str,
    owner: &str,
    body: Bytes,
) -> Reply {
    let log = node.settings.log_service.to_string();
    let url = format!("http://{service}/v1/{path}");
    let sent = CLIENT
        .with(|client| client.post(&url).header(marjoram_core::wire::IDEMPOTENCY_KEY, key))
        .timeout(Duration::from_secs(10))
        .send_body(body)
        .await;
    let mut response = match sent {
        Ok(response) => response,
        Err(SendRequestError::Connect(e)) => {
            abandon(&log, key, owner).await;
            return Reply::Refused(Error::Connect(service.into(), e.to_string()));
        }
        Err(e) => return Reply::Refused(Error::Engine("send", service.into(), e.to_string())),
    };
    let status = response.status().as_u16();
    let text = match response.body().await {
        Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
        Err(e) => return Reply::Refused(Error::Engine("answer", service.into(), e.to_string())),
    };
    let answer = Answer { status, body: text };
    let outcome =
        ClaimRecord::Outcome { key: key.into(), owner: owner.into(), answer: answer.clone() };
    if let Err(why) = append(&log, &outcome).await {
        tracing::warn!(target: "once", "once: outcome of {key} not recorded at {log}: {why}.");
    }
    Reply::Answer(answer, false)
}

/// Best effort: tells later claims that `owner` never sent the call.
async fn abandon(log: &str, key: &str, owner: &str) {
    let record = ClaimRecord::Abandon { key: key.into(), owner: owner.into() };
    if let Err(why) = append(log, &record).await {
        tracing::info!(target: "once", "once: abandon of {key} not recorded at {log}: {why}.");
    }
}

async fn append(log: &str, record: &ClaimRecord) -> Result<Offset, String> {
    let body = serde_json::to_string(record).map_err(|e| e.to_string())?;
    let url = format!("http://{log}/v1/streams/{STREAM}");
    let mut response =
        CLIENT.with(|client| client.post(&url)).send_body(body).await.map_err(|e| e.to_string())?;
    if !response.status().is_success() {
        return Err(format!("status {}", response.status()));
    }
    let bytes = response.body().await.map_err(|e| e.to_string())?;
    let appended: Appended = serde_json::from_slice(&bytes).map_err(|e| e.to_string())?;
    Ok(appended.offset)
}

/// Reads the claims stream until every record below `until` is applied.
pub async fn catch_up(node: &Node, until: Offset) -> Result<(), String> {
    let log = node.settings.log_service;
    loop {
        let from = node.claims.lock().unwrap().next();
        if from >= until {
            return Ok(());
        }
        let url = format!("http://{log}/v1/streams/{STREAM}?from={from}");
        let mut response =
            CLIENT.with(|client| client.get(&url)).send().await.map_err(|e| e.to_string())?;
        if !response.status().is_success() {
            return Err(format!("status {}", response.status()));
        }
        let bytes = response.body().limit(64 << 20).await.map_err(|e| e.to_string())?;
        let read: LogRead = serde_json::from_slice(&bytes).map_err(|e| e.to_string())?;
        if read.oldest > from {
            return Err(format!("claims {from} to {} expired unread", read.oldest));
        }
        if read.records.is_empty() {
            return Err(format!("stream ends at {} before {until}", read.next));
        }
        let mut claims = node.claims.lock().unwrap();
        for record in &read.records {
            let parsed: ClaimRecord = serde_json::from_str(&record.body)
                .map_err(|e| format!("claim record {} malformed: {e}", record.offset))?;
            claims.apply(record.offset, &parsed);
        }
    }
}

/// Keeps the claims read current in the background, for ever.
pub async fn follow(node: Arc<Node>) {
    loop {
        let _ = catch_up(&node, Offset(u64::MAX)).await;
        ntex::time::sleep(FOLLOW_EVERY).await;
    }
}
