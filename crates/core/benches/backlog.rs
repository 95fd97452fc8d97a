//! Measures, at the current number of engines and at the one targeted in two years: a query of the
//! accounts of twelve engines, the application of one change of a claim, and the earning and check
//! of the credit at all engines. Also the recording and look-up of four parts in a full directory.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use marjoram_core::backlog::{Change, ClaimChange, Ledger, MAX_QUERIED};
use marjoram_core::credit::{Credit, free_places};
use marjoram_core::part_directory::PartDirectory;
use marjoram_core::quota::ledger::Sender;

/// Claims at each engine.
const CLAIMS: u64 = 3;

const HOST: Sender = Sender { host: 1, life: 1 };

const SENT: Change = Change::Sent { tokens: 17_000, memory: 17_020 };

fn now(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A ledger of `engines` engines that have completed one prefill, so that the throughput is known.
fn filled_ledger(engines: u64) -> Ledger {
    let mut ledger = Ledger::new();
    for upstream in 0..engines {
        let claim = |request, change| ClaimChange { request, upstream, change };
        let mut report = |change, ms| ledger.apply(HOST, &[change], |_| 0.0, now(ms));
        report(claim(CLAIMS, SENT), 0);
        report(claim(CLAIMS, Change::Read), 300);
        report(claim(CLAIMS, Change::Ended), 500);
        (0..CLAIMS).for_each(|request| report(claim(request, SENT), 500 + request));
    }
    ledger
}

fn querying(c: &mut Criterion) {
    let mut group = c.benchmark_group("backlog/query_12");
    for engines in [60, 870] {
        let ledger = filled_ledger(engines);
        group.bench_with_input(BenchmarkId::from_parameter(engines), &ledger, |b, ledger| {
            let mut first = 0;
            b.iter(|| {
                first += 1;
                let account = |n| ledger.account((first + n * 5) % engines, 0.5, now(600));
                std::array::from_fn::<_, MAX_QUERIED, _>(|n| account(black_box(n as u64)))
            });
        });
    }
    group.finish();
}

fn applying(c: &mut Criterion) {
    let mut group = c.benchmark_group("backlog/apply");
    for engines in [60, 870] {
        let (mut ledger, mut n) = (filled_ledger(engines), 0u64);
        group.bench_function(BenchmarkId::from_parameter(engines), |b| {
            b.iter(|| {
                // Each claim is sent, read and ended in turn, so that the ledger does not grow.
                let change = [SENT, Change::Read, Change::Ended][(n % 3) as usize];
                let (request, upstream) = (1_000 + n / 3, n / 3 % engines);
                let change = ClaimChange { request, upstream, change };
                ledger.apply(HOST, black_box(&[change]), |_| 0.5, now(600 + n / 100));
                n += 1;
            });
        });
    }
    group.finish();
}

fn earning(c: &mut Criterion) {
    let mut group = c.benchmark_group("credit/earn_and_check");
    for engines in [60, 870] {
        let (mut credits, mut ms) = (vec![Credit::new(0.5, now(0)); engines], 0);
        group.bench_function(BenchmarkId::from_parameter(engines), |b| {
            b.iter(|| {
                ms += 1;
                let earn = |credit: &mut Credit| {
                    credit.earn(free_places(16, black_box(27)) / 75.0, now(500), now(ms));
                    credit.is_enough()
                };
                credits.iter_mut().map(earn).filter(|enough| black_box(*enough)).count()
            });
        });
    }
    group.finish();
}

/// Parts in the directory when it is full.
const PARTS: u64 = 16_384;

fn recording_parts(c: &mut Criterion) {
    let mut directory = PartDirectory::new();
    let part = |n: u64| n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for n in 0..PARTS * 4 {
        directory.record(&[part(n % PARTS)], n / PARTS, now(0));
    }
    let four = |n: u64| std::array::from_fn::<_, 4, _>(|i| part((n * 4 + i as u64) % PARTS));
    let mut n = 0;
    c.bench_function("part_directory/record_4", |b| {
        b.iter(|| {
            n += 1;
            directory.record(black_box(&four(n)), n % 60, now(n / 1_000));
        });
    });
    let at = now(n / 1_000);
    c.bench_function("part_directory/look_up_4", |b| {
        b.iter(|| {
            n += 1;
            black_box(four(n)).map(|part| directory.engines(part, at))
        });
    });
}

criterion_group!(benches, querying, applying, earning, recording_parts);
criterion_main!(benches);
