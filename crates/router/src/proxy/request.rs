//! A caller's request on its way: which upstreams it is sent to, and what is
//! answered when none brings an answer.

mod choose;
mod send;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use marjoram_core::catalog::{Catalog, Kind, Route, Workspace};
use marjoram_core::exchange::Asked;
use marjoram_core::fingerprint::Fingerprint;
use marjoram_core::place;
use marjoram_core::switches::Mechanism;
use marjoram_core::upstream::Life;
use xxhash_rust::xxh3::xxh3_64;

use super::attempt::Opened;
use super::failure::Failure;
use super::fleet::{Flight, Upstream};
use super::http1::RequestHead;
use super::poison;
use super::quota::{self, Charge};
use super::refusal::{QUARANTINED, RETRY_MAX, RETRY_MIN, Refusal};
use super::site::{Broken, Site};
use choose::Chosen;
use send::Sent;

/// Unreachable upstreams that one request tries.
const MAX_CONNECT_TRIES: u32 = 4;

/// Times a request is sent again because an upstream's weights had changed.
const MAX_WEIGHTS_TRIES: u32 = 2;

/// Time between checks for an engine while a large prompt waits.
const HOLD_INTERVAL: Duration = Duration::from_millis(40);

/// A request that has been read whole.
pub struct Request {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Bytes,
    /// When its first byte came.
    pub started: Duration,
    /// What it says of itself.
    pub asked: Asked,
}

/// What a send brought.
pub enum Answer {
    /// An answer, with its body still to come.
    Open(Opened, Flight),
    /// A failure that an upstream answered, in full.
    Failed(Opened, BytesMut),
}

/// A request that may be sent: allowed, and with somewhere to go.
pub struct Exchange {
    site: Rc<Site>,
    request: Request,
    /// The configuration it is handled by.
    catalog: Arc<Catalog>,
    /// Its route.
    pub route: Arc<Route>,
    service: String,
    workspace: Option<Arc<Workspace>>,
    /// What it counts against its workspace's quota.
    charge: Option<Charge>,
    /// What it shares with other attempts of the same request.
    fingerprint: Fingerprint,
    /// When its answer is due at the latest.
    pub expires: Duration,
    /// Upstreams it was sent to, and those that could not be reached.
    tried: Vec<Life>,
    avoided: Vec<Life>,
    /// It may have run.
    ran: bool,
    /// Sends so far.
    pub sends: u32,
    connects: u32,
    waited: Duration,
    /// When the last answer began.
    begun: Duration,
    /// An upstream may have crashed while it was there.
    crashed: bool,
    /// It has waited for the crashes at which it was to be judged.
    withheld: Cell<bool>,
    /// The last upstream it was sent to.
    pub last: Option<Life>,
}

