//! A caller's request on its way: which upstreams it is sent to, and what is
//! answered when none brings an answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use marjoram_core::catalog::{Catalog, EngineSpec, Kind, Route, Workspace};
use marjoram_core::exchange::{Asked, Envelope, Part, Prompt};
use marjoram_core::health::SILENCE;
use marjoram_core::holdings::CacheId;
use marjoram_core::host::DataCentre;
use marjoram_core::place::{self, Candidate, Copying, Need, WeightsAge};
use marjoram_core::plain::{self, Plain};
use marjoram_core::upstream::UpstreamId;
use marjoram_platform::headers;
use xxhash_rust::xxh3::xxh3_64;

use super::attempt::{self, Failure, Opened};
use super::fleet::{Flight, Upstream};
use super::http1::{RequestHead, RequestWriter};
use super::site::Site;

/// Prompt tokens that an engine is taken to read in a millisecond before
/// anything has been measured.
const DEFAULT_PACE: f64 = 40.0;

/// Unreachable upstreams that one request tries at most.
const CONNECT_TRIES: u32 = 4;

/// Times one upstream is asked again because its weights had changed.
const WEIGHTS_TRIES: u32 = 2;

/// Shortest and longest time that a caller is told to stay away.
const RETRY_MIN: Duration = Duration::from_millis(50);
const RETRY_MAX: Duration = Duration::from_secs(2);

/// Time before the end of the bound on weights at which replaced ones are no
/// longer used.
const WEIGHTS_MARGIN: Duration = Duration::from_millis(1_500);

/// Time before the end of that bound at which a request that has not begun
/// on replaced weights is taken back.
const WEIGHTS_END: Duration = Duration::from_millis(250);

/// How long replaced weights are as good as the newest.
const WEIGHTS_GRACE: Duration = Duration::from_millis(1_200);

/// How long an upstream that refuses a request is left alone.
const REFUSAL_PAUSE: Duration = Duration::from_millis(120);

/// Of an upstream's silence, how much more than expected is taken to mean
/// that it is gone, for requests that may be sent elsewhere.
const PATIENCE_FACTOR: f64 = 3.0;

/// Why a request is answered by the router itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The status.
    pub status: u16,
    /// When to come back, if it has not run.
    pub retry: Option<Duration>,
    /// Why, for the log and the caller.
    pub why: &'static str,
}

impl Refusal {
    /// The request has not run and never will: come back after `retry`.
    pub fn not_run(why: &'static str, retry: Duration) -> Self {
        let retry = retry.clamp(RETRY_MIN, RETRY_MAX);
        Self { status: 503, retry: Some(retry), why }
    }

    /// An answer with `status`.
    pub fn with_status(status: u16, why: &'static str) -> Self {
        Self { status, retry: None, why }
    }
}

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
    /// When its answer is due at the latest.
    pub expires: Duration,
    /// Upstreams it was sent to, and those that could not be reached.
    tried: Vec<UpstreamId>,
    avoided: Vec<UpstreamId>,
    /// It may have run.
    ran: bool,
    /// Sends so far.
    pub sends: u32,
    connects: u32,
    waited: Duration,
    /// The last upstream it was sent to.
    pub last: Option<UpstreamId>,
}

