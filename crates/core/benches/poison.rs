//! Times what the quarantine adds to a request, and one crash at a host that
//! detects, with its tables full.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use marjoram_core::fingerprint::Fingerprint;
use marjoram_core::poison::{CRASH_REPORT_WINDOW, CrashReport, Quarantine, Quarantined, Suspects};

/// Requests at an engine that crashes.
const THERE: u64 = 64;

const NOW: Duration = Duration::from_secs(1_000_000);

fn report(request: u64, upstream: u64) -> CrashReport {
    let ran = Some(Duration::from_millis(40));
    let (request, attempt) = (Fingerprint(request), request);
    CrashReport { request, upstream, attempt, ran, well: None, at: NOW }
}

/// As many suspects as are remembered, a fifth of them at two crashes.
fn full() -> Suspects {
    let mut suspects = Suspects::new();
    for request in 0..1_024 {
        suspects.add(&report(request, request / THERE), Duration::ZERO);
        suspects.add(&report(request, 1_000 + request / THERE), Duration::ZERO);
    }
    for request in 10_000..14_096 {
        suspects.add(&report(request, 2_000 + request / THERE), Duration::ZERO);
    }
    suspects
}

fn requests(c: &mut Criterion) {
    let mut group = c.benchmark_group("fingerprint");
    for bytes in [1usize << 10, 64 << 10] {
        let body = vec![b'x'; bytes];
        group.bench_with_input(BenchmarkId::from_parameter(bytes), &body, |b, body| {
            b.iter(|| Fingerprint::new(&["acme", "POST", "host", "/check/7"], black_box(body)));
        });
    }
    group.finish();
    let mut quarantine = Quarantine::new();
    for request in 0..1_024 {
        quarantine.admit(Quarantined::new(Fingerprint(request), vec![1, 2, 3], NOW), NOW);
    }
    c.bench_function("refuses", |b| {
        b.iter(|| quarantine.refuses(black_box(Fingerprint(5_000)), NOW));
    });
}

fn crashes(c: &mut Criterion) {
    c.bench_function("crash", |b| {
        b.iter_batched(
            full,
            |mut suspects| {
                for request in 0..THERE {
                    suspects.add(&report(request, 9_000), CRASH_REPORT_WINDOW);
                }
                (suspects.detect(CRASH_REPORT_WINDOW * 2), suspects)
            },
            BatchSize::LargeInput,
        );
    });
}

criterion_group!(benches, requests, crashes);
criterion_main!(benches);
