//! Chooses the engine that prefills and answers a prompt.
//!
//! Load pattern: many requests share the first parts of their prompts, and a
//! few of these parts are very hot. Each engine caches some ten of them and
//! loses all of them whenever new weights are activated. Prefilling a shared
//! part again takes an engine hundreds of milliseconds, copying it from
//! another engine takes tens, and a cache hit takes none; waiting behind other
//! prompts takes as long as their prefill.
//!
//! Each prefix path (the sequence of shared parts of a prompt) has a preferred
//! engine among those on the same weights: the first by rendezvous hashing. The
//! whole path is hashed, since many paths may share a few outermost parts. All
//! hosts compute the same ranks, so they agree on preferred engines without
//! messages, at any number of engines, and an engine that leaves moves only its
//! own parts. A part that no engine has cached is prefilled at the preferred
//! engine; later requests find it there or copy it from there.
//!
//! Engines are compared by the expected value of their answer to the caller,
//! between 0 and 1. The value falls with the probability that the answer is
//! late, on weights that have been replaced, and with the work that repeated
//! prefill of shared parts takes from other prompts.
//!
//! With many hosts, each host learns of the others' loads late, and until then
//! all hosts would send to the engine that looks least loaded. There, only
//! a few engines are compared for each request: those sampled for it by hashing,
//! and those that have its parts cached or are preferred for its path.

mod partition;
mod score;

use std::hash::Hasher;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3Default;

use crate::part_index;
use crate::policy::PolicyName;
pub use partition::{pool_partition, sample, sample_each};
use score::score;

/// Time after their replacement during which weights count as current.
const WEIGHTS_GRACE: Duration = Duration::from_millis(1_200);

/// Resources that a prompt needs, and its latency target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Need {
    /// Prompt tokens.
    pub input: u64,
    /// Prompt tokens in parts that other requests share.
    pub shared: u64,
    /// Maximum tokens to generate.
    pub output: u64,
    /// Latency target in milliseconds; an answer that takes longer is late.
    pub target: f64,
    /// Factors on costs that other requests bear.
    pub factors: CostFactors,
}

/// Factors, from 0 to 1, on the costs that a choice has for other requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostFactors {
    /// For leaving the pool partition: smaller where the delayed requests can wait longer.
    pub partition: f64,
    /// For repeated prefill: smaller where engines are idle, so that it delays fewer others.
    pub prefill: f64,
}

impl Default for CostFactors {
    fn default() -> Self {
        Self { partition: 1.0, prefill: 1.0 }
    }
}

/// How far an engine's weights are behind the newest version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WeightsAge {
    /// They are the newest, or were replaced so recently that they count as
    /// current.
    Current,
    /// They were replaced, and are still within the time limit for old weights.
    Old,
    /// They were replaced and are past that time limit.
    Overdue,
}

impl WeightsAge {
    /// The age of weights that were replaced `replaced` ago and must not be
    /// used for longer than `bound` after that.
    pub fn new(replaced: Duration, bound: Duration) -> Self {
        match replaced {
            age if age <= WEIGHTS_GRACE => Self::Current,
            age if age < bound => Self::Old,
            _ => Self::Overdue,
        }
    }
}

/// Shared parts that can be copied from another cache instead of prefilled.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CopyableCache {
    /// Shared tokens that the source has cached.
    pub held: u64,
    /// Milliseconds to copy one token.
    pub token_ms: f64,
}

/// An engine that the prompt may be sent to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Rendezvous-hash rank for the prompt's prefix path; the highest one in
    /// the partition is the preferred engine.
    pub rank: u64,
    /// Prompt tokens sent there by all hosts and not yet prefilled.
    pub unread: u64,
    /// Requests that were sent there and have not ended.
    pub running: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens in memory for requests that were sent there.
    pub memory: u64,
    /// Tokens it has memory for.
    pub capacity: u64,
    /// Prefill throughput, in prompt tokens per millisecond.
    pub pace: f64,
    /// Shared tokens of this prompt that it has cached.
    pub held: u64,
    /// Parts that it can copy from another cache.
    pub copy: Option<CopyableCache>,
    /// Share of its answers that were failures, from 0 to 1.
    pub failures: f64,
    /// It is in another data centre than this host.
    pub remote: bool,
    /// Version of the weights it serves.
    pub weights: u64,
    /// How far those are behind the newest version.
    pub age: WeightsAge,
    /// It is in the pool partition for prompts of this size.
    pub in_partition: bool,
    /// It is in the sample of engines that are compared for this request.
    pub sampled: bool,
}