/// An upstream chosen for a send.
struct Chosen {
    upstream: Rc<Upstream>,
    /// Prompt tokens it will have to read.
    unread: u64,
    /// How long the first byte is expected to take.
    wait: Duration,
    weights: Option<u64>,
    /// How long it may take to begin before its weights are out of use.
    begin: Duration,
    fetch: Option<String>,
    save: Option<String>,
    part: Option<u64>,
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
        Ok(Self {
            site: site.clone(),
            expires: request.started + limit,
            request,
            catalog,
            route,
            service,
            workspace,
            tried: Vec::new(),
            avoided: Vec::new(),
            ran: false,
            sends: 0,
            connects: 0,
            waited: Duration::ZERO,
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

    /// How long the last send waited for the head of its answer.
    pub fn last_wait(&self) -> Duration {
        self.waited
    }

    /// An answer that had begun broke off.
    pub fn broke(&self, opened: &Opened, failure: &Failure) {
        let upstream = &opened.upstream;
        upstream.failed(failure, self.site.now());
        self.site.counters.count("upstream.broken");
        tracing::warn!(target: "attempt", id = self.id(), upstream = %upstream.id, %failure,
            sends = self.sends, "answer broke off");
    }

    /// Sends the request, to several upstreams where it may be, until one
    /// answers. `resumed` is the last event the caller already has of this
    /// answer.
    pub async fn open(&mut self, resumed: Option<u64>) -> Result<Answer, Refusal> {
        let mut failed: Option<(Opened, BytesMut)> = None;
        let mut weights_tries = 0;
        loop {
            let again = match self.may_send() {
                Ok(()) => self.choose(resumed.is_some()),
                Err(refusal) => Err(refusal),
            };
            let chosen = match (again, failed.take()) {
                (Ok(chosen), None) if self.must_wait(&chosen) => {
                    tokio::time::sleep(HOLD_LOOK).await;
                    continue;
                }
                (Ok(chosen), _) => chosen,
                (Err(_), Some((opened, body))) => return Ok(Answer::Failed(opened, body)),
                (Err(refusal), None) => return Err(refusal),
            };
            match self.send(&chosen, resumed).await {
                Sent::Open(opened, flight) => return Ok(Answer::Open(opened, flight)),
                Sent::Failed(opened, body) => failed = Some((opened, body)),
                Sent::OtherWeights if weights_tries < WEIGHTS_TRIES => {
                    // The same upstream again: this sends to no further one.
                    weights_tries += 1;
                    self.tried.retain(|id| *id != chosen.upstream.id);
                }
                Sent::OtherWeights | Sent::Nothing => {}
            }
        }
    }

    /// Whether one more send is allowed; the first always is.
    fn may_send(&mut self) -> Result<(), Refusal> {
        let count = self.tried.len() as u32;
        match (self.sends, self.ran) {
            _ if self.left().is_zero() => Err(self.expired()),
            _ if self.connects >= CONNECT_TRIES => Err(self.give_up("upstreams unreachable")),
            (0, _) => Ok(()),
            (_, true) if !self.route.kind.repeatable() => Err(self.give_up("may have run")),
            _ if count >= self.route.attempts => Err(self.give_up("attempts used up")),
            _ if !self.site.may_repeat(&self.service) => Err(self.give_up("repeat budget used up")),
            _ => Ok(()),
        }
    }

    /// Whether a large prompt waits here rather than behind others at the
    /// engine chosen, where the small ones would wait with it.
    fn must_wait(&self, chosen: &Chosen) -> bool {
        let large = self.request.asked.prompt.as_ref().is_some_and(|p| p.input >= place::LARGE);
        let held = self.site.now().saturating_sub(self.request.started);
        let hold = (self.expires.saturating_sub(self.request.started)) / HOLD_SHARE;
        large && held < hold && chosen.upstream.load().unread > LARGE_AHEAD
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

    fn choose(&self, resumed: bool) -> Result<Chosen, Refusal> {
        let now = self.site.now();
        let all = self.site.fleet.service(&self.service);
        let share = self.connection_share();
        let open = |u: &&Rc<Upstream>| {
            let listed = !u.entry.borrow().leaving && !u.is_closed(now);
            let fresh = !self.tried.contains(&u.id) && !self.avoided.contains(&u.id);
            listed && fresh && u.pool.in_use() < share
        };
        let well = |u: &&Rc<Upstream>| {
            let health = u.health.borrow();
            !health.is_paused(now) && health.silent(now) < SILENCE && !u.is_doubted(now)
        };
        let usable: Vec<Rc<Upstream>> = all.iter().filter(open).cloned().collect();
        let best: Vec<Rc<Upstream>> = usable.iter().filter(well).cloned().collect();
        // With every upstream in doubt the doubt says little: try one.
        let candidates = if best.is_empty() { usable } else { best };
        if candidates.is_empty() {
            return Err(self.give_up("no upstream free"));
        }
        match (&self.request.asked.prompt, self.catalog.engine(&self.service)) {
            (Some(prompt), Some(spec)) => self.choose_engine(prompt, spec, &candidates, resumed),
            _ => self.choose_plain(&candidates),
        }
    }

    /// Connections to one upstream that this host may hold.
    fn connection_share(&self) -> u32 {
        let all = self.catalog.services.get(&self.service).map_or(u32::MAX, |s| s.connections);
        (all / self.site.peers.count() as u32).max(2)
    }

    fn choose_plain(&self, candidates: &[Rc<Upstream>]) -> Result<Chosen, Refusal> {
        let here = &self.site.settings.load().dc;
        let plains: Vec<Plain> = candidates
            .iter()
            .map(|u| {
                let health = u.health.borrow();
                Plain {
                    running: u.load().running,
                    slots: u.entry.borrow().slots,
                    latency: health.latency(),
                    failures: health.failures(),
                    far: !u.is_in(here),
                }
            })
            .collect();
        let left = self.left().as_secs_f64() * 1e3;
        match plain::place(&plains) {
            Some(choice) if choice.wait < left => Ok(Chosen {
                upstream: candidates[choice.upstream].clone(),
                unread: 0,
                wait: Duration::from_secs_f64(choice.wait / 1e3),
                weights: None,
                begin: Duration::MAX,
                fetch: None,
                save: None,
                part: None,
            }),
            _ => Err(self.give_up("too much waits")),
        }
    }

    fn choose_engine(
        &self,
        prompt: &Prompt,
        spec: &EngineSpec,
        all: &[Rc<Upstream>],
        resumed: bool,
    ) -> Result<Chosen, Refusal> {
        let now = self.site.now();
        let named = self.site.named.borrow().get(&prompt.model).cloned().unwrap_or_default();
        let bound = self.site.settings.load().bounds.weights.saturating_sub(WEIGHTS_MARGIN);
        let replaced = |u: &Rc<Upstream>| {
            let version = u.weights(&prompt.model).unwrap_or_default();
            named.replaced(version, now).unwrap_or_default()
        };
        // While the store is not sound no orders can be given, and the bound
        // on weights does not run: replaced ones are better than a refusal.
        let sound = self.site.sound(now);
        let usable = |u: &&Rc<Upstream>| replaced(u).min(sound) < bound;
        let candidates: Vec<&Rc<Upstream>> = all.iter().filter(usable).collect();
        let shared = &prompt.parts[..prompt.parts.len().saturating_sub(1)];
        let part = shared.first().map(|p| p.id.0);
        let here = &self.site.settings.load().dc;
        let token_ms = spec.token_bytes * 8.0 / (spec.link_mbps.max(1.0) * 1e3);
        let keepers = self.keepers(prompt, shared, token_ms);
        let places: Vec<u64> = candidates.iter().map(|u| u.place).collect();
        let lanes = place::lane(&places, SMALL_SHARE, prompt.input >= place::LARGE);
        let views: Vec<Candidate> = candidates
            .iter()
            .zip(lanes)
            .map(|(u, lane)| {
                let (load, health, entry) = (u.load(), u.health.borrow(), u.entry.borrow());
                let weights = u.weights(&prompt.model).unwrap_or_default();
                let keeper = best_keeper(&keepers, weights, &u.id, &entry.dc);
                Candidate {
                    rank: place::rank(part.unwrap_or_default(), u.place),
                    unread: load.unread,
                    running: load.running,
                    memory: load.memory,
                    capacity: spec.capacity,
                    pace: health.pace().unwrap_or(DEFAULT_PACE),
                    held: u.held(self.cache(weights), shared, now),
                    copy: keeper.map(|k| k.copying(&entry.dc)),
                    failures: health.failures(),
                    far: !u.is_in(here),
                    weights,
                    age: weights_age(replaced(u), bound),
                    lane,
                }
            })
            .collect();
        let need = Need {
            input: prompt.input,
            shared: prompt.shared(),
            output: prompt.output,
            target: self.route.target.as_secs_f64() * 1e3,
        };
        let Some(choice) = place::place(need, &views) else {
            return Err(self.give_up("no engine on weights in force"));
        };
        if !resumed && Duration::from_secs_f64(choice.wait / 1e3) > self.left() {
            return Err(self.give_up("too much waits"));
        }
        let upstream = candidates[choice.engine].clone();
        let weights = upstream.weights(&prompt.model);
        let large = need.shared >= COPY_TOKENS;
        let keeper = best_keeper(
            &keepers,
            weights.unwrap_or_default(),
            &upstream.id,
            &upstream.entry.borrow().dc,
        );
        let fetch = keeper.filter(|_| choice.copies && large).map(|k| k.addr.to_string());
        let kept = keepers.iter().any(|k| k.id.is_none() && Some(k.weights) == weights);
        let store = self.catalog.cache_store().filter(|_| large && !kept);
        let save = store.map(|s| s.addr.to_string());
        Ok(Chosen {
            weights,
            begin: (bound + WEIGHTS_MARGIN)
                .saturating_sub(replaced(&upstream).min(sound) + WEIGHTS_END),
            upstream,
            unread: choice.unread,
            wait: Duration::from_secs_f64(choice.wait / 1e3),
            fetch,
            save,
            part,
        })
    }

    /// The cache that the request's parts are kept in at engines that serve
    /// `weights`: no other weights' parts are found there, and none of other
    /// workspaces if this one is isolated.
    fn salt(&self, weights: u64) -> String {
        match self.workspace.as_ref().filter(|w| w.isolated) {
            Some(workspace) => format!("{weights}/{}", workspace.name),
            None => weights.to_string(),
        }
    }

    fn cache(&self, weights: u64) -> CacheId {
        CacheId::new(&self.salt(weights))
    }

    /// Where large shared parts of the prompt can be copied from.
    fn keepers(&self, prompt: &Prompt, shared: &[Part], token_ms: f64) -> Vec<Keeper> {
        let tokens: u64 = shared.iter().map(|p| p.tokens).sum();
        if tokens < COPY_TOKENS {
            return Vec::new();
        }
        let now = self.site.now();
        let engines = self.site.fleet.service(&self.service).into_iter().filter_map(|u| {
            let weights = u.weights(&prompt.model)?;
            let held = u.held(self.cache(weights), shared, now);
            let entry = u.entry.borrow();
            (held >= tokens / 2 && !u.is_closed(now)).then(|| Keeper {
                id: Some(u.id.clone()),
                addr: entry.addr,
                dc: entry.dc.clone(),
                weights,
                held,
                token_ms,
            })
        });
        let mut keepers: Vec<Keeper> = engines.collect();
        if let Some(store) = self.catalog.cache_store() {
            let named = self.site.named.borrow();
            let newest = named.get(&prompt.model).and_then(|n| n.newest()).unwrap_or(1);
            let served = self.site.fleet.service(&self.service);
            let mut versions: Vec<u64> = served.iter().filter_map(|u| u.weights(&prompt.model)).collect();
            versions.push(newest);
            versions.sort();
            versions.dedup();
            for weights in versions {
                let held = self.site.kept.borrow().held(self.cache(weights), shared);
                if held >= tokens / 2 {
                    let token_ms = token_ms * STORE_FACTOR;
                    let (addr, dc) = (store.addr, store.dc.clone());
                    keepers.push(Keeper { id: None, addr, dc, weights, held, token_ms });
                }
            }
        }
        keepers
    }

    fn envelope(&self, chosen: &Chosen, resumed: Option<u64>) -> Envelope {
        let salt = chosen.weights.map(|version| self.salt(version));
        let priority = self.workspace.as_ref().and_then(|w| w.priority);
        let engine = self.request.asked.prompt.is_some();
        Envelope {
            left: self.left(),
            upstream: Some(chosen.upstream.id.clone()),
            workspace: self.workspace.as_ref().map(|w| w.name.clone()),
            rank: engine.then(|| priority.unwrap_or(self.route.priority)),
            weights: chosen.weights,
            salt,
            fetch: chosen.fetch.clone(),
            save: chosen.save.clone(),
            last_event: resumed.or(self.request.asked.last_event),
        }
    }

    fn encode(&self, envelope: &Envelope) -> Bytes {
        let head = &self.request.head;
        let mut writer = RequestWriter::new(&head.method, &head.target);
        for (name, value) in head.headers.end_to_end() {
            if !headers::is_ours(name) && !headers::is_last_event(name) {
                writer.header(name, value);
            }
        }
        headers::tell(envelope, |name, value| writer.header(name, value.as_bytes()));
        let bodyless = self.request.body.is_empty() && matches!(head.method.as_str(), "GET" | "HEAD");
        writer.finish((!bodyless).then_some(&self.request.body))
    }

    /// One send to the upstream chosen.
    async fn send(&mut self, chosen: &Chosen, resumed: Option<u64>) -> Sent {
        let site = self.site.clone();
        let upstream = &chosen.upstream;
        let prompt = self.request.asked.prompt.as_ref();
        let memory = prompt.map_or(0, |p| p.input + p.output);
        let ahead = upstream.load().unread + chosen.unread;
        let envelope = self.envelope(chosen, resumed);
        let encoded = self.encode(&envelope);
        let mut flight = Flight::new(upstream.clone(), chosen.unread, memory, site.now());
        tracing::info!(target: "place", id = self.id(), upstream = %upstream.id, part = chosen.part,
            shared = prompt.map(|p| p.shared()), weights = chosen.weights, salt = envelope.salt, fetch = chosen.fetch, unread = chosen.unread, ahead,
            running = upstream.load().running, wait_ms = chosen.wait.as_millis() as u64,
            left_ms = self.left().as_millis() as u64, "placed");
        self.sends += 1;
        self.last = Some(upstream.id.clone());
        self.tried.push(upstream.id.clone());
        let begun = site.now();
        let deadline = site.at(begun + self.patience(chosen.wait).min(chosen.begin));
        let id = self.request.asked.attempt.clone();
        let method = self.request.head.method.clone();
        // From here on the request may have reached the upstream, also if
        // this is dropped.
        let ran_before = std::mem::replace(&mut self.ran, true);
        let sent = attempt::send(&site, upstream, &method, id.as_deref(), &encoded);
        let result = match tokio::time::timeout_at(deadline, sent).await {
            Ok(result) => result,
            Err(_) => Err(Failure::Silent(site.now() - begun)),
        };
        let now = site.now();
        self.waited = now - begun;
        match result {
            Err(Failure::Unreachable(why)) => {
                self.ran = ran_before;
                self.sends -= 1;
                self.connects += 1;
                self.tried.pop();
                self.avoided.push(upstream.id.clone());
                upstream.doubt(now);
                site.counters.count("upstream.unreachable");
                tracing::warn!(target: "attempt", id = self.id(), upstream = %upstream.id, %why,
                    "upstream unreachable");
                Sent::Nothing
            }
            Err(failure) => {
                upstream.failed(&failure, now);
                site.counters.count("upstream.broken");
                tracing::warn!(target: "attempt", id = self.id(), upstream = %upstream.id,
                    %failure, sends = self.sends, "send brought no answer");
                Sent::Nothing
            }
            Ok(opened) if opened.mark.not_run => {
                self.ran = ran_before;
                self.refused(opened, now).await
            }
            Ok(opened) => {
                upstream.health.borrow_mut().alive(now);
                tracing::info!(target: "attempt", id = self.id(), upstream = %upstream.id,
                    status = opened.head.status, weights = opened.mark.weights,
                    ms = self.waited.as_millis() as u64,
                    expected_ms = chosen.wait.as_millis() as u64, "answer begun");
                if let (Some(version), Some(prompt)) = (opened.mark.weights, prompt) {
                    upstream.serves(&prompt.model, version);
                }
                note_read(&mut flight, chosen, ahead, begun, now);
                self.answered(opened, flight).await
            }
        }
    }

    /// How long the first byte of an answer is waited for. A request that
    /// cannot go elsewhere waits until its time is up.
    fn patience(&self, expected: Duration) -> Duration {
        let elsewhere = self.route.kind.repeatable()
            && (self.tried.len() as u32) < self.route.attempts;
        if !elsewhere {
            return self.left();
        }
        let expected = expected.mul_f64(PATIENCE_FACTOR) + self.route.target;
        expected.min(self.left())
    }

    /// An upstream refused the request without running it.
    async fn refused(&mut self, opened: Opened, now: Duration) -> Sent {
        let upstream = opened.upstream.clone();
        let status = opened.head.status;
        let other = opened.mark.upstream.as_ref().is_some_and(|id| *id != upstream.id);
        self.site.counters.count("upstream.refused");
        tracing::info!(target: "attempt", id = self.id(), upstream = %upstream.id, status,
            weights = opened.mark.weights, sends = self.sends, "upstream refused, not run");
        match status {
            421 if other => {
                // Another upstream has the address: this one is gone.
                self.site.fleet.remove(&upstream.id);
                Sent::Nothing
            }
            421 => {
                let model = self.request.asked.prompt.as_ref().map(|p| p.model.clone());
                let before = model.as_deref().and_then(|m| upstream.weights(m));
                let named = self.site.named.borrow();
                let newest = model.as_deref().and_then(|m| named.get(m)?.newest());
                let now_at = opened.mark.weights.or(newest);
                opened.finish(now);
                match (model, now_at) {
                    (Some(model), Some(version)) if before < Some(version) => {
                        upstream.serves(&model, version);
                        Sent::OtherWeights
                    }
                    _ => Sent::Nothing,
                }
            }
            400 => match self.collect(opened).await {
                Some((opened, body)) => Sent::Failed(opened, body),
                None => Sent::Nothing,
            },
            _ => {
                upstream.health.borrow_mut().refuses(now, REFUSAL_PAUSE);
                opened.finish(now);
                Sent::Nothing
            }
        }
    }

    /// The answer with its whole body, if that comes in time.
    async fn collect(&self, mut opened: Opened) -> Option<(Opened, BytesMut)> {
        let deadline = self.site.at(self.expires);
        let body = tokio::time::timeout_at(deadline, opened.collect()).await.ok()?.ok()?;
        Some((opened, body))
    }

    /// An upstream answered.
    async fn answered(&mut self, opened: Opened, flight: Flight) -> Sent {
        let upstream = opened.upstream.clone();
        let status = opened.head.status;
        match status {
            200..=299 if !opened.mark.sealed => {
                upstream.health.borrow_mut().answered(false);
                tracing::warn!(target: "attempt", id = self.id(), upstream = %upstream.id, status,
                    "success without a seal dropped");
                Sent::Nothing
            }
            500..=599 => {
                upstream.health.borrow_mut().answered(false);
                match self.collect(opened).await {
                    Some((opened, body)) if opened.mark.sealed => Sent::Failed(opened, body),
                    _ => Sent::Nothing,
                }
            }
            _ => Sent::Open(opened, flight),
        }
    }
}

/// Notes that a prompt sent at `begun` was read by `now`.
fn note_read(flight: &mut Flight, chosen: &Chosen, ahead: u64, begun: Duration, now: Duration) {
    flight.read();
    if let Some(part) = chosen.part {
        chosen.upstream.hold(part, now);
    }
    // Only prompts read alone tell the pace: others' are not known exactly.
    if chosen.unread >= PACE_SAMPLE && ahead == chosen.unread {
        chosen.upstream.health.borrow_mut().read(ahead, now - begun);
    }
}

/// Unread tokens at an engine behind which a large prompt is not sent.
const LARGE_AHEAD: u64 = 8_000;

/// Time between looks for an engine while a large prompt waits.
const HOLD_LOOK: Duration = Duration::from_millis(40);

/// Part of the caller's time that a large prompt waits here at most.
const HOLD_SHARE: u32 = 4;

/// Share of the engines that small prompts go to first.
const SMALL_SHARE: f64 = 0.25;

/// Shared tokens from which copying them is worth a transfer.
const COPY_TOKENS: u64 = 1_000;

/// Prompt tokens from which a read tells the pace: below, the fixed time of
/// a step prevails.
const PACE_SAMPLE: u64 = 2_000;

fn weights_age(replaced: Duration, bound: Duration) -> WeightsAge {
    match replaced {
        age if age <= WEIGHTS_GRACE => WeightsAge::Good,
        age if age < bound => WeightsAge::Old,
        _ => WeightsAge::Overdue,
    }
}

/// Where shared parts can be copied from.
struct Keeper {
    /// The engine; `None` for the store.
    id: Option<UpstreamId>,
    addr: SocketAddr,
    dc: DataCentre,
    /// The weights they were made by.
    weights: u64,
    held: u64,
    /// Milliseconds to copy one token within a data centre.
    token_ms: f64,
}

impl Keeper {
    fn copying(&self, to: &DataCentre) -> Copying {
        let factor = if self.dc == *to { 1.0 } else { FAR_FACTOR };
        Copying { held: self.held, token_ms: self.token_ms * factor }
    }
}

/// The keeper from which an engine in `dc` copies best.
fn best_keeper<'a>(
    keepers: &'a [Keeper],
    weights: u64,
    engine: &UpstreamId,
    dc: &DataCentre,
) -> Option<&'a Keeper> {
    let others = keepers.iter().filter(|k| k.weights == weights && k.id.as_ref() != Some(engine));
    others.min_by(|a, b| {
        let (a, b) = (a.copying(dc), b.copying(dc));
        b.held.cmp(&a.held).then(a.token_ms.total_cmp(&b.token_ms))
    })
}

/// Copies between data centres take this many times as long.
const FAR_FACTOR: f64 = 2.0;

/// The store's link is every engine's: it is taken to be this many times as
/// slow as an engine's.
const STORE_FACTOR: f64 = 4.0;

/// What one send brought.
enum Sent {
    Open(Opened, Flight),
    Failed(Opened, BytesMut),
    /// Not run: the upstream serves other weights than was thought.
    OtherWeights,
    Nothing,
}
