//! What engines report of themselves, and how a wrong belief is corrected by it.
//!
//! Load pattern: an order that was lost is carried out seconds later, so an
//! engine serves other weights than any host believes and refuses all it is
//! sent. One engine refused 700 requests in 20 seconds that way, since each
//! host guessed what it had changed to and never found out. Or a host has not
//! heard that an engine changes its weights, and loses a request each time it
//! tries again.
//!
//! Limits: a host asks an engine one question at a time, in a task of its own
//! that always ends, whatever becomes of the request that met the refusal.

use std::rc::Rc;
use std::time::Duration;

use marjoram_core::rollout;
use marjoram_core::switches::Mechanism;
use marjoram_core::upstream::Weights;
use marjoram_platform::engine::{self, Report, UPSTREAM_HEADER};
use marjoram_platform::headers::MISDIRECTED;
use marjoram_platform::store::Call;
use tokio::sync::oneshot;

use super::fleet::Upstream;
use super::site::Site;
use super::storeclient::Caller;

/// Time for an engine's answer: it takes a few milliseconds.
pub const ANSWER: Duration = Duration::from_millis(300);

/// How old a report may be: after this time one tells what was so before.
const LAG: Duration = Duration::from_millis(300);

/// Longest time between two questions to an engine that changes: each takes
/// a little of its time, and streams that it finishes first last seconds.
const MAX_INTERVAL: Duration = Duration::from_millis(1_200);

/// How long an engine that changes is asked: after that it is tried again.
const WATCHED: Duration = Duration::from_secs(10);

/// A question that an engine is being asked, until dropped.
struct Question(Rc<Upstream>);

impl Question {
    /// A question to `upstream`, unless it is being asked one.
    fn begin(upstream: &Rc<Upstream>) -> Option<Self> {
        (!upstream.asking.replace(true)).then(|| Self(upstream.clone()))
    }
}

impl Drop for Question {
    fn drop(&mut self) {
        self.0.asking.set(false);
    }
}

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

/// Asks `upstream` once, on a connection of its own.
pub async fn ask_once(upstream: &Upstream) -> Result<Report, String> {
    let addr = upstream.entry.borrow().addr;
    ask(&mut Caller::new(addr), upstream).await
}

/// Takes in that `upstream` refused a request meant for the version `asked` of
/// `model`: it is asked what it serves, once for all requests of this host.
pub async fn refused(site: &Rc<Site>, upstream: &Rc<Upstream>, model: &str, asked: u64) {
    let Some(question) = Question::begin(upstream) else { return };
    let meant = Weights { model: model.to_string(), version: asked };
    let (told, heard) = oneshot::channel();
    ntex::rt::spawn(find_out(site.clone(), question, meant, told));
    // Fails only if the task is gone, and then nothing is known.
    let _ = heard.await;
}

/// Asks which weights an engine serves that refused `meant`, and once more when
/// the report can no longer be of before the refusal.
async fn find_out(site: Rc<Site>, question: Question, meant: Weights, told: oneshot::Sender<()>) {
    let upstream = &question.0;
    let (model, asked) = (&meant.model, meant.version);
    let reported = match site.has(Mechanism::Reports) {
        true => served(upstream, model).await,
        false => None,
    };
    let newest = site.named.borrow().get(model).and_then(|n| n.newest());
    let version = rollout::after_refusal(asked, reported, newest);
    tracing::info!(target: "weights", upstream = %upstream.life, asked, reported, version,
        "refused for its weights");
    upstream.states(model, version);
    // The request that waits for this may be gone.
    let _ = told.send(());
    if !site.has(Mechanism::Reports) {
        return;
    }
    tokio::time::sleep(LAG).await;
    if let Some(version) = served(upstream, model).await {
        upstream.states(model, version);
        site.duty.notify_one();
    }
}

/// Takes in that `upstream` refused a request without a word why. If it is due
/// to change its weights of `model`, it most likely does: it gets no more from
/// this host until it says that it does not.
pub fn busy(site: &Rc<Site>, upstream: &Rc<Upstream>, model: &str) {
    let newest = site.named.borrow().get(model).and_then(|n| n.newest());
    if !site.has(Mechanism::Reports) || upstream.weights(model) >= newest {
        return;
    }
    if let Some(question) = Question::begin(upstream) {
        ntex::rt::spawn(watch(site.clone(), question));
    }
}

/// Keeps an engine closed for this host while it reports a change.
async fn watch(site: Rc<Site>, question: Question) {
    let upstream = &question.0;
    let begun = site.now();
    let mut pause = LAG;
    let mut looks = 0;
    let mut own = Duration::ZERO;
    let why = loop {
        own = own.max(site.now() + pause + ANSWER);
        upstream.closed.set(upstream.closed.get().max(Some(own)));
        tokio::time::sleep(pause).await;
        looks += 1;
        match ask_once(upstream).await {
            // The holder of the duty has told meanwhile.
            _ if upstream.closed.get().is_none() => break "told open",
            Ok(report) if report.busy && site.now() - begun < WATCHED => {
                pause = (pause * 2).min(MAX_INTERVAL);
            }
            Ok(report) => {
                report.weights.iter().for_each(|w| upstream.serves(&w.model, w.version));
                break "reports no change";
            }
            Err(_) => break "no report",
        }
    };
    // The holder of the duty may have told more.
    if upstream.closed.get().is_some_and(|until| until <= own) {
        upstream.closed.set(None);
    }
    tracing::info!(target: "weights", upstream = %upstream.life, looks, why,
        ms = (site.now() - begun).as_millis() as u64, "engine used again");
}

/// Whether `upstream` still answers when it is asked. One whose stream is
/// silent may have put that back behind others.
pub async fn answers(upstream: &Upstream) -> bool {
    let addr = upstream.entry.borrow().addr;
    let headers = [(UPSTREAM_HEADER, upstream.life.id.0.as_str())];
    Caller::new(addr).call(&engine::report(), &headers, ANSWER).await.is_ok()
}

/// Whether another life answers `question` at the address of `upstream`; `None`
/// if nothing does.
pub async fn is_replaced(upstream: &Upstream, question: &Call) -> Option<bool> {
    let addr = upstream.entry.borrow().addr;
    let headers = [(UPSTREAM_HEADER, upstream.life.id.0.as_str())];
    match Caller::new(addr).call(question, &headers, ANSWER).await {
        Ok(reply) if reply.status == MISDIRECTED => Some(true),
        Ok(reply) if reply.status == 200 => Some(
            engine::parse_report(&reply.body)
                .is_ok_and(|report| !report.born.agrees(upstream.life.born)),
        ),
        Ok(_) => Some(false),
        Err(error) => {
            tracing::debug!(target: "poison", upstream = %upstream.life, %error, "no answer");
            None
        }
    }
}

/// The version of `model` that `upstream` reports.
async fn served(upstream: &Upstream, model: &str) -> Option<u64> {
    match ask_once(upstream).await {
        Ok(report) => report.weights.iter().find(|w| w.model == model).map(|w| w.version),
        Err(why) => {
            tracing::debug!(target: "weights", upstream = %upstream.life, why, "no report");
            None
        }
    }
}
