//! Queries the accounts of outstanding large prompts before an engine is chosen.

use std::time::Duration;

use marjoram_core::backlog::MAX_QUERIED;
use marjoram_core::exchange::Prompt;
use marjoram_core::part_directory::part_key;
use marjoram_core::part_index::CacheId;
use marjoram_core::place::{self, CostFactors};
use marjoram_core::switches::Mechanism;

use super::Exchange;
use crate::proxy::backlog;
use crate::proxy::fleet::Upstream;
use crate::proxy::hosts::{BacklogAnswer, BacklogQuery};

/// Versions of the weights whose caches are asked for: during a rollout there are two or three.
const MAX_VERSIONS: usize = 3;

/// Latency target of small prompts for which the costs of leaving a partition are stated.
const REFERENCE_TARGET: Duration = Duration::from_millis(400);

/// Unread tokens from which an engine counts as busy: reading them takes longer than a step.
const BUSY_TOKENS: u64 = 1_000;

/// Least factor on the cost of repeated prefill: it evicts other parts also from idle engines.
const MIN_PREFILL_FACTOR: f64 = 0.25;

impl Exchange {
    /// Whether other hosts are told of this request's sends, and it is placed by their accounts: a
    /// large prompt for a coordinated service.
    pub(super) fn is_reported(&self) -> bool {
        let prompt = self.request.asked.prompt.as_ref();
        prompt.is_some_and(|p| p.input >= place::LARGE_PROMPT)
            && self.site.has(Mechanism::BacklogAccounts)
            && self.site.coordination(&self.service).is_some()
    }

    /// How much the costs count that the choice of an engine has for other requests. They are
    /// those of a busy service whose callers cannot wait, unless this one is coordinated.
    pub(super) fn cost_factors(&self, prompt: &Prompt) -> CostFactors {
        let Some(coordination) = self.site.coordination(&self.service) else {
            return CostFactors::default();
        };
        // A large prompt outside its partition delays the others' requests, a small one only
        // itself.
        let delayed = match prompt.input >= place::LARGE_PROMPT {
            true => coordination.shortest_target_beside(&self.route.name),
            false => Some(self.route.target),
        };
        let delayed = delayed.unwrap_or(REFERENCE_TARGET).max(REFERENCE_TARGET);
        CostFactors {
            partition: REFERENCE_TARGET.div_duration_f64(delayed),
            prefill: self.busy_share().max(MIN_PREFILL_FACTOR),
        }
    }

    /// Share of the engines whose accounts were queried that have prompts to prefill; 1 if none
    /// was.
    fn busy_share(&self) -> f64 {
        let accounts = self.accounts.borrow();
        let busy = accounts.values().filter(|a| a.unread >= BUSY_TOKENS).count();
        if accounts.is_empty() { 1.0 } else { busy as f64 / accounts.len() as f64 }
    }

    /// Prompt tokens that `engine` has yet to prefill, by its account if that was queried.
    pub(super) fn unread(&self, engine: &Upstream) -> u64 {
        let accounts = self.accounts.borrow();
        accounts.get(&engine.key).map_or_else(|| engine.load().unread, |a| a.unread)
    }

    /// Keys of the prompt's shared parts in `cache`.
    pub(super) fn part_keys(&self, cache: CacheId) -> Vec<u64> {
        let shared = self.request.asked.prompt.iter().flat_map(Prompt::shared_parts);
        shared.map(|part| part_key(cache, part.id)).collect()
    }

    /// Queries the accounts of the engines that are compared for this request, if it is placed by
    /// them.
    pub(super) async fn query_backlog(&self) {
        if !self.is_reported() {
            return;
        }
        self.accounts.borrow_mut().clear();
        let caches = self.usable_caches();
        let query = BacklogQuery {
            upstreams: self.engines_to_compare(MAX_QUERIED),
            parts: caches.iter().flat_map(|cache| self.part_keys(*cache)).collect(),
        };
        if let Some(answer) = backlog::query(&self.site, &self.service, query).await {
            self.apply_accounts(answer, &caches);
        }
    }

    /// The caches of the newest versions of the weights that engines serve.
    fn usable_caches(&self) -> Vec<CacheId> {
        let Some(prompt) = &self.request.asked.prompt else { return Vec::new() };
        let engines = self.site.fleet.service(&self.service);
        let mut versions: Vec<u64> =
            engines.iter().filter_map(|u| u.weights(&prompt.model)).collect();
        versions.sort_unstable_by(|a, b| b.cmp(a));
        versions.dedup();
        versions.into_iter().take(MAX_VERSIONS).map(|version| self.cache(version)).collect()
    }

    /// Records the throughput of engines, and the shared parts that they have in `caches`.
    fn apply_accounts(&self, answer: BacklogAnswer, caches: &[CacheId]) {
        let (fleet, now) = (&self.site.fleet, self.site.now());
        for (key, account) in &answer.accounts {
            if let (Some(upstream), Some(throughput)) = (fleet.by_key(*key), account.throughput) {
                upstream.reported_throughput.set(Some(f64::from(throughput)));
            }
        }
        let shared: Vec<_> =
            self.request.asked.prompt.iter().flat_map(Prompt::shared_parts).collect();
        let parts = caches.iter().flat_map(|cache| shared.iter().map(move |part| (*cache, *part)));
        for ((cache, part), engines) in parts.zip(&answer.engines) {
            for upstream in engines.iter().filter_map(|key| fleet.by_key(*key)) {
                upstream.note_cached(cache, std::slice::from_ref(part), now);
            }
        }
        *self.accounts.borrow_mut() = answer.accounts.into_iter().collect();
    }
}
