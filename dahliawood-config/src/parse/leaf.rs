//! Reading of single values: each function accepts one kind of value or returns a mismatch.

use crate::report::{self, FindingKind};
use crate::{keys, units};
use dahliawood_model::{tables, units as model_units};
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use toml::Spanned;
use toml::de::{DeValue, ValueDeserializer};

/// Maximum number of characters of a name.
const NAME_CHARS_MAX: usize = 64;
const PERCENT_MAX: u32 = 100;
/// Maximum number of slots or connections of a target.
const COUNT_MAX: u32 = 1_000_000;
const WEIGHT_MAX: u32 = 1_000;
const BURST_MAX: u64 = 1_000_000_000;
/// Maximum rate of a customer, requests per second.
const RATE_MAX: model_units::RequestRate = model_units::RequestRate::from_whole(1_000_000_000);
/// Maximum cap of a link: 100 Tbit/s.
const CAP_MAX: model_units::ByteRate = model_units::ByteRate {
    bytes_per_second: 12_500_000_000_000,
};
/// Maximum size: 1 TiB.
const SIZE_MAX_BYTES: u64 = 1 << 40;
const DURATION_MAX: Duration = Duration::from_secs(30 * 24 * 3_600);
const IPV4_BITS: u8 = 32;
const IPV6_BITS: u8 = 128;

/// Paths below this prefix are reserved for the API of the system itself.
pub const RESERVED_PATH: &str = "/v1/";

/// The method that opens a tunnel, which can't be forwarded as a request.
const TUNNEL_METHOD: &str = "CONNECT";

const NAME_EXPECTED: &str = "a name of letters, digits, `-`, `_` and `.`, at most 64 of them";
const RATE_EXPECTED: &str = "a rate above zero such as \"50/s\" or \"0.5/s\"";
const CAP_EXPECTED: &str = "a cap above zero with its unit such as \"280 Mbit/s\"";
const SIZE_EXPECTED: &str = "a size above zero with its unit such as \"256 KiB\"";
const DURATION_EXPECTED: &str = "a duration with its unit such as \"12 ms\"";
const TIMEOUT_EXPECTED: &str = "a duration above zero with its unit such as \"2 s\"";
const ADDRESS_EXPECTED: &str = "an IP address and port such as \"10.1.0.7:8080\"";
const BLOCK_EXPECTED: &str = "a client block such as \"10.20.0.0/16\"";
const PATH_EXPECTED: &str =
    "a path that starts with `/`, without query, spaces, `..` or broken `%` escapes";
const METHOD_EXPECTED: &str = "a method in upper case such as \"GET\", but not CONNECT";
const HASH_EXPECTED: &str = "a key hash \"ID:sha256:SALT:DIGEST\"";

/// The reason why a value was rejected.
#[derive(Clone, Debug)]
pub struct LeafMismatch {
    /// Kind of the error.
    pub kind: FindingKind,
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
}

/// A value of the TOML document with its span.
pub type LeafValue<'i> = Spanned<DeValue<'i>>;

/// The name of an entity.
pub fn name(value: &LeafValue<'_>) -> Result<String, LeafMismatch> {
    let name = string(value, NAME_EXPECTED)?;
    let is_letter = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let is_name = (1..=NAME_CHARS_MAX).contains(&name.len()) && name.bytes().all(is_letter);
    if name.contains(keys::KEY_PREFIX) {
        return Err(plaintext_key(NAME_EXPECTED));
    }
    ensure(is_name, name, value, NAME_EXPECTED)
}

/// A request rate above zero.
pub fn rate(value: &LeafValue<'_>) -> Result<model_units::RequestRate, LeafMismatch> {
    let rate = quantity(value, RATE_EXPECTED, units::parse_request_rate)?;
    let rate = ensure(rate.millis_per_second > 0, rate, value, RATE_EXPECTED)?;
    at_most(RATE_MAX, rate, value, "a rate of at most 1000000000/s")
}

/// A byte rate above zero.
pub fn cap(value: &LeafValue<'_>) -> Result<model_units::ByteRate, LeafMismatch> {
    let cap = quantity(value, CAP_EXPECTED, units::parse_byte_rate)?;
    let cap = ensure(cap.bytes_per_second > 0, cap, value, CAP_EXPECTED)?;
    at_most(CAP_MAX, cap, value, "a cap of at most 100000 Gbit/s")
}

/// A size above zero, bytes.
pub fn size(value: &LeafValue<'_>) -> Result<u64, LeafMismatch> {
    let bytes = quantity(value, SIZE_EXPECTED, units::parse_size)?;
    let bytes = ensure(bytes > 0, bytes, value, SIZE_EXPECTED)?;
    at_most(SIZE_MAX_BYTES, bytes, value, "a size of at most 1024 GiB")
}

