//! Selects the upstream that a request is sent to next.
//!
//! Gathers this host's view of the upstreams (load, health, cache contents,
//! weights version) into the inputs of the core crate's placement functions,
//! which are free of I/O, and turns the result into the parameters of one send.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::catalog::{CacheStore, EngineSpec};
use marjoram_core::exchange::{Part, Prompt};
use marjoram_core::health::STALL_TIMEOUT;
use marjoram_core::host::DataCentre;
use marjoram_core::part_index::{self, BLOCK_SLACK, CacheId};
use marjoram_core::place::{self, Candidate, Choice, CopyableCache, Need, WeightsAge};
use marjoram_core::plain::{self, PlainUpstream};
use marjoram_core::poison;
use marjoram_core::rollout::AnnouncedVersions;
use marjoram_core::store_availability::StoreAvailability;
use marjoram_core::switches::Mechanism;
use marjoram_core::upstream::Instance;

use xxhash_rust::xxh3::xxh3_64;

use super::{Exchange, millis};
use crate::proxy::fleet::Upstream;
use crate::proxy::refusal::Refusal;

/// Prefill throughput, in prompt tokens per millisecond, that is assumed for an
/// engine until it has been measured: 1,000 tokens then take 25 ms.
pub(super) const DEFAULT_THROUGHPUT: f64 = 40.0;

/// Replaced weights stop getting new requests this long before the operators'
/// limit on their use: a request sent to an engine may queue there that long
/// before it begins, and it must begin before the limit.
const WEIGHTS_MARGIN: Duration = Duration::from_millis(1_500);

/// A request that has not begun on replaced weights is cancelled this long before
/// that limit. Messages within a region take a few milliseconds, so the
/// cancellation arrives in time.
const CANCEL_MARGIN: Duration = Duration::from_millis(250);

/// Fraction of the engines that form the partition for small prompts; the other
/// engines form the one for large prompts. A prompt is sent outside its partition
/// when that scores better.
const SMALL_PROMPT_SHARE: f64 = 0.3;

/// Engines sampled inside and outside the partition for a prompt whose accounts are queried: these are
/// recent, so more engines can be compared without all hosts choosing the same one.
const REPORTED_SAMPLE: usize = 4;

/// Factor by which a copy between data centres is assumed to take longer than
/// one within a data centre.
const CROSS_DC_FACTOR: f64 = 2.0;

/// Factor by which a copy from a cache store is assumed to take longer than its
/// link alone would allow: all engines share that link.
const SHARED_LINK_FACTOR: f64 = 2.0;

/// The upstream chosen for one send, and the parameters of that send.
pub struct Chosen {
    /// The upstream.
    pub upstream: Rc<Upstream>,
    /// Prompt tokens that it must prefill because they are neither cached there
    /// nor copied.
    pub prefill: u64,
    /// Expected time to the first byte of the answer.
    pub expected_wait: Duration,
    /// The only weights version that may run the request.
    pub weights: Option<u64>,
    /// Time within which the request must begin. It ends [`CANCEL_MARGIN`] before
    /// the limit on the use of the weights.
    pub begin_within: Duration,
    /// Address from which the engine copies shared prompt parts.
    pub fetch: Option<SocketAddr>,
    /// Address of the cache store to which the engine saves shared prompt parts
    /// after it has prefilled them.
    pub save: Option<SocketAddr>,
    /// The engine's cache for the shared parts of this request.
    pub cache: CacheId,
}

/// An engine or cache store from which cached prompt parts can be copied.
struct CopySource {
    /// The engine; `None` for a cache store.
    engine: Option<Instance>,
    addr: SocketAddr,
    dc: DataCentre,
    /// Version of the weights that computed the cached parts.
    weights: u64,
    /// Shared tokens of the prompt that are cached there.
    cached: u64,
    /// Milliseconds to copy one token within a data centre.
    token_ms: f64,
}

