//! Partitions an engine pool by prompt size, and samples the engines that
//! are compared for a request.

use super::rank;
use crate::heartbeat::SINGLE_ROUND_HOSTS;

/// Engines sampled inside the partition, and as many outside it, where there are
/// more hosts: many hosts that compare the same engines would all send to the
/// best one.
const SAMPLE_PER_PARTITION: usize = 2;

/// Which of the engines, given by their positions `places` in the hash order,
/// form the pool partition for prompts of a size (`large` or small). The share
/// `small_share` of the engines takes the small prompts, so that their many
/// short answers are not delayed by the prefill of large ones. The partitions
/// are a preference: an engine outside is chosen when its score is higher.
///
/// ```
/// use marjoram_core::place::pool_partition;
/// let small = pool_partition(&[5, 1, 9], 0.34, false);
/// assert_eq!(small, [false, true, false]);
/// assert_eq!(pool_partition(&[5, 1, 9], 0.34, true), [true, false, true]);
/// ```
pub fn pool_partition(places: &[u64], small_share: f64, large: bool) -> Vec<bool> {
    let mut order: Vec<usize> = (0..places.len()).collect();
    order.sort_by_key(|&i| places[i]);
    let small = (places.len() as f64 * small_share).floor() as usize;
    let mut partition = vec![large; places.len()];
    order.into_iter().take(small).for_each(|i| partition[i] = !large);
    partition
}

/// Which engines are compared for a request with the key `request`: `count` of its `partition`
/// and as many others, drawn by hashing.
pub fn sample_each(request: u64, places: &[u64], partition: &[bool], count: usize) -> Vec<bool> {
    let mut sampled = vec![false; places.len()];
    for inside in [true, false] {
        let mut order: Vec<(u64, usize)> = (0..places.len())
            .filter(|&i| partition[i] == inside)
            .map(|i| (rank(request, places[i]), i))
            .collect();
        order.sort_unstable();
        order.into_iter().take(count).for_each(|(_, i)| sampled[i] = true);
    }
    sampled
}

/// Which engines are compared for a request with the key `request` when there
/// are `hosts` hosts: all of them at up to [`SINGLE_ROUND_HOSTS`], else a few of its
/// `partition` and a few others.
///
/// ```
/// use marjoram_core::place::sample;
/// let (places, partition) = ([1, 2, 3, 4, 5, 6, 7, 8], [true; 8]);
/// assert_eq!(sample(7, &places, &partition, 9), [true; 8]);
/// let sampled = sample(7, &places, &partition, 64);
/// assert_eq!(sampled.iter().filter(|d| **d).count(), 2);
/// assert_ne!(sampled, sample(8, &places, &partition, 64));
/// ```
pub fn sample(request: u64, places: &[u64], partition: &[bool], hosts: usize) -> Vec<bool> {
    if hosts <= SINGLE_ROUND_HOSTS {
        return vec![true; places.len()];
    }
    sample_each(request, places, partition, SAMPLE_PER_PARTITION)
}