impl Exchange {
    /// Checks `request` against the configuration in force.
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
        if site.stopping.get().is_some_and(|stop| !stop.takes(request.started, limit)) {
            return Err(Refusal::not_run("stopping", RETRY_MIN));
        }
        let charge = workspace.as_ref().map(|w| quota::admit(site, w, &request.asked));
        let charge = charge.transpose()?.flatten();
        let caller = workspace.as_ref().map_or("", |w| &w.name);
        let head = &request.head;
        let address = [caller, &head.method, host, &head.target];
        let fingerprint = Fingerprint::new(&address, &request.body);
        Ok(Self {
            fingerprint,
            site: site.clone(),
            expires: request.started + limit,
            request,
            catalog,
            route,
            service,
            workspace,
            charge,
            tried: Vec::new(),
            avoided: Vec::new(),
            ran: false,
            sends: 0,
            connects: 0,
            waited: Duration::ZERO,
            begun: Duration::ZERO,
            crashed: false,
            withheld: Cell::new(false),
            last: None,
        })
    }

    /// The id of the caller's attempt.
    pub fn id(&self) -> &str {
        self.request.asked.attempt.as_deref().unwrap_or("-")
    }

    /// The request.
    pub fn request(&self) -> &Request {
        &self.request
    }

    /// Whether a stream that has begun may go on at another upstream.
    pub fn may_resume(&self) -> bool {
        self.route.kind == Kind::Stream { resumable: true }
    }

    /// How long the caller still waits.
    pub fn left(&self) -> Duration {
        self.expires.saturating_sub(self.site.now())
    }

    /// What is answered when the time is up.
    pub fn expired(&self) -> Refusal {
        match self.ran {
            true => Refusal::with_status(504, "not answered in time"),
            false => Refusal::not_run("not sent in time", RETRY_MIN),
        }
    }

    /// Its answer came to its end.
    pub fn ended_well(&self) {
        self.site.poison.ended_well(self.fingerprint, self.site.now());
    }

    /// How long the last send waited for the head of its answer.
    pub fn last_wait(&self) -> Duration {
        self.waited
    }

    /// An answer that had begun broke off.
    pub fn broke(&mut self, opened: &Opened, failure: &Failure) {
        let upstream = &opened.upstream;
        upstream.failed(failure, self.site.now());
        self.site.counters.count("upstream.broken");
        tracing::warn!(target: "attempt", id = self.id(), upstream = %upstream.life, %failure,
            fingerprint = %self.fingerprint, sends = self.sends, "answer broke off");
        let ran = self.site.now().saturating_sub(self.begun);
        self.may_have_crashed(upstream, failure, Some(ran));
    }

    /// A send to `upstream` failed, after its answer had run for `ran` if that
    /// had begun.
    fn may_have_crashed(
        &mut self,
        upstream: &Rc<Upstream>,
        failure: &Failure,
        ran: Option<Duration>,
    ) {
        let id = self.request.asked.attempt.as_ref().map(|id| xxh3_64(id.as_bytes()));
        let request =
            Broken { request: self.fingerprint, attempt: id.unwrap_or_else(rand::random), ran };
        self.crashed |= poison::broke(&self.site, upstream, failure, request);
    }

    /// Sends the request, to several upstreams where it may be, until one
    /// answers. `resumed` is the last event the caller already has of this
    /// answer.
    pub async fn open(&mut self, resumed: Option<u64>) -> Result<Answer, Refusal> {
        let mut failed: Option<(Opened, BytesMut)> = None;
        let mut weights_tries = 0;
        loop {
            let chosen = match self.next(resumed.is_some()) {
                Ok(Some(chosen)) => chosen,
                Ok(None) => {
                    tokio::time::sleep(HOLD_INTERVAL).await;
                    continue;
                }
                Err(refusal) => {
                    return failed
                        .map(|(opened, body)| Answer::Failed(opened, body))
                        .ok_or(refusal);
                }
            };
            match self.send(&chosen, resumed).await {
                Sent::Open(opened, flight) => return Ok(Answer::Open(opened, flight)),
                Sent::Failed(opened, body) => failed = Some((opened, body)),
                Sent::OtherWeights if weights_tries < MAX_WEIGHTS_TRIES => {
                    // The same upstream again: this sends to no further one.
                    weights_tries += 1;
                    self.tried.retain(|life| *life != chosen.upstream.life);
                }
                Sent::OtherWeights | Sent::Nothing => {}
            }
        }
    }

    /// The next send, if one is allowed; `None` while the request waits here.
    fn next(&self, resumed: bool) -> Result<Option<Chosen>, Refusal> {
        self.may_send()?;
        if self.site.poison.withholds(self.fingerprint) {
            self.note_withheld();
            return Ok(None);
        }
        let chosen = self.choose(resumed)?;
        match self.sends {
            _ if self.must_wait(&chosen) => Ok(None),
            0 => Ok(Some(chosen)),
            _ if self.site.may_repeat(&self.service) => Ok(Some(chosen)),
            _ => Err(self.give_up("repeat budget used up")),
        }
    }

    /// It waits here until the crashes at which it was are judged.
    fn note_withheld(&self) {
        if !self.withheld.replace(true) {
            self.site.counters.count("poison.withheld");
            tracing::info!(target: "poison", id = self.id(), fingerprint = %self.fingerprint,
                sends = self.sends, "waits until its crashes are judged");
        }
    }

    /// Whether one more send is allowed, the budget aside; the first always is.
    fn may_send(&self) -> Result<(), Refusal> {
        if let Some(left) = poison::refuses(&self.site, self.fingerprint, self.id()) {
            return Err(match self.ran {
                true => Refusal::with_status(502, QUARANTINED),
                false => Refusal::quarantined(left),
            });
        }
        let count = self.tried.len() as u32;
        match (self.sends, self.ran) {
            _ if self.left().is_zero() => Err(self.expired()),
            _ if self.connects >= MAX_CONNECT_TRIES => Err(self.give_up("upstreams unreachable")),
            (0, _) => Ok(()),
            (_, true) if !self.route.kind.repeatable() => Err(self.give_up("may have run")),
            _ if count >= self.route.attempts => Err(self.give_up("attempts used up")),
            _ => Ok(()),
        }
    }

    /// Whether a large prompt waits here rather than behind others at the
    /// engine chosen, where the small ones would wait with it.
    fn must_wait(&self, chosen: &Chosen) -> bool {
        let held = self.site.now().saturating_sub(self.request.started);
        let limit = self.expires.saturating_sub(self.request.started);
        let prompt = self.request.asked.prompt.as_ref();
        let waits = self.site.has(Mechanism::Waiting);
        waits
            && prompt
                .is_some_and(|p| place::waits(p.input, chosen.upstream.load().unread, held, limit))
    }

    fn give_up(&self, why: &'static str) -> Refusal {
        match self.ran {
            true => Refusal::with_status(502, why),
            false => Refusal::not_run(why, self.retry_after()),
        }
    }

    /// When a request that finds no room should come back: spread by the id
    /// of the attempt, so that those refused together do not return together.
    fn retry_after(&self) -> Duration {
        let spread = xxh3_64(self.id().as_bytes()) % 200;
        let base = self.route.target / 4;
        base + Duration::from_millis(spread)
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if let Some(charge) = self.charge.take().filter(|_| !self.ran) {
            charge.refund(&self.site);
        }
    }
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1e3)
}
