//! Which upstream a request is sent to next: converts this host's state into
//! the input of the core's decisions, and their result into a send.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::catalog::{CacheStore, EngineSpec};
use marjoram_core::exchange::{Part, Prompt};
use marjoram_core::health::SILENCE;
use marjoram_core::holdings::{self, BLOCK_SLACK, CacheId};
use marjoram_core::host::DataCentre;
use marjoram_core::place::{self, Candidate, Choice, Copying, Need, WeightsAge};
use marjoram_core::plain::{self, Plain};
use marjoram_core::poison;
use marjoram_core::rollout::Named;
use marjoram_core::soundness::Soundness;
use marjoram_core::switches::Mechanism;
use marjoram_core::upstream::Life;

use xxhash_rust::xxh3::xxh3_64;

use super::{Exchange, millis};
use crate::proxy::fleet::Upstream;
use crate::proxy::refusal::Refusal;

/// Prompt tokens that an engine is taken to read in a millisecond before
/// anything has been measured.
const DEFAULT_PACE: f64 = 40.0;

/// Time before the end of the bound on weights at which replaced ones are no
/// longer used: a request may wait that long before it begins.
const WEIGHTS_MARGIN: Duration = Duration::from_millis(1_500);

/// Time before the end of that bound at which a request that has not begun
/// on replaced weights is cancelled.
const CANCEL_MARGIN: Duration = Duration::from_millis(250);

/// Share of the engines that small prompts go to first.
const SMALL_SHARE: f64 = 0.3;

/// Copies between data centres take this many times as long.
const FAR_FACTOR: f64 = 2.0;

/// A cache store's link is shared by all engines: copies are taken to be this
/// many times as slow as for one engine alone.
const STORE_FACTOR: f64 = 2.0;

/// An upstream chosen for a send.
pub struct Chosen {
    /// The upstream.
    pub upstream: Rc<Upstream>,
    /// Prompt tokens it will have to read.
    pub unread: u64,
    /// How long the first byte is expected to take.
    pub wait: Duration,
    /// The only weights that may run it.
    pub weights: Option<u64>,
    /// How long it may take to begin before its weights are out of use.
    pub begin: Duration,
    /// Where shared parts are fetched from.
    pub fetch: Option<SocketAddr>,
    /// Where shared parts are sent to once they are read.
    pub save: Option<SocketAddr>,
    /// The cache that its shared parts are kept in there.
    pub cache: CacheId,
}

/// Where shared parts can be copied from.
struct Keeper {
    /// The engine; `None` for the cache store.
    life: Option<Life>,
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

/// The keeper from which the engine `life` in `dc`, on `weights`, copies best.
fn best_keeper<'a>(
    keepers: &'a [Keeper],
    weights: u64,
    life: &Life,
    dc: &DataCentre,
) -> Option<&'a Keeper> {
    let others = keepers.iter().filter(|k| k.weights == weights && k.life.as_ref() != Some(life));
    others.min_by(|a, b| {
        let (a, b) = (a.copying(dc), b.copying(dc));
        b.held.cmp(&a.held).then(a.token_ms.total_cmp(&b.token_ms))
    })
}

/// Milliseconds to copy one token of `bytes` over a link.
fn copy_ms(bytes: f64, link_mbps: f64) -> f64 {
    bytes * 8.0 / (link_mbps.max(1.0) * 1e3)
}

/// The bound on weights, and how far the engines' are past it.
struct WeightsBound {
    named: Named,
    /// When replaced weights are no longer used.
    bound: Duration,
    /// When the store answered without errors: the bound runs in one such
    /// stretch, since no orders can be given otherwise.
    soundness: Soundness,
    now: Duration,
}

impl WeightsBound {
    fn replaced(&self, weights: u64) -> Duration {
        self.named.replaced(weights, self.now).unwrap_or_default()
    }

    /// The part of the bound that has run in the current stretch.
    fn run(&self, weights: u64) -> Duration {
        self.replaced(weights).min(self.soundness.lasts(self.now))
    }

    /// Whether `weights` may still be used: their bound has not passed, nor
    /// had it before the last store errors.
    fn allows(&self, weights: u64) -> bool {
        let past = self.soundness.past(self.replaced(weights), self.now);
        self.run(weights) < self.bound && past < self.bound + WEIGHTS_MARGIN
    }

    /// How long a request on `weights` may take to begin.
    fn begin(&self, weights: u64) -> Duration {
        let gone = self.run(weights) + CANCEL_MARGIN;
        (self.bound + WEIGHTS_MARGIN).saturating_sub(gone)
    }
}

impl Exchange {
    /// The upstream for the next send.
    pub(super) fn choose(&self, resumed: bool) -> Result<Chosen, Refusal> {
        let all = self.candidates();
        let apart = (self.crashed || self.site.poison.suspects(self.fingerprint))
            .then(|| self.choose_among(&self.apart(&all), resumed));
        match apart {
            Some(Ok(chosen)) => Ok(chosen),
            // None of those has room.
            Some(Err(_)) | None => self.choose_among(&all, resumed),
        }
    }