/// The engine chosen for a prompt, and what is expected there.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Index of the engine among the candidates.
    pub engine: usize,
    /// Whether shared parts are copied from another cache first.
    pub copies: bool,
    /// Milliseconds expected until the prompt is prefilled.
    pub wait: f64,
    /// Prompt tokens expected to be prefilled rather than found in the cache or
    /// copied.
    pub unread: u64,
}

/// Prompt tokens from which a prompt is large: its prefill takes an engine more
/// than one step, and each of these steps delays all its running requests.
pub const LARGE_PROMPT: u64 = 2_048;

/// Tokens queued for prefill at an engine above which no large prompt is sent
/// there: they take about the time that a small prompt can wait and still be on
/// time.
const MAX_QUEUED_TOKENS: u64 = 8_000;

/// Share of an engine's memory that requests may take where exceeding it crashes the engine.
const MAX_MEMORY_SHARE: f64 = 0.9;

/// Divisor of the caller's time limit: a large prompt waits at the router for at
/// most that fraction of it.
const MAX_WAIT_DIVISOR: u32 = 4;

/// Whether an engine with memory for `capacity` tokens, of which `used` are taken, holds a request
/// of `tokens` tokens as well. A part of its memory is left free, since hosts know of each other's
/// requests late.
///
/// ```
/// use marjoram_core::place::fits;
/// assert!(fits(17_030, 100_000, 160_000));
/// assert!(!fits(17_030, 130_000, 160_000));
/// ```
pub fn fits(tokens: u64, used: u64, capacity: u64) -> bool {
    (used + tokens) as f64 <= capacity as f64 * MAX_MEMORY_SHARE
}

/// Whether a prompt of `input` tokens has to wait at the router because `unread`
/// tokens are queued ahead of it at the chosen engine. It has already waited for
/// the time `waited`, and its caller allows `limit` in all. An engine accepts
/// everything it is sent and prefills it in order, so a large prompt queued there
/// also delays the small prompts that arrive after it.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::place::must_wait;
/// let limit = Duration::from_secs(8);
/// assert!(must_wait(17_000, 30_000, Duration::from_secs(1), limit));
/// assert!(!must_wait(17_000, 30_000, Duration::from_secs(2), limit));
/// assert!(!must_wait(300, 30_000, Duration::ZERO, limit));
/// ```
pub fn must_wait(input: u64, unread: u64, waited: Duration, limit: Duration) -> bool {
    input >= LARGE_PROMPT && unread > MAX_QUEUED_TOKENS && waited < limit / MAX_WAIT_DIVISOR
}

/// Rendezvous-hash rank of the engine with `key` for the prefix path `path`.
pub fn rank(path: u64, key: u64) -> u64 {
    let mut hash = Xxh3Default::new();
    hash.write_u64(path);
    hash.write_u64(key);
    hash.finish()
}

/// Chooses the engine for a prompt by the policy `name`; `turn` is a counter of
/// the choices made. Every policy uses engines on overdue weights only when
/// there are no others, and copies shared parts where that is quicker, so a
/// comparison of policies measures the choice of the engine alone.
pub fn place_by(
    name: PolicyName,
    need: Need,
    candidates: &[Candidate],
    turn: u64,
) -> Option<Choice> {
    let any_in_time = candidates.iter().any(|c| c.age != WeightsAge::Overdue);
    let eligible: Vec<usize> = (0..candidates.len())
        .filter(|&i| !any_in_time || candidates[i].age != WeightsAge::Overdue)
        .collect();
    let index = match name {
        PolicyName::PrefixAware => return place(need, candidates),
        PolicyName::RoundRobin => *eligible.get(turn as usize % eligible.len().max(1))?,
        PolicyName::LeastLoad => {
            eligible.into_iter().min_by_key(|&i| (candidates[i].running, candidates[i].unread))?
        }
        PolicyName::Maglev => eligible.into_iter().max_by_key(|&i| candidates[i].rank)?,
    };
    let preferred = preferred_engine(candidates, candidates[index].weights) == Some(index);
    Some(score(need, &candidates[index], index, preferred).1)
}

