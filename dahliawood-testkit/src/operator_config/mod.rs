//! Parts of documents as operators declare them.

use serde_json::{Value, json};

/// A route of all paths with a prefix, named after it, to one service.
pub fn route(prefix: &str, kind: &str, is_open: bool, service: &str) -> Value {
    json!({
        "name": prefix, "kind": kind, "target_latency_s": 0.5, "priority": 1,
        "auth_exempt": is_open, "session_affinity": true, "match": {"prefix": prefix},
        "action": {"service": service, "timeout_s": 1.5, "max_attempts": 2},
    })
}

/// A customer with one key, and its limit.
pub fn customer(name: &str, key: &str, rate: u32, burst: u32) -> Value {
    json!({"name": name, "api_keys": [key], "rate_per_s": rate, "burst_size": burst})
}

/// A document of that version for one host.
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
