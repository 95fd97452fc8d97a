//! The life cycle of a caller's request: which upstreams it is sent to, when it
//! is retried, and what the caller gets if no upstream answers.

mod accounts;
mod choose;
mod copies;
mod failures;
mod limits;
mod poison;
mod send;
mod takeover;
mod turn;
mod weights_limit;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use marjoram_core::blocks::Blocks;
use marjoram_core::buffer_budget::CompleteBody;
use marjoram_core::catalog::{Catalog, Kind, Route, Workspace};
use marjoram_core::correlation::SentOn;
use marjoram_core::exchange::{PartId, RequestMetadata};
use marjoram_core::fingerprint::Fingerprint;
use marjoram_core::place;
use marjoram_core::switches::Mechanism;
use marjoram_core::upstream::Instance;
use xxhash_rust::xxh3::xxh3_64;

use super::attempt::StartedAnswer;
use super::backlog::Claim;
use super::fleet::Flight;
use super::http1::RequestHead;
use super::quota::{self, Charge};
use super::refusal::{RETRY_MAX, RETRY_MIN, Refusal};
use super::site::{Accounts, Site, SlotWait};
use choose::Chosen;
use limits::Denials;
use send::Sent;
use takeover::PendingSend;
pub use takeover::Takeover;

/// Unreachable upstreams that one request tries before it is refused.
const MAX_CONNECT_TRIES: u32 = 4;

/// Times that a request is sent to an upstream again because the upstream had
/// changed its weights.
const MAX_WEIGHTS_TRIES: u32 = 2;

/// Time over which the retries of callers that are refused together are spread at
/// least, where they are told when upstreams take requests again.
const MIN_SPREAD: Duration = Duration::from_millis(200);

/// Time between checks while a request waits at the router.
const WAIT_INTERVAL: Duration = Duration::from_millis(40);

/// A caller's request, with its whole body.
pub struct Request {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Rc<Blocks>,
    /// When its first byte was received.
    pub started: Duration,
    /// The parameters in its headers.
    pub asked: RequestMetadata,
}

/// An upstream's answer to the request.
pub enum Answer {
    /// An answer that has begun; its body is still to be read.
    Open(StartedAnswer, Flight),
    /// A failure that an upstream answered, with its whole body.
    Failed(StartedAnswer, CompleteBody),
}

/// A request that has been admitted, and the state of its sends.
pub struct Exchange {
    site: Rc<Site>,
    request: Request,
    /// The configuration in force when it was received.
    catalog: Arc<Catalog>,
    /// Its route.
    pub route: Arc<Route>,
    service: String,
    workspace: Option<Arc<Workspace>>,
    /// What was charged to its workspace's quota; refunded if it never runs.
    charge: Option<Charge>,
    /// Hash of the request, equal for all attempts of the same request.
    fingerprint: Fingerprint,
    /// The parts of its prompt that other requests may share.
    parts: Vec<PartId>,
    /// The deadline of its answer.
    pub expires: Duration,
    /// Upstreams it was sent to.
    tried: Vec<Instance>,
    /// Connections it was sent on.
    sent_on: Rc<RefCell<SentOn>>,
    /// Upstreams that could not be connected to.
    unreachable: Vec<Instance>,
    /// Sends after which an upstream may have begun to run it.
    possible_runs: u32,
    /// Sends so far, without those that could not connect.
    pub sends: u32,
    /// Connects that failed.
    failed_connects: u32,
    /// How long the last send waited for the head of its answer.
    waited: Duration,
    /// When the last answer began.
    begun: Duration,
    /// An upstream may have crashed while this request was in flight there.
    crashed: bool,
    /// The last send, as reported to other hosts; `None` for requests that are not.
    claim: Option<Claim>,
    /// The engines' accounts of outstanding prompts, as last queried.
    accounts: RefCell<Accounts>,
    /// Upstreams to which the next send was denied because of their rate limits.
    denials: RefCell<Denials>,
    /// The request waits for a slot of a brittle upstream.
    slot_wait: RefCell<Option<SlotWait>>,
    /// It has been logged that the request waits until the crashes at which it was
    /// in flight are analysed.
    withheld: Cell<bool>,
    /// The upstream of the last send.
    pub last: Option<Instance>,
    /// When the last send was begun.
    sent_at: Cell<Duration>,
    /// When the last send was begun, while it has no answer.
    pending_send: PendingSend,
}

