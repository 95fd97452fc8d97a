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
use marjoram_core::wire::IDEMPOTENCY_KEY;
use ntex::http::client::Client;
use ntex::http::client::error::SendRequestError;
use ntex::util::Bytes;

use crate::clock;
use crate::error::Error;
use crate::log::{self, Log};
use crate::node::Node;

/// Longest wait for the service's answer.
const SERVICE_LIMIT: Duration = Duration::from_secs(10);
/// A claim not acted on for this long is given up: a claim must be acted on
/// well before the log service drops it (see `marjoram_core::claims`).
const CLAIM_FRESH: Duration = Duration::from_secs(10);
/// Pause between background reads of the claims stream.
const FOLLOW_EVERY: Duration = Duration::from_millis(500);

thread_local! {
    static CLIENT: Client = Client::build().timeout(SERVICE_LIMIT).finish();
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
    let log = Log::new(node.settings.log_service);
    let begun = clock::now();
    let claim = ClaimRecord::Claim { key: key.into(), owner: owner.clone() };
    match hold(node, &log, &claim, key, &owner).await {
        Ok(Decision::Send) if clock::now() < begun + CLAIM_FRESH => {
            send(&log, service, path, key, &owner, body).await
        }
        Ok(Decision::Done(answer)) => Reply::Answer(answer, true),
        Ok(Decision::Held(_)) => Reply::Refused(Error::Held(key.into())),
        Ok(Decision::Send | Decision::Unseen) => {
            abandon(&log, key, &owner).await;
            let why = "own claim not found in time".to_string();
            Reply::Refused(Error::Claim("read claims", node.settings.log_service.to_string(), why))
        }
        Err(error) => {
            abandon(&log, key, &owner).await;
            Reply::Refused(error)
        }
    }
}

/// Claims `key` for `owner` and reads back what that came to.
async fn hold(
    node: &Node,
    log: &Log,
    claim: &ClaimRecord,
    key: &str,
    owner: &str,
) -> Result<Decision, Error> {
    let peer = || node.settings.log_service.to_string();
    let appended = log.append(log::CLAIMS, claim).await;
    let claimed = appended.map_err(|e| Error::Claim("append claim", peer(), e.to_string()))?;
    let caught = catch_up(node, log, Offset(claimed.0 + 1)).await;
    caught.map_err(|e| Error::Claim("read claims", peer(), e.to_string()))?;
    Ok(node.claims.lock().unwrap().decide(key, owner, claimed))
}

/// Sends a call with no idempotency key once, without any claim.
pub async fn call_plain(service: &str, path: &str, body: Bytes) -> Reply {
    let url = format!("http://{service}/v1/{path}");
    let sent = CLIENT.with(|client| client.post(&url)).send_body(body).await;
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

async fn send(log: &Log, service: &str, path: &str, key: &str, owner: &str, body: Bytes) -> Reply {
    let url = format!("http://{service}/v1/{path}");
    let sent =
        CLIENT.with(|client| client.post(&url).header(IDEMPOTENCY_KEY, key)).send_body(body).await;
    let mut response = match sent {
        Ok(response) => response,
        Err(SendRequestError::Connect(e)) => {
            abandon(log, key, owner).await;
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
    if let Err(error) = log.append(log::CLAIMS, &outcome).await {
        tracing::warn!(target: "once", "once: outcome of {key} not recorded: {error}.");
    }
    Reply::Answer(answer, false)
}

/// Best effort: tells later claims that `owner` never sent the call.
async fn abandon(log: &Log, key: &str, owner: &str) {
    let record = ClaimRecord::Abandon { key: key.into(), owner: owner.into() };
    if let Err(error) = log.append(log::CLAIMS, &record).await {
        tracing::info!(target: "once", "once: abandon of {key} not recorded: {error}.");
    }
}

/// Reads the claims stream until every record below `until` is applied, or
/// to its end when that comes first.
async fn catch_up(node: &Node, log: &Log, until: Offset) -> Result<(), Error> {
    loop {
        let from = node.claims.lock().unwrap().next();
        if from >= until {
            return Ok(());
        }
        let read = log.read(log::CLAIMS, from).await?;
        let mut claims = node.claims.lock().unwrap();
        claims.forget_before(read.oldest);
        for record in &read.records {
            match serde_json::from_str::<ClaimRecord>(&record.body) {
                Ok(parsed) => {
                    claims.apply(record.offset, &parsed);
                }
                Err(error) => {
                    tracing::warn!(target: "once", "once: claim record {} passed over, malformed: {error}.", record.offset);
                    claims.skip(record.offset);
                }
            }
        }
        if read.records.is_empty() {
            return Ok(());
        }
    }
}

/// Keeps the claims read current in the background, for ever.
pub async fn follow(node: Arc<Node>) {
    let log = Log::new(node.settings.log_service);
    loop {
        let _ = catch_up(&node, &log, Offset(u64::MAX)).await;
        ntex::time::sleep(FOLLOW_EVERY).await;
    }
}
