//! One caller's request, its attempts at engines and the choice of the next engine.

use std::collections::BTreeSet;
use std::sync::MutexGuard;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use marjoram_core::cache::{CacheGeneration, Slot};
use marjoram_core::config::Routing;
use marjoram_core::fingerprint::Fingerprint;
use marjoram_core::ids::{ModelVersion, Priority, RequestId, Tokens, WorkspaceId};
use marjoram_core::poison;
use marjoram_core::policy::{Candidate, PolicyInput};
use marjoram_core::prefix::{BLOCK_TOKENS, Prefix};
use marjoram_core::wire::{CompletionRequest, EngineRequest};

use crate::brittle;
use crate::error::Error;
use crate::node::{Engine, Node};

/// Most engines tried for one request, resumptions included.
const MAX_ATTEMPTS: usize = 3;

/// Factor by which batch requests may wait longer than others.
const BATCH_WAIT_FACTOR: u32 = 4;

/// Longest time for which a request waits for a slot of a brittle engine, and the part of its
/// limit that this may take.
const MAX_SLOT_WAIT: Duration = Duration::from_millis(500);
const SLOT_WAIT_DIVISOR: u32 = 4;

/// A request, the state of its attempts, and the limits on further ones.
pub struct Job {
    /// The router's id of the request.
    pub id: RequestId,
    /// The request sent to engines. `resume_from` advances with the chunks forwarded,
    /// and `expect_version` is set after the first one: chunks computed under other
    /// weights would not continue the answer.
    pub engine_request: EngineRequest,
    /// When it was received.
    pub started: Instant,
    /// Fingerprint that all attempts of the same request share.
    pub fingerprint: Fingerprint,
    /// An engine may have crashed while running it.
    pub crashed: bool,
    workspace: WorkspaceId,
    routing: Routing,
    /// The prompt's block hashes by weights version, computed at first use.
    prefixes: Vec<(ModelVersion, Prefix)>,
    /// Engines that failed the request, and the error to return to the caller.
    failed_engines: Vec<String>,
    last_error: Option<Error>,
    attempts: usize,
    /// Longest time from `started` to the first token.
    limit: Duration,
    /// Whether the caller set that limit, which makes it a deadline.
    has_deadline: bool,
}

/// State of a job before a silent engine was excluded.
pub struct Excluded {
    last_error: Option<Error>,
    crashed: bool,
}

/// The engine chosen for a job's next attempt.
pub struct Choice<'a> {
    /// The engine.
    pub engine: Engine,
    /// Prompt tokens it has to read for this job (those not cached).
    pub unread: Tokens,
    /// Keeps other requests from the slot until this one counts as running there.
    pub turn: Option<MutexGuard<'a, ()>>,
}

impl Job {
    /// A job for `request` in `workspace`, routed by `routing`; `max_wait`
    /// applies if the caller set no deadline.
    pub fn new(
        id: RequestId,
        workspace: WorkspaceId,
        request: CompletionRequest,
        routing: Routing,
        max_wait: Duration,
    ) -> Self {
        let limit = match (request.deadline_ms, request.priority) {
            (Some(ms), _) => Duration::from_millis(ms),
            (None, Priority::Batch) => max_wait * BATCH_WAIT_FACTOR,
            (None, _) => max_wait,
        };
        let engine_request = EngineRequest {
            id,
            workspace: workspace.to_string(),
            prompt: request.prompt,
            max_tokens: request.max_tokens,
            priority: request.priority,
            resume_from: 0,
            expect_version: None,
        };
        Self {
            id,
            engine_request,
            started: Instant::now(),
            fingerprint: Fingerprint(id.0),
            crashed: false,
            workspace,
            routing,
            prefixes: Vec::new(),
            failed_engines: Vec::new(),
            last_error: None,
            attempts: 0,
            limit,
            has_deadline: request.deadline_ms.is_some(),
        }
    }

    /// Sets the fingerprint that all attempts of the same request share.
    pub fn with_fingerprint(self, fingerprint: Fingerprint) -> Self {
        Self { fingerprint, ..self }
    }

