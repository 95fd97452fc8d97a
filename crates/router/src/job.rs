//! One caller request on its way through engines.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use marjoram_core::cache::{Life, Slot};
use marjoram_core::config::Routing;
use marjoram_core::fingerprint::Fingerprint;
use marjoram_core::ids::{ModelVersion, Priority, RequestId, Tokens, WorkspaceId};
use marjoram_core::poison;
use marjoram_core::policy::{Ask, Candidate};
use marjoram_core::prefix::{BLOCK_TOKENS, Prefix};
use marjoram_core::wire::{CompletionRequest, EngineRequest};

use crate::error::Error;
use crate::node::{Engine, Node};

/// Engines tried for one request, resumptions included.
const ATTEMPTS: usize = 3;

/// How many times as long batch requests may wait.
const BATCH_PATIENCE: u32 = 4;

/// A request, what has become of it so far, and where it may still go.
pub struct Job {
    /// The router's id for it.
    pub id: RequestId,
    /// What engines are sent. `resume_from` moves on as chunks pass, and
    /// `expect_version` is set once a chunk has: chunks computed under
    /// other weights would not continue the answer.
    pub order: EngineRequest,
    /// When it came in.
    pub started: Instant,
    /// What it shares with other attempts of the same request.
    pub fingerprint: Fingerprint,
    /// An engine may have crashed while it was there.
    pub crashed: bool,
    workspace: WorkspaceId,
    routing: Routing,
    /// The prompt's blocks under each version of the weights met so far.
    prefixes: Vec<(ModelVersion, Prefix)>,
    /// Engines that failed it, and the failure the caller is told of.
    failed: Vec<String>,
    last: Option<Error>,
    attempts: usize,
    /// How long after `started` the first token may come.
    limit: Duration,
    /// Whether the caller named that limit: then it is a deadline.
    deadline: bool,
}

/// Where a job goes next.
pub struct Choice {
    /// The engine.
    pub engine: Engine,
    /// Prompt tokens it will have to read for this job.
    pub unread: Tokens,
    /// Those and the ones sent there before and not yet read.
    pub ahead: Tokens,
}

impl Job {
    /// A job for `request` in `workspace`, routed by `routing`; `max_wait`
    /// stands in for a deadline the caller did not name.
    pub fn new(
        id: RequestId,
        workspace: WorkspaceId,
        request: CompletionRequest,
        routing: Routing,
        max_wait: Duration,
    ) -> Self {
        let limit = match (request.deadline_ms, request.priority) {
            (Some(ms), _) => Duration::from_millis(ms),
            (None, Priority::Batch) => max_wait * BATCH_PATIENCE,
            (None, _) => max_wait,
        };
        let order = EngineRequest {
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
            order,
            started: Instant::now(),
            fingerprint: Fingerprint(id.0),
            crashed: false,
            workspace,
            routing,
            prefixes: Vec::new(),
            failed: Vec::new(),
            last: None,
            attempts: 0,
            limit,
            deadline: request.deadline_ms.is_some(),
        }
    }

    /// The job with what its request shares with other attempts of it.
    pub fn with_fingerprint(self, fingerprint: Fingerprint) -> Self {
        Self { fingerprint, ..self }
    }

