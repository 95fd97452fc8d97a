//! Calls to plain services that must run at most once.
//!
//! A call with an idempotency key is claimed in the log service's `claims`
//! stream before it is sent (see [`marjoram_core::claims`]). The router
//! sends it only after it has read the stream and found that its own claim holds
//! the key, and never retries after sending. The caller's answer states whether
//! the call ran:
//!
//! - `not_run: true` when nothing was sent: the claim could not be
//!   appended or read back, or the service refused the connection;
//! - the service's own answer, live or replayed from the stored outcome;
//! - 409 `not_run: false` when another claim holds the key and no outcome
//!   is known yet: the call may have run, so it must not be sent again.

mod answer;

use std::sync::Arc;
use std::time::Duration;

use marjoram_core::claims::{Answer, ClaimRecord, Decision};
use marjoram_core::ids::RequestId;
use marjoram_core::wire::IDEMPOTENCY_KEY;
use ntex::util::Bytes;

use answer::Received;

use crate::clock;
use crate::error::{self, Error};
use crate::log::{self, Log};
use crate::node::Node;
use crate::request_limits::HeldRequest;
use crate::upstream_client;

/// Time-outs of the head of the service's answer, and of its body.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(10);
/// Age of a claim from which the router neither sends nor abandons the call: a claim must
/// be acted on, or abandoned, well before the log service drops it (see
/// `marjoram_core::claims`).
const CLAIM_MAX_AGE: Duration = Duration::from_secs(10);
/// Interval between background reads of the claims stream.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(2);

/// The reply to the caller.
pub enum Reply {
    /// The service's answer, and whether it was replayed from the log.
    Answer(Answer, bool),
    /// The call was refused; the error says whether it ran.
    Refused(Error),
}

/// A call to a plain service.
pub struct Call {
    /// Addresses of the live instances of the service, in the order to try them.
    pub services: Vec<String>,
    /// The call's path at the service, without `/v1/`.
    pub path: String,
    /// The caller's body.
    pub body: Bytes,
    /// Counts the body until the call ends, which may be after its caller has left.
    pub _held: HeldRequest,
}

impl Call {
    /// Sends the call to the first instance that accepts the connection; one that
    /// refuses the connection has not received the call.
    async fn send(&self, node: &Arc<Node>, key: Option<&str>) -> Result<Received, Error> {
        let mut refused = Error::NoService(self.path.clone());
        for service in &self.services {
            match self.send_to(node, service, key).await {
                Err(error @ Error::Connect(..)) => refused = error,
                sent => return sent,
            }
        }
        Err(refused)
    }

    async fn send_to(
        &self,
        node: &Arc<Node>,
        service: &str,
        key: Option<&str>,
    ) -> Result<Received, Error> {
        let failed = |step, why| Error::Engine(step, service.to_string(), why);
        let url = format!("http://{service}/v1/{}", self.path);
        let request = match key {
            // The answer is recorded, and replayed to all later callers.
            Some(key) => {
                upstream_client::post_on_new_connection(node, &url).header(IDEMPOTENCY_KEY, key)
            }
            None => upstream_client::client(node).post(&url),
        };
        let request = request.timeout(SERVICE_TIMEOUT);
        let response = match request.send_body(self.body.clone()).await {
            Ok(response) => response,
            Err(e) if error::is_unsent(&e) => {
                return Err(Error::Connect(service.to_string(), e.to_string()));
            }
            Err(e) => return Err(failed("send", e.to_string())),
        };
        let read = answer::read(response, &node.request_limits.answers);
        let read = tokio::time::timeout(SERVICE_TIMEOUT, read).await;
        let read = read.unwrap_or_else(|_| Err(format!("not complete in {SERVICE_TIMEOUT:?}")));
        read.map_err(|why| failed("answer", why))
    }
}

/// Sends `call` once, without any claim.
pub async fn call_plain(node: &Arc<Node>, call: Call) -> Reply {
    match call.send(node, None).await {
        Ok(received) => Reply::Answer(received.answer, false),
        Err(error) => Reply::Refused(error),
    }
}