    /// Those of `all` that a request which was at a crash is sent to, apart
    /// from the others that were there.
    fn apart(&self, all: &[Rc<Upstream>]) -> Vec<Rc<Upstream>> {
        let places: Vec<u64> = all.iter().map(|u| u.place).collect();
        poison::apart(self.fingerprint, &places).into_iter().map(|i| all[i].clone()).collect()
    }

    fn choose_among(&self, all: &[Rc<Upstream>], resumed: bool) -> Result<Chosen, Refusal> {
        match (&self.request.asked.prompt, self.catalog.engine(&self.service)) {
            _ if all.is_empty() => Err(self.give_up("no upstream free")),
            (Some(prompt), Some(spec)) => self.choose_engine(prompt, spec, all, resumed),
            _ => self.choose_plain(all),
        }
    }

    /// Upstreams that may get the request; suspect ones only if all are.
    pub(super) fn candidates(&self) -> Vec<Rc<Upstream>> {
        let now = self.site.now();
        let share = self.connection_share();
        let open = |u: &Rc<Upstream>| {
            let listed = !u.entry.borrow().leaving && !u.is_closed(now);
            let fresh = !self.tried.contains(&u.life) && !self.avoided.contains(&u.life);
            listed && fresh && u.pool.in_use() < share
        };
        let well = |u: &&Rc<Upstream>| {
            let health = u.health.borrow();
            !health.is_paused(now) && health.silent(now) < SILENCE && !u.is_doubted(now)
        };
        let mut usable = self.site.fleet.service(&self.service);
        usable.retain(open);
        let best: Vec<Rc<Upstream>> = usable.iter().filter(well).cloned().collect();
        if best.is_empty() { usable } else { best }
    }

    /// Connections to one upstream that this host may hold.
    fn connection_share(&self) -> u32 {
        let all = self.catalog.services.get(&self.service).map_or(u32::MAX, |s| s.connections);
        (all / self.site.peers.count() as u32).max(2)
    }