    /// Chooses the engine for the next attempt by the workspace's policy;
    /// the failure to tell the caller when none is left, every attempt or
    /// the node's budget of second attempts is used up, or the first token
    /// is not expected in time.
    pub fn choose(&mut self, node: &Node) -> Result<Choice, Error> {
        if let Some(quarantined) = node.poison.refuses(self.fingerprint) {
            // Once an engine may have run it, this is no refusal.
            return Err(self.last.take().unwrap_or(quarantined));
        }
        let pool = node.pool.load();
        let mut engines: Vec<(&Engine, ModelVersion)> = pool
            .engines
            .iter()
            .filter(|e| !e.leaving && !node.is_down(e.slot) && !self.failed.contains(&e.addr))
            .map(|e| (e, version(node.picture.life(e.slot))))
            .filter(|(_, version)| self.order.expect_version.is_none_or(|due| due == *version))
            .collect();
        if self.crashed || node.poison.suspects(self.fingerprint) {
            let keys: Vec<u64> = engines.iter().map(|(engine, _)| engine.key).collect();
            let apart = poison::apart(self.fingerprint, &keys);
            engines = apart.into_iter().map(|i| engines[i]).collect();
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
        let ask = Ask { prefix: self.prefix(newest), params: &params };
        let Some(index) = node.policies.pick(policy, ask, &candidates) else {
            return Err(self.give_up());
        };
        let cached = u64::from(candidates[index].matched) * BLOCK_TOKENS as u64;
        let (engine, version) = engines[index];
        let unread = self.prefix(version).tokens.0.saturating_sub(cached);
        let ahead = Tokens(candidates[index].pending.0 + unread);
        self.admit(node, engine.slot, ahead)?;
        Ok(Choice { engine: engine.clone(), unread: Tokens(unread), ahead })
    }

    /// Whether the next attempt may be made, behind `ahead` prompt tokens.
    fn admit(&mut self, node: &Node, slot: Slot, ahead: Tokens) -> Result<(), Error> {
        if self.attempts == ATTEMPTS {
            return Err(self.give_up());
        }
        let begun = self.order.resume_from > 0;
        let wait = node.pace[usize::from(slot.0)].wait(ahead).unwrap_or_default();
        if !begun && self.started.elapsed() + wait > self.limit {
            node.counters.late.fetch_add(1, Ordering::Relaxed);
            let late = Error::Late(self.workspace.to_string(), wait, self.limit);
            return Err(self.last.take().unwrap_or(late));
        }
        // A stream that has begun is always gone on with: what it may cost is
        // bounded by the streams in flight, and a cut one is worth nothing.
        if self.attempts > 0 && !begun && !node.budget.take() {
            node.counters.unretried.fetch_add(1, Ordering::Relaxed);
            return Err(self.give_up());
        }
        self.attempts += 1;
        Ok(())
    }

    /// Whether the first token can no longer come in time.
    pub fn is_late(&self) -> bool {
        self.order.resume_from == 0 && self.started.elapsed() >= self.limit
    }

    /// How much longer the caller waits for the first token, if it named a
    /// deadline and has not had one.
    pub fn left(&self) -> Option<Duration> {
        let waiting = self.deadline && self.order.resume_from == 0;
        waiting.then(|| self.limit.saturating_sub(self.started.elapsed()))
    }

    /// Leading prompt blocks each engine is believed to hold, each matched
    /// under its own weights: one walk of the picture per version.
    fn matched(&mut self, node: &Node, engines: &[(&Engine, ModelVersion)]) -> Vec<u32> {
        let mut matched = vec![0; engines.len()];
        let versions: BTreeSet<ModelVersion> = engines.iter().map(|(_, v)| *v).collect();
        for version in versions {
            let group: Vec<usize> =
                (0..engines.len()).filter(|&i| engines[i].1 == version).collect();
            let slots: Vec<Slot> = group.iter().map(|&i| engines[i].0.slot).collect();
            let found = node.picture.matched(&self.prefix(version).blocks, &slots);
            group.into_iter().zip(found).for_each(|(i, blocks)| matched[i] = blocks);
        }
        matched
    }

    /// The prompt's blocks under `version`, hashed at first use.
    pub fn prefix(&mut self, version: ModelVersion) -> &Prefix {
        let known = self.prefixes.iter().position(|(v, _)| *v == version);
        let index = known.unwrap_or_else(|| {
            let prefix = Prefix::new(&self.order.prompt, &self.workspace, version);
            self.prefixes.push((version, prefix));
            self.prefixes.len() - 1
        });
        &self.prefixes[index].1
    }

    /// Notes that the engine at `addr` failed the request with `error`. Once
    /// one engine may have run it, no later refusal makes it "not run".
    pub fn note(&mut self, addr: &str, error: Error) {
        self.failed.push(addr.to_string());
        self.last = match self.last.take() {
            Some(unknown @ Error::Engine(..)) => Some(unknown),
            _ => Some(error),
        };
    }

    /// The error the caller is given.
    fn give_up(&mut self) -> Error {
        self.last.take().unwrap_or_else(|| Error::NoEngine(self.workspace.to_string()))
    }
}

/// The weights of an engine in `life`; the first ever before it is known.
pub fn version(life: Option<Life>) -> ModelVersion {
    life.map(|life| life.version).unwrap_or(ModelVersion(1))
}
