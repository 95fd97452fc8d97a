//! Measures one choice of an engine at the current size, at the size of grown sites and at the
//! size targeted in two years, and the extraction of one event from a stream.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use marjoram_core::events::Splitter;
use marjoram_core::place::{self, Candidate, CopyableCache, Need, WeightsAge};

fn candidates(count: u64) -> Vec<Candidate> {
    let candidate = |n: u64| Candidate {
        rank: place::rank(0x5c1e_07a2, n),
        unread: n * 37 % 9_000,
        running: (n % 12) as u32,
        slots: 64,
        memory: n * 911 % 120_000,
        capacity: 165_614,
        pace: 49.6,
        held: if n.is_multiple_of(9) { 13_300 } else { 0 },
        copy: Some(CopyableCache { held: 13_300, token_ms: 0.0024 }),
        failures: 0.0,
        remote: !n.is_multiple_of(4),
        weights: n % 2,
        age: WeightsAge::Current,
        in_partition: n.is_multiple_of(4),
        sampled: true,
    };
    (0..count).map(candidate).collect()
}

fn placing(c: &mut Criterion) {
    let need = Need { input: 17_000, shared: 13_300, output: 30, target: 800.0 };
    let mut group = c.benchmark_group("place");
    for count in [12, 72, 870] {
        let engines = candidates(count);
        group.bench_with_input(BenchmarkId::from_parameter(count), &engines, |b, engines| {
            b.iter(|| place::place(black_box(need), black_box(engines)));
        });
    }
    group.finish();
}

fn splitting(c: &mut Criterion) {
    let event = b"id: 12\ndata: fifty bytes of text that a model has written, so to say\n\n";
    c.bench_function("event", |b| {
        let mut splitter = Splitter::new();
        b.iter(|| {
            splitter.push(black_box(event));
            splitter.next_event()
        });
    });
}

criterion_group!(benches, placing, splitting);
criterion_main!(benches);
