//! Promise: a message to all hosts reaches those that the sender and its
//! relays know, though no two hosts know the same ones, and nobody sends more
//! than a few datagrams for it.

use std::collections::HashSet;

use marjoram_core::broadcast::{Host, fan_out, plan};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const SEEDS: u64 = 100;

/// All of `names`, heard lately.
fn heard(names: &[u64]) -> Vec<Host> {
    names.iter().map(|name| Host { name: *name, alive: true }).collect()
}

/// A host's view: `hosts` without `unknown` of them.
fn view(rng: &mut ChaCha8Rng, hosts: &[u64], unknown: usize) -> Vec<u64> {
    let mut known = hosts.to_vec();
    known.shuffle(rng);
    known.truncate(hosts.len() - unknown);
    known
}

#[test_case(8, 1; "told directly")]
#[test_case(69, 3; "sixty-nine hosts")]
#[test_case(294, 15; "two hundred and ninety-four hosts")]
#[test_case(409, 40; "four hundred and nine hosts, a tenth unknown to each")]
fn hosts_that_the_sender_and_their_relay_know_hear_it(count: usize, unknown: usize) {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let hosts: Vec<u64> = (0..count).map(|_| rng.random()).collect();
        let sender = view(&mut rng, &hosts, unknown);
        let datagrams = plan(&heard(&sender), rng.random());
        assert!(datagrams.len() <= fan_out(sender.len()), "{} datagrams", datagrams.len());
        let mut told = HashSet::new();
        for datagram in &datagrams {
            let relay = sender[datagram.to];
            assert!(told.insert(relay), "told twice");
            let Some(slice) = datagram.slice else { continue };
            let known: HashSet<u64> = view(&mut rng, &hosts, unknown).into_iter().collect();
            for host in hosts.iter().filter(|host| slice.contains(**host) && **host != relay) {
                // Told exactly by the relay of its slice, if that knows it:
                // also where the sender does not.
                assert_eq!(known.contains(host) && told.insert(*host), known.contains(host));
            }
        }
        // What is missing is no more than what relays do not know, and slices
        // of which the sender knows nobody.
        let missing = count - told.len();
        assert!(missing <= unknown * 3, "{missing} of {count} not told");
    }
}

#[test]
fn a_slice_is_no_more_than_a_few_times_the_fan_out() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let hosts: Vec<u64> = (0..409).map(|_| rng.random()).collect();
        for datagram in plan(&heard(&hosts), seed) {
            let slice = datagram.slice.expect("many hosts");
            let passed = hosts.iter().filter(|host| slice.contains(**host)).count();
            assert!(passed <= fan_out(hosts.len()) * 3, "one relay passes it on to {passed}");
        }
    }
}

/// A host that hears nothing because its relay is down hears the next message.
#[test]
fn a_relay_that_is_down_does_not_cut_the_same_hosts_off_twice() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let hosts: Vec<u64> = (0..294).map(|_| rng.random()).collect();
    let down: HashSet<u64> = hosts.iter().copied().take(15).collect();
    let mut missed = vec![0u32; hosts.len()];
    let messages = 200;
    for _ in 0..messages {
        for datagram in plan(&heard(&hosts), rng.random()) {
            let slice = datagram.slice.expect("many hosts");
            for (at, host) in hosts.iter().enumerate() {
                let lost = down.contains(&hosts[datagram.to]) && slice.contains(*host);
                missed[at] += u32::from(lost && !down.contains(host));
            }
        }
    }
    // One relay in twenty is down: ten of two hundred messages, and some more
    // by chance.
    let most = missed.iter().max().unwrap();
    assert!(*most <= 30, "one host missed {most} of {messages}");
}

/// Hosts that were killed are known for some time; none of them is a relay once
/// it has not been heard lately.
#[test_case(98; "a third are down")]
#[test_case(162; "more than half are down")]
fn hosts_that_are_down_cut_no_others_off(down: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let names: Vec<u64> = (0..294).map(|_| rng.random()).collect();
    let host = |(at, name): (usize, &u64)| Host { name: *name, alive: at >= down };
    let hosts: Vec<Host> = names.iter().enumerate().map(host).collect();
    for _ in 0..SEEDS {
        let datagrams = plan(&hosts, rng.random());
        let told = |name: u64| {
            datagrams.iter().any(|datagram| {
                hosts[datagram.to].alive && datagram.slice.is_some_and(|s| s.contains(name))
            })
        };
        let missed = hosts.iter().filter(|host| host.alive && !told(host.name)).count();
        assert_eq!(missed, 0, "living hosts not told");
    }
}