/// A duration, zero included.
pub fn duration(value: &LeafValue<'_>) -> Result<Duration, LeafMismatch> {
    let duration = quantity(value, DURATION_EXPECTED, units::parse_duration)?;
    at_most(DURATION_MAX, duration, value, "a duration of at most 720 h")
}

/// A duration above zero.
pub fn timeout(value: &LeafValue<'_>) -> Result<Duration, LeafMismatch> {
    let timeout = duration(value)?;
    ensure(!timeout.is_zero(), timeout, value, TIMEOUT_EXPECTED)
}

/// A number of slots or connections, at least one.
pub fn count(value: &LeafValue<'_>) -> Result<u32, LeafMismatch> {
    let expected = "a whole number from 1 to 1000000";
    let count = typed(value, expected)?;
    ensure((1..=COUNT_MAX).contains(&count), count, value, expected)
}

/// A customer's weight, at least one.
pub fn weight(value: &LeafValue<'_>) -> Result<u32, LeafMismatch> {
    let expected = "a whole number from 1 to 1000";
    let weight = typed(value, expected)?;
    ensure((1..=WEIGHT_MAX).contains(&weight), weight, value, expected)
}

/// A burst in requests, at least one.
pub fn burst(value: &LeafValue<'_>) -> Result<u64, LeafMismatch> {
    let expected = "a burst of at least one request, as a whole number";
    let burst = typed(value, expected)?;
    let burst = ensure(burst > 0, burst, value, expected)?;
    at_most(BURST_MAX, burst, value, "a burst of at most 1000000000")
}

/// A percentage.
pub fn percent(value: &LeafValue<'_>) -> Result<u32, LeafMismatch> {
    let expected = "a whole number of percent from 0 to 100";
    let percent = typed(value, expected)?;
    ensure(percent <= PERCENT_MAX, percent, value, expected)
}

/// `true` or `false`.
pub fn flag(value: &LeafValue<'_>) -> Result<bool, LeafMismatch> {
    typed(value, "true or false")
}

/// A target's address: a concrete IP address and a port.
pub fn address(value: &LeafValue<'_>) -> Result<SocketAddr, LeafMismatch> {
    let address: Option<SocketAddr> = string(value, ADDRESS_EXPECTED)?.parse().ok();
    address
        .filter(|address| address.port() != 0 && !address.ip().is_unspecified())
        .ok_or_else(|| mismatch(FindingKind::BadValue, value, ADDRESS_EXPECTED))
}

/// A block of client addresses, with all bits after the prefix zero.
pub fn block(value: &LeafValue<'_>) -> Result<tables::ClientBlock, LeafMismatch> {
    let text = string(value, BLOCK_EXPECTED)?;
    let block = text
        .split_once('/')
        .and_then(|(address, prefix)| Some((address.parse().ok()?, prefix.parse().ok()?)))
        .map(|(address, prefix)| tables::ClientBlock { address, prefix })
        .filter(|block| block.prefix <= address_bits(block.address))
        .ok_or_else(|| mismatch(FindingKind::BadValue, value, BLOCK_EXPECTED))?;
    let first = first_address(block);
    if first == block.address {
        return Ok(block);
    }
    let expected = format!("the block's first address: \"{first}/{}\"", block.prefix);
    Err(mismatch(FindingKind::BadValue, value, &expected))
}

/// A route's path.
pub fn path(value: &LeafValue<'_>) -> Result<String, LeafMismatch> {
    let path = string(value, PATH_EXPECTED)?;
    let is_reserved =
        path.starts_with(RESERVED_PATH) || path == RESERVED_PATH.trim_end_matches('/');
    if is_reserved {
        let expected = "a path outside of /v1/, which is the system's own";
        return Err(mismatch(FindingKind::BadValue, value, expected));
    }
    let is_path = path.starts_with('/')
        && path.bytes().all(is_path_byte)
        && has_valid_escapes(&path)
        && !path.contains("//")
        && path.split('/').all(|part| part != "." && part != "..");
    ensure(is_path, path, value, PATH_EXPECTED)
}

/// A method in upper case.
pub fn method(value: &LeafValue<'_>) -> Result<String, LeafMismatch> {
    let method = string(value, METHOD_EXPECTED)?;
    let is_method = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
    ensure(
        is_method && method != TUNNEL_METHOD,
        method,
        value,
        METHOD_EXPECTED,
    )
}

/// The hash of a key. No error shows the value if it is a string, because it may be a secret.
pub fn key_hash(value: &LeafValue<'_>) -> Result<tables::KeyHash, LeafMismatch> {
    let Some(text) = value.get_ref().as_str() else {
        return Err(mismatch(FindingKind::WrongType, value, HASH_EXPECTED));
    };
    keys::parse_hash(text).map_err(|error| match error {
        keys::HashTextError::PlaintextKey => plaintext_key(HASH_EXPECTED),
        keys::HashTextError::Malformed => LeafMismatch {
            kind: FindingKind::BadValue,
            found: format!("{error} (not shown)"),
            expected: HASH_EXPECTED.to_owned(),
        },
    })
}

