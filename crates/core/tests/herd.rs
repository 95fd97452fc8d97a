//! Load: many hosts that learn of each other's requests with a delay send small
//! prompts to engines that run a dozen at a time. The engine that ranks best for one
//! host ranks best for all, so that all would choose it at once (a thundering herd).

use marjoram_core::place::{self, Candidate, CostFactors, Need, WeightsAge};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENGINES: usize = 72;
const HOSTS: usize = 64;
const SLOTS: usize = 16;
const QUEUE: usize = 48;
/// Small prompts per second.
const RATE: f64 = 900.0;
/// Distinct shared parts of small prompts.
const PARTS: u64 = 80;
/// Run time of a small prompt in milliseconds.
const RUN_MS: f64 = 200.0;

/// Returns the share of the prompts that find no free slot and the share that find the queue
/// full as well, when each host is sent the others' prompts every `period` milliseconds and
/// compares engines as if there were `hosts` hosts.
fn replay(period: u32, hosts: usize) -> (f64, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let places: Vec<u64> = (0..ENGINES as u64).map(|e| e * 7_919).collect();
    let in_partition = place::pool_partition(&places, 0.3, false);
    // Per engine: host and completion time of each prompt.
    let mut sent: Vec<Vec<(usize, f64)>> = vec![Vec::new(); ENGINES];
    // Per host: the others' prompts at each engine, as last reported.
    let mut reported = vec![[0usize; ENGINES]; HOSTS];
    let (mut waited, mut queue_full, mut total) = (0u32, 0u32, 0u32);
    for ms in 0..20_000u32 {
        let now = f64::from(ms);
        sent.iter_mut().for_each(|e| e.retain(|s| s.1 > now));
        for host in (0..HOSTS).filter(|h| (ms + *h as u32 * 7).is_multiple_of(period)) {
            reported[host] =
                std::array::from_fn(|e| sent[e].iter().filter(|s| s.0 != host).count());
        }
        if !rng.random_bool(RATE / 1e3) {
            continue;
        }
        let host = rng.random_range(0..HOSTS);
        let sampled = place::sample(rng.random(), &places, &in_partition, hosts);
        let part = rng.random_range(0..PARTS);
        let own = |e: usize| sent[e].iter().filter(|s| s.0 == host).count();
        let candidates: Vec<Candidate> = (0..ENGINES)
            .map(|e| Candidate {
                rank: place::rank(part, places[e]),
                unread: 0,
                running: (reported[host][e] + own(e)) as u32,
                slots: SLOTS as u32,
                memory: 0,
                capacity: 151_820,
                pace: 49.6,
                held: 0,
                copy: None,
                failures: 0.0,
                remote: false,
                weights: 1,
                age: WeightsAge::Current,
                in_partition: in_partition[e],
                sampled: sampled[e],
            })
            .collect();
        let need = Need {
            input: 383,
            shared: 92,
            output: 8,
            target: 400.0,
            factors: CostFactors::default(),
        };
        let engine = &mut sent[place::place(need, &candidates).unwrap().engine];
        total += 1;
        match engine.len() {
            count if count >= SLOTS + QUEUE => {
                queue_full += 1;
                waited += 1;
            }
            count => {
                waited += u32::from(count >= SLOTS);
                // With all slots taken, each prompt waits for a running one to complete.
                let wait = count.saturating_sub(SLOTS - 1) as f64 * RUN_MS / SLOTS as f64;
                engine.push((host, now + wait + RUN_MS));
            }
        }
    }
    (f64::from(waited) / f64::from(total), f64::from(queue_full) / f64::from(total))
}

#[test]
fn delayed_load_reports_cause_no_thundering_herd_on_one_engine() {
    let (waited, queue_full) = replay(400, 9);
    let (waited_sampled, queue_full_sampled) = replay(400, HOSTS);
    println!(
        "all: {waited:.3} {queue_full:.3}, sampled: {waited_sampled:.3} {queue_full_sampled:.3}"
    );
    assert!(waited_sampled < waited / 4.0, "{waited_sampled:.3} against {waited:.3}");
    assert!(queue_full_sampled == 0.0, "{queue_full_sampled:.3} against {queue_full:.3}");
}
