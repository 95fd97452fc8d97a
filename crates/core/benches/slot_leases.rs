//! Measures a report and an update of a coordinator that grants the slots of 56 engines to 70 and to
//! 410 hosts, all of which wait for more.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use marjoram_core::brittle::MaxRejections;
use marjoram_core::quota::ledger::Sender;
use marjoram_core::slot_leases::coordinator::{Coordinator, UpstreamSlots};
use marjoram_core::slot_leases::{SlotReport, SlotUse};

const ENGINES: u64 = 56;
const SLOTS: u32 = 12;
const HOSTS: [u64; 2] = [70, 410];

/// When all hosts have reported for long enough to count.
const BEGUN: Duration = Duration::from_secs(10);

fn report(host: u64, hosts: u64, now: Duration) -> SlotReport {
    let uses =
        (0..5).map(|n| SlotUse { upstream: (host + n * 11) % ENGINES, running: 1, rejected: 0 });
    SlotReport {
        service: 1,
        max: MaxRejections(5),
        sent_us: now.as_micros() as u64,
        applied: (0, 0),
        wanted: 15,
        hosts: hosts as u16,
        work_ms: 300,
        uses: uses.collect(),
        unusable: Vec::new(),
    }
}

fn coordinating(c: &mut Criterion) {
    let mut group = c.benchmark_group("slot_leases");
    for hosts in HOSTS {
        let mut coordinator = Coordinator::new(1, 1, MaxRejections(5), Duration::ZERO);
        let slots = |upstream| UpstreamSlots { upstream, slots: SLOTS, is_open: true };
        let upstreams: Vec<UpstreamSlots> = (0..ENGINES).map(slots).collect();
        for round in 0..100 {
            let now = BEGUN * round / 100;
            for host in 0..hosts {
                let sender = Sender { host, life: 1 };
                coordinator.report(sender, &report(host, hosts, now), now);
            }
            coordinator.set_upstreams(&upstreams, now);
            coordinator.advance(now);
        }
        let mut host = 0;
        group.bench_function(BenchmarkId::new("report", hosts), |b| {
            b.iter(|| {
                host = (host + 1) % hosts;
                let sender = Sender { host, life: 1 };
                black_box(coordinator.report(sender, &report(host, hosts, BEGUN), BEGUN))
            });
        });
        group.bench_function(BenchmarkId::new("update", hosts), |b| {
            b.iter(|| {
                coordinator.set_upstreams(&upstreams, BEGUN);
                black_box(coordinator.advance(BEGUN))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, coordinating);
criterion_main!(benches);
