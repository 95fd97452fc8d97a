//! Measures one choice of an engine at the current size, at the size of grown sites and at the
//! size targeted in two years, the check of an upstream's rate limit before a send, and the
//! extraction of one event from a stream.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use marjoram_core::conditions::RateLimit;
use marjoram_core::events::Splitter;
use marjoram_core::place::{self, Candidate, CopyableCache, CostFactors, Need, WeightsAge};
use marjoram_core::quota::gate::Gate;

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
    let need = Need {
        input: 17_000,
        shared: 13_300,
        output: 30,
        target: 800.0,
        factors: CostFactors::default(),
    };
    let mut group = c.benchmark_group("place");
    for count in [12, 72, 870] {
        let engines = candidates(count);
        group.bench_with_input(BenchmarkId::from_parameter(count), &engines, |b, engines| {
            b.iter(|| place::place(black_box(need), black_box(engines)));
        });
    }
    group.finish();
}

fn limiting(c: &mut Criterion) {
    let limit = "15.3".parse::<RateLimit>().expect("a limit").quota();
    let mut group = c.benchmark_group("admit");
    for count in [12, 870] {
        let (mut gate, mut now, mut n) = (Gate::new(), Duration::from_secs(20), 0u64);
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                (n, now) = (n + 1, now + Duration::from_millis(3));
                let draw = (n * 37 % 100) as f64 / 100.0;
                gate.admit(black_box(n % count), 1, draw, &limit, 9, now)
            });
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

criterion_group!(benches, placing, limiting, splitting);
criterion_main!(benches);
