//! What engines report of themselves, and the mending of a wrong belief by it.
//!
//! Load pattern: an order that was lost is carried out seconds later, so an
//! engine serves other weights than any host believes and refuses all it is
//! sent. One engine refused 700 requests in 20 seconds that way, since each
//! host guessed what it had changed to and never found out.

use std::rc::Rc;
use std::time::Duration;

use marjoram_core::rollout;
use marjoram_core::switches::Mechanism;
use marjoram_platform::engine::{self, Report, UPSTREAM_HEADER};

use super::fleet::Upstream;
use super::site::Site;
use super::storeclient::Caller;

/// Time for an engine's answer: it takes a few milliseconds.
pub const ANSWER: Duration = Duration::from_millis(300);

/// How old a report may be: after this time one tells what was so before.
const LAG: Duration = Duration::from_millis(300);

/// Asks `upstream` what it does; an answer of another life is none.
pub async fn ask(caller: &mut Caller, upstream: &Upstream) -> Result<Report, String> {
    let headers = [(UPSTREAM_HEADER, upstream.life.id.0.as_str())];
    match caller.call(&engine::report(), &headers, ANSWER).await {
        Ok(reply) if reply.status == 200 => {
            let report = engine::parse_report(&reply.body).map_err(|e| e.to_string())?;
            match report.born.agrees(upstream.life.born) {
                true => Ok(report),
                false => Err(format!("report of another life, born {}", report.born)),
            }
        }
        Ok(reply) => Err(format!("report: status {}", reply.status)),
        Err(error) => Err(error.to_string()),
    }
}

/// Takes in that `upstream` refused a request meant for the version `asked` of
/// `model`: asks it what it serves, and once more when the report can no
/// longer be of before the refusal. One host asks once for all its requests.
pub async fn refused(site: &Rc<Site>, upstream: &Rc<Upstream>, model: &str, asked: u64) {
    if upstream.asking.replace(true) {
        return;
    }
    let reported = match site.has(Mechanism::Reports) {
        true => served(upstream, model).await,
        false => None,
    };
    let newest = site.named.borrow().get(model).and_then(|n| n.newest());
    let version = rollout::after_refusal(asked, reported, newest);
    tracing::info!(target: "weights", upstream = %upstream.life, asked, reported, version,
        "refused for its weights");
    upstream.states(model, version);
    if !site.has(Mechanism::Reports) {
        upstream.asking.set(false);
        return;
    }
    let (upstream, model, site) = (upstream.clone(), model.to_string(), site.clone());
    ntex::rt::spawn(async move {
        tokio::time::sleep(LAG).await;
        if let Some(version) = served(&upstream, &model).await {
            upstream.states(&model, version);
            site.duty.notify_one();
        }
        upstream.asking.set(false);
    });
}

/// Whether `upstream` still answers when it is asked. One whose stream is
/// silent may have put that back behind others.
pub async fn answers(upstream: &Upstream) -> bool {
    let addr = upstream.entry.borrow().addr;
    let headers = [(UPSTREAM_HEADER, upstream.life.id.0.as_str())];
    Caller::new(addr).call(&engine::report(), &headers, ANSWER).await.is_ok()
}

/// The version of `model` that `upstream` reports.
async fn served(upstream: &Upstream, model: &str) -> Option<u64> {
    let addr = upstream.entry.borrow().addr;
    match ask(&mut Caller::new(addr), upstream).await {
        Ok(report) => report.weights.iter().find(|w| w.model == model).map(|w| w.version),
        Err(why) => {
            tracing::debug!(target: "weights", upstream = %upstream.life, why, "no report");
            None
        }
    }
}
