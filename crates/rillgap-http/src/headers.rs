//! Conversion between the headers of the `http` crate and those of `rillgap_core`.

use http::{HeaderMap, HeaderName, HeaderValue};
use rillgap_core::request::Header;

/// Headers that concern one connection only and are never forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether a header concerns one connection only; `name` is in lower case.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.contains(&name)
}

/// Returns the headers that may be forwarded: neither hop-by-hop, nor named by `Connection`,
/// nor excluded by `is_excluded`.
pub fn forwarded(headers: &HeaderMap, is_excluded: impl Fn(&str) -> bool) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name.as_str()))
        .filter(|(name, _)| !is_named_by_connection(headers, name))
        .filter(|(name, _)| !is_excluded(name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Appends headers to a header map; headers whose name or value is invalid in HTTP are omitted.
pub fn append(headers: &[Header], map: &mut HeaderMap) {
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
}

/// Returns the total length of names and values in bytes.
pub fn total_length(headers: &HeaderMap) -> usize {
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum()
}

fn is_named_by_connection(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case(name.as_str()))
}
