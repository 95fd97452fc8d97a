//! Scores an engine by the expected value of its answer to the caller, where 1
//! is an answer in time at no cost. Each cost has a type with its unit, and
//! [`score`] combines them.

use super::{Candidate, Choice, LARGE_PROMPT, Need, WeightsAge};

/// Time until a prompt is prefilled, and the target time for its first event,
/// both in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Wait {
    ms: f64,
    target: f64,
}

/// Share of its value that a late answer loses.
const LATE_COST: f64 = 0.7;

/// Wait, as a share of the target time, at which half of the answers are late:
/// the first event needs several steps after the prefill, and other hosts'
/// requests become known with a delay.
const LATE_MIDPOINT: f64 = 0.5;

/// Width of the logistic curve around that wait, as a share of the target time.
const LATE_WIDTH: f64 = 0.12;

/// Value lost by waiting for the whole target time, late or not, so that the
/// quicker of two engines that would both be on time is chosen.
const FULL_WAIT_COST: f64 = 0.2;

impl Wait {
    /// Share of the answers that are late after this wait.
    fn late_share(self) -> f64 {
        1.0 / (1.0 + ((LATE_MIDPOINT - self.ms / self.target) / LATE_WIDTH).exp())
    }

    /// Value that an answer keeps, given the probability that it is late.
    fn value(self) -> f64 {
        1.0 - LATE_COST * self.late_share()
    }

    /// Value lost by waiting, late or not.
    fn cost(self) -> f64 {
        FULL_WAIT_COST * self.ms / self.target
    }
}

/// Tokens of an engine's memory that running requests occupy.
#[derive(Debug, Clone, Copy)]
struct Memory {
    used: u64,
    capacity: u64,
}

/// Value lost if requests exceed the planned share of an engine's memory by as
/// much as its whole memory: running requests are then preempted and prefilled again.
const OVERCOMMIT_COST: f64 = 4.0;

/// Share of an engine's memory that is planned for running requests; caches need the
/// rest.
const PLANNED_MEMORY_SHARE: f64 = 0.8;

impl Memory {
    /// Value lost by preempting other requests.
    fn cost(self) -> f64 {
        let share = self.used as f64 / (self.capacity as f64).max(1.0);
        OVERCOMMIT_COST * (share - PLANNED_MEMORY_SHARE).max(0.0)
    }
}

/// How an engine gets the shared parts of a prompt.
#[derive(Debug, Clone, Copy)]
struct Shared {
    /// Tokens to prefill.
    prefill_tokens: u64,
    /// Those of them that some engine has prefilled before.
    repeated: u64,
    /// Whether the other missing tokens are copied.
    copies: bool,
    /// Milliseconds for copy and prefill together.
    ms: f64,
}

/// Value lost by prefilling a whole prompt of at least [`LARGE_PROMPT`] tokens again.
/// Smaller ones lose in proportion to [`LARGE_PROMPT`], since their shared parts are
/// prefilled within a few milliseconds.
const REPEATED_PREFILL_COST: f64 = 1.0;

/// Fixed cost of a copy between engines, in milliseconds.
const COPY_OVERHEAD_MS: f64 = 6.0;

/// Share of the target time by which a copy may take longer than the prefill:
/// a copy does not slow down the requests that run on the engine.
const COPY_ALLOWANCE: f64 = 0.02;

impl Shared {
    fn new(need: Need, c: &Candidate, pace: f64, preferred: bool) -> Self {
        let missing = need.shared.saturating_sub(c.held);
        let copied = c.copy.map_or(0, |copy| copy.held.saturating_sub(c.held).min(missing));
        let copy_ms = c.copy.map_or(0.0, |copy| copied as f64 * copy.token_ms + COPY_OVERHEAD_MS);
        let copies = copied > 0 && copy_ms < copied as f64 / pace + COPY_ALLOWANCE * need.target;
        let prefill_tokens = if copies { missing - copied } else { missing };
        // At the preferred engine, only tokens known to be cached elsewhere count
        // as prefilled again: the rest is either cached there already, or is
        // prefilled for the first time where later requests will look for it.
        let repeated = match preferred {
            true if copies => 0,
            true => copied,
            false => prefill_tokens,
        };
        let ms = prefill_tokens as f64 / pace + if copies { copy_ms } else { 0.0 };
        Self { prefill_tokens, repeated, copies, ms }
    }

    /// Value lost by the work that repeated prefill takes from other prompts.
    fn cost(self, need: Need) -> f64 {
        REPEATED_PREFILL_COST * self.repeated as f64 / need.input.max(LARGE_PROMPT) as f64
    }
}

/// Value lost by a small prompt outside its pool partition, where its steps are
/// delayed by the prefill of large prompts.
const PARTITION_COST: f64 = 0.2;
/// Value lost by a large prompt in the partition of small ones: during its
/// prefill each step takes as long as a chunk of it, and a small answer needs
/// several steps before its first event.
const LARGE_PARTITION_COST: f64 = 0.5;

/// Value lost by a prompt of `input` tokens outside its partition.
fn partition_cost(inside: bool, input: u64) -> f64 {
    match inside {
        true => 0.0,
        false if input >= LARGE_PROMPT => LARGE_PARTITION_COST,
        false => PARTITION_COST,
    }
}

/// Value of an answer on replaced weights.
const OLD_VALUE: f64 = 0.8;
/// Value of an answer on replaced weights that are past their time limit.
const OVERDUE_VALUE: f64 = 0.1;

impl WeightsAge {
    /// Value of an answer on weights of this age.
    fn value(self) -> f64 {
        match self {
            Self::Current => 1.0,
            Self::Old => OLD_VALUE,
            Self::Overdue => OVERDUE_VALUE,
        }
    }
}

/// Milliseconds that each other running request adds to a wait.
const RUNNING_MS: f64 = 1.0;

/// Milliseconds that a request occupies its slot while an engine is full: a
/// request that finds all slots taken waits until as many requests have ended as
/// are queued ahead of it.
const SLOT_TIME_MS: f64 = 150.0;

/// Milliseconds that the requests running at an engine add to a wait.
fn running_ms(c: &Candidate) -> f64 {
    let before = f64::from((c.running + 1).saturating_sub(c.slots));
    f64::from(c.running) * RUNNING_MS + before * SLOT_TIME_MS / f64::from(c.slots.max(1))
}

/// Value lost by sending to another data centre: latency and traffic.
const REMOTE_COST: f64 = 0.005;

/// Expected value of an answer from the engine `c`, and the choice of that
/// engine. `preferred` is whether it is the prompt's preferred engine.
pub(super) fn score(need: Need, c: &Candidate, index: usize, preferred: bool) -> (f64, Choice) {
    let pace = c.pace.max(f64::MIN_POSITIVE);
    let shared = Shared::new(need, c, pace, preferred);
    let unshared = need.input.saturating_sub(need.shared);
    let ms = (c.unread + unshared) as f64 / pace + shared.ms + running_ms(c);
    let wait = Wait { ms, target: need.target };
    let memory = Memory { used: c.memory + need.input + need.output, capacity: c.capacity };
    let value = c.age.value() * wait.value() * (1.0 - c.failures)
        - wait.cost()
        - need.factors.prefill * shared.cost(need)
        - memory.cost()
        - need.factors.partition * partition_cost(c.in_partition, need.input)
        - if c.remote { REMOTE_COST } else { 0.0 };
    let unread = unshared + shared.prefill_tokens;
    (value, Choice { engine: index, copies: shared.copies, wait: ms, unread })
}
