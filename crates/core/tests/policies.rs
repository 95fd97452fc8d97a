//! Rules of the routing policies: Maglev's table (as in the paper), salting of
//! block hashes by workspace, and the engine that each policy chooses.

use marjoram_core::cache::Slot;
use marjoram_core::ids::{ModelVersion, Tokens, WorkspaceId};
use marjoram_core::params::Params;
use marjoram_core::policy::{Candidate, MaglevTable, PolicyInput, PolicyName, Router};
use marjoram_core::prefix::Prefix;
use test_case::test_case;

fn keys(n: u64) -> Vec<u64> {
    (0..n).map(|i| i.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5555).collect()
}

#[test]
fn maglev_table_ignores_order() {
    let forward = keys(12);
    let mut backward = forward.clone();
    backward.reverse();
    assert_eq!(MaglevTable::new(&forward), MaglevTable::new(&backward));
}

#[test_case(3)]
#[test_case(12)]
#[test_case(64)]
fn maglev_shares_differ_by_at_most_one(n: u64) {
    let table = MaglevTable::new(&keys(n));
    let size = marjoram_core::policy::maglev::TABLE_SIZE as u64;
    let mut counts = std::collections::HashMap::new();
    for slot in 0..size {
        *counts.entry(table.walk(slot).next().unwrap()).or_insert(0u64) += 1;
    }
    let (min, max) = (counts.values().min().unwrap(), counts.values().max().unwrap());
    assert_eq!(counts.len() as u64, n);
    assert!(max - min <= 1, "shares from {min} to {max}");
}

#[test]
fn maglev_moves_few_keys_when_an_engine_leaves() {
    let all = keys(12);
    let before = MaglevTable::new(&all);
    let after = MaglevTable::new(&all[1..]);
    let size = marjoram_core::policy::maglev::TABLE_SIZE as u64;
    let moved = (0..size)
        .filter(|&h| {
            let old = before.walk(h).next().unwrap();
            old != all[0] && old != after.walk(h).next().unwrap()
        })
        .count();
    // Only keys of the engine that left should move; Maglev allows a few more.
    assert!(moved * 100 < size as usize * 3, "{moved} of {size} keys moved");
}

#[test]
fn workspaces_and_versions_never_share_blocks() {
    let text = "clause ".repeat(64);
    let a: WorkspaceId = "kili-checks".parse().unwrap();
    let b: WorkspaceId = "star-quotes".parse().unwrap();
    let one = Prefix::new(&text, &a, ModelVersion(1));
    let other = Prefix::new(&text, &b, ModelVersion(1));
    let newer = Prefix::new(&text, &a, ModelVersion(2));
    assert!(one.blocks.iter().all(|h| !other.blocks.contains(h) && !newer.blocks.contains(h)));
    assert_eq!(one, Prefix::new(&text, &a, ModelVersion(1)));
}

fn policy_input(prefix: &Prefix, params: &Params) -> PolicyInput<'static> {
    let prefix: &'static Prefix = Box::leak(Box::new(prefix.clone()));
    let params: &'static Params = Box::leak(Box::new(*params));
    PolicyInput { prefix, params }
}

fn candidate(slot: u8, load: u32, matched: u32) -> Candidate {
    Candidate { slot: Slot(slot), key: u64::from(slot) + 1, load, pending: Tokens(0), matched }
}

#[test]
fn prefix_aware_prefers_the_cached_engine() {
    let prefix = Prefix::new(&"w ".repeat(640), &"ws".parse().unwrap(), ModelVersion(1));
    let input = policy_input(&prefix, &Params::default());
    let candidates = [candidate(0, 1, 0), candidate(1, 1, 30), candidate(2, 0, 4)];
    assert_eq!(Router::new().pick(PolicyName::PrefixAware, input, &candidates), Some(1));
}

#[test]
fn prefix_aware_avoids_the_cached_engine_when_it_is_overloaded() {
    let prefix = Prefix::new(&"w ".repeat(640), &"ws".parse().unwrap(), ModelVersion(1));
    let input = policy_input(&prefix, &Params::default());
    let pick =
        |candidates: &[Candidate]| Router::new().pick(PolicyName::PrefixAware, input, candidates);
    // Reading the prompts that wait at the cached engine takes longer than reading this one again.
    let waiting = Candidate { pending: Tokens(700), ..candidate(1, 2, 40) };
    assert_eq!(pick(&[candidate(0, 0, 0), waiting]), Some(0));
    // So many requests run at the cached engine that each step is slow.
    assert_eq!(pick(&[candidate(0, 0, 0), candidate(1, 21, 40)]), Some(0));
    // A prompt longer than those that wait at the cached engine is still served faster there.
    let short = Candidate { pending: Tokens(300), ..candidate(1, 2, 40) };
    assert_eq!(pick(&[candidate(0, 0, 0), short]), Some(1));
}

#[test]
fn maglev_sends_one_prefix_to_one_engine_until_it_is_overloaded() {
    let prefix = Prefix::new(&"w ".repeat(900), &"ws".parse().unwrap(), ModelVersion(1));
    let input = policy_input(&prefix, &Params::default());
    let router = Router::new();
    let idle: Vec<_> = (0..6).map(|s| candidate(s, 0, 0)).collect();
    let first = router.pick(PolicyName::Maglev, input, &idle).unwrap();
    assert_eq!(router.pick(PolicyName::Maglev, input, &idle), Some(first));
    let mut busy = idle.clone();
    busy[first].load = 20;
    assert_ne!(router.pick(PolicyName::Maglev, input, &busy), Some(first));
}

#[test_case(PolicyName::RoundRobin)]
#[test_case(PolicyName::LeastLoad)]
#[test_case(PolicyName::Maglev)]
#[test_case(PolicyName::PrefixAware)]
fn every_policy_declines_when_no_engine_is_live(name: PolicyName) {
    let prefix = Prefix { blocks: vec![], tokens: Tokens(0) };
    let input = policy_input(&prefix, &Params::default());
    assert_eq!(Router::new().pick(name, input, &[]), None);
    assert_eq!(name.to_string().parse::<PolicyName>().unwrap(), name);
}
