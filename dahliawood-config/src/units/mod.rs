//! Parsing and formatting of quantities in a configuration file: a decimal number and its unit.
//!
//! Conversions are exact: a number that can't be represented without rounding is rejected.

use dahliawood_model::units;
use snafu::Snafu;
use std::time::Duration;

/// The reason why a text is not a quantity of the expected kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum QuantityError {
    /// The number is not followed by a unit.
    #[snafu(display("a number with no unit"))]
    NoUnit,
    /// The text after the number is not a unit of the expected kind.
    #[snafu(display("a unit that is not known here"))]
    UnknownUnit,
    /// The text before the unit is not a decimal number.
    #[snafu(display("no decimal number"))]
    NoNumber,
    /// The number is too large, or has more decimals than can be represented exactly.
    #[snafu(display("a number that is too large or too fine"))]
    OutOfRange,
}

/// The name of a unit and the number of base units in it.
type UnitFactor = (&'static str, u64);

const BITS_PER_BYTE: u64 = 8;
/// Largest first; base unit: one bit per second.
const BIT_RATES: [UnitFactor; 4] = [
    ("Gbit/s", 1_000_000_000),
    ("Mbit/s", 1_000_000),
    ("kbit/s", 1_000),
    ("bit/s", 1),
];
/// Largest first; base unit: one bit per second.
const BYTE_RATES: [UnitFactor; 4] = [
    ("GB/s", 8_000_000_000),
    ("MB/s", 8_000_000),
    ("kB/s", 8_000),
    ("B/s", BITS_PER_BYTE),
];
/// Base unit: a thousandth of a request per second.
const REQUEST_RATES: [UnitFactor; 1] = [("/s", 1_000)];
/// Largest first; base unit: one microsecond.
const DURATIONS: [UnitFactor; 5] = [
    ("h", 3_600_000_000),
    ("m", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];
/// Largest first; base unit: one byte.
const BINARY_SIZES: [UnitFactor; 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];
/// Base unit: one byte.
const DECIMAL_SIZES: [UnitFactor; 3] = [("GB", 1_000_000_000), ("MB", 1_000_000), ("kB", 1_000)];

/// Parses a byte rate such as `280 Mbit/s` or `35 MB/s`.
///
/// # Errors
/// Fails if the text is not a byte rate, or not a whole number of bytes per second.
pub fn parse_byte_rate(text: &str) -> Result<units::ByteRate, QuantityError> {
    let bits = parse_quantity(text, &[&BIT_RATES, &BYTE_RATES])?;
    if bits % BITS_PER_BYTE != 0 {
        return Err(QuantityError::OutOfRange);
    }
    Ok(units::ByteRate {
        bytes_per_second: bits / BITS_PER_BYTE,
    })
}

/// Parses a request rate such as `50/s` or `0.5/s`, exact to a thousandth.
///
/// # Errors
/// Fails if the text is not a request rate.
pub fn parse_request_rate(text: &str) -> Result<units::RequestRate, QuantityError> {
    let millis_per_second = parse_quantity(text, &[&REQUEST_RATES])?;
    Ok(units::RequestRate { millis_per_second })
}

/// Parses a duration such as `12 ms`, `2 s` or `10 m` (minutes), exact to a microsecond.
///
/// # Errors
/// Fails if the text is not a duration.
pub fn parse_duration(text: &str) -> Result<Duration, QuantityError> {
    parse_quantity(text, &[&DURATIONS]).map(Duration::from_micros)
}

/// Parses a size such as `256 KiB` or `1.5 MB`, in bytes.
///
/// # Errors
/// Fails if the text is not a size, or not a whole number of bytes.
pub fn parse_size(text: &str) -> Result<u64, QuantityError> {
    parse_quantity(text, &[&BINARY_SIZES, &DECIMAL_SIZES])
}

/// Formats a byte rate in the largest unit that gives a whole number.
pub fn format_byte_rate(rate: units::ByteRate) -> String {
    match rate.bytes_per_second.checked_mul(BITS_PER_BYTE) {
        Some(bits) => format_quantity(bits, &BIT_RATES),
        None => format!("{} B/s", rate.bytes_per_second),
    }
}

/// Formats a request rate with as many decimals as needed, at most three.
pub fn format_request_rate(rate: units::RequestRate) -> String {
    let whole = rate.millis_per_second / 1_000;
    let millis = rate.millis_per_second % 1_000;
    if millis == 0 {
        return format!("{whole}/s");
    }
    let decimals = format!("{millis:03}");
    format!("{whole}.{}/s", decimals.trim_end_matches('0'))
}

/// Formats a duration, rounded down to a microsecond, in the largest unit that gives a whole
/// number.
pub fn format_duration(span: Duration) -> String {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    if micros == 0 {
        return "0 s".to_owned();
    }
    format_quantity(micros, &DURATIONS)
}

/// Formats a size in the largest binary unit that gives a whole number.
pub fn format_size(bytes: u64) -> String {
    format_quantity(bytes, &BINARY_SIZES)
}

fn format_quantity(amount: u64, units: &[UnitFactor]) -> String {
    let fits = |&&(_, factor): &&UnitFactor| amount >= factor && amount.is_multiple_of(factor);
    let (unit, factor) = units
        .iter()
        .find(fits)
        .copied()
        .unwrap_or(units[units.len() - 1]);
    format!("{} {unit}", amount / factor)
}

fn parse_quantity(text: &str, units: &[&[UnitFactor]]) -> Result<u64, QuantityError> {
    let is_number = |character: char| character.is_ascii_digit() || character == '.';
    let split = text
        .find(|character| !is_number(character))
        .unwrap_or(text.len());
    let (number, rest) = text.split_at(split);
    if number.is_empty() {
        return Err(QuantityError::NoNumber);
    }
    let unit = rest.strip_prefix(' ').unwrap_or(rest);
    if unit.is_empty() {
        return Err(QuantityError::NoUnit);
    }
    let factor = units
        .iter()
        .copied()
        .flatten()
        .find(|(name, _)| *name == unit)
        .map(|&(_, factor)| factor)
        .ok_or(QuantityError::UnknownUnit)?;
    scaled(number, factor)
}

/// The exact product of the decimal `number` and `factor`.
fn scaled(number: &str, factor: u64) -> Result<u64, QuantityError> {
    let (whole, decimals) = number.split_once('.').unwrap_or((number, "0"));
    if whole.is_empty() || decimals.is_empty() || decimals.contains('.') {
        return Err(QuantityError::NoNumber);
    }
    let whole: u64 = whole.parse().map_err(|_| QuantityError::OutOfRange)?;
    let decimals = decimals.trim_end_matches('0');
    let decimal_places = u32::try_from(decimals.len()).map_err(|_| QuantityError::OutOfRange)?;
    let divisor = 10_u128
        .checked_pow(decimal_places)
        .ok_or(QuantityError::OutOfRange)?;
    let fraction = match decimals {
        "" => 0,
        digits => digits
            .parse::<u128>()
            .map_err(|_| QuantityError::OutOfRange)?,
    };
    let parts = fraction
        .checked_mul(u128::from(factor))
        .ok_or(QuantityError::OutOfRange)?;
    if parts % divisor != 0 {
        return Err(QuantityError::OutOfRange);
    }
    let amount = u128::from(whole) * u128::from(factor) + parts / divisor;
    u64::try_from(amount).map_err(|_| QuantityError::OutOfRange)
}
