//! Measures the queue of waiting requests with 10,000 requests waiting.
//!
//! Run with `cargo bench -p marjoram-core --bench waiting`.

use std::hint::black_box;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use marjoram_core::waiting::{Queue, Request, Urgency};

const WAITING: u64 = 10_000;

fn request(number: u64, workspaces: u64) -> Request {
    let arrived = Duration::from_micros(200 * number);
    Request {
        urgency: Urgency::new(Some(1), (number % 3) as u8),
        workspace: (number % workspaces).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        cost: 300 + number % 200,
        arrived,
        expires: arrived + Duration::from_secs(4),
        service: Duration::from_millis(20),
    }
}

fn full(workspaces: u64) -> Queue {
    let mut queue = Queue::new(WAITING as usize);
    for number in 0..WAITING {
        let request = request(number, workspaces);
        queue.push(request, request.arrived);
    }
    queue
}

fn queue(c: &mut Criterion) {
    // 80 workspaces as on the larger deployment; 10,000 is the worst case, one request for each.
    for workspaces in [80, WAITING] {
        let id = |name| format!("{name}/{workspaces}");
        let mut queue = full(workspaces);
        let mut number = WAITING;
        let now = |number| request(number, workspaces).arrived;
        c.bench_function(&id("first"), |b| {
            b.iter(|| black_box(queue.first()));
        });
        c.bench_function(&id("retry_after"), |b| {
            let (urgency, left) = (Urgency::new(Some(1), 2), Duration::from_secs(3));
            b.iter(|| black_box(queue.retry_after(urgency, left, now(number))));
        });
        c.bench_function(&id("push_evict"), |b| {
            b.iter(|| {
                number += 1;
                black_box(queue.push(request(number, workspaces), now(number)))
            });
        });
        c.bench_function(&id("push_first_sent"), |b| {
            queue = full(workspaces);
            number = WAITING;
            b.iter(|| {
                let first = queue.first().unwrap();
                queue.sent(first, now(number));
                number += 1;
                black_box(queue.push(request(number, workspaces), now(number)))
            });
        });
    }
}

criterion_group!(benches, queue);
criterion_main!(benches);
