//! Calls to the platform's store, with pauses between failed ones and a check that
//! answers are from the store's current era.

use std::collections::HashMap;
use std::time::Duration;

use marjoram_platform::store::{self, Call, Record};

use super::site::Site;
use super::storeclient::{CallError, HttpClient, Reply};

/// Time-out of an answer, in addition to the time that the call asks to wait.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// An answer that takes longer counts as a store error: usually an answer takes a
/// few milliseconds.
pub const SLOW_ANSWER: Duration = Duration::from_millis(150);

/// Pause after the first failed call; doubled after each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest such pause.
const MAX_PAUSE: Duration = Duration::from_millis(900);

/// The newest record of each key, from a complete list.
pub type LatestRecords = HashMap<String, Vec<u8>>;

/// State of the calls to the store for one topic: whether the last one failed, and
/// how long to pause after the next failure.
pub struct CallState {
    topic: &'static str,
    down: bool,
    pause: Duration,
}

impl CallState {
    /// State for calls on `topic`, before the first call.
    pub fn new(topic: &'static str) -> Self {
        Self { topic, down: false, pause: FIRST_PAUSE }
    }

    /// Records that a call succeeded; true if the one before had failed.
    pub fn record_success(&mut self) -> bool {
        self.pause = FIRST_PAUSE;
        let was_down = std::mem::replace(&mut self.down, false);
        if was_down {
            tracing::info!(target: "store", topic = self.topic, "store reachable again");
        }
        was_down
    }

    /// Records that a call failed; returns how long to pause before the next.
    pub fn record_failure(&mut self, why: &str) -> Duration {
        if !std::mem::replace(&mut self.down, true) {
            tracing::warn!(target: "store", topic = self.topic, why, "store unreachable");
        }
        let pause = self.pause;
        self.pause = (pause * 2).min(MAX_PAUSE);
        pause
    }
}

/// Makes a call. An answer of an earlier era, from before the store was last
/// restored from a copy, is an error.
pub async fn call(
    site: &Site,
    client: &mut HttpClient,
    call: &Call,
    limit: Duration,
) -> Result<Reply, String> {
    let reply = client.call(call, &[], limit).await.map_err(|e: CallError| e.to_string())?;
    match site.note_era(reply.era) {
        true => Ok(reply),
        false => {
            Err(format!("answer of era {}, from before the store was last restored", reply.era))
        }
    }
}

/// Writes a record to the hosts' topic; retries until the store has accepted it.
pub async fn write(site: &Site, record: &Record) {
    let write = store::write(store::HOSTS, record);
    let mut call_state = CallState::new(store::HOSTS);
    loop {
        let mut client = HttpClient::new(site.settings.load().store.addr);
        let why = match call(site, &mut client, &write, ANSWER_TIMEOUT).await {
            Ok(reply) if reply.status == 200 => {
                call_state.record_success();
                return;
            }
            Ok(reply) => format!("write: status {}", reply.status),
            Err(why) => why,
        };
        tokio::time::sleep(call_state.record_failure(&why)).await;
    }
}