impl CopySource {
    /// Size and cost of a copy to an engine in the data centre `to`.
    fn copy_cost(&self, to: &DataCentre) -> CopyableCache {
        let factor = if self.dc == *to { 1.0 } else { CROSS_DC_FACTOR };
        CopyableCache { held: self.cached, token_ms: self.token_ms * factor }
    }
}

/// The best source for the engine `engine` in `dc`, which serves `weights`: the
/// one with the most cached tokens, and of several the one that copies fastest.
/// Only parts computed by the same weights can be used.
fn best_source<'a>(
    sources: &'a [CopySource],
    weights: u64,
    engine: &Instance,
    dc: &DataCentre,
) -> Option<&'a CopySource> {
    let others =
        sources.iter().filter(|s| s.weights == weights && s.engine.as_ref() != Some(engine));
    others.min_by(|a, b| {
        let (a, b) = (a.copy_cost(dc), b.copy_cost(dc));
        b.held.cmp(&a.held).then(a.token_ms.total_cmp(&b.token_ms))
    })
}

/// Milliseconds to copy one token of `bytes` over a link of `link_mbps`
/// megabits per second.
fn copy_ms(bytes: f64, link_mbps: f64) -> f64 {
    bytes * 8.0 / (link_mbps.max(1.0) * 1e3)
}

/// The operators' limit on how long weights may be used after newer ones have
/// been announced.
///
/// Engines cannot be ordered to change weights while the platform's store is
/// unavailable. So the limit applies to each period without a store outage
/// separately: the time before an outage is not added to the time after it.
struct ReplacedWeightsLimit {
    /// The versions announced for the model, and when.
    announced: AnnouncedVersions,
    /// Time after which replaced weights get no new requests: the operators'
    /// limit less [`WEIGHTS_MARGIN`].
    cutoff: Duration,
    /// When the store answered without errors.
    availability: StoreAvailability,
    now: Duration,
}

impl ReplacedWeightsLimit {
    /// How long ago a newer version than `weights` was announced; zero if none was.
    fn replaced_for(&self, weights: u64) -> Duration {
        self.announced.replaced(weights, self.now).unwrap_or_default()
    }

    /// How much of that time has passed since the last store outage.
    fn elapsed(&self, weights: u64) -> Duration {
        self.replaced_for(weights).min(self.availability.error_free_for(self.now))
    }

    /// Whether `weights` may get new requests: the time allowed for them is not
    /// used up in the current period, and was not in an earlier one either.
    /// Without the second check, an outage would bring weights back into use.
    fn allows(&self, weights: u64) -> bool {
        let before_outage =
            self.availability.longest_past_period(self.replaced_for(weights), self.now);
        self.elapsed(weights) < self.cutoff && before_outage < self.cutoff + WEIGHTS_MARGIN
    }

    /// How long a request on `weights` may wait before it begins; it is
    /// cancelled after that.
    fn begin_within(&self, weights: u64) -> Duration {
        let used = self.elapsed(weights) + CANCEL_MARGIN;
        (self.cutoff + WEIGHTS_MARGIN).saturating_sub(used)
    }
}

impl Exchange {
    /// Selects the upstream for the next send, or returns the refusal if there is
    /// none. `resumed`: the caller already has the beginning of the answer.
    ///
    /// A request that was in flight when an upstream crashed is first tried on the
    /// few upstreams that [`poison::retry_upstreams`] assigns to it, so that it can
    /// be distinguished from the others that were in flight there.
    pub(super) fn choose(&self, resumed: bool, denied: &[Instance]) -> Result<Chosen, Refusal> {
        let mut all = self.candidates();
        all.retain(|u| !denied.contains(&u.life));
        let separate = (self.crashed || self.site.poison.suspects(self.fingerprint))
            .then(|| self.choose_among(&self.separate_candidates(&all), resumed));
        match separate {
            Some(Ok(chosen)) => Ok(chosen),
            // None of those can take the request: serving it comes before separating
            // it from others.
            Some(Err(_)) | None => self.choose_among(&all, resumed),
        }
    }

