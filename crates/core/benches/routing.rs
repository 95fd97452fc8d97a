//! Cost of the routing decision and of keeping the cache index.
//!
//! - `pick/<policy>`: one decision for a 20,000-token prompt against 12
//!   engines, prefix hashing and index lookup included.
//! - `prefix/20k`: cutting and hashing a 20,000-token prompt alone.
//! - `ingest/stored_16`: applying one cache event of 16 blocks.
//! - `config/apply`: applying one configuration record.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use marjoram_core::cache::{CacheGeneration, CacheIndex, Slot};
use marjoram_core::config::{Config, Record};
use marjoram_core::ids::{BlockHash, ModelVersion, Offset, Tokens, WorkspaceId};
use marjoram_core::policy::{Candidate, PolicyInput, PolicyName, Router};
use marjoram_core::prefix::Prefix;

const ENGINES: u8 = 12;

fn prompt(tokens: usize) -> String {
    (0..tokens).map(|i| format!("clause{i}")).collect::<Vec<_>>().join(" ")
}

fn filled_cache_index(prefix: &Prefix) -> CacheIndex {
    let cache_index = CacheIndex::new();
    for slot in 0..ENGINES {
        let held = prefix.blocks.len() * usize::from(slot) / usize::from(ENGINES);
        cache_index.stored(Slot(slot), CacheGeneration::default(), &prefix.blocks[..held]);
    }
    cache_index
}

fn pick(c: &mut Criterion) {
    let text = prompt(20_000);
    let ws: WorkspaceId = "kili-checks".parse().unwrap();
    let cache_index = filled_cache_index(&Prefix::new(&text, &ws, ModelVersion(0)));
    let router = Router::new();
    let params = Default::default();
    let slots: Vec<Slot> = (0..ENGINES).map(Slot).collect();
    let mut group = c.benchmark_group("pick");
    for name in PolicyName::ALL {
        group.bench_function(name.to_string(), |b| {
            b.iter(|| {
                let prefix = Prefix::new(black_box(&text), &ws, ModelVersion(0));
                let matched = cache_index.matched(&prefix.blocks, &slots);
                let candidates: Vec<Candidate> = slots
                    .iter()
                    .zip(matched)
                    .map(|(s, m)| Candidate {
                        slot: *s,
                        key: u64::from(s.0) * 7919,
                        load: 1,
                        pending: Tokens(100),
                        matched: m,
                    })
                    .collect();
                router.pick(name, PolicyInput { prefix: &prefix, params: &params }, &candidates)
            })
        });
    }
    group.finish();
    c.bench_function("prefix/20k", |b| {
        b.iter(|| Prefix::new(black_box(&text), &ws, ModelVersion(0)))
    });
}

fn ingest(c: &mut Criterion) {
    let cache_index = CacheIndex::new();
    let mut next = 0u64;
    c.bench_function("ingest/stored_16", |b| {
        b.iter(|| {
            let blocks: Vec<BlockHash> = (0..16)
                .map(|i| BlockHash((next + i).wrapping_mul(0x9e37_79b9_7f4a_7c15)))
                .collect();
            next += 16;
            cache_index.stored(Slot((next % 12) as u8), CacheGeneration::default(), &blocks);
            if next.is_multiple_of(1 << 20) {
                (0..12).for_each(|s| cache_index.clear(Slot(s)));
            }
        })
    });
}

fn config(c: &mut Criterion) {
    let template: Record =
        serde_json::from_str(r#"{"kind":"template","name":"t","policy":"maglev"}"#).unwrap();
    let mut config = Config::new();
    config.apply(Offset(0), &template);
    let ids: Vec<WorkspaceId> = (0..1500).map(|i| format!("ws-{i}").parse().unwrap()).collect();
    for (i, id) in ids.iter().enumerate() {
        let record =
            Record::Workspace { id: id.clone(), template: "t".into(), params: Default::default() };
        config.apply(Offset(i as u64 + 1), &record);
    }
    let mut offset = ids.len() as u64 + 1;
    c.bench_function("config/apply_at_1500_workspaces", |b| {
        b.iter(|| {
            let record = Record::Workspace {
                id: ids[(offset % 1500) as usize].clone(),
                template: "t".into(),
                params: Default::default(),
            };
            config.apply(Offset(offset), &record);
            offset += 1;
        })
    });
}

criterion_group!(benches, pick, ingest, config);
criterion_main!(benches);
