//! Generator of random valid files, as blocks of text in any order.

use proptest::prelude::*;
use std::fmt::Write;

/// The random numbers that determine a generated file; all zeros give the smallest file.
pub struct FileChoices {
    numbers: Vec<u32>,
    next: usize,
}

impl FileChoices {
    fn below(&mut self, bound: usize) -> usize {
        let number = self.numbers[self.next % self.numbers.len()];
        self.next += 1;
        number as usize % bound
    }

    fn choose<'a>(&mut self, items: &[&'a str]) -> &'a str {
        items[self.below(items.len())]
    }

    /// A prefix of `items` with at least `least` items.
    fn prefix(&mut self, items: &[String], least: usize) -> Vec<String> {
        let count = least.max(self.below(items.len() + 1));
        items[..count].to_vec()
    }
}

/// A generated file.
#[derive(Clone, Debug)]
pub struct GeneratedFile {
    /// Top-level tables, each with its subtables. Their order does not change the configuration.
    pub blocks: Vec<String>,
}

impl GeneratedFile {
    /// The text of the file.
    pub fn text(&self) -> String {
        self.blocks.concat()
    }
}

/// A random valid file.
pub fn file() -> impl Strategy<Value = GeneratedFile> {
    proptest::collection::vec(any::<u32>(), 1..120).prop_map(|numbers| {
        let mut choices = FileChoices { numbers, next: 0 };
        generate(&mut choices)
    })
}

/// A random valid file, and the same file with its blocks in another order.
pub fn reordered_file() -> impl Strategy<Value = (GeneratedFile, GeneratedFile)> {
    file().prop_flat_map(|file| {
        let shuffled = Just(file.blocks.clone())
            .prop_shuffle()
            .prop_map(|blocks| GeneratedFile { blocks });
        (Just(file), shuffled)
    })
}

fn generate(choices: &mut FileChoices) -> GeneratedFile {
    let regions = numbered_names("region", 1 + choices.below(3));
    let services = numbered_names("service", 1 + choices.below(3));
    let places = numbered_names("place", choices.below(3));
    let latency = choices.choose(&[
        "",
        "domain_latency = \"2 ms\"\n",
        "client_latency = \"0 s\"\n",
    ]);
    let mut blocks = vec![format!("[fleet]\nname = \"sketch\"\n{latency}")];
    let mut domains = Vec::new();
    for region in &regions {
        let own: Vec<String> = (0..=choices.below(2))
            .map(|n| format!("{region}-d{n}"))
            .collect();
        blocks.push(format!(
            "[[region]]\nname = \"{region}\"\ndomains = {own:?}\n"
        ));
        domains.extend(own);
    }
    blocks.extend(links(choices, &regions));
    blocks.extend(place_blocks(choices, &places, &regions));
    let mut targets = Vec::new();
    for (index, service) in services.iter().enumerate() {
        blocks.push(service_block(
            choices,
            index,
            service,
            &domains,
            &mut targets,
        ));
    }
    for customer in numbered_names("customer", choices.below(5)) {
        blocks.push(customer_block(choices, &customer, &services, &places));
    }
    blocks.extend(drains(choices, &targets, &domains, &regions));
    GeneratedFile { blocks }
}

fn numbered_names(kind: &str, count: usize) -> Vec<String> {
    (0..count)
        .map(|number| format!("{kind}-{number}"))
        .collect()
}

fn links(choices: &mut FileChoices, regions: &[String]) -> Vec<String> {
    let mut blocks = Vec::new();
    for (index, from) in regions.iter().enumerate() {
        for to in &regions[index + 1..] {
            let ends = if choices.below(2) == 0 {
                [from, to]
            } else {
                [to, from]
            };
            let cap = choices.choose(&["280 Mbit/s", "4 Gbit/s", "1 B/s", "12.5 kB/s", "8 bit/s"]);
            let latency = choices.choose(&["0 s", "0.5 ms", "12 ms", "1 us", "90 s"]);
            let burst = choices.choose(&["", "burst = \"1 B\"\n", "burst = \"1.5 MB\"\n"]);
            blocks.push(format!(
                "[[link]]\nbetween = {ends:?}\ncap = \"{cap}\"\nlatency = \"{latency}\"\n{burst}"
            ));
        }
    }
    blocks
}

fn place_blocks(choices: &mut FileChoices, places: &[String], regions: &[String]) -> Vec<String> {
    places
        .iter()
        .enumerate()
        .map(|(index, place)| {
            let region = &regions[choices.below(regions.len())];
            let blocks = [
                format!("10.{index}.0.0/16"),
                format!("10.{index}.128.0/17"),
                format!("2001:db8:{index}::/48"),
            ];
            let blocks = choices.prefix(&blocks, 1);
            format!("[[place]]\nname = \"{place}\"\nregion = \"{region}\"\nblocks = {blocks:?}\n")
        })
        .collect()
}

fn service_block(
    choices: &mut FileChoices,
    index: usize,
    service: &str,
    domains: &[String],
    targets: &mut Vec<String>,
) -> String {
    let timeout = choices.choose(&["2 s", "1 us", "5 m", "1500 ms"]);
    let mut block = format!("[[service]]\nname = \"{service}\"\ntimeout = \"{timeout}\"\n");
    for number in 0..=choices.below(2) {
        let open = choices.below(2) == 0;
        writeln!(
            block,
            "[[service.route]]\npath = \"/{service}/{number}\"\nmethods = [\"GET\", \"HEAD\"]\nidempotent = true\nopen = {open}\n\
             [[service.route]]\npath = \"/{service}/{number}\"\nmethods = [\"POST\"]\nidempotent = false"
        )
        .unwrap();
    }
    for number in 0..=choices.below(3) {
        let target = format!("{service}-t{number}");
        let domain = &domains[choices.below(domains.len())];
        let slots = 1 + choices.below(9);
        let port = 1000 + index * 100 + number;
        writeln!(
            block,
            "[[service.target]]\nname = \"{target}\"\naddress = \"127.0.0.1:{port}\"\ndomain = \"{domain}\"\nslots = {slots}\nconnections = {}",
            slots * 10
        )
        .unwrap();
        targets.push(target);
    }
    block
}

fn customer_block(
    choices: &mut FileChoices,
    customer: &str,
    services: &[String],
    places: &[String],
) -> String {
    let rate = choices.choose(&["5/s", "0.5/s", "0.001/s", "1000.25/s"]);
    let burst = 1 + choices.below(100);
    let services = choices.prefix(services, 1);
    let places = choices.prefix(places, 0);
    let keys: Vec<String> = (0..choices.below(3))
        .map(|number| format!("{customer}-k{number}:sha256:{number:032x}:{burst:064x}"))
        .collect();
    format!(
        "[[customer]]\nname = \"{customer}\"\nrate = \"{rate}\"\nburst = {burst}\nservices = {services:?}\nplaces = {places:?}\nkeys = {keys:?}\n"
    )
}

fn drains(
    choices: &mut FileChoices,
    targets: &[String],
    domains: &[String],
    regions: &[String],
) -> Vec<String> {
    let candidates = [
        ("target", &targets[0]),
        ("domain", &domains[0]),
        ("region", &regions[0]),
    ];
    let count = choices.below(4);
    let over = choices.choose(&["0 s", "10 m", "1 h"]);
    candidates[..count]
        .iter()
        .map(|(field, name)| format!("[[drain]]\n{field} = \"{name}\"\nover = \"{over}\"\n"))
        .collect()
}