    /// The refusal of a request for which no upstream is free. If this host only backs
    /// off from one of them, the caller is to retry after that, or somewhat later.
    fn refuse_without_upstream(&self) -> Refusal {
        let now = self.site.now();
        let service = self.site.fleet.service(&self.service);
        let backoffs =
            service.iter().filter(|u| !u.is_leaving()).filter_map(|u| u.backoff_left(now));
        match backoffs.min() {
            Some(left) => {
                self.site.counters.count("request.backed_off");
                self.give_up_until("upstreams have asked to back off", left)
            }
            None => self.give_up("no upstream free"),
        }
    }

    /// Those of `all` that are assigned to this request because it was in flight at
    /// a crash. Other requests in flight at that crash are mostly assigned other
    /// upstreams.
    fn separate_candidates(&self, all: &[Rc<Upstream>]) -> Vec<Rc<Upstream>> {
        let address_hashes: Vec<u64> = all.iter().map(|u| u.address_hash).collect();
        poison::retry_upstreams(self.fingerprint, &address_hashes)
            .into_iter()
            .map(|i| all[i].clone())
            .collect()
    }

    /// Selects among `all`: by cached prompt parts and prefill work if the service
    /// runs engines and the request has a prompt, else by load alone.
    fn choose_among(&self, all: &[Rc<Upstream>], resumed: bool) -> Result<Chosen, Refusal> {
        match (&self.request.asked.prompt, self.catalog.engine(&self.service)) {
            _ if all.is_empty() => Err(self.refuse_without_upstream()),
            (Some(prompt), Some(spec)) => self.choose_engine(prompt, spec, all, resumed),
            _ => self.choose_plain(all),
        }
    }

    /// Upstreams that may get the request: in service, not yet tried, and below
    /// this host's share of connections. Those that are paused after failures,
    /// silent, or reported unreachable are included only if there are no others.
    pub(super) fn candidates(&self) -> Vec<Rc<Upstream>> {
        let now = self.site.now();
        let share = self.connection_share();
        let available = |u: &Rc<Upstream>| {
            let in_service = !u.is_leaving() && !u.is_closed(now) && u.backoff_left(now).is_none();
            let untried = !self.tried.contains(&u.life) && !self.unreachable.contains(&u.life);
            in_service && untried && u.pool.in_use() < share
        };
        let healthy = |u: &&Rc<Upstream>| {
            let health = u.health.borrow();
            !health.is_paused(now)
                && health.stalled_for(now) < STALL_TIMEOUT
                && !u.is_reported_unreachable(now)
        };
        let mut usable = self.site.fleet.service(&self.service);
        usable.retain(available);
        let preferred: Vec<Rc<Upstream>> = usable.iter().filter(healthy).cloned().collect();
        if preferred.is_empty() { usable } else { preferred }
    }

    /// Connections to one upstream that this host may have in use: an equal share
    /// of the service's limit for all hosts, but at least two, however many hosts
    /// there are.
    fn connection_share(&self) -> u32 {
        let all = self.catalog.services.get(&self.service).map_or(u32::MAX, |s| s.connections);
        (all / self.site.peers.count() as u32).max(2)
    }

    /// Selects an upstream by load, latency and failures, if its expected wait is
    /// shorter than the time that the caller still waits.
    fn choose_plain(&self, candidates: &[Rc<Upstream>]) -> Result<Chosen, Refusal> {
        let own_dc = &self.site.settings.load().dc;
        let view = |u: &Rc<Upstream>| {
            let health = u.health.borrow();
            PlainUpstream {
                running: u.load().running,
                slots: u.entry.borrow().slots,
                latency: health.latency(),
                failures: health.failures(),
                far: !u.is_in(own_dc),
            }
        };
        let views: Vec<PlainUpstream> = candidates.iter().map(view).collect();
        match plain::select(&views) {
            Some(choice) if millis(choice.wait) < self.left() => Ok(Chosen {
                upstream: candidates[choice.upstream].clone(),
                prefill: 0,
                expected_wait: millis(choice.wait),
                weights: None,
                begin_within: Duration::MAX,
                fetch: None,
                save: None,
                cache: CacheId::new(""),
            }),
            _ => Err(self.give_up("too much waits")),
        }
    }

