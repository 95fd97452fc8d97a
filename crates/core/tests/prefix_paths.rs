//! Load: prompts share nested parts, with hundreds of prefix paths under a few roots.
//! The prefix paths must be distributed over all engines, and a cached outer part must
//! not count as evidence that the inner ones are cached.

use marjoram_core::exchange::{Part, PartId, Prompt};
use marjoram_core::part_index::{CacheId, Event, Page, PartIndex};
use marjoram_core::place::{self, Candidate, CopyableCache, CostFactors, Need, WeightsAge};

const ENGINES: u64 = 12;
const ROOTS: u64 = 3;
const PREFIX_PATHS: u64 = 194;

fn prompt(path: u64) -> Prompt {
    let part = |id, tokens| Part { id: PartId(id), tokens };
    let parts = vec![part(path % ROOTS, 512), part(1_000 + path, 4_870), part(9_000, 6_610)];
    Prompt { model: "m".into(), parts, input: 11_992, output: 380 }
}

/// Number of prefix paths for which each engine is the preferred one.
fn preferred_counts() -> Vec<usize> {
    let preferred = |path| {
        let key = prompt(path).prefix_hash();
        (0..ENGINES).max_by_key(|engine| place::rank(key, engine * 7_919)).unwrap()
    };
    let preferred_engines: Vec<u64> = (0..PREFIX_PATHS).map(preferred).collect();
    (0..ENGINES)
        .map(|engine| preferred_engines.iter().filter(|preferred| **preferred == engine).count())
        .collect()
}

#[test]
fn prefix_paths_under_a_few_roots_are_distributed_over_all_engines() {
    let preferred_counts = preferred_counts();
    let mean = PREFIX_PATHS as usize / ENGINES as usize;
    assert!(
        preferred_counts.iter().all(|count| (mean / 3..=mean * 2).contains(count)),
        "{preferred_counts:?}"
    );
}

#[test]
fn a_cached_root_does_not_count_as_a_cached_prefix_path() {
    let cache = CacheId::new("1");
    let event = Event { number: 1, cache, part: PartId(0), tokens: 512 };
    let mut part_index = PartIndex::new();
    part_index.apply(&Page { epoch: 1, next: 2, lost: false, events: vec![event] });
    let (one, other) = (prompt(0), prompt(ROOTS));
    assert_eq!(part_index.cached_tokens(cache, one.shared_parts()), 512);
    // The first path was just read there completely; of the other, only the root is cached.
    let read = |part: &Part| one.shared_parts().contains(part);
    assert_eq!(part_index.cached_tokens_assuming(cache, one.shared_parts(), read), 5_382);
    assert_eq!(part_index.cached_tokens_assuming(cache, other.shared_parts(), read), 512);
}

#[test]
fn a_reported_large_part_implies_that_the_small_one_before_it_is_cached() {
    let (cache, prompt) = (CacheId::new("1"), prompt(0));
    let event =
        |number: u64, part: &Part| Event { number, cache, part: part.id, tokens: part.tokens };
    let events = vec![event(1, &prompt.parts[0]), event(2, &prompt.parts[1])];
    let (sender, mut other) = (PartIndex::new(), PartIndex::new());
    let sent = sender.large_part_events(&Page { epoch: 1, next: 3, lost: false, events });
    sent.iter().for_each(|event| other.apply_remote(1, event));
    assert_eq!(other.cached_tokens(cache, prompt.shared_parts()), 5_382);
}

#[test]
fn a_preferred_engine_stays_preferred_while_others_cache_only_the_root() {
    let root = Some(CopyableCache { held: 512, token_ms: 0.002 });
    let idle = Candidate {
        rank: 1,
        unread: 0,
        running: 0,
        slots: 64,
        memory: 0,
        capacity: 155_599,
        pace: 66.2,
        held: 0,
        copy: root,
        failures: 0.0,
        remote: false,
        weights: 1,
        age: WeightsAge::Current,
        in_partition: true,
        sampled: true,
    };
    let preferred = Candidate { rank: 9, unread: 6_000, ..idle };
    let need = Need {
        input: 11_992,
        shared: 5_382,
        output: 380,
        target: 800.0,
        factors: CostFactors::default(),
    };
    assert_eq!(place::place(need, &[idle, preferred]).unwrap().engine, 1);
}
