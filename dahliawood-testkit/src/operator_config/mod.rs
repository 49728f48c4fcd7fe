//! Builds the configuration documents that operators of the users' platform write, as JSON.

use serde_json::{Value, json};

/// A route from all paths with a prefix to one service; the route's name is the prefix.
///
/// `is_open` routes need no key.
pub fn route(prefix: &str, kind: &str, is_open: bool, service: &str) -> Value {
    json!({
        "name": prefix, "kind": kind, "target_latency_s": 0.5, "priority": 1,
        "auth_exempt": is_open, "session_affinity": true, "match": {"prefix": prefix},
        "action": {"service": service, "timeout_s": 1.5, "max_attempts": 2},
    })
}

/// A customer with one API key and a limit: `rate` in requests a second, `burst` in requests.
pub fn customer(name: &str, key: &str, rate: u32, burst: u32) -> Value {
    json!({"name": name, "api_keys": [key], "rate_per_s": rate, "burst_size": burst})
}

/// A whole configuration document for one host, with the given version.
pub fn document(version: u64, routes: &[Value], customers: &[Value], services: &[&str]) -> Value {
    let service =
        |name: &&str| json!({"name": name, "health_path": "/health", "max_connections": 100});
    json!({
        "version": format!("r{version}"),
        "tenants": customers,
        "listeners": [{"host": "host.example", "rule_set": routes}],
        "clusters": services.iter().map(service).collect::<Vec<_>>(),
    })
}
