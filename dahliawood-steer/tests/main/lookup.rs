//! Properties of look-up answers.

use crate::fleet;
use dahliawood_model::keys::{ArenaKey, CustomerKey, PlaceKey, RegionKey, VmKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::tables::ClientBlock;
use dahliawood_steer::{lookup, prefix};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

fn query(region: u32, host: u16, customer: Option<CustomerKey>) -> lookup::LookupQuery {
    lookup::LookupQuery {
        client: fleet::client(RegionKey(region), host),
        customer,
        service: fleet::SERVICE,
    }
}

fn ask(table: &lookup::LookupTable, query: lookup::LookupQuery, seed: u64) -> Vec<VmKey> {
    let mut rng = SmallRng::seed_from_u64(seed);
    lookup::answer(table, query, TimeStamp::ZERO, &mut rng).vms
}

/// The place of an address by a linear scan over all blocks, as the reference.
fn place_by_scan(blocks: &[(ClientBlock, PlaceKey)], client: IpAddr) -> Option<PlaceKey> {
    let contains = |block: &ClientBlock| match (block.address, client) {
        (IpAddr::V4(block_ip), IpAddr::V4(client)) => {
            let shift = 32 - u32::from(block.prefix);
            let high = |ip: Ipv4Addr| ip.to_bits().checked_shr(shift).unwrap_or(0);
            high(block_ip) == high(client)
        }
        (IpAddr::V6(block_ip), IpAddr::V6(client)) => {
            let shift = 128 - u32::from(block.prefix);
            let high = |ip: Ipv6Addr| ip.to_bits().checked_shr(shift).unwrap_or(0);
            high(block_ip) == high(client)
        }
        _ => false,
    };
    let longest = blocks
        .iter()
        .filter(|(block, _)| contains(block))
        .map(|(block, _)| block.prefix);
    let longest = longest.max()?;
    let first = blocks
        .iter()
        .find(|(block, _)| contains(block) && block.prefix == longest);
    first.map(|(_, place)| *place)
}

fn block() -> impl Strategy<Value = ClientBlock> {
    let v4 = (0_u32..16, 0_u32..16, 0_u8..=32).prop_map(|(high, low, prefix)| ClientBlock {
        address: IpAddr::V4(Ipv4Addr::from_bits(high << 28 | low)),
        prefix,
    });
    let v6 = (0_u128..16, 0_u128..16, 0_u8..=128).prop_map(|(high, low, prefix)| ClientBlock {
        address: IpAddr::V6(Ipv6Addr::from_bits(high << 124 | low)),
        prefix,
    });
    prop_oneof![v4, v6]
}

#[test]
fn longest_prefix_wins() {
    let blocks = proptest::collection::vec(block(), 0..24);
    let mut runner = fleet::runner();
    let result = runner.run(&(blocks, 0_u32..16, 0_u32..18), |(blocks, high, low)| {
        let placed: Vec<_> = blocks
            .iter()
            .enumerate()
            .map(|(index, block)| (*block, PlaceKey::from_index(index)))
            .collect();
        let table = prefix::PrefixTable::build(placed.iter().copied());
        let v4 = IpAddr::V4(Ipv4Addr::from_bits(
            (high << 28).wrapping_add(low).wrapping_sub(1),
        ));
        let v6 = u128::from(high) << 124;
        let v6 = v6.wrapping_add(u128::from(low)).wrapping_sub(1);
        let v6 = IpAddr::V6(Ipv6Addr::from_bits(v6));
        prop_assert_eq!(table.place_of(v4), place_by_scan(&placed, v4));
        prop_assert_eq!(table.place_of(v6), place_by_scan(&placed, v6));
        Ok(())
    });
    result.unwrap();
}

#[test]
fn leaving_vm_is_never_part_of_an_answer() {
    let states = proptest::collection::vec(0_u8..3, 12);
    let mut runner = fleet::runner();
    let result = runner.run(
        &(states, 0_u32..3, any::<u16>()),
        |(states, region, host)| {
            let mut config = fleet::config(3, 1, 3);
            let customer = fleet::add_customer(&mut config, "customer", 350);
            let mut vms = fleet::vms(&config, 2);
            for (vm, state) in vms.iter_mut().zip(&states) {
                vm.state = match state {
                    0 => lookup::VmState::Live,
                    1 => lookup::VmState::Suspect,
                    _ => lookup::VmState::Leaving,
                };
            }
            let any_live = vms.iter().any(|vm| vm.state == lookup::VmState::Live);
            let table = lookup::LookupTable::build(&config, &vms);
            for customer in [None, Some(customer)] {
                let answer_vms = ask(&table, query(region, host, customer), 1);
                prop_assert!(answer_vms.len() <= 4);
                prop_assert!(!any_live || !answer_vms.is_empty());
                for vm in answer_vms {
                    let state = vms[vm.index()].state;
                    prop_assert_ne!(state, lookup::VmState::Leaving);
                    prop_assert!(!any_live || state == lookup::VmState::Live);
                }
            }
            Ok(())
        },
    );
    result.unwrap();
}

#[test]
fn loss_of_a_vm_moves_only_its_customers() {
    let mut runner = fleet::runner();
    let result = runner.run(
        &(0_usize..24, 0_u32..3, 1_u64..=300),
        |(lost, region, rate)| {
            let mut config = fleet::config(3, 1, 3);
            let customers: Vec<_> = (0..20)
                .map(|number| fleet::add_customer(&mut config, &format!("c{number}"), rate))
                .collect();
            let mut vms = fleet::vms(&config, 4);
            let before = lookup::LookupTable::build(&config, &vms);
            vms[lost].state = lookup::VmState::Leaving;
            let after = lookup::LookupTable::build(&config, &vms);
            for customer in customers {
                let old = ask(&before, query(region, 7, Some(customer)), 3);
                let new = ask(&after, query(region, 7, Some(customer)), 3);
                if !old.contains(&VmKey::from_index(lost)) {
                    prop_assert_eq!(old, new);
                }
            }
            Ok(())
        },
    );
    result.unwrap();
}

#[test]
fn answer_is_regional_spread_over_domains_and_stable_for_a_small_customer() {
    let mut runner = fleet::runner();
    let result = runner.run(
        &(0_u32..3, any::<u16>(), any::<u64>()),
        |(region, host, seed)| {
            let mut config = fleet::config(3, 1, 3);
            let customer = fleet::add_customer(&mut config, "small", 20);
            let vms = fleet::vms(&config, 4);
            let table = lookup::LookupTable::build(&config, &vms);
            let answer_vms = ask(&table, query(region, host, Some(customer)), seed);
            prop_assert_eq!(
                &answer_vms,
                &ask(&table, query(region, 1, Some(customer)), !seed)
            );
            let region_of = |vm: &VmKey| config.domains[vms[vm.index()].domain].region;
            let domain_of = |vm: &VmKey| vms[vm.index()].domain;
            prop_assert_eq!(answer_vms.len(), 4);
            prop_assert!(
                answer_vms[..3]
                    .iter()
                    .all(|vm| region_of(vm) == RegionKey(region))
            );
            prop_assert_ne!(region_of(&answer_vms[3]), RegionKey(region));
            prop_assert_ne!(domain_of(&answer_vms[0]), domain_of(&answer_vms[1]));
            Ok(())
        },
    );
    result.unwrap();
}

#[test]
fn large_customer_uses_all_home_vms_and_ttl_has_jitter() {
    let mut config = fleet::config(2, 1, 3);
    let customer = fleet::add_customer(&mut config, "large", 300);
    let table = lookup::LookupTable::build(&config, &fleet::vms(&config, 4));
    let mut rng = SmallRng::seed_from_u64(fleet::seed());
    let answers: Vec<_> = (0..200)
        .map(|_| {
            lookup::answer(
                &table,
                query(0, 1, Some(customer)),
                TimeStamp::ZERO,
                &mut rng,
            )
        })
        .collect();
    let mut first: Vec<_> = answers.iter().map(|answer| answer.vms[0]).collect();
    first.sort_unstable();
    first.dedup();
    assert_eq!(first.len(), 3);
    let shortest = answers.iter().map(|answer| answer.ttl).min().unwrap();
    let longest = answers.iter().map(|answer| answer.ttl).max().unwrap();
    assert!(shortest >= std::time::Duration::from_secs(15));
    assert!(longest <= std::time::Duration::from_secs(20));
    assert!(longest > shortest + std::time::Duration::from_secs(4));
}