/// Describes `value` for a report, redacted.
pub fn describe(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) => format!("\"{}\"", report::excerpt(text)),
        DeValue::Integer(number) => report::excerpt(&number.to_string()),
        DeValue::Float(number) => report::excerpt(&number.to_string()),
        DeValue::Boolean(flag) => flag.to_string(),
        DeValue::Datetime(_) => "a date or time".to_owned(),
        DeValue::Array(_) => "an array".to_owned(),
        DeValue::Table(_) => "a table".to_owned(),
    }
}

/// A mismatch of `value` with what was `expected`.
pub fn mismatch(kind: FindingKind, value: &LeafValue<'_>, expected: &str) -> LeafMismatch {
    LeafMismatch {
        kind,
        found: describe(value.get_ref()),
        expected: expected.to_owned(),
    }
}

fn plaintext_key(expected: &str) -> LeafMismatch {
    LeafMismatch {
        kind: FindingKind::KeyInClear,
        found: "what may be a key in clear (not shown)".to_owned(),
        expected: expected.to_owned(),
    }
}

fn ensure<T>(
    is_valid: bool,
    item: T,
    value: &LeafValue<'_>,
    expected: &str,
) -> Result<T, LeafMismatch> {
    if is_valid {
        Ok(item)
    } else {
        Err(mismatch(FindingKind::BadValue, value, expected))
    }
}

fn at_most<T: PartialOrd + Copy>(
    limit: T,
    item: T,
    value: &LeafValue<'_>,
    expected: &str,
) -> Result<T, LeafMismatch> {
    ensure(item <= limit, item, value, expected)
}

fn string(value: &LeafValue<'_>, expected: &str) -> Result<String, LeafMismatch> {
    typed(value, expected)
}

/// Deserialises the value as a `T`.
fn typed<T>(value: &LeafValue<'_>, expected: &str) -> Result<T, LeafMismatch>
where
    T: for<'de> Deserialize<'de>,
{
    let deserializer = ValueDeserializer::from(value.clone());
    T::deserialize(deserializer).map_err(|_| {
        let kind = match value.get_ref() {
            DeValue::Integer(_) => FindingKind::BadValue,
            _ => FindingKind::WrongType,
        };
        mismatch(kind, value, expected)
    })
}

fn quantity<T>(
    value: &LeafValue<'_>,
    expected: &str,
    read: impl Fn(&str) -> Result<T, units::QuantityError>,
) -> Result<T, LeafMismatch> {
    let is_bare_number = matches!(value.get_ref(), DeValue::Integer(_) | DeValue::Float(_));
    if is_bare_number {
        return Err(unit_mismatch(value, units::QuantityError::NoUnit, expected));
    }
    read(&string(value, expected)?).map_err(|error| unit_mismatch(value, error, expected))
}

fn unit_mismatch(
    value: &LeafValue<'_>,
    error: units::QuantityError,
    expected: &str,
) -> LeafMismatch {
    let kind = match error {
        units::QuantityError::NoUnit | units::QuantityError::UnknownUnit => FindingKind::BadUnit,
        units::QuantityError::NoNumber | units::QuantityError::OutOfRange => FindingKind::BadValue,
    };
    LeafMismatch {
        kind,
        found: format!("{}, {error}", describe(value.get_ref())),
        expected: expected.to_owned(),
    }
}

fn is_path_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"/-._~!$&'()*+,;=:@%".contains(&byte)
}

/// Whether each `%` is followed by two hex digits.
fn has_valid_escapes(path: &str) -> bool {
    path.split('%').skip(1).all(|rest| {
        let digits = rest.get(..2).unwrap_or_default();
        digits.len() == 2 && digits.bytes().all(|digit| digit.is_ascii_hexdigit())
    })
}

fn address_bits(address: IpAddr) -> u8 {
    match address {
        IpAddr::V4(_) => IPV4_BITS,
        IpAddr::V6(_) => IPV6_BITS,
    }
}

/// The address of the block with all bits after the prefix cleared.
fn first_address(block: tables::ClientBlock) -> IpAddr {
    let spare = u32::from(address_bits(block.address) - block.prefix);
    match block.address {
        IpAddr::V4(address) => {
            let mask = u32::MAX.checked_shl(spare).unwrap_or(0);
            IpAddr::V4((address.to_bits() & mask).into())
        }
        IpAddr::V6(address) => {
            let mask = u128::MAX.checked_shl(spare).unwrap_or(0);
            IpAddr::V6((address.to_bits() & mask).into())
        }
    }
}