    /// Chooses the engine for the next attempt by the workspace's policy. Returns
    /// the error for the caller if no engine is left, all attempts or the node's
    /// retry budget are used up, or the first token is not expected in time.
    pub fn choose<'a>(&mut self, node: &'a Node) -> Result<Choice<'a>, Error> {
        if let Some(quarantined) = node.poison.quarantine_error(self.fingerprint) {
            // If an engine may have run it, the earlier error is returned: "not run"
            // would be false.
            return Err(self.last_error.take().unwrap_or(quarantined));
        }
        let is_brittle = !node.brittle.lock().is_empty();
        let turn = is_brittle.then(|| node.engine_slots.begin_choice());
        let (pool, withheld) = (node.pool.load(), brittle::withheld(node));
        let mut engines: Vec<(&Engine, ModelVersion)> = pool
            .engines
            .iter()
            .filter(|e| {
                !e.leaving && !node.is_down(e.slot) && !self.failed_engines.contains(&e.addr)
            })
            .filter(|e| node.backoff_left(e.slot).is_none() && !withheld.contains(&e.slot))
            .map(|e| (e, version(node.cache_index.life(e.slot))))
            .filter(|(_, version)| {
                self.engine_request.expect_version.is_none_or(|due| due == *version)
            })
            .collect();
        if self.crashed || node.poison.is_suspect(self.fingerprint) {
            let keys: Vec<u64> = engines.iter().map(|(engine, _)| engine.key).collect();
            let retry_indices = poison::retry_upstreams(self.fingerprint, &keys);
            engines = retry_indices.into_iter().map(|i| engines[i]).collect();
        }
        let candidates: Vec<Candidate> = engines
            .iter()
            .zip(self.matched(node, &engines))
            .map(|((engine, _), matched)| Candidate {
                slot: engine.slot,
                key: engine.key,
                load: node.load(engine.slot),
                pending: node.pending(engine.slot),
                matched,
            })
            .collect();
        let newest = engines.iter().map(|(_, version)| *version).max().unwrap_or_default();
        let (policy, params) = (self.routing.policy, self.routing.params);
        let policy_input = PolicyInput { prefix: self.prefix(newest), params: &params };
        let Some(index) = node.policies.pick(policy, policy_input, &candidates) else {
            return Err(self.give_up_without_engine(node, &withheld));
        };
        let cached = u64::from(candidates[index].matched) * BLOCK_TOKENS as u64;
        let (engine, version) = engines[index];
        let unread = self.prefix(version).tokens.0.saturating_sub(cached);
        let tokens_ahead = Tokens(candidates[index].pending.0 + unread);
        self.admit(node, engine.slot, tokens_ahead)?;
        Ok(Choice { engine: engine.clone(), unread: Tokens(unread), turn })
    }

    /// Checks that the next attempt may be made, with `tokens_ahead` prompt tokens to read
    /// before the first token, and counts it.
    fn admit(&mut self, node: &Node, slot: Slot, tokens_ahead: Tokens) -> Result<(), Error> {
        if self.attempts == MAX_ATTEMPTS {
            return Err(self.give_up());
        }
        let begun = self.engine_request.resume_from > 0;
        let wait = node.prefill_time[usize::from(slot.0)].wait(tokens_ahead).unwrap_or_default();
        if !begun && self.started.elapsed() + wait > self.limit {
            node.counters.late.fetch_add(1, Ordering::Relaxed);
            let late = Error::Late(self.workspace.to_string(), wait, self.limit);
            return Err(self.last_error.take().unwrap_or(late));
        }
        // A stream that has begun is always resumed, outside the retry budget: the cost
        // is bounded by the streams in flight, and a truncated answer is of no use.
        if self.attempts > 0 && !begun && !node.budget.take() {
            node.counters.unretried.fetch_add(1, Ordering::Relaxed);
            return Err(self.give_up());
        }
        self.attempts += 1;
        Ok(())
    }

    /// Time for which an attempt may wait for a slot of a brittle engine.
    pub fn slot_wait(&self) -> Duration {
        MAX_SLOT_WAIT.min(self.limit / SLOT_WAIT_DIVISOR)
    }

    /// The error to return to the caller if no brittle engine has had a slot in that time. If an
    /// engine may have run the job, its error is.
    pub fn give_up_full(&mut self, full: Error) -> Error {
        self.last_error.take().filter(|error| matches!(error, Error::Engine(..))).unwrap_or(full)
    }

    /// Whether the time limit for the first token has passed without a token.
    pub fn is_late(&self) -> bool {
        self.engine_request.resume_from == 0 && self.started.elapsed() >= self.limit
    }

    /// Time left until the caller's deadline for the first token, if the caller set
    /// one and has not received a token yet.
    pub fn time_to_deadline(&self) -> Option<Duration> {
        let waiting = self.has_deadline && self.engine_request.resume_from == 0;
        waiting.then(|| self.limit.saturating_sub(self.started.elapsed()))
    }

    /// Number of leading prompt blocks in each engine's cache according to the cache
    /// index, matched under the engine's own weights: one lookup per version.
    fn matched(&mut self, node: &Node, engines: &[(&Engine, ModelVersion)]) -> Vec<u32> {
        let mut matched = vec![0; engines.len()];
        let versions: BTreeSet<ModelVersion> = engines.iter().map(|(_, v)| *v).collect();
        for version in versions {
            let group: Vec<usize> =
                (0..engines.len()).filter(|&i| engines[i].1 == version).collect();
            let slots: Vec<Slot> = group.iter().map(|&i| engines[i].0.slot).collect();
            let counts = node.cache_index.matched(&self.prefix(version).blocks, &slots);
            group.into_iter().zip(counts).for_each(|(i, blocks)| matched[i] = blocks);
        }
        matched
    }

    /// The prompt's block hashes under `version`, computed at first use.
    pub fn prefix(&mut self, version: ModelVersion) -> &Prefix {
        let known = self.prefixes.iter().position(|(v, _)| *v == version);
        let index = known.unwrap_or_else(|| {
            let prefix = Prefix::new(&self.engine_request.prompt, &self.workspace, version);
            self.prefixes.push((version, prefix));
            self.prefixes.len() - 1
        });
        &self.prefixes[index].1
    }

    /// Records that the engine at `addr` failed the request with `error`. Once
    /// one engine may have run it, a later refusal does not make it "not run".
    pub fn record_failure(&mut self, addr: &str, error: Error) {
        self.failed_engines.push(addr.to_string());
        self.last_error = match self.last_error.take() {
            Some(unknown @ Error::Engine(..)) => Some(unknown),
            _ => Some(error),
        };
    }

    /// Excludes the engine at `addr`, which is silent, from further attempts until it is
    /// readmitted. `may_have_crashed` tells whether it may have crashed while running the job.
    /// Returns the state to restore then.
    pub fn exclude(&mut self, addr: &str, may_have_crashed: bool) -> Excluded {
        let excluded = Excluded { last_error: self.last_error.take(), crashed: self.crashed };
        self.failed_engines.push(addr.to_string());
        self.crashed |= may_have_crashed;
        excluded
    }

    /// Ends the exclusion of the engine at `addr`; `error` is what the other engines answered,
    /// if they did. Once one of them may have run the request, it stays so.
    pub fn readmit(&mut self, addr: &str, excluded: Excluded, error: Option<Error>) {
        self.failed_engines.retain(|failed| failed != addr);
        self.crashed = excluded.crashed;
        let ran = |error: &Error| matches!(error, Error::Engine(..));
        let errors = [excluded.last_error, self.last_error.take(), error];
        let mut errors = errors.into_iter().flatten();
        self.last_error = errors.find(ran);
    }

    /// The error to return to the caller if no engine can be chosen.
    fn give_up_without_engine(&mut self, node: &Node, withheld: &[Slot]) -> Error {
        let pool = node.pool.load();
        let engines = pool.engines.iter().filter(|e| !e.leaving && !node.is_down(e.slot));
        let is_full = engines.clone().any(|e| withheld.contains(&e.slot));
        let backoff = engines.filter_map(|e| node.backoff_left(e.slot)).min();
        if is_full && backoff.is_none() {
            return Error::Full(self.workspace.to_string());
        }
        match (self.last_error.take(), backoff) {
            (Some(error @ Error::Engine(..)), _) => error,
            (_, Some(left)) => Error::BackedOff(self.workspace.to_string(), left),
            (Some(error), None) => error,
            (None, None) => Error::NoEngine(self.workspace.to_string()),
        }
    }

    /// The error to return to the caller.
    fn give_up(&mut self) -> Error {
        self.last_error.take().unwrap_or_else(|| Error::NoEngine(self.workspace.to_string()))
    }
}

/// The weights version of an engine in `generation`; version 1 while that is not known.
pub fn version(generation: Option<CacheGeneration>) -> ModelVersion {
    generation.map(|generation| generation.version).unwrap_or(ModelVersion(1))
}
