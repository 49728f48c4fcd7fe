//! Removes headers and credentials that must not be forwarded, and adds forwarding headers.

use crate::head;
use http_types::headers::{
    AUTHORIZATION, CONNECTION, COOKIE, EXPECT, FORWARDED, HeaderName, Headers, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http_types::{Request, Response, url};
use std::net::IpAddr;
use std::str::FromStr;

/// Names of a query parameter or cookie that carries a key.
pub const KEY_PARAMETERS: [&str; 2] = ["access_token", "key"];
/// Name of the request id header.
pub const REQUEST_ID: &str = "x-request-id";
/// Name of the older header for the caller's address, which `Forwarded` replaces.
pub const X_FORWARDED_FOR: &str = "x-forwarded-for";
/// The authentication scheme of RFC 6750.
const BEARER: &str = "bearer";
/// Hop-by-hop headers that are removed even if `Connection` does not name them.
const HOP_BY_HOP: [HeaderName; 7] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
];
/// Further ones, for which `http-types` has no constant.
const HOP_BY_HOP_UNNAMED: [&str; 2] = ["keep-alive", "proxy-connection"];

/// The API key that a request presents.
#[derive(Clone, PartialEq, Eq)]
pub enum PresentedKey {
    /// The request presents no key.
    Absent,
    /// The request presents one key, in any of the supported forms.
    Single(String),
    /// The request presents different keys or an unknown form; RFC 6750 requires its rejection.
    Ambiguous,
}

impl std::fmt::Debug for PresentedKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Keys must not be logged.
        formatter.write_str(match self {
            Self::Absent => "Absent",
            Self::Single(_) => "Single(..)",
            Self::Ambiguous => "Ambiguous",
        })
    }
}

/// The key that a request presents in `Authorization`, its query or a cookie.
pub fn presented_key(request: &Request) -> PresentedKey {
    let mut keys = Vec::new();
    for value in request.header(AUTHORIZATION).into_iter().flatten() {
        match value.as_str().trim().split_once(' ') {
            Some((scheme, key)) if scheme.eq_ignore_ascii_case(BEARER) => {
                keys.push(key.trim().to_owned());
            }
            _ => return PresentedKey::Ambiguous,
        }
    }
    keys.extend(
        request
            .url()
            .query_pairs()
            .filter(|(name, _)| is_key_name(name))
            .map(|(_, value)| value.into_owned()),
    );
    keys.extend(
        cookie_pairs(request)
            .filter_map(|pair| pair.split_once('='))
            .filter(|(name, _)| is_key_name(name.trim()))
            .map(|(_, value)| value.trim().to_owned()),
    );
    keys.dedup();
    match keys.len() {
        0 => PresentedKey::Absent,
        1 => PresentedKey::Single(keys.remove(0)),
        _ => PresentedKey::Ambiguous,
    }
}

/// Removes the key from a request, in every form in which it can be presented.
pub fn remove_keys(request: &mut Request) {
    request.remove_header(AUTHORIZATION);
    request.remove_header(PROXY_AUTHORIZATION);
    remove_key_parameters(request.url_mut());
    remove_key_cookies(request);
}

/// Removes hop-by-hop headers (RFC 9110): the well-known ones and those that `Connection` names.
pub fn remove_hop_by_hop(headers: &mut Headers) {
    let named: Vec<HeaderName> = head::header_tokens(headers, &CONNECTION)
        .filter_map(|token| HeaderName::from_str(token).ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_UNNAMED {
        headers.remove(name);
    }
}

/// The origin of a forwarded request, as stated to the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestOrigin<'a> {
    /// The caller's address.
    pub caller: IpAddr,
    /// Identifies the request in logs and on the timeline.
    pub request_id: &'a str,
}

/// Prepares a caller's request for a target: removes the key, hop-by-hop headers and `Expect`, and
/// sets `Forwarded`, `X-Forwarded-For` and `X-Request-Id`.
///
/// Addresses in the forwarding headers that the caller sent are kept in front of the caller's own
/// address, as RFC 7239 specifies; only the last address is verified.
pub fn prepare_request(request: &mut Request, origin: &RequestOrigin<'_>) {
    remove_keys(request);
    remove_hop_by_hop(request.as_mut());
    request.remove_header(EXPECT);
    let node = match origin.caller {
        IpAddr::V4(address) => format!("for={address}"),
        IpAddr::V6(address) => format!("for=\"[{address}]\""),
    };
    append_to_list(request, FORWARDED, &node);
    append_to_list(
        request,
        HeaderName::from(X_FORWARDED_FOR),
        &origin.caller.to_string(),
    );
    request.insert_header(REQUEST_ID, origin.request_id);
}

/// Prepares a target's response for the caller: removes hop-by-hop headers and sets the request id.
pub fn prepare_response(response: &mut Response, request_id: &str) {
    remove_hop_by_hop(response.as_mut());
    response.insert_header(REQUEST_ID, request_id);
}

fn append_to_list(request: &mut Request, name: HeaderName, last: &str) {
    let earlier = head::header_tokens(request.as_ref(), &name);
    let listed: Vec<_> = earlier.chain([last]).collect();
    let value = listed.join(", ");
    request.insert_header(name, value);
}

fn is_key_name(name: &str) -> bool {
    KEY_PARAMETERS
        .iter()
        .any(|parameter| name.eq_ignore_ascii_case(parameter))
}

fn cookie_pairs(request: &Request) -> impl Iterator<Item = &str> {
    request
        .header(COOKIE)
        .into_iter()
        .flatten()
        .flat_map(|value| value.as_str().split(';'))
        .map(str::trim)
        .filter(|pair| !pair.is_empty())
}

fn remove_key_parameters(url: &mut url::Url) {
    let Some(query) = url.query() else {
        return;
    };
    let kept: Vec<_> = query.split('&').filter(|part| !is_key_part(part)).collect();
    let kept = kept.join("&");
    url.set_query(Some(kept.as_str()).filter(|query| !query.is_empty()));
}

/// Whether a query parameter, after percent-decoding, carries a key.
fn is_key_part(part: &str) -> bool {
    url::Url::parse(&format!("http://host/?{part}"))
        .is_ok_and(|url| url.query_pairs().any(|(name, _)| is_key_name(&name)))
}

fn remove_key_cookies(request: &mut Request) {
    let kept: Vec<_> = cookie_pairs(request)
        .filter(|pair| !is_key_name(pair.split('=').next().unwrap_or_default().trim()))
        .collect();
    let kept = kept.join("; ");
    request.remove_header(COOKIE);
    if !kept.is_empty() {
        request.insert_header(COOKIE, kept);
    }
}
