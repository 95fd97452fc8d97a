//! Sources from which an engine can copy cached parts of a prompt.

use std::net::SocketAddr;
use std::rc::Rc;

use marjoram_core::catalog::{CacheStore, EngineSpec};
use marjoram_core::exchange::{Part, Prompt};
use marjoram_core::host::DataCentre;
use marjoram_core::part_index;
use marjoram_core::place::{self, Candidate, Choice, CopyableCache};
use marjoram_core::switches::Mechanism;
use marjoram_core::upstream::Instance;

use super::Exchange;
use crate::proxy::fleet::Upstream;

/// Factor by which a copy between data centres is assumed to take longer than
/// one within a data centre.
const CROSS_DC_FACTOR: f64 = 2.0;

/// Factor by which a copy from a cache store is assumed to take longer than its
/// link alone would allow: all engines share that link.
const SHARED_LINK_FACTOR: f64 = 2.0;

/// An engine or cache store from which cached prompt parts can be copied.
pub(super) struct CopySource {
    /// The engine; `None` for a cache store.
    pub(super) engine: Option<Instance>,
    pub(super) addr: SocketAddr,
    dc: DataCentre,
    /// Version of the weights that computed the cached parts.
    pub(super) weights: u64,
    /// Shared tokens of the prompt that are cached there.
    pub(super) cached: u64,
    /// Milliseconds to copy one token within a data centre.
    token_ms: f64,
}

impl CopySource {
    /// Size and cost of a copy to an engine in the data centre `to`.
    pub(super) fn copy_cost(&self, to: &DataCentre) -> CopyableCache {
        let factor = if self.dc == *to { 1.0 } else { CROSS_DC_FACTOR };
        CopyableCache { held: self.cached, token_ms: self.token_ms * factor }
    }
}

/// The best source for the engine `engine` in `dc`, which serves `weights`: the
/// one with the most cached tokens, and of several the one that copies fastest.
/// Only parts computed by the same weights can be used.
pub(super) fn best_source<'a>(
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

impl Exchange {
    /// Where to try to copy shared parts that no engine or store is known to have
    /// cached, if enough of them are missing: from the preferred engine of their
    /// prefix path, or, if that is the engine chosen, from the cache store to which
    /// they are saved. This host's index of the caches' contents may be incomplete.
    pub(super) fn likely_source(
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
    pub(super) fn store_of(&self, prompt: &Prompt) -> Option<SocketAddr> {
        let rank =
            |s: &&CacheStore| place::rank(prompt.prefix_hash(), self.site.stores.at(s.addr).key);
        self.stores().max_by_key(rank).map(|s| s.addr)
    }

    /// The configured cache stores; none if their use is switched off.
    pub(super) fn stores(&self) -> impl Iterator<Item = &CacheStore> {
        let enabled = self.site.has(Mechanism::Stores);
        self.catalog.cache_stores().filter(move |_| enabled)
    }

    /// The engines and cache stores known to have cached shared parts of the prompt,
    /// by the cache updates received. They include engines that may not get the
    /// request themselves.
    pub(super) fn copy_sources(
        &self,
        prompt: &Prompt,
        shared: &[Part],
        spec: &EngineSpec,
    ) -> Vec<CopySource> {
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