    fn choose_plain(&self, candidates: &[Rc<Upstream>]) -> Result<Chosen, Refusal> {
        let here = &self.site.settings.load().dc;
        let view = |u: &Rc<Upstream>| {
            let health = u.health.borrow();
            Plain {
                running: u.load().running,
                slots: u.entry.borrow().slots,
                latency: health.latency(),
                failures: health.failures(),
                far: !u.is_in(here),
            }
        };
        let plains: Vec<Plain> = candidates.iter().map(view).collect();
        match plain::place(&plains) {
            Some(choice) if millis(choice.wait) < self.left() => Ok(Chosen {
                upstream: candidates[choice.upstream].clone(),
                unread: 0,
                wait: millis(choice.wait),
                weights: None,
                begin: Duration::MAX,
                fetch: None,
                save: None,
                cache: CacheId::new(""),
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
        let bound = self.weights_bound(&prompt.model);
        let weights = |u: &Upstream| u.weights(&prompt.model).unwrap_or_default();
        let allowed: Vec<&Rc<Upstream>> = all.iter().filter(|u| bound.allows(weights(u))).collect();
        let shared = prompt.shared_parts();
        let keepers = self.keepers(prompt, shared, spec);
        let views = self.views(prompt, shared, spec, &allowed, &keepers, &bound);
        let need = Need {
            input: prompt.input,
            shared: prompt.shared(),
            output: prompt.output,
            target: self.route.target.as_secs_f64() * 1e3,
        };
        let turn = self.site.turn.replace(self.site.turn.get().wrapping_add(1));
        let Some(choice) = place::place_by(self.site.policy, need, &views, turn) else {
            return Err(self.give_up("no engine on weights in force"));
        };
        if !resumed && millis(choice.wait) > self.left() {
            return Err(self.give_up("too much waits"));
        }
        let upstream = allowed[choice.engine].clone();
        let weights = weights(&upstream);
        let keeper = best_keeper(&keepers, weights, &upstream.life, &upstream.entry.borrow().dc);
        let fetch = match keeper.filter(|_| choice.copies) {
            Some(keeper) => Some(keeper.addr),
            None => self.guess(prompt, &views, &choice, &allowed),
        };
        let stored = |k: &Keeper| k.life.is_none() && k.weights == weights;
        let kept = keepers.iter().any(|k| stored(k) && k.held + BLOCK_SLACK >= need.shared);
        let saved = need.shared * 2 >= need.input && !kept;
        Ok(Chosen {
            weights: upstream.weights(&prompt.model),
            begin: bound.begin(weights),
            upstream,
            unread: choice.unread,
            wait: millis(choice.wait),
            fetch,
            save: self.store_of(prompt).filter(|_| saved),
            cache: self.cache(weights),
        })
    }

    /// Where to look for shared parts that no engine is known to keep: at their
    /// home, and from there in the cache store that they are saved to.
    fn guess(
        &self,
        prompt: &Prompt,
        views: &[Candidate],
        choice: &Choice,
        engines: &[&Rc<Upstream>],
    ) -> Option<SocketAddr> {
        let own = prompt.input.saturating_sub(prompt.shared());
        let missing = choice.unread.saturating_sub(own);
        if missing < holdings::LARGE || !self.site.has(Mechanism::Copies) {
            return None;
        }
        match place::home(views, views[choice.engine].weights) {
            Some(home) if home != choice.engine => Some(engines[home].entry.borrow().addr),
            _ => self.store_of(prompt),
        }
    }

    /// The cache store that the prompt's shared parts are saved to.
    fn store_of(&self, prompt: &Prompt) -> Option<SocketAddr> {
        let rank = |s: &&CacheStore| place::rank(prompt.chain(), self.site.stores.at(s.addr).key);
        self.stores().max_by_key(rank).map(|s| s.addr)
    }

    fn weights_bound(&self, model: &str) -> WeightsBound {
        let now = self.site.now();
        WeightsBound {
            named: self.site.named.borrow().get(model).cloned().unwrap_or_default(),
            bound: self.site.settings.load().bounds.weights.saturating_sub(WEIGHTS_MARGIN),
            soundness: self.site.soundness.borrow().clone(),
            now,
        }
    }

    /// The engines as input of the decision.
    fn views(
        &self,
        prompt: &Prompt,
        shared: &[Part],
        spec: &EngineSpec,
        engines: &[&Rc<Upstream>],
        keepers: &[Keeper],
        bound: &WeightsBound,
    ) -> Vec<Candidate> {
        let now = self.site.now();
        let here = &self.site.settings.load().dc;
        let has = |mechanism| self.site.has(mechanism);
        let request = xxh3_64(self.id().as_bytes());
        let chain = if has(Mechanism::Homes) { prompt.chain() } else { request };
        let places: Vec<u64> = engines.iter().map(|u| u.place).collect();
        let small_share = if has(Mechanism::Lanes) { SMALL_SHARE } else { 0.0 };
        let lanes = place::lane(&places, small_share, prompt.input >= place::LARGE);
        let hosts = if has(Mechanism::Drawing) { self.site.peers.count() } else { 1 };
        let drawn = place::draw(request, &places, &lanes, hosts);
        let view = |((u, lane), drawn): ((&&Rc<Upstream>, bool), bool)| {
            let (load, health, entry) = (u.load(), u.health.borrow(), u.entry.borrow());
            let weights = u.weights(&prompt.model).unwrap_or_default();
            let keeper = best_keeper(keepers, weights, &u.life, &entry.dc);
            Candidate {
                rank: place::rank(chain, u.place),
                unread: load.unread,
                running: load.running,
                slots: entry.slots,
                memory: load.memory,
                capacity: spec.capacity,
                pace: health.pace().unwrap_or(DEFAULT_PACE),
                held: u.held(self.cache(weights), shared, now),
                copy: keeper.map(|k| k.copying(&entry.dc)),
                failures: health.failures(),
                far: entry.dc != *here,
                weights,
                age: WeightsAge::new(bound.replaced(weights), bound.bound),
                lane,
                drawn,
            }
        };
        engines.iter().zip(lanes).zip(drawn).map(view).collect()
    }

    /// The cache stores in use.
    fn stores(&self) -> impl Iterator<Item = &CacheStore> {
        let used = self.site.has(Mechanism::Stores);
        self.catalog.cache_stores().filter(move |_| used)
    }

    /// Where shared parts of the prompt can be copied from.
    fn keepers(&self, prompt: &Prompt, shared: &[Part], spec: &EngineSpec) -> Vec<Keeper> {
        let tokens: u64 = shared.iter().map(|p| p.tokens).sum();
        if tokens == 0 || !self.site.has(Mechanism::Copies) {
            return Vec::new();
        }
        let now = self.site.now();
        let token_ms = copy_ms(spec.token_bytes, spec.link_mbps);
        let engines = self.site.fleet.service(&self.service);
        let mut versions: Vec<u64> = Vec::new();
        let mut keepers = Vec::new();
        for engine in engines {
            let Some(weights) = engine.weights(&prompt.model) else { continue };
            if !versions.contains(&weights) {
                versions.push(weights);
            }
            let held = engine.held(self.cache(weights), shared, now);
            if held > 0 {
                let (life, entry) = (Some(engine.life.clone()), engine.entry.borrow());
                let (addr, dc) = (entry.addr, entry.dc.clone());
                keepers.push(Keeper { life, addr, dc, weights, held, token_ms });
            }
        }
        for store in self.stores() {
            let known = self.site.stores.at(store.addr);
            let token_ms = STORE_FACTOR * copy_ms(spec.token_bytes, store.link_mbps);
            for &weights in &versions {
                let held = known.kept.borrow().held(self.cache(weights), shared);
                if held > 0 {
                    let (addr, dc) = (store.addr, store.dc.clone());
                    keepers.push(Keeper { life: None, addr, dc, weights, held, token_ms });
                }
            }
        }
        keepers
    }
}
