//! The format of a configuration file: its tables and fields, and the rules for each.

use crate::drain;
use crate::parse::context::{CheckContext, DeclarationKind};
use crate::parse::leaf;
use crate::parse::reader::TableReader;
use crate::parse::rows;
use crate::report::FindingKind;
use std::net::SocketAddr;
use std::time::Duration;
use toml::Spanned;
use toml::de::DeTable;

/// Default one-way latency between failure domains of a region.
pub const DEFAULT_DOMAIN_LATENCY: Duration = Duration::from_micros(500);
/// Default one-way latency between callers and their region.
pub const DEFAULT_CLIENT_LATENCY: Duration = Duration::from_millis(1);
/// Default burst above the cap of a link, bytes.
pub const DEFAULT_LINK_BURST_BYTES: u64 = 256 * 1024;
/// Default retry budget: retries as a share of first attempts, percent.
pub const DEFAULT_RETRY_PERCENT: u32 = 10;
/// Default weight of a customer in fair queueing.
pub const DEFAULT_WEIGHT: u32 = 1;
/// Methods that are idempotent by definition (RFC 9110, section 9.2.2).
const IDEMPOTENT_METHODS: [&str; 6] = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"];

/// Reads the whole document; `None` if the `[fleet]` table could not be read.
pub fn read(context: &mut CheckContext, document: &DeTable<'_>) -> Option<rows::FleetRows> {
    let mut reader = TableReader::new(context, document, "the file", 0);
    let fleet = reader.required_table("fleet", "fleet", fleet);
    let regions = reader.required_tables("region", "region", region);
    let links = reader.tables("link", "link", link);
    let places = reader.tables("place", "place", place);
    let services = reader.required_tables("service", "service", service);
    let customers = reader.tables("customer", "customer", customer);
    let drains = reader.tables("drain", "drain", drain);
    reader.finish();
    Some(rows::FleetRows {
        fleet: fleet?,
        regions,
        links,
        places,
        services,
        customers,
        drains,
    })
}

fn fleet(reader: &mut TableReader<'_, '_>) -> Option<rows::FleetRow> {
    let name = reader.required("name", leaf::name);
    let domain_latency = reader.optional("domain_latency", leaf::duration);
    let client_latency = reader.optional("client_latency", leaf::duration);
    Some(rows::FleetRow {
        name: name?.into_inner(),
        domain_latency: domain_latency.map_or(DEFAULT_DOMAIN_LATENCY, Spanned::into_inner),
        client_latency: client_latency.map_or(DEFAULT_CLIENT_LATENCY, Spanned::into_inner),
    })
}

fn region(reader: &mut TableReader<'_, '_>) -> Option<rows::RegionRow> {
    let name = reader.declared_name("name", DeclarationKind::Region);
    let domains = reader.required_list("domains", leaf::name);
    for domain in &domains {
        reader.context.declare(DeclarationKind::Domain, domain);
    }
    Some(rows::RegionRow {
        name: name?,
        domains: domains.into_iter().map(Spanned::into_inner).collect(),
    })
}

fn link(reader: &mut TableReader<'_, '_>) -> Option<rows::LinkRow> {
    let between = link_ends(reader);
    let cap = reader.required("cap", leaf::cap);
    let burst = reader.optional("burst", leaf::size);
    let latency = reader.required("latency", leaf::duration);
    Some(rows::LinkRow {
        between: between?,
        cap: cap?.into_inner(),
        burst_bytes: burst.map_or(DEFAULT_LINK_BURST_BYTES, Spanned::into_inner),
        latency: latency?.into_inner(),
    })
}

fn link_ends(reader: &mut TableReader<'_, '_>) -> Option<[String; 2]> {
    let ends = reader.required_list("between", leaf::name);
    let span = ends.first()?.span();
    for end in &ends {
        reader.context.add_reference(DeclarationKind::Region, end);
    }
    let ends: Vec<String> = ends.into_iter().map(Spanned::into_inner).collect();
    let count = ends.len();
    let Ok(mut ends) = <[String; 2]>::try_from(ends) else {
        let found = format!("a list of {count}");
        let expected = "the two regions that the link joins";
        reader
            .context
            .add_finding(span.start, FindingKind::BadValue, found, expected);
        return None;
    };
    ends.sort();
    if ends[0] == ends[1] {
        let found = format!("a link of region `{}` with itself", ends[0]);
        let expected = "two different regions";
        reader
            .context
            .add_finding(span.start, FindingKind::Contradiction, found, expected);
    }
    let pair = Spanned::new(span, format!("{} - {}", ends[0], ends[1]));
    reader.context.declare(DeclarationKind::Link, &pair);
    Some(ends)
}

