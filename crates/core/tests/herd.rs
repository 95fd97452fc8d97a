//! Load: many hosts that hear of each other's requests late send small
//! prompts to engines that run a dozen at a time. The engine that looks best
//! to one looks best to all.

use marjoram_core::place::{self, Candidate, Need, WeightsAge};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENGINES: usize = 72;
const HOSTS: usize = 64;
const SLOTS: usize = 16;
const QUEUE: usize = 48;
/// Small prompts a second.
const RATE: f64 = 900.0;
/// Shared parts of small prompts.
const PARTS: u64 = 80;
/// Milliseconds that a small prompt runs.
const RUNS_MS: f64 = 200.0;

/// Share of the prompts that find no slot free, and that find no room at all,
/// when each host hears of the others' prompts every `period` milliseconds and
/// compares as if there were `hosts`.
fn replay(period: u32, hosts: usize) -> (f64, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let places: Vec<u64> = (0..ENGINES as u64).map(|e| e * 7_919).collect();
    let lanes = place::pool_partition(&places, 0.3, false);
    // Per engine: host, when done.
    let mut sent: Vec<Vec<(usize, f64)>> = vec![Vec::new(); ENGINES];
    // Per host: the others' prompts at each engine when it last heard.
    let mut told = vec![[0usize; ENGINES]; HOSTS];
    let (mut waited, mut full, mut all) = (0u32, 0u32, 0u32);
    for ms in 0..20_000u32 {
        let now = f64::from(ms);
        sent.iter_mut().for_each(|e| e.retain(|s| s.1 > now));
        for host in (0..HOSTS).filter(|h| (ms + *h as u32 * 7).is_multiple_of(period)) {
            told[host] = std::array::from_fn(|e| sent[e].iter().filter(|s| s.0 != host).count());
        }
        if !rng.random_bool(RATE / 1e3) {
            continue;
        }
        let host = rng.random_range(0..HOSTS);
        let sampled = place::sample(rng.random(), &places, &lanes, hosts);
        let part = rng.random_range(0..PARTS);
        let own = |e: usize| sent[e].iter().filter(|s| s.0 == host).count();
        let views: Vec<Candidate> = (0..ENGINES)
            .map(|e| Candidate {
                rank: place::rank(part, places[e]),
                unread: 0,
                running: (told[host][e] + own(e)) as u32,
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
                in_partition: lanes[e],
                sampled: sampled[e],
            })
            .collect();
        let need = Need { input: 383, shared: 92, output: 8, target: 400.0 };
        let engine = &mut sent[place::place(need, &views).unwrap().engine];
        all += 1;
        match engine.len() {
            there if there >= SLOTS + QUEUE => {
                full += 1;
                waited += 1;
            }
            there => {
                waited += u32::from(there >= SLOTS);
                // With all slots taken, each waits for a running one to end.
                let wait = there.saturating_sub(SLOTS - 1) as f64 * RUNS_MS / SLOTS as f64;
                engine.push((host, now + wait + RUNS_MS));
            }
        }
    }
    (f64::from(waited) / f64::from(all), f64::from(full) / f64::from(all))
}

#[test]
fn late_loads_draw_no_herd_to_one_engine() {
    let (waited, full) = replay(400, 9);
    let (waited_drawn, full_drawn) = replay(400, HOSTS);
    println!("all: {waited:.3} {full:.3}, drawn: {waited_drawn:.3} {full_drawn:.3}");
    assert!(waited_drawn < waited / 4.0, "{waited_drawn:.3} against {waited:.3}");
    assert!(full_drawn == 0.0, "{full_drawn:.3} against {full:.3}");
}
