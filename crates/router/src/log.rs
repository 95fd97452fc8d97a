//! Client of the platform's log service.
//!
//! Every call has a time-out and fails with an [`Error::Log`] that names the step and
//! the service. An append that returned an error may still have been carried out, or
//! may be carried out later, so the users of this module rely on the order of the
//! records read from the log, never on such an error.

use std::time::Duration;

use marjoram_core::ids::Offset;
use marjoram_core::wire::{Appended, LogRead, LogRecord};
use ntex::http::client::Client;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;

/// The stream of operator configuration.
pub const CONFIG: &str = "config";
/// The stream of claims of at-most-once calls.
pub const CLAIMS: &str = "claims";
/// The stream of crash reports of engines and of requests quarantined for crashes.
pub const CRASHES: &str = "crashes";
/// The stream of grants of the fleet's lease.
pub const LEASE: &str = "lease";
/// The stream of configuration snapshots.
pub const SNAPSHOTS: &str = "snapshots";

/// Time-out of a call.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer accepted, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

thread_local! {
    static CLIENT: Client = Client::build().timeout(TIMEOUT).finish();
}

/// Result of a conditional append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConditionalAppend {
    /// The record was appended at the offset asked for.
    Done,
    /// The stream ends elsewhere; nothing was appended.
    Moved,
}

/// Client of the log service at one address.
#[derive(Debug, Clone)]
pub struct Log {
    addr: String,
}

impl Log {
    /// The log service at `addr`.
    pub fn new(addr: impl ToString) -> Self {
        Self { addr: addr.to_string() }
    }

    /// Appends `record` to `stream` and returns its offset.
    pub async fn append<T: Serialize>(&self, stream: &str, record: &T) -> Result<Offset, Error> {
        let (status, bytes) = self.post(&format!("/v1/streams/{stream}"), record).await?;
        match status {
            200 => self.parse::<Appended>("append", &bytes).map(|a| a.offset),
            _ => Err(self.failed("append", format!("status {status}"))),
        }
    }

    /// Appends `record` to `stream` only if the stream ends at offset `at`.
    pub async fn append_at<T: Serialize>(
        &self,
        stream: &str,
        at: Offset,
        record: &T,
    ) -> Result<ConditionalAppend, Error> {
        let (status, _) = self.post(&format!("/v1/streams/{stream}?at={at}"), record).await?;
        match status {
            200 => Ok(ConditionalAppend::Done),
            412 => Ok(ConditionalAppend::Moved),
            _ => Err(self.failed("append", format!("status {status}"))),
        }
    }

    /// Reads records of `stream` from `from` on.
    pub async fn read(&self, stream: &str, from: Offset) -> Result<LogRead, Error> {
        self.get(&format!("/v1/streams/{stream}?from={from}")).await
    }

    /// The offset at which `stream` ends, and its last record unless that has expired.
    pub async fn tail(&self, stream: &str) -> Result<(Offset, Option<LogRecord>), Error> {
        let mut read: LogRead = self.get(&format!("/v1/streams/{stream}?last=1")).await?;
        Ok((read.next, read.records.pop()))
    }

    async fn post<T: Serialize>(&self, path: &str, record: &T) -> Result<(u16, Vec<u8>), Error> {
        let failed = |why| self.failed("append", why);
        let body = serde_json::to_string(record).map_err(|e| failed(e.to_string()))?;
        let url = format!("http://{}{path}", self.addr);
        let sent = CLIENT.with(|client| client.post(&url)).send_body(body);
        let answered = async {
            let mut response = sent.await.map_err(|e| failed(e.to_string()))?;
            let bytes = response.body().await.map_err(|e| failed(e.to_string()))?;
            Ok((response.status().as_u16(), bytes.to_vec()))
        };
        self.in_time("append", answered).await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let failed = |why| self.failed("read", why);
        let url = format!("http://{}{path}", self.addr);
        let sent = CLIENT.with(|client| client.get(&url)).send();
        let answered = async {
            let mut response = sent.await.map_err(|e| failed(e.to_string()))?;
            if !response.status().is_success() {
                return Err(failed(format!("status {}", response.status())));
            }
            response.body().limit(ANSWER_LIMIT).await.map_err(|e| failed(e.to_string()))
        };
        let bytes = self.in_time("read", answered).await?;
        self.parse("read", &bytes)
    }

    /// Ends `call` after [`TIMEOUT`]: the client's own time-out ends with the head of the answer.
    async fn in_time<T>(
        &self,
        step: &'static str,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let timed_out =
            |_| Err(self.failed(step, format!("no complete answer in {} ms", TIMEOUT.as_millis())));
        ntex::time::timeout(TIMEOUT, call).await.unwrap_or_else(timed_out)
    }

    fn parse<T: DeserializeOwned>(&self, step: &'static str, bytes: &[u8]) -> Result<T, Error> {
        serde_json::from_slice(bytes).map_err(|e| self.failed(step, e.to_string()))
    }

    fn failed(&self, step: &'static str, why: String) -> Error {
        Error::Log(step, self.addr.clone(), why)
    }
}
