//! How far and how fast facts spread.

use dahliawood_gossip::partner;
use dahliawood_gossip::rumor::RumorSet;
use dahliawood_model::stamp::TimeStamp;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const START: TimeStamp = TimeStamp::from_millis(1_000_000);
const ROUND: Duration = Duration::from_millis(250);
const MOST: usize = 64;

fn ring(vms: usize, random: &mut StdRng) -> Vec<u64> {
    let mut ring: Vec<u64> = (0..vms).map(|_| random.random()).collect();
    ring.sort_unstable();
    ring
}

/// The rounds until all VMs that run know a fact, where each call fails with a probability.
fn rounds_until_known(vms: usize, loss: f64, seed: u64) -> Option<u32> {
    let mut random = StdRng::seed_from_u64(seed);
    let ring = ring(vms, &mut random);
    let mut known: Vec<RumorSet<u32, u32>> = vec![RumorSet::default(); vms];
    known[0].hear(7, 7, START);
    for round in 1..40 {
        let now = START.after(ROUND * round);
        for vm in 0..vms {
            if !known[vm].has_news() {
                continue;
            }
            let told = known[vm].take_round(MOST);
            for partner in partner::select(&ring, ring[vm], &mut random) {
                assert_ne!(partner, vm);
                if random.random_bool(loss) {
                    continue;
                }
                for fact in &told {
                    known[partner].hear(*fact, *fact, now);
                }
            }
        }
        if known.iter().all(|known| !known.clone().hear(7, 7, now)) {
            return Some(round);
        }
    }
    None
}

#[test]
fn a_fact_reaches_all_vms_within_two_and_a_half_seconds() {
    for vms in [2, 3, 10, 31, 91, 300, 920] {
        for seed in 0..20 {
            let rounds = rounds_until_known(vms, 0.05, seed);
            assert!(
                rounds.is_some_and(|rounds| rounds <= 10),
                "{vms} VMs, seed {seed}: {rounds:?}"
            );
        }
    }
}

#[test]
fn a_vm_tells_few_others_however_many_there_are() {
    let mut random = StdRng::seed_from_u64(1);
    for vms in [1, 2, 5, 920] {
        let ring = ring(vms, &mut random);
        let mut partners: Vec<usize> = (0..400)
            .flat_map(|_| partner::select(&ring, ring[0], &mut random))
            .collect();
        partners.sort_unstable();
        partners.dedup();
        assert!(partners.len() <= 10, "{vms} VMs: {}", partners.len());
        assert_eq!(partners.is_empty(), vms == 1);
    }
}

#[test]
fn nothing_is_told_once_a_fact_is_old() {
    let mut rumors = RumorSet::default();
    assert!(rumors.hear(1, 1, START));
    assert!(!rumors.hear(1, 1, START), "it is known");
    while rumors.has_news() {
        assert_eq!(rumors.take_round(MOST), [1]);
    }
    assert!(rumors.take_round(MOST).is_empty());
    assert!(!rumors.hear(1, 1, START), "it is still known");
    rumors.expire(START.after(Duration::from_secs(60)));
    assert!(rumors.hear(1, 1, START));
}
