//! Which engine a prompt is read by.
//!
//! Load pattern: prompts whose first parts are shared by many requests, a
//! few of them very hot, over engines that each hold some ten of these parts
//! and lose all of them whenever new weights come into use. Reading a shared
//! part anew takes an engine hundreds of milliseconds, copying it from
//! another engine tens, finding it in place none; waiting behind other
//! prompts costs what they take to be read.
//!
//! Each shared part has a home among the engines: the one that ranks first
//! for it by hashing. All hosts compute the same ranks, so they agree on
//! homes without telling each other anything, at any number of engines, and
//! an engine that leaves moves only its own parts. A prompt goes to the
//! engine that is expected to have read it soonest; away from home it copies
//! the shared parts from there.
//!
//! Limits: an engine whose memory would be overfull interrupts running
//! requests, so its cost grows with the excess; one on weights that have
//! been replaced is charged [`OLD_WEIGHTS`] of the target, since an answer on
//! old weights is worth a fifth less but a late one is worth far less still.

use std::hash::Hasher;

use xxhash_rust::xxh3::Xxh3Default;

/// What a prompt on replaced weights costs, as a share of the target time.
const OLD_WEIGHTS: f64 = 0.6;

/// Milliseconds for each token that does not fit into the memory.
const OVERFULL_MS: f64 = 0.03;

/// Share of an engine's memory that is planned to be used by running
/// requests; caches need the rest.
const MEMORY_SHARE: f64 = 0.8;

/// Fixed milliseconds of a copy between engines.
const COPY_MS: f64 = 6.0;

/// Copies between data centres take this many times as long.
const FAR_FACTOR: f64 = 2.0;

/// Milliseconds added to a step by each request that runs beside it.
const RUNNING_MS: f64 = 0.8;

/// Milliseconds that a hop to another data centre is charged: latency both
/// ways, and the price of the bytes.
const FAR_MS: f64 = 4.0;

/// How many times as long an engine that always fails is taken to need.
const FAILURE_FACTOR: f64 = 8.0;

/// What a prompt needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Need {
    /// Prompt tokens.
    pub input: u64,
    /// Those in parts that other requests share.
    pub shared: u64,
    /// Tokens to be written at most.
    pub output: u64,
    /// Milliseconds within which an answer is on time.
    pub target: f64,
}

/// An engine that may read it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Rank by hash for the prompt's first shared part; the highest is home.
    pub rank: u64,
    /// Prompt tokens sent there by all hosts and not yet read.
    pub unread: u64,
    /// Requests that run there.
    pub running: u32,
    /// Tokens in memory for requests that were sent there.
    pub memory: u64,
    /// Tokens it has memory for.
    pub capacity: u64,
    /// Prompt tokens it reads in a millisecond.
    pub pace: f64,
    /// Milliseconds to copy one token to it from the same data centre.
    pub copy: f64,
    /// Share of its answers that were failures.
    pub failures: f64,
    /// It is in another data centre than this host.
    pub far: bool,
    /// It is in another data centre than the home.
    pub far_home: bool,
    /// Version of the weights it serves.
    pub weights: u64,
    /// Those have been replaced for a while.
    pub old: bool,
    /// This host sent a prompt with the same shared parts there lately.
    pub held: bool,
}

/// Where a prompt goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Index of the engine.
    pub engine: usize,
    /// Index of the engine to copy shared parts from.
    pub source: Option<usize>,
    /// Milliseconds expected until the prompt is read.
    pub wait: f64,
    /// Prompt tokens expected to be read rather than found or copied.
    pub unread: u64,
}

/// The rank of the engine with `key` for the shared part `part`.
pub fn rank(part: u64, key: u64) -> u64 {
    let mut hash = Xxh3Default::new();
    hash.write_u64(part);
    hash.write_u64(key);
    hash.finish()
}

/// The engine for a prompt that needs `need`; `None` without candidates.
///
/// ```
/// use marjoram_core::place::{Candidate, Need, place};
/// let idle = Candidate {
///     rank: 1,
///     unread: 0,
///     running: 0,
///     memory: 0,
///     capacity: 100_000,
///     pace: 50.0,
///     copy: 0.002,
///     failures: 0.0,
///     far: false,
///     far_home: false,
///     weights: 1,
///     old: false,
///     held: false,
/// };
/// let home = Candidate { rank: 9, ..idle };
/// let need = Need { input: 17_000, shared: 13_000, output: 30, target: 800.0 };
/// assert_eq!(place(need, &[idle, home]).unwrap().engine, 1);
/// // Behind a long queue at home, the parts are copied elsewhere.
/// let busy = Candidate { unread: 50_000, ..home };
/// let choice = place(need, &[idle, busy]).unwrap();
/// assert_eq!((choice.engine, choice.source), (0, Some(1)));
/// ```
pub fn place(need: Need, candidates: &[Candidate]) -> Option<Choice> {
    // Homes are among the engines on the weights in force, so that all
    // prompts of a part gather where its cache will last.
    let fresh = candidates.iter().any(|c| !c.old);
    let home = (0..candidates.len())
        .filter(|&i| !(fresh && candidates[i].old))
        .max_by_key(|&i| candidates[i].rank);
    let choices = (0..candidates.len()).map(|index| choice(need, candidates, index, home));
    choices.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, choice)| choice)
}

/// The cost of the engine `index`, and what choosing it means.
fn choice(
    need: Need,
    candidates: &[Candidate],
    index: usize,
    home: Option<usize>,
) -> (f64, Choice) {
    let c = &candidates[index];
    let pace = c.pace.max(f64::MIN_POSITIVE);
    let same = |h: &usize| *h != index && candidates[*h].weights == c.weights;
    let source = home.filter(same).filter(|_| need.shared > 0);
    let read_all = need.shared as f64 / pace;
    let factor = if c.far_home { FAR_FACTOR } else { 1.0 };
    let copy = need.shared as f64 * c.copy * factor + COPY_MS;
    let (shared_ms, source, unread_shared) = match source {
        _ if c.held || home == Some(index) => (0.0, None, 0),
        Some(home) if copy < read_all => (copy, Some(home), 0),
        _ => (read_all, None, need.shared),
    };
    let own = need.input.saturating_sub(need.shared) as f64 / pace;
    let wait = c.unread as f64 / pace + shared_ms + own;
    let memory = c.memory + need.input + need.output;
    let room = c.capacity as f64 * MEMORY_SHARE;
    let overfull = (memory as f64 - room).max(0.0) * OVERFULL_MS;
    let running = f64::from(c.running) * RUNNING_MS;
    let far = if c.far { FAR_MS } else { 0.0 };
    let old = if c.old { OLD_WEIGHTS * need.target } else { 0.0 };
    let slow = 1.0 + FAILURE_FACTOR * c.failures;
    let cost = (wait + running + overfull) * slow + far + old;
    let unread = need.input.saturating_sub(need.shared) + unread_shared;
    (cost, Choice { engine: index, source, wait, unread })
}
