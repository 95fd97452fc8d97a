//! Load: prompts share nested parts, a few roots under hundreds of chains. All
//! engines are to take part in keeping the chains, and what is known of an
//! outer part says nothing of the inner ones.

use marjoram_core::exchange::{Part, PartId, Prompt};
use marjoram_core::holdings::{CacheId, Event, Holdings, Page};
use marjoram_core::place;

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
        let key = prompt(chain).chain();
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
    let mut holdings = Holdings::new();
    holdings.apply(&Page { epoch: 1, next: 2, lost: false, events: vec![event] });
    let (one, other) = (prompt(0), prompt(ROOTS));
    assert_eq!(holdings.held(cache, one.shared_parts()), 512);
    // The first was just read there whole; the other has only its root there.
    let read = |part: &Part| one.shared_parts().contains(part);
    assert_eq!(holdings.held_or(cache, one.shared_parts(), read), 5_382);
    assert_eq!(holdings.held_or(cache, other.shared_parts(), read), 512);
}
