//! Selects the upstream that a request is sent to next.
//!
//! Gathers this host's view of the upstreams (load, health, cache contents,
//! weights version) into the inputs of the core crate's placement functions,
//! which are free of I/O, and turns the result into the parameters of one send.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::catalog::EngineSpec;
use marjoram_core::exchange::Prompt;
use marjoram_core::health::STALL_TIMEOUT;
use marjoram_core::part_index::{BLOCK_SLACK, CacheId};
use marjoram_core::place::{self, Candidate, Need, WeightsAge};
use marjoram_core::plain::{self, PlainUpstream};
use marjoram_core::poison;
use marjoram_core::switches::Mechanism;
use marjoram_core::upstream::Instance;

use xxhash_rust::xxh3::xxh3_64;

use super::copies::{CopySource, best_source};
use super::weights_limit::ReplacedWeightsLimit;
use super::{Exchange, millis};
use crate::proxy::fleet::Upstream;
use crate::proxy::refusal::Refusal;

/// Prefill throughput, in prompt tokens per millisecond, that is assumed for an
/// engine until it has been measured: 1,000 tokens then take 25 ms.
pub(super) const DEFAULT_THROUGHPUT: f64 = 40.0;

/// Fraction of the engines that form the partition for small prompts; the other
/// engines form the one for large prompts. A prompt is sent outside its partition
/// when that scores better.
const SMALL_PROMPT_SHARE: f64 = 0.3;

/// Engines sampled inside and outside the partition for a prompt whose accounts are queried: these
/// are recent, so more engines can be compared without all hosts choosing the same one.
const REPORTED_SAMPLE: usize = 4;

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

/// The engines among which a prompt is placed.
struct Pool<'a, 'b> {
    /// The engines whose weights may be used. The pool is partitioned over all of them, so that
    /// hosts agree on the partitions whichever engines they compare.
    usable: &'a [&'b Rc<Upstream>],
    /// Whether more engines are sampled, since their loads are known from accounts.
    wide: bool,
}

