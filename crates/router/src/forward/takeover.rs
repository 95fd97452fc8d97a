//! Asks other engines to take a request over from a silent one, and keeps waiting for the
//! silent one.
//!
//! Load pattern: a sound engine sends nothing for a second or two, and then goes on. If its
//! answer is given up before another engine has accepted the request, a request that would
//! have been answered fails.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use super::{AcceptedRequest, open};
use crate::brittle;
use crate::error::Error;
use crate::job::Job;
use crate::node::{Engine, Node};

/// How long the answer of a silent engine is awaited while no other engine takes the
/// request over.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(10);

/// Time after which other engines are asked again while an engine stays silent: one may have
/// become reachable through another router.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// How the wait for a silent engine ended. `T` is what it sent.
pub enum Takeover<T> {
    /// It went on.
    WentOn(T),
    /// Another engine has accepted the request.
    Replaced(Box<AcceptedRequest>),
    /// No other engine has taken the request over; how the silent one has failed, if it has.
    Failed(Option<T>),
}

/// Sends `job` to other engines while `silent`, what `engine` sends next, is awaited.
/// `goes_on` tells whether the silent engine is kept after that.
pub async fn ask_other<T>(
    node: &Arc<Node>,
    job: &mut Job,
    silence: &Error,
    engine: &Engine,
    silent: impl Future<Output = T>,
    goes_on: impl Fn(&T) -> bool,
) -> Takeover<T> {
    tracing::debug!(target: "forward", "forward: {silence}; {} is also sent to another engine.", job.id);
    let last = job.exclude(&engine.addr, !brittle::may_have_failed(node, engine));
    let (ended, other) = {
        // Boxed, since the other engine may become silent too.
        let mut other = Box::pin(open(node, job));
        let mut silent = pin!(silent);
        tokio::select! {
            biased;
            sent = &mut silent => match goes_on(&sent) {
                true => (Some(sent), None),
                false => (Some(sent), Some(other.await)),
            },
            other = &mut other => (None, Some(other)),
        }
    };
    match (ended, other) {
        (_, Some(Ok(other))) => Takeover::Replaced(Box::new(other)),
        (ended, Some(Err(error))) => {
            tracing::info!(target: "forward", "forward: {silence}; {} is not taken over: {error}.", job.id);
            job.readmit(&engine.addr, last, Some(error));
            Takeover::Failed(ended)
        }
        (Some(sent), None) => {
            job.readmit(&engine.addr, last, None);
            Takeover::WentOn(sent)
        }
        (None, None) => unreachable!("one of the two has ended"),
    }
}