fn place(reader: &mut TableReader<'_, '_>) -> Option<rows::PlaceRow> {
    let name = reader.declared_name("name", DeclarationKind::Place);
    let region = reader.referenced_name("region", DeclarationKind::Region);
    let blocks = reader.required_list("blocks", leaf::block);
    for block in &blocks {
        let text = Spanned::new(block.span(), block.get_ref().to_string());
        reader.context.declare(DeclarationKind::Block, &text);
    }
    Some(rows::PlaceRow {
        name: name?,
        region: region?,
        blocks: blocks.into_iter().map(Spanned::into_inner).collect(),
    })
}

fn service(reader: &mut TableReader<'_, '_>) -> Option<rows::ServiceRow> {
    let name = reader.declared_name("name", DeclarationKind::Service);
    let timeout = reader.required("timeout", leaf::timeout);
    let retry_percent = reader.optional("retry_percent", leaf::percent);
    let routes = reader.required_tables("route", "service.route", route);
    let targets = reader.required_tables("target", "service.target", target);
    Some(rows::ServiceRow {
        name: name?,
        timeout: timeout?.into_inner(),
        retry_percent: retry_percent.map_or(DEFAULT_RETRY_PERCENT, Spanned::into_inner),
        routes,
        targets,
    })
}

fn route(reader: &mut TableReader<'_, '_>) -> Option<rows::RouteRow> {
    let path = reader.required("path", leaf::path);
    let methods = reader.required_list("methods", leaf::method);
    let idempotent = reader.required("idempotent", leaf::flag);
    let open = reader.optional("open", leaf::flag);
    if let Some(path) = &path {
        declare_methods(reader, path.get_ref(), &methods);
    }
    if let Some(idempotent) = &idempotent {
        check_idempotent(reader, idempotent, &methods);
        check_open(reader, idempotent, open.as_ref());
    }
    Some(rows::RouteRow {
        path: path?.into_inner(),
        methods: methods.into_iter().map(Spanned::into_inner).collect(),
        idempotent: idempotent?.into_inner(),
        open: open.is_some_and(Spanned::into_inner),
    })
}

/// Declares each method with the path, so that the pair is unique in the file: requests do not name
/// a service, so method and path must identify one route.
fn declare_methods(reader: &mut TableReader<'_, '_>, path: &str, methods: &[Spanned<String>]) {
    for method in methods {
        let text = Spanned::new(method.span(), format!("{} {path}", method.get_ref()));
        reader.context.declare(DeclarationKind::Route, &text);
    }
}

/// Rejects a non-idempotent route with a method that is idempotent by definition: HTTP clients and
/// libraries resend such requests on their own, so at-most-once execution can't be guaranteed.
fn check_idempotent(
    reader: &mut TableReader<'_, '_>,
    idempotent: &Spanned<bool>,
    methods: &[Spanned<String>],
) {
    let by_definition =
        |method: &&Spanned<String>| IDEMPOTENT_METHODS.contains(&method.get_ref().as_str());
    let conflict = methods.iter().find(by_definition);
    let Some(method) = conflict.filter(|_| !idempotent.get_ref()) else {
        return;
    };
    let found = format!("idempotent = false with method {}", method.get_ref());
    let expected = "a route of its own for methods that are idempotent by definition";
    let offset = idempotent.span().start;
    reader
        .context
        .add_finding(offset, FindingKind::Contradiction, found, expected);
}

/// Rejects an open route that is not idempotent: without a customer, nobody could ask for the
/// outcome of a request.
fn check_open(
    reader: &mut TableReader<'_, '_>,
    idempotent: &Spanned<bool>,
    open: Option<&Spanned<bool>>,
) {
    let Some(open) = open.filter(|open| *open.get_ref() && !idempotent.get_ref()) else {
        return;
    };
    let found = "open = true with idempotent = false";
    let expected = "an open route to be idempotent";
    let offset = open.span().start;
    reader
        .context
        .add_finding(offset, FindingKind::Contradiction, found, expected);
}