/// Sends `call` at most once under `key`.
pub async fn call(node: &Arc<Node>, key: &str, call: Call) -> Reply {
    let owner = format!("{}/{}", node.settings.advertise, RequestId(node.request_id()));
    let log = Log::new(node.settings.log_service);
    let claim_started = clock::now();
    let claim = ClaimRecord::Claim { key: key.into(), owner: owner.clone() };
    let error = match claim_key(node, &log, &claim, key, &owner).await {
        Ok(Decision::Send) if clock::now() < claim_started + CLAIM_MAX_AGE => {
            match call.send(node, Some(key)).await {
                Ok(received) => {
                    record(&log, key, &owner, &received.answer).await;
                    return Reply::Answer(received.answer, false);
                }
                Err(error @ Error::Engine(..)) => return Reply::Refused(error),
                Err(error) => error,
            }
        }
        Ok(Decision::Done(answer)) => return Reply::Answer(answer, true),
        Ok(Decision::Held(_)) => return Reply::Refused(Error::Held(key.into())),
        Ok(Decision::Send | Decision::Unseen) => {
            let log = node.settings.log_service.to_string();
            Error::Claim("read claims", log, "own claim not found in time".into())
        }
        Err(error) => error,
    };
    // Nothing was sent. A claim that is too old is left to expire: an abandon record
    // that arrives when others can no longer read the claim would free the key for one
    // router and not for another.
    if clock::now() < claim_started + CLAIM_MAX_AGE {
        abandon(&log, key, &owner).await;
    }
    Reply::Refused(error)
}

/// Appends a claim of `key` for `owner` and reads the stream to decide whether the claim holds
/// the key.
async fn claim_key(
    node: &Node,
    log: &Log,
    claim: &ClaimRecord,
    key: &str,
    owner: &str,
) -> Result<Decision, Error> {
    let peer = || node.settings.log_service.to_string();
    let appended = log.append(log::CLAIMS, claim).await;
    let claimed = appended.map_err(|e| Error::Claim("append claim", peer(), e.to_string()))?;
    let caught_up = catch_up(node, log).await;
    caught_up.map_err(|e| Error::Claim("read claims", peer(), e.to_string()))?;
    Ok(node.claims.lock().unwrap().decide(key, owner, claimed))
}

/// Records the service's answer, to be replayed to later claims of the key.
async fn record(log: &Log, key: &str, owner: &str, answer: &Answer) {
    let outcome =
        ClaimRecord::Outcome { key: key.into(), owner: owner.into(), answer: answer.clone() };
    if let Err(error) = log.append(log::CLAIMS, &outcome).await {
        tracing::warn!(target: "once", "once: outcome of call {key} not recorded: {error}.");
    }
}

/// Records, on a best-effort basis, that `owner` never sent the call, which frees the key
/// for later claims.
async fn abandon(log: &Log, key: &str, owner: &str) {
    let record = ClaimRecord::Abandon { key: key.into(), owner: owner.into() };
    if let Err(error) = log.append(log::CLAIMS, &record).await {
        tracing::info!(target: "once", "once: abandon record of call {key} not appended: {error}.");
    }
}

/// Reads the claims stream up to the end reported by the last read.
async fn catch_up(node: &Node, log: &Log) -> Result<(), Error> {
    loop {
        let from = node.claims.lock().unwrap().next();
        let read = log.read(log::CLAIMS, from).await?;
        let mut claims = node.claims.lock().unwrap();
        claims.forget_before(read.oldest);
        for record in &read.records {
            match serde_json::from_str::<ClaimRecord>(&record.body) {
                Ok(parsed) => {
                    claims.apply(record.offset, &parsed);
                }
                Err(error) => {
                    tracing::warn!(target: "once", "once: claim record {} skipped, malformed: {error}.", record.offset);
                    claims.skip(record.offset);
                }
            }
        }
        if claims.next() >= read.next || read.records.is_empty() {
            return Ok(());
        }
    }
}

/// Reads the claims stream in the background, forever.
pub async fn follow(node: Arc<Node>) {
    let log = Log::new(node.settings.log_service);
    loop {
        let _ = catch_up(&node, &log).await;
        ntex::time::sleep(FOLLOW_INTERVAL).await;
    }
}