impl Exchange {
    /// Admits or refuses `request`: finds its route, workspace and service, and
    /// charges it to the workspace's quota.
    pub fn new(site: &Rc<Site>, request: Request) -> Result<Self, Refusal> {
        let Some(catalog) = site.catalog() else {
            return Err(Refusal::not_run("no configuration yet", Duration::from_millis(500)));
        };
        let host = request.head.headers.get("host").unwrap_or_default();
        let Some(route) = catalog.route(host, &request.head.target).cloned() else {
            return Err(Refusal::with_status(404, "no route"));
        };
        let workspace = match (&catalog.workspaces, &request.asked.key) {
            (None, _) => None,
            (Some(_), key) if route.public => {
                key.as_ref().and_then(|key| catalog.workspace(key)).cloned()
            }
            (Some(_), Some(key)) => match catalog.workspace(key) {
                Some(workspace) => Some(workspace.clone()),
                None => return Err(Refusal::with_status(401, "unknown key")),
            },
            (Some(_), None) => return Err(Refusal::with_status(401, "no key")),
        };
        let id = request.asked.attempt.as_deref().unwrap_or_default();
        let Some(service) = route.service(xxh3_64(id.as_bytes())).map(str::to_string) else {
            return Err(Refusal::not_run("route without a service", RETRY_MAX));
        };
        site.count_request(&service);
        let limit = request.asked.deadline.map_or(route.timeout, |d| d.min(route.timeout));
        let (now, expires) = (site.now(), request.started + limit);
        let left = expires.saturating_sub(now);
        if site.stopping.get().is_some_and(|stop| !stop.accepts(now, left)) {
            return Err(Refusal::not_run("stopping", RETRY_MIN));
        }
        let charge = workspace.as_ref().map(|w| quota::admit(site, w, &request.asked));
        let charge = charge.transpose()?.flatten();
        let caller = workspace.as_ref().map_or("", |w| &w.name);
        let head = &request.head;
        let address = [caller, &head.method, host, &head.target];
        let fingerprint = Fingerprint::of_blocks(&address, request.body.iter());
        let shared = request.asked.prompt.iter().flat_map(|p| p.shared_parts());
        Ok(Self {
            fingerprint,
            parts: shared.map(|part| part.id).collect(),
            site: site.clone(),
            expires,
            request,
            catalog,
            route,
            service,
            workspace,
            charge,
            tried: Vec::new(),
            sent_on: Rc::default(),
            unreachable: Vec::new(),
            possible_runs: 0,
            sends: 0,
            failed_connects: 0,
            waited: Duration::ZERO,
            begun: Duration::ZERO,
            crashed: false,
            claim: None,
            accounts: RefCell::default(),
            denials: RefCell::default(),
            slot_wait: RefCell::default(),
            withheld: Cell::new(false),
            last: None,
            sent_at: Cell::default(),
            pending_send: PendingSend::default(),
        })
    }

    /// The id of the caller's attempt.
    pub fn id(&self) -> &str {
        self.request.asked.attempt.as_deref().unwrap_or("-")
    }

    /// Whether an upstream may have begun to run it.
    fn may_have_run(&self) -> bool {
        self.possible_runs > 0
    }

    /// The request.
    pub fn request(&self) -> &Request {
        &self.request
    }

    /// Whether a stream that has begun may be resumed at another upstream.
    pub fn may_resume(&self) -> bool {
        self.route.kind == Kind::Stream { resumable: true }
    }

    /// Time left until the deadline.
    pub fn left(&self) -> Duration {
        self.expires.saturating_sub(self.site.now())
    }

    /// The refusal at the deadline.
    pub fn deadline_refusal(&self) -> Refusal {
        match self.may_have_run() {
            true => Refusal::with_status(504, "not answered in time"),
            false => Refusal::not_run("not sent in time", RETRY_MIN),
        }
    }

    /// How long the last send waited for the head of its answer.
    pub fn last_wait(&self) -> Duration {
        self.waited
    }