    /// Selects an engine for `prompt`, and where it copies shared prompt parts
    /// from and saves them to. An answer that has begun is resumed even if the
    /// expected wait exceeds the time left: its caller has a part of it.
    fn choose_engine(
        &self,
        prompt: &Prompt,
        spec: &EngineSpec,
        all: &[Rc<Upstream>],
        resumed: bool,
    ) -> Result<Chosen, Refusal> {
        let limit = self.replaced_weights_limit(&prompt.model);
        let weights = |u: &Upstream| u.weights(&prompt.model).unwrap_or_default();
        let mut allowed = self.allowed(prompt, all, &limit);
        let need = self.need(prompt);
        if self.site.settings.load().overcommit_crashes {
            allowed.retain(|u| place::fits(need, self.memory_used(u), spec.capacity));
            if allowed.is_empty() {
                return Err(self.give_up("no engine has memory for it"));
            }
        }
        let shared = prompt.shared_parts();
        let sources = self.copy_sources(prompt, shared, spec);
        let views = self.views(prompt, shared, spec, &allowed, &sources, &limit);
        let turn = self.site.turn.replace(self.site.turn.get().wrapping_add(1));
        let Some(choice) = place::place_by(self.site.policy, need, &views, turn) else {
            return Err(self.give_up("no engine on weights in force"));
        };
        if !resumed && millis(choice.wait) > self.left() {
            return Err(self.give_up("too much waits"));
        }
        let upstream = allowed[choice.engine].clone();
        let weights = weights(&upstream);
        let source = best_source(&sources, weights, &upstream.life, &upstream.entry.borrow().dc);
        let fetch = match source.filter(|_| choice.copies) {
            Some(source) => Some(source.addr),
            None => self.likely_source(prompt, &views, &choice, &allowed),
        };
        let in_store = |s: &CopySource| s.engine.is_none() && s.weights == weights;
        let stored = sources.iter().any(|s| in_store(s) && s.cached + BLOCK_SLACK >= need.shared);
        // Prompts of which less than half is shared are not saved.
        let should_save = need.shared * 2 >= need.input && !stored;
        Ok(Chosen {
            weights: upstream.weights(&prompt.model),
            begin_within: limit.begin_within(weights),
            upstream,
            prefill: choice.unread,
            expected_wait: millis(choice.wait),
            fetch,
            save: self.store_of(prompt).filter(|_| should_save),
            cache: self.cache(weights),
        })
    }