fn target(reader: &mut TableReader<'_, '_>) -> Option<rows::TargetRow> {
    let name = reader.declared_name("name", DeclarationKind::Target);
    let address = reader.required("address", leaf::address);
    let domain = reader.referenced_name("domain", DeclarationKind::Domain);
    let slots = reader.required("slots", leaf::count);
    let connections = reader.required("connections", leaf::count);
    if let Some(address) = &address {
        let text = Spanned::new(address.span(), canonical_text(*address.get_ref()));
        reader.context.declare(DeclarationKind::Address, &text);
    }
    if let (Some(slots), Some(connections)) = (&slots, &connections) {
        check_connections(reader, *slots.get_ref(), connections);
    }
    Some(rows::TargetRow {
        name: name?,
        address: address?.into_inner(),
        domain: domain?,
        slots: slots?.into_inner(),
        connections: connections?.into_inner(),
    })
}

/// Formats an address for the duplicate check. An IPv4-mapped IPv6 address counts as the IPv4
/// address.
fn canonical_text(address: SocketAddr) -> String {
    SocketAddr::new(address.ip().to_canonical(), address.port()).to_string()
}

fn check_connections(reader: &mut TableReader<'_, '_>, slots: u32, connections: &Spanned<u32>) {
    if *connections.get_ref() >= slots {
        return;
    }
    let found = format!("{} connections for {slots} slots", connections.get_ref());
    let expected = "at least one connection for each slot";
    let offset = connections.span().start;
    reader
        .context
        .add_finding(offset, FindingKind::Contradiction, found, expected);
}

fn customer(reader: &mut TableReader<'_, '_>) -> Option<rows::CustomerRow> {
    let name = reader.declared_name("name", DeclarationKind::Customer);
    let rate = reader.required("rate", leaf::rate);
    let burst = reader.required("burst", leaf::burst);
    let weight = reader.optional("weight", leaf::weight);
    let services = reader.required_list("services", leaf::name);
    let services = reader.referenced_names(services, DeclarationKind::Service);
    let places = reader.optional_list("places", leaf::name);
    let places = reader.referenced_names(places, DeclarationKind::Place);
    let keys = reader.optional_list("keys", leaf::key_hash);
    for key in &keys {
        let id = Spanned::new(key.span(), key.get_ref().id.clone());
        reader.context.declare(DeclarationKind::KeyId, &id);
    }
    Some(rows::CustomerRow {
        name: name?,
        rate: rate?.into_inner(),
        burst: burst?.into_inner(),
        weight: weight.map_or(DEFAULT_WEIGHT, Spanned::into_inner),
        services,
        places,
        keys: keys.into_iter().map(Spanned::into_inner).collect(),
    })
}

fn drain(reader: &mut TableReader<'_, '_>) -> Option<rows::DrainRow> {
    let target = drain_name(
        reader,
        "target",
        DeclarationKind::Target,
        drain::DrainName::Target,
    );
    let domain = drain_name(
        reader,
        "domain",
        DeclarationKind::Domain,
        drain::DrainName::Domain,
    );
    let region = drain_name(
        reader,
        "region",
        DeclarationKind::Region,
        drain::DrainName::Region,
    );
    let over = reader.required("over", leaf::duration);
    let named = ["target", "domain", "region"]
        .into_iter()
        .filter(|field| reader.has(field))
        .count();
    if named != 1 {
        let found = format!("a drain that names {named} subjects");
        let expected = "exactly one of target, domain and region";
        let offset = reader.offset();
        reader
            .context
            .add_finding(offset, FindingKind::Contradiction, found, expected);
    }
    Some(rows::DrainRow {
        subject: target.or(domain).or(region)?,
        over: over?.into_inner(),
    })
}

fn drain_name(
    reader: &mut TableReader<'_, '_>,
    field: &'static str,
    kind: DeclarationKind,
    subject: impl Fn(String) -> drain::DrainName,
) -> Option<drain::DrainName> {
    let name = reader.optional(field, leaf::name)?;
    reader.context.add_reference(kind, &name);
    let text = Spanned::new(name.span(), format!("{kind} {}", name.get_ref()));
    reader.context.declare(DeclarationKind::Drain, &text);
    Some(subject(name.into_inner()))
}