    /// Sends the request until an upstream answers, to several upstreams if its
    /// route allows it. `resumed` is the last event of this answer that the caller
    /// already has.
    pub async fn open(&mut self, resumed: Option<u64>) -> Result<Answer, Refusal> {
        let mut failed: Option<(StartedAnswer, CompleteBody)> = None;
        let mut weights_tries = 0;
        loop {
            let chosen = match self.next_in_turn(resumed.is_some()).await {
                Ok(chosen) => chosen,
                Err(refusal) => {
                    return failed
                        .map(|(opened, body)| Answer::Failed(opened, body))
                        .ok_or(refusal);
                }
            };
            let sent = self.send(&chosen, resumed).await;
            if !matches!(sent, Sent::Open(..) | Sent::Replaced(_)) {
                self.claim = None;
            }
            match sent {
                Sent::Open(opened, flight) => return Ok(Answer::Open(opened, flight)),
                Sent::Failed(opened, body) => failed = Some((opened, body)),
                Sent::Replaced(answer) => return Ok(answer),
                Sent::OtherWeights if weights_tries < MAX_WEIGHTS_TRIES => {
                    // The same upstream may be chosen again: this send does not count
                    // towards the upstreams tried.
                    weights_tries += 1;
                    self.tried.retain(|life| *life != chosen.upstream.life);
                }
                Sent::OtherWeights | Sent::NoAnswer => {}
            }
        }
    }

    /// The next send, if one is allowed; `None` while the request waits at the
    /// router.
    fn next(&self, resumed: bool) -> Result<Option<Chosen>, Refusal> {
        self.may_send()?;
        if self.is_withheld() {
            self.note_withheld();
            return Ok(None);
        }
        let chosen = self.choose_within_limits(resumed)?;
        if chosen.is_some() && self.sends > 0 {
            self.site.count_repeat(&self.service);
        }
        Ok(chosen)
    }

    /// Whether one more send is allowed: checks the quarantine, the deadline, the
    /// failed connects and, for repeated sends, the route's limits. The retry
    /// budget is checked elsewhere.
    fn may_send(&self) -> Result<(), Refusal> {
        self.check_quarantine()?;
        let tried = self.tried.len() as u32;
        match (self.sends, self.may_have_run()) {
            _ if self.left().is_zero() => Err(self.deadline_refusal()),
            _ if self.failed_connects >= MAX_CONNECT_TRIES => {
                Err(self.give_up("upstreams unreachable"))
            }
            (0, _) => Ok(()),
            (_, true) if !self.route.kind.repeatable() => Err(self.give_up("may have run")),
            _ if tried >= self.route.attempts => Err(self.give_up("attempts used up")),
            _ => Ok(()),
        }
    }

    /// Whether a large prompt waits at the router instead of in the queue of the
    /// engine chosen, where it would delay the small prompts behind it.
    fn must_wait(&self, chosen: &Chosen) -> bool {
        let waited = self.site.now().saturating_sub(self.request.started);
        let limit = self.expires.saturating_sub(self.request.started);
        let prompt = self.request.asked.prompt.as_ref();
        let enabled = self.site.has(Mechanism::Waiting);
        enabled
            && prompt.is_some_and(|p| {
                place::must_wait(p.input, self.unread(&chosen.upstream), waited, limit)
            })
    }

    /// The refusal when the request is not sent any more, for the reason `why`.
    pub fn give_up(&self, why: &'static str) -> Refusal {
        match self.may_have_run() {
            true => Refusal::with_status(502, why),
            false => Refusal::not_run(why, self.retry_after()),
        }
    }

    /// The same, where upstreams are expected to take requests again after `wait`.
    /// Callers are told to retry up to half of that later, and spread over
    /// [`MIN_SPREAD`] at least, so that they do not all return at once.
    fn give_up_until(&self, why: &'static str, wait: Duration) -> Refusal {
        let wait = wait.min(quota::RETRY_MAX);
        let spread = (wait.mul_f64(quota::RETRY_JITTER) + MIN_SPREAD).mul_f64(rand::random());
        match self.may_have_run() {
            true => Refusal::with_status(502, why),
            false => Refusal::not_run_until(why, wait + spread),
        }
    }

    /// When the caller should retry: when those that wait before it are expected to have left,
    /// where requests wait in order, and varied by up to half of that. Else varied by up to 200 ms
    /// by the id of the attempt, so that requests refused together are not retried together.
    fn retry_after(&self) -> Duration {
        let hash = xxh3_64(self.id().as_bytes());
        match self.retry_in_turn() {
            Some(wait) => wait.mul_f64(1.0 + quota::RETRY_JITTER * hash as f64 / u64::MAX as f64),
            None => self.route.target / 4 + Duration::from_millis(hash % 200),
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.notify_room();
        if let Some(charge) = self.charge.take().filter(|_| self.possible_runs == 0) {
            charge.refund(&self.site);
        }
    }
}

/// `ms` milliseconds; negative values count as zero.
fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1e3)
}
