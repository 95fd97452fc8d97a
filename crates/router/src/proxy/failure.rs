//! Why a send to an upstream failed.

use std::io;
use std::time::Duration;

use marjoram_core::buffer_budget::Exhausted;
use quick_error::quick_error;

use crate::paths::ConnectError;

impl Failure {
    /// The failure on a connection that another host `relayed` or not: if it relayed
    /// it, a lost connection may be that to the other host.
    pub fn over(self, relayed: bool) -> Self {
        match self {
            Self::Lost(step, why) if relayed => Self::Closed(step, format!("relayed: {why}")),
            failure => failure,
        }
    }
}

quick_error! {
    /// Why a send failed.
    #[derive(Debug)]
    pub enum Failure {
        /// The connection could not be opened: nothing was sent.
        Unreachable(why: ConnectError) {
            display("connect: {why}")
        }
        /// The connection was lost without a close or reset; the request may have run.
        Lost(step: &'static str, why: io::Error) {
            display("{step}: {why}")
        }
        /// The upstream closed or reset the connection; the request may have run.
        Closed(step: &'static str, why: String) {
            display("{step}: {why}")
        }
        /// The bytes received are not a valid answer; the request may have run.
        InvalidAnswer(step: &'static str, why: String) {
            display("{step}: {why}")
        }
        /// This host had no memory left for the answer; the request may have run.
        NoMemory(why: Exhausted) {
            from()
            display("no memory for the answer: {why}")
        }
        /// Nothing was received for too long; the request may have run.
        TimedOut(after: Duration) {
            display("nothing received for {} ms", after.as_millis())
        }
    }
}