impl Pool<'_, '_> {
    /// Whether each of `engines` is in the partition for prompts of a size.
    fn partition(&self, engines: &[&Rc<Upstream>], small_share: f64, large: bool) -> Vec<bool> {
        let hashes: Vec<u64> = self.usable.iter().map(|u| u.address_hash).collect();
        let inside = place::pool_partition(&hashes, small_share, large);
        let inside: HashSet<u64> = hashes
            .into_iter()
            .zip(inside)
            .filter_map(|(hash, inside)| inside.then_some(hash))
            .collect();
        engines.iter().map(|u| inside.contains(&u.address_hash)).collect()
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
    /// this host's share of connections. Those that are paused after refusals,
    /// silent, or reported unreachable are included only if there are no others.
    /// Those that are down are not, until this host has connected to them.
    pub(super) fn candidates(&self) -> Vec<Rc<Upstream>> {
        let now = self.site.now();
        let share = self.connection_share();
        let available = |u: &Rc<Upstream>| {
            let in_service = !u.is_leaving()
                && !u.is_closed(now)
                && u.backoff_left(now).is_none()
                && !u.health.borrow().is_down();
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
        let usable = self.usable(prompt, all, &limit);
        let allowed = self.compared_engines(&usable);
        let need = self.need(prompt);
        let shared = prompt.shared_parts();
        let sources = self.copy_sources(prompt, shared, spec);
        let pool = Pool { usable: &usable, wide: !self.accounts.borrow().is_empty() };
        let views = self.views(prompt, spec, &allowed, &pool, &sources, &limit);
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

    /// Those of `all` whose weights may be used.
    fn usable<'a>(
        &self,
        prompt: &Prompt,
        all: &'a [Rc<Upstream>],
        limit: &ReplacedWeightsLimit,
    ) -> Vec<&'a Rc<Upstream>> {
        let weights = |u: &Upstream| u.weights(&prompt.model).unwrap_or_default();
        all.iter().filter(|u| limit.allows(weights(u))).collect()
    }

    /// Those of `usable` to compare: if accounts were queried, those whose account is known, so
    /// that figures are equally recent; and those with room, if there are any.
    fn compared_engines<'a>(&self, usable: &[&'a Rc<Upstream>]) -> Vec<&'a Rc<Upstream>> {
        let accounts = self.accounts.borrow();
        let mut known = usable.to_vec();
        known.retain(|u| accounts.contains_key(&u.key));
        let known = if known.is_empty() { usable.to_vec() } else { known };
        if !self.is_queued() {
            return known;
        }
        let with_room = |engines: &[&'a Rc<Upstream>]| -> Vec<&'a Rc<Upstream>> {
            engines.iter().copied().filter(|u| self.has_room(u)).collect()
        };
        let candidates = [&known[..], usable].into_iter();
        let nonempty = candidates.map(with_room).find(|engines| !engines.is_empty());
        nonempty.unwrap_or(known)
    }

    /// Whether the engine's memory holds the request as well, where exceeding it would crash the
    /// engine.
    pub(super) fn has_memory(&self, engine: &Upstream) -> bool {
        let prompt = self.request.asked.prompt.as_ref();
        match (prompt, self.catalog.engine(&self.service)) {
            (Some(prompt), Some(spec)) if self.site.settings.load().overcommit_crashes => {
                let tokens = prompt.input + prompt.output;
                place::fits(tokens, self.memory_used(engine), spec.capacity)
            }
            _ => true,
        }
    }

    /// Tokens of the engine's memory that requests occupy, by its account or by heartbeats,
    /// whichever knows of more.
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
        let usable = self.usable(prompt, &all, &limit);
        let allowed = self.compared_engines(&usable);
        let sources = self.copy_sources(prompt, prompt.shared_parts(), spec);
        let pool = Pool { usable: &usable, wide: true };
        let views = self.views(prompt, spec, &allowed, &pool, &sources, &limit);
        let mut compared = place::compared(self.need(prompt), &views);
        compared.sort_by_key(|(_, found)| *found);
        compared.into_iter().take(count).map(|(index, _)| allowed[index].key).collect()
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
        spec: &EngineSpec,
        engines: &[&Rc<Upstream>],
        pool: &Pool<'_, '_>,
        sources: &[CopySource],
        limit: &ReplacedWeightsLimit,
    ) -> Vec<Candidate> {
        let (now, shared) = (self.site.now(), prompt.shared_parts());
        let own_dc = &self.site.settings.load().dc;
        let has = |mechanism| self.site.has(mechanism);
        let request = xxh3_64(self.id().as_bytes());
        let prefix_path =
            if has(Mechanism::PreferredEngines) { prompt.prefix_hash() } else { request };
        let address_hashes: Vec<u64> = engines.iter().map(|u| u.address_hash).collect();
        let small_share = if has(Mechanism::SizePartitions) { SMALL_PROMPT_SHARE } else { 0.0 };
        let partition = pool.partition(engines, small_share, prompt.input >= place::LARGE_PROMPT);
        let hosts = if has(Mechanism::EngineSampling) { self.site.peers.count() } else { 1 };
        let sampled = match self.is_reported() && pool.wide {
            true => place::sample_each(request, &address_hashes, &partition, REPORTED_SAMPLE),
            false => place::sample(request, &address_hashes, &partition, hosts),
        };
        let view = |((u, in_partition), sampled): ((&&Rc<Upstream>, bool), bool)| {
            let (load, health, entry) = (u.load(), u.health.borrow(), u.entry.borrow());
            let weights = u.weights(&prompt.model).unwrap_or_default();
            let source = best_source(sources, weights, &u.life, &entry.dc);
            let throughput = u.reported_throughput.get().or_else(|| health.prefill_throughput());
            Candidate {
                rank: place::rank(prefix_path, u.address_hash),
                unread: self.unread(u),
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
                age: WeightsAge::new(limit.replaced_for(weights), limit.cutoff()),
                in_partition,
                sampled,
            }
        };
        engines.iter().zip(partition).zip(sampled).map(view).collect()
    }
}
