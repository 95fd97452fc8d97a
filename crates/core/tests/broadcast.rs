//! Invariant: a message to all hosts reaches those that the sender and its relays
//! know, although no two hosts know the same set of hosts, and no host sends more than
//! a few datagrams for it.

use std::collections::HashSet;

use marjoram_core::broadcast::{Host, fan_out, plan};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const SEEDS: u64 = 100;

/// Hosts with `names`, all with a recent heartbeat.
fn hosts_with_heartbeat(names: &[u64]) -> Vec<Host> {
    names.iter().map(|name| Host { name: *name, alive: true }).collect()
}

/// The hosts that one host knows: `hosts` without `unknown` of them.
fn known_hosts(rng: &mut ChaCha8Rng, hosts: &[u64], unknown: usize) -> Vec<u64> {
    let mut known = hosts.to_vec();
    known.shuffle(rng);
    known.truncate(hosts.len() - unknown);
    known
}

#[test_case(8, 1; "sent directly")]
#[test_case(69, 3; "sixty-nine hosts")]
#[test_case(294, 15; "two hundred and ninety-four hosts")]
#[test_case(409, 40; "four hundred and nine hosts, a tenth unknown to each")]
fn hosts_that_the_sender_and_their_relay_know_receive_it(count: usize, unknown: usize) {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let hosts: Vec<u64> = (0..count).map(|_| rng.random()).collect();
        let sender = known_hosts(&mut rng, &hosts, unknown);
        let datagrams = plan(&hosts_with_heartbeat(&sender), rng.random());
        assert!(datagrams.len() <= fan_out(sender.len()), "{} datagrams", datagrams.len());
        let mut received = HashSet::new();
        for datagram in &datagrams {
            let relay = sender[datagram.to];
            assert!(received.insert(relay), "a relay received it twice");
            let Some(slice) = datagram.slice else { continue };
            let known: HashSet<u64> = known_hosts(&mut rng, &hosts, unknown).into_iter().collect();
            for host in hosts.iter().filter(|host| slice.contains(**host) && **host != relay) {
                // A host receives the message, once, if the relay of its slice knows the host,
                // even if the sender does not.
                assert_eq!(known.contains(host) && received.insert(*host), known.contains(host));
            }
        }
        // Only hosts unknown to their relay and hosts in slices of which the sender knows
        // no host are missed.
        let missing = count - received.len();
        assert!(missing <= unknown * 3, "{missing} of {count} hosts did not receive it");
    }
}

#[test]
fn a_slice_holds_at_most_three_times_the_fan_out() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let hosts: Vec<u64> = (0..409).map(|_| rng.random()).collect();
        for datagram in plan(&hosts_with_heartbeat(&hosts), seed) {
            let slice = datagram.slice.expect("many hosts");
            let forwarded = hosts.iter().filter(|host| slice.contains(**host)).count();
            assert!(
                forwarded <= fan_out(hosts.len()) * 3,
                "one relay forwards it to {forwarded} hosts"
            );
        }
    }
}

/// A host that misses a message because its relay is down receives the next one through another
/// relay.
#[test]
fn a_relay_that_is_down_does_not_keep_isolating_the_same_hosts() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let hosts: Vec<u64> = (0..294).map(|_| rng.random()).collect();
    let down: HashSet<u64> = hosts.iter().copied().take(15).collect();
    let mut missed = vec![0u32; hosts.len()];
    let messages = 200;
    for _ in 0..messages {
        for datagram in plan(&hosts_with_heartbeat(&hosts), rng.random()) {
            let slice = datagram.slice.expect("many hosts");
            for (at, host) in hosts.iter().enumerate() {
                let lost = down.contains(&hosts[datagram.to]) && slice.contains(*host);
                missed[at] += u32::from(lost && !down.contains(host));
            }
        }
    }
    // One relay in twenty is down: ten of two hundred messages are expected to be missed, and
    // some more by chance.
    let max_missed = missed.iter().max().unwrap();
    assert!(*max_missed <= 30, "one host missed {max_missed} of {messages}");
}

/// Killed hosts stay known for some time; none of them is chosen as a relay once it has sent no
/// recent heartbeat.
#[test_case(98; "a third are down")]
#[test_case(162; "more than half are down")]
fn hosts_that_are_down_isolate_no_live_hosts(down: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let names: Vec<u64> = (0..294).map(|_| rng.random()).collect();
    let host = |(at, name): (usize, &u64)| Host { name: *name, alive: at >= down };
    let hosts: Vec<Host> = names.iter().enumerate().map(host).collect();
    for _ in 0..SEEDS {
        let datagrams = plan(&hosts, rng.random());
        let received = |name: u64| {
            datagrams.iter().any(|datagram| {
                hosts[datagram.to].alive && datagram.slice.is_some_and(|s| s.contains(name))
            })
        };
        let missed = hosts.iter().filter(|host| host.alive && !received(host.name)).count();
        assert_eq!(missed, 0, "live hosts that did not receive the message");
    }
}