    /// Those of `all` whose weights may be used and, if accounts were queried, whose
    /// account is known: engines are compared by equally recent figures. Engines without
    /// room are passed over while another has room.
    fn allowed<'a>(
        &self,
        prompt: &Prompt,
        all: &'a [Rc<Upstream>],
        limit: &ReplacedWeightsLimit,
    ) -> Vec<&'a Rc<Upstream>> {
        let accounts = self.accounts.borrow();
        let weights = |u: &Upstream| u.weights(&prompt.model).unwrap_or_default();
        let allowed: Vec<_> = all.iter().filter(|u| limit.allows(weights(u))).collect();
        let known: Vec<_> =
            allowed.iter().copied().filter(|u| accounts.contains_key(&u.key)).collect();
        let known = if known.is_empty() { allowed } else { known };
        let with_room: Vec<_> =
            known.iter().copied().filter(|u| self.passes_over_full() && self.has_room(u)).collect();
        if with_room.is_empty() { known } else { with_room }
    }

    /// Tokens of the engine's memory that requests occupy, by its account or by heartbeats, whichever
    /// knows of more.
    fn memory_used(&self, engine: &Upstream) -> u64 {
        let account = self.accounts.borrow().get(&engine.key).map_or(0, |a| a.memory);
        account.max(engine.load().memory)
    }

    /// What the placement functions need to know of `prompt`.
    fn need(&self, prompt: &Prompt) -> Need {
        Need {
            input: prompt.input,
            shared: prompt.shared(),
            output: prompt.output,
            target: self.route.target.as_secs_f64() * 1e3,
            factors: self.cost_factors(prompt),
        }
    }

    /// Keys of the engines to compare for the prompt, at most `count`: first those that
    /// may have its parts cached.
    pub(super) fn engines_to_compare(&self, count: usize) -> Vec<u64> {
        let (Some(prompt), Some(spec)) =
            (&self.request.asked.prompt, self.catalog.engine(&self.service))
        else {
            return Vec::new();
        };
        let all = self.candidates();
        let limit = self.replaced_weights_limit(&prompt.model);
        let allowed = self.allowed(prompt, &all, &limit);
        let shared = prompt.shared_parts();
        let sources = self.copy_sources(prompt, shared, spec);
        let views = self.views(prompt, shared, spec, &allowed, &sources, &limit);
        let mut compared = place::compared(self.need(prompt), &views);
        compared.sort_by_key(|(_, found)| *found);
        compared.into_iter().take(count).map(|(index, _)| allowed[index].key).collect()
    }

    /// Where to try to copy shared parts that no engine or store is known to have
    /// cached, if enough of them are missing: from the preferred engine of their
    /// prefix path, or, if that is the engine chosen, from the cache store to which
    /// they are saved. This host's index of the caches' contents may be incomplete.
    fn likely_source(
        &self,
        prompt: &Prompt,
        views: &[Candidate],
        choice: &Choice,
        engines: &[&Rc<Upstream>],
    ) -> Option<SocketAddr> {
        let unshared = prompt.input.saturating_sub(prompt.shared());
        let missing = choice.unread.saturating_sub(unshared);
        if missing < part_index::LARGE_PART || !self.site.has(Mechanism::Copies) {
            return None;
        }
        match place::preferred_engine(views, views[choice.engine].weights) {
            Some(preferred) if preferred != choice.engine => {
                Some(engines[preferred].entry.borrow().addr)
            }
            _ => self.store_of(prompt),
        }
    }

    /// The cache store that the prompt's shared parts are saved to: the first by
    /// rendezvous hashing of their prefix path.
    fn store_of(&self, prompt: &Prompt) -> Option<SocketAddr> {
        let rank =
            |s: &&CacheStore| place::rank(prompt.prefix_hash(), self.site.stores.at(s.addr).key);
        self.stores().max_by_key(rank).map(|s| s.addr)
    }

    /// The limit on replaced weights of `model` at this moment.
    fn replaced_weights_limit(&self, model: &str) -> ReplacedWeightsLimit {
        let now = self.site.now();
        ReplacedWeightsLimit {
            announced: self.site.announced_weights.borrow().get(model).cloned().unwrap_or_default(),
            cutoff: self.site.settings.load().bounds.weights.saturating_sub(WEIGHTS_MARGIN),
            availability: self.site.store_availability.borrow().clone(),
            now,
        }
    }

    /// The state of each of `engines` as the core's placement function takes it.
    ///
    /// With [`Mechanism::PreferredEngines`], engines are ranked by the prompt's prefix
    /// path, so that prompts with equal beginnings prefer the same engine; without it,
    /// by the request. With many hosts, only a few engines sampled by hashing are
    /// compared for a request: since loads become known late, all hosts would
    /// otherwise send to the same engine.
    fn views(
        &self,
        prompt: &Prompt,
        shared: &[Part],
        spec: &EngineSpec,
        engines: &[&Rc<Upstream>],
        sources: &[CopySource],
        limit: &ReplacedWeightsLimit,
    ) -> Vec<Candidate> {
        let now = self.site.now();
        let own_dc = &self.site.settings.load().dc;
        let has = |mechanism| self.site.has(mechanism);
        let request = xxh3_64(self.id().as_bytes());
        let prefix_path =
            if has(Mechanism::PreferredEngines) { prompt.prefix_hash() } else { request };
        let address_hashes: Vec<u64> = engines.iter().map(|u| u.address_hash).collect();
        let small_share = if has(Mechanism::SizePartitions) { SMALL_PROMPT_SHARE } else { 0.0 };
        let partition = place::pool_partition(
            &address_hashes,
            small_share,
            prompt.input >= place::LARGE_PROMPT,
        );
        let accounts = self.accounts.borrow();
        let hosts = if has(Mechanism::EngineSampling) { self.site.peers.count() } else { 1 };
        let sampled = match self.is_reported() {
            true => place::sample_each(request, &address_hashes, &partition, REPORTED_SAMPLE),
            false => place::sample(request, &address_hashes, &partition, hosts),
        };
        let view = |((u, in_partition), sampled): ((&&Rc<Upstream>, bool), bool)| {
            let (load, health, entry) = (u.load(), u.health.borrow(), u.entry.borrow());
            let weights = u.weights(&prompt.model).unwrap_or_default();
            let source = best_source(sources, weights, &u.life, &entry.dc);
            let account = accounts.get(&u.key);
            let throughput = u.reported_throughput.get().or_else(|| health.prefill_throughput());
            Candidate {
                rank: place::rank(prefix_path, u.address_hash),
                unread: account.map_or(load.unread, |a| a.unread),
                running: load.running,
                slots: entry.slots,
                memory: self.memory_used(u),
                capacity: spec.capacity,
                pace: throughput.unwrap_or(DEFAULT_THROUGHPUT),
                held: u.cached_tokens(self.cache(weights), shared, now),
                copy: source.map(|s| s.copy_cost(&entry.dc)),
                failures: health.failures(),
                remote: entry.dc != *own_dc,
                weights,
                age: WeightsAge::new(limit.replaced_for(weights), limit.cutoff),
                in_partition,
                sampled,
            }
        };
        engines.iter().zip(partition).zip(sampled).map(view).collect()
    }

    /// The configured cache stores; none if their use is switched off.
    fn stores(&self) -> impl Iterator<Item = &CacheStore> {
        let enabled = self.site.has(Mechanism::Stores);
        self.catalog.cache_stores().filter(move |_| enabled)
    }

    /// The engines and cache stores known to have cached shared parts of the prompt,
    /// by the cache updates received. They include engines that may not get the
    /// request themselves.
    fn copy_sources(&self, prompt: &Prompt, shared: &[Part], spec: &EngineSpec) -> Vec<CopySource> {
        let tokens: u64 = shared.iter().map(|p| p.tokens).sum();
        if tokens == 0 || !self.site.has(Mechanism::Copies) {
            return Vec::new();
        }
        let now = self.site.now();
        let token_ms = copy_ms(spec.token_bytes, spec.link_mbps);
        let engines = self.site.fleet.service(&self.service);
        let mut versions: Vec<u64> = Vec::new();
        let mut sources = Vec::new();
        for engine in engines {
            let Some(weights) = engine.weights(&prompt.model) else { continue };
            if !versions.contains(&weights) {
                versions.push(weights);
            }
            let cached = engine.cached_tokens(self.cache(weights), shared, now);
            if cached > 0 {
                let (life, entry) = (Some(engine.life.clone()), engine.entry.borrow());
                let (addr, dc) = (entry.addr, entry.dc.clone());
                sources.push(CopySource { engine: life, addr, dc, weights, cached, token_ms });
            }
        }
        for store in self.stores() {
            let known = self.site.stores.at(store.addr);
            let token_ms = SHARED_LINK_FACTOR * copy_ms(spec.token_bytes, store.link_mbps);
            for &weights in &versions {
                let cached = known.cache_index.borrow().cached_tokens(self.cache(weights), shared);
                if cached > 0 {
                    let (addr, dc) = (store.addr, store.dc.clone());
                    sources.push(CopySource { engine: None, addr, dc, weights, cached, token_ms });
                }
            }
        }
        sources
    }
}