/// Chooses the engine with the highest expected value for a prompt with the need
/// `need`; `None` without candidates.
///
/// ```
/// use marjoram_core::place::{
///     Candidate, CopyableCache, CostFactors, Need, WeightsAge, place,
/// };
/// let idle = Candidate {
///     rank: 1,
///     unread: 0,
///     running: 0,
///     slots: 64,
///     memory: 0,
///     capacity: 100_000,
///     pace: 50.0,
///     held: 0,
///     copy: None,
///     failures: 0.0,
///     remote: false,
///     weights: 1,
///     age: WeightsAge::Current,
///     in_partition: true,
///     sampled: true,
/// };
/// let preferred = Candidate { rank: 9, ..idle };
/// let factors = CostFactors::default();
/// let need = Need { input: 17_000, shared: 13_000, output: 30, target: 800.0, factors };
/// assert_eq!(place(need, &[idle, preferred]).unwrap().engine, 1);
/// // The engine that caches the parts has a long queue: they are copied to the idle one.
/// let busy = Candidate { unread: 50_000, held: 13_000, ..preferred };
/// let copy = Some(CopyableCache { held: 13_000, token_ms: 0.002 });
/// let choice = place(need, &[Candidate { copy, ..idle }, busy]).unwrap();
/// assert_eq!((choice.engine, choice.copies), (0, true));
/// ```
pub fn place(need: Need, candidates: &[Candidate]) -> Option<Choice> {
    let compared = compared(need, candidates).into_iter();
    let scored = compared
        .map(|(index, found)| score(need, &candidates[index], index, found == Found::Preferred));
    scored.max_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, choice)| choice)
}

/// Why an engine is compared for a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Found {
    /// It is the preferred engine of the prompt's prefix path, for its weights.
    Preferred,
    /// It has shared parts of the prompt cached.
    Caching,
    /// It is in the sample.
    Sampled,
}

/// The `candidates` that [`place`] compares for a prompt with the need `need`, by index.
pub fn compared(need: Need, candidates: &[Candidate]) -> Vec<(usize, Found)> {
    let preferred_engines = preferred_engines(candidates);
    let may_share = need.shared >= part_index::LARGE_PART;
    let found = |index: usize, c: &Candidate| {
        let preferred = preferred_engines.iter().any(|(_, engine)| *engine == index);
        match preferred {
            true if may_share || c.sampled => Some(Found::Preferred),
            false if may_share && c.held > 0 => Some(Found::Caching),
            false if c.sampled => Some(Found::Sampled),
            true | false => None,
        }
    };
    let indexed = candidates.iter().enumerate();
    indexed.filter_map(|(index, c)| Some((index, found(index, c)?))).collect()
}

/// Index of the preferred engine for the prompt's prefix path among the
/// `candidates` on the version `weights`.
pub fn preferred_engine(candidates: &[Candidate], weights: u64) -> Option<usize> {
    preferred_engines(candidates)
        .into_iter()
        .find(|(version, _)| *version == weights)
        .map(|(_, engine)| engine)
}

/// The preferred engine for each version of the weights: the highest rank in
/// the prompt's pool partition. Few versions are in use at a time, so a list is
/// searched.
fn preferred_engines(candidates: &[Candidate]) -> Vec<(u64, usize)> {
    let mut preferred: Vec<(u64, usize)> = Vec::new();
    for (index, c) in candidates.iter().enumerate().filter(|(_, c)| c.in_partition) {
        match preferred.iter_mut().find(|(weights, _)| *weights == c.weights) {
            Some((_, engine)) if c.rank > candidates[*engine].rank => *engine = index,
            Some(_) => {}
            None => preferred.push((c.weights, index)),
        }
    }
    preferred
}
