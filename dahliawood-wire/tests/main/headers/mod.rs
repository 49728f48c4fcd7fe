//! Which headers, query parameters and cookies are forwarded.

use crate::support;
use dahliawood_wire::headers;
use http_types::{Request, Url};
use proptest::prelude::*;

const SECRET: &str = "k1.s3cret";

fn origin() -> headers::RequestOrigin<'static> {
    headers::RequestOrigin {
        caller: [192, 0, 2, 7].into(),
        request_id: "r-1",
    }
}

/// Everything that a target sees of a request head.
fn seen(request: &Request) -> String {
    let headers = request
        .iter()
        .map(|(name, values)| format!("{name}: {values}\n"));
    format!("{}\n{}", request.url(), headers.collect::<String>())
}

fn in_any_case(name: &'static str) -> impl Strategy<Value = String> {
    prop::collection::vec(any::<bool>(), name.len()).prop_map(move |upper| {
        name.chars()
            .zip(upper)
            .map(|(letter, upper)| {
                if upper {
                    letter.to_ascii_uppercase()
                } else {
                    letter
                }
            })
            .collect()
    })
}

fn escaped(name: String) -> impl Strategy<Value = String> {
    prop::collection::vec(any::<bool>(), name.len()).prop_map(move |escape| {
        name.bytes()
            .zip(escape)
            .map(|(byte, escape)| {
                if escape {
                    format!("%{byte:02x}")
                } else {
                    char::from(byte).to_string()
                }
            })
            .collect()
    })
}

proptest! {
    #![proptest_config(support::property_config(256))]

    #[test]
    fn no_key_reaches_a_target(
        authorizations in prop::collection::vec(in_any_case("authorization"), 0..3),
        query in prop::option::of(in_any_case("access_token").prop_flat_map(escaped)),
        short in prop::option::of(in_any_case("key").prop_flat_map(escaped)),
        cookie in prop::option::of(in_any_case("access_token")),
    ) {
        let parts: Vec<_> = [query, short]
            .into_iter()
            .flatten()
            .map(|name| format!("&{name}={SECRET}"))
            .collect();
        let url = format!("http://vm/path?page=2{}&keyhole=3", parts.concat());
        let mut request = Request::get(Url::parse(&url).unwrap());
        for name in authorizations {
            request.append_header(&*name, format!("Bearer {SECRET}"));
        }
        if let Some(name) = cookie {
            request.append_header("cookie", format!("a=1; {name}={SECRET}; b=2"));
        }
        headers::prepare_request(&mut request, &origin());
        let seen = seen(&request);
        prop_assert!(!seen.contains(SECRET), "{}", seen);
        prop_assert_eq!(request.url().query(), Some("page=2&keyhole=3"));
    }
}

#[test]
fn hop_by_hop_headers_and_those_named_by_connection_are_removed() {
    let mut request = Request::get("http://vm/");
    let hop = [
        "keep-alive",
        "te",
        "transfer-encoding",
        "upgrade",
        "x-own",
        "expect",
    ];
    for name in hop {
        request.insert_header(name, "1");
    }
    request.append_header("connection", "close, X-Own");
    request.append_header("connection", "keep-alive");
    request.insert_header("x-kept", "1");
    headers::prepare_request(&mut request, &origin());
    for name in hop.into_iter().chain(["connection"]) {
        assert!(request.header(name).is_none(), "{name}");
    }
    assert_eq!(request.header("x-kept").unwrap().as_str(), "1");
}

#[test]
fn forwarding_headers_are_appended_in_order() {
    let mut request = Request::get("http://vm/");
    request.insert_header("x-forwarded-for", "198.51.100.1");
    request.insert_header("x-request-id", "made up");
    headers::prepare_request(&mut request, &origin());
    let value = |name| request.header(name).unwrap().as_str().to_owned();
    assert_eq!(value("x-forwarded-for"), "198.51.100.1, 192.0.2.7");
    assert_eq!(value("forwarded"), "for=192.0.2.7");
    assert_eq!(value("x-request-id"), "r-1");
}

#[test]
fn key_is_found_in_each_form_and_two_keys_are_ambiguous() {
    let single = headers::PresentedKey::Single(SECRET.to_owned());
    let mut request = Request::get("http://vm/?page=1");
    assert_eq!(
        headers::presented_key(&request),
        headers::PresentedKey::Absent
    );
    request.insert_header("authorization", format!("bEARER  {SECRET}"));
    assert_eq!(headers::presented_key(&request), single);
    request.append_header("authorization", "Bearer other");
    let ambiguous = headers::PresentedKey::Ambiguous;
    assert_eq!(headers::presented_key(&request), ambiguous);
    let query = Request::get(&*format!("http://vm/?access_token={SECRET}"));
    assert_eq!(headers::presented_key(&query), single);
    let mut cookie = Request::get("http://vm/");
    cookie.insert_header("cookie", format!("a=1; key={SECRET}"));
    assert_eq!(headers::presented_key(&cookie), single);
}
