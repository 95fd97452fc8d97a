//! Reproducible workloads modelled on two deployments.
//!
//! - `kilimanjaro`: engineers check designs against a building code. A prompt
//!   consists of an edition of the code, a chapter and a clause, then the
//!   engineer's own beam schedule. One edition is much more frequent than the
//!   others, and which one changes twice per run. A third of the checks belong to
//!   an overnight batch at low priority. Drafters make short lookups.
//! - `lone-star`: estimators write quotations. A prompt consists of a customer's
//!   specification, a tool drawing and a part, then notes. Two customers are more
//!   frequent than the others, and which ones changes during a run. Shift
//!   supervisors classify defects. One call in twenty is a press-line alert to a
//!   plain service that must be executed at most once.
//!
//! The same seed gives the same calls, so that policies can be compared under the
//! same load.

use std::fmt;
use std::str::FromStr;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Error;
use crate::ids::Priority;

/// The deployment that a workload is modelled on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Site {
    /// Kilimanjaro Structural Consult: checks against the clauses of a building
    /// code.
    Kilimanjaro,
    /// Lone Star Mould Franchise Group: quotations, defects, alerts.
    LoneStar,
}

impl fmt::Display for Site {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Kilimanjaro => "kilimanjaro",
            Self::LoneStar => "lone-star",
        })
    }
}

impl FromStr for Site {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "kilimanjaro" => Ok(Self::Kilimanjaro),
            "lone-star" => Ok(Self::LoneStar),
            _ => Err(Error::Unknown("workload", text.into())),
        }
    }
}

/// One call of a workload.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// A completion.
    Completion {
        /// The workspace.
        workspace: &'static str,
        /// The prompt.
        prompt: String,
        /// Number of tokens to generate.
        max_tokens: u32,
        /// Priority.
        priority: Priority,
    },
    /// A call to a plain service that must be executed at most once.
    Alert {
        /// The idempotency key.
        key: String,
    },
}

/// The workspaces of a site, for publishing their configuration.
pub fn workspaces(site: Site) -> &'static [&'static str] {
    match site {
        Site::Kilimanjaro => &["kili-checks", "kili-drafting"],
        Site::LoneStar => &["star-quotes", "star-defects"],
    }
}

/// A reproducible sequence of calls.
#[derive(Debug)]
pub struct Workload {
    site: Site,
    rng: ChaCha8Rng,
    count: u64,
    total: u64,
}

impl Workload {
    /// Generates `total` calls of `site` from `seed`.
    ///
    /// ```
    /// use marjoram_core::workload::{Site, Workload};
    /// let a: Vec<_> = Workload::new(Site::Kilimanjaro, 7, 5).collect();
    /// let b: Vec<_> = Workload::new(Site::Kilimanjaro, 7, 5).collect();
    /// assert_eq!(a, b);
    /// ```
    pub fn new(site: Site, seed: u64, total: u64) -> Self {
        Self { site, rng: ChaCha8Rng::seed_from_u64(seed), count: 0, total }
    }

    /// Index of the current third of the run; the most frequent prefix changes
    /// with it.
    fn phase(&self) -> u64 {
        self.count * 3 / self.total.max(1)
    }

    fn kilimanjaro(&mut self) -> Call {
        let phase = self.phase();
        if self.rng.random_bool(0.15) {
            let unit = self.rng.random_range(0..40);
            let prompt = format!("{} {}", section("lookup", 0, 32), section("unit", unit, 24));
            return completion("kili-drafting", prompt, 8, Priority::Interactive);
        }
        let edition = match self.rng.random_bool(0.7) {
            true => phase % 3,
            false => self.rng.random_range(0..3),
        };
        let chapter = skewed(&mut self.rng, 8);
        let clause = skewed(&mut self.rng, 12);
        let schedule = self.rng.random_range(0..u64::MAX);
        let prompt = [
            section("code", edition, 512),
            section("chapter", edition * 100 + chapter, 256),
            section("clause", (edition * 100 + chapter) * 100 + clause, 256),
            section("beam", schedule, 128),
        ]
        .join(" ");
        let priority = match self.rng.random_bool(0.33) {
            true => Priority::Batch,
            false => Priority::Interactive,
        };
        completion("kili-checks", prompt, 16, priority)
    }

    fn lone_star(&mut self) -> Call {
        let phase = self.phase();
        if self.rng.random_bool(0.05) {
            let key = format!("alert-{:016x}", self.rng.random_range(0..u64::MAX));
            return Call::Alert { key };
        }
        if self.rng.random_bool(0.25) {
            let line = self.rng.random_range(0..6);
            let notes = self.rng.random_range(0..u64::MAX);
            let prompt =
                format!("{} {}", section("defects", line, 384), section("note", notes, 48));
            return completion("star-defects", prompt, 8, Priority::Normal);
        }
        let customer = match self.rng.random_bool(0.6) {
            true => (phase * 2 + self.rng.random_range(0..2)) % 12,
            false => self.rng.random_range(0..12),
        };
        let tool = customer * 100 + skewed(&mut self.rng, 8);
        let part = tool * 100 + skewed(&mut self.rng, 6);
        let notes = self.rng.random_range(0..u64::MAX);
        let prompt = [
            section("spec", customer, 512),
            section("tool", tool, 384),
            section("part", part, 128),
            section("quote", notes, 64),
        ]
        .join(" ");
        completion("star-quotes", prompt, 16, Priority::Interactive)
    }
}

impl Iterator for Workload {
    type Item = Call;

    fn next(&mut self) -> Option<Call> {
        if self.count == self.total {
            return None;
        }
        let call = match self.site {
            Site::Kilimanjaro => self.kilimanjaro(),
            Site::LoneStar => self.lone_star(),
        };
        self.count += 1;
        Some(call)
    }
}

fn completion(
    workspace: &'static str,
    prompt: String,
    max_tokens: u32,
    priority: Priority,
) -> Call {
    Call::Completion { workspace, prompt, max_tokens, priority }
}

/// Returns an index below `n`; low indices are much more likely than high ones.
fn skewed(rng: &mut ChaCha8Rng, n: u64) -> u64 {
    let x: f64 = rng.random();
    ((x * x * x) * n as f64) as u64
}

/// Returns `tokens` tokens of text that represent one section of a document.
fn section(tag: &str, id: u64, tokens: u32) -> String {
    let words: Vec<String> = (0..tokens).map(|i| format!("{tag}{id}.{i}")).collect();
    words.join(" ")
}
