//! Calls to the platform's store that are repeated until they work.

use std::collections::HashMap;
use std::time::Duration;

use marjoram_platform::store::{self, Call, Record};

use super::site::Site;
use super::storeclient::{CallError, Caller, Reply};

/// Time for an answer beyond what the store was asked to wait.
pub const ANSWER: Duration = Duration::from_millis(1_500);

/// An answer that takes longer shows that the store is not sound: it takes a
/// few milliseconds.
pub const SLOW: Duration = Duration::from_millis(150);

/// First and longest pause after a call that failed.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
const MAX_PAUSE: Duration = Duration::from_millis(900);

/// Newest records of a list, by key.
pub type Listed = HashMap<String, Vec<u8>>;

/// The state of one way to the store.
pub struct Link {
    topic: &'static str,
    down: bool,
    pause: Duration,
}

impl Link {
    /// A way to the records of `topic`, which nothing is wrong with yet.
    pub fn new(topic: &'static str) -> Self {
        Self { topic, down: false, pause: FIRST_PAUSE }
    }

    /// A call worked; true if the one before did not.
    pub fn up(&mut self) -> bool {
        self.pause = FIRST_PAUSE;
        let was_down = std::mem::replace(&mut self.down, false);
        if was_down {
            tracing::info!(target: "store", topic = self.topic, "store regained");
        }
        was_down
    }

    /// A call failed; how long to pause.
    pub fn failed(&mut self, why: &str) -> Duration {
        if !std::mem::replace(&mut self.down, true) {
            tracing::warn!(target: "store", topic = self.topic, why, "store lost");
        }
        let pause = self.pause;
        self.pause = (pause * 2).min(MAX_PAUSE);
        pause
    }
}

/// Makes a call; an answer of an earlier era of the store is none.
pub async fn call(
    site: &Site,
    caller: &mut Caller,
    call: &Call,
    limit: Duration,
) -> Result<Reply, String> {
    let reply = caller.call(call, &[], limit).await.map_err(|e: CallError| e.to_string())?;
    match site.note_era(reply.era) {
        true => Ok(reply),
        false => Err(format!("answer of era {}, before the store's last return", reply.era)),
    }
}

/// Writes a record for the hosts until the store has it.
pub async fn write(site: &Site, record: &Record) {
    let write = store::write(store::HOSTS, record);
    let mut link = Link::new(store::HOSTS);
    loop {
        let mut caller = Caller::new(site.settings.load().store.addr);
        let why = match call(site, &mut caller, &write, ANSWER).await {
            Ok(reply) if reply.status == 200 => {
                link.up();
                return;
            }
            Ok(reply) => format!("write: status {}", reply.status),
            Err(why) => why,
        };
        tokio::time::sleep(link.failed(&why)).await;
    }
}
