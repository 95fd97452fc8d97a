//! Load: prompts share nested parts, a few roots under hundreds of chains. All
//! engines are to take part in keeping the chains, and what is known of an
//! outer part says nothing of the inner ones.

use marjoram_core::exchange::{Part, PartId, Prompt};
use marjoram_core::part_index::{CacheId, Event, Page, PartIndex};
use marjoram_core::place::{self, Candidate, CopyableCache, Need, WeightsAge};

const ENGINES: u64 = 12;
const ROOTS: u64 = 3;
const CHAINS: u64 = 194;

fn prompt(chain: u64) -> Prompt {
    let part = |id, tokens| Part { id: PartId(id), tokens };
    let parts = vec![part(chain % ROOTS, 512), part(1_000 + chain, 4_870), part(9_000, 6_610)];
    Prompt { model: "m".into(), parts, input: 11_992, output: 380 }
}

/// How many chains each engine is home to.
fn homes() -> Vec<usize> {
    let home = |chain| {
        let key = prompt(chain).prefix_hash();
        (0..ENGINES).max_by_key(|engine| place::rank(key, engine * 7_919)).unwrap()
    };
    let homes: Vec<u64> = (0..CHAINS).map(home).collect();
    (0..ENGINES).map(|engine| homes.iter().filter(|home| **home == engine).count()).collect()
}

#[test]
fn chains_under_a_few_roots_have_their_homes_at_all_engines() {
    let homes = homes();
    let mean = CHAINS as usize / ENGINES as usize;
    assert!(homes.iter().all(|count| (mean / 3..=mean * 2).contains(count)), "{homes:?}");
}

#[test]
fn a_root_that_is_kept_is_no_chain_that_is_kept() {
    let cache = CacheId::new("1");
    let event = Event { number: 1, cache, part: PartId(0), tokens: 512 };
    let mut holdings = PartIndex::new();
    holdings.apply(&Page { epoch: 1, next: 2, lost: false, events: vec![event] });
    let (one, other) = (prompt(0), prompt(ROOTS));
    assert_eq!(holdings.cached_tokens(cache, one.shared_parts()), 512);
    // The first was just read there whole; the other has only its root there.
    let read = |part: &Part| one.shared_parts().contains(part);
    assert_eq!(holdings.cached_tokens_assuming(cache, one.shared_parts(), read), 5_382);
    assert_eq!(holdings.cached_tokens_assuming(cache, other.shared_parts(), read), 512);
}

#[test]
fn a_large_part_that_is_told_of_says_that_the_small_one_before_it_is_kept() {
    let (cache, asked) = (CacheId::new("1"), prompt(0));
    let event =
        |number: u64, part: &Part| Event { number, cache, part: part.id, tokens: part.tokens };
    let events = vec![event(1, &asked.parts[0]), event(2, &asked.parts[1])];
    let (teller, mut other) = (PartIndex::new(), PartIndex::new());
    let told = teller.large_part_events(&Page { epoch: 1, next: 3, lost: false, events });
    told.iter().for_each(|event| other.apply_remote(1, event));
    assert_eq!(other.cached_tokens(cache, asked.shared_parts()), 5_382);
}

#[test]
fn a_home_keeps_its_worth_where_others_keep_no_more_than_the_root() {
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
    let home = Candidate { rank: 9, unread: 6_000, ..idle };
    let need = Need { input: 11_992, shared: 5_382, output: 380, target: 800.0 };
    assert_eq!(place::place(need, &[idle, home]).unwrap().engine, 1);
}
