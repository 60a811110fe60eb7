//! Durations with a unit, such as `250ms`, `2s` or `1m`.

use serde::{Deserializer, Serializer, de};
use serde_with::{DeserializeAs, SerializeAs};
use std::time::Duration;

/// A `serde_with` adapter for durations with a unit: `us`, `ms`, `s`, `m` or `h`.
#[derive(Debug)]
pub struct DurationText;

/// Parses a whole number followed by a unit: `us`, `ms`, `s`, `m` or `h`.
///
/// # Errors
///
/// Returns a message with the expected form if the text has another form or the value overflows.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    let digits = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (number, unit) = text.split_at(digits);
    let micros_per_unit = match unit {
        "us" => 1,
        "ms" => 1_000,
        "s" => 1_000_000,
        "m" => 60_000_000,
        "h" => 3_600_000_000,
        _ => 0,
    };
    number
        .parse::<u64>()
        .ok()
        .filter(|_| micros_per_unit > 0)
        .and_then(|n| n.checked_mul(micros_per_unit))
        .map(Duration::from_micros)
        .ok_or_else(|| {
            format!("`{text}` is not a duration; use a value like `250ms`, `2s` or `1m`")
        })
}

/// Formats a duration in the largest unit in which it is a whole number.
pub(crate) fn format_duration(duration: Duration) -> String {
    let micros = duration.as_micros();
    let units = [(3_600_000_000, "h"), (60_000_000, "m"), (1_000_000, "s"), (1_000, "ms")];
    units
        .into_iter()
        .find(|(size, _)| micros > 0 && micros.is_multiple_of(*size))
        .map_or_else(|| format!("{micros}us"), |(size, unit)| format!("{}{unit}", micros / size))
}

impl<'de> DeserializeAs<'de, Duration> for DurationText {
    fn deserialize_as<D>(deserializer: D) -> Result<Duration, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text: String = de::Deserialize::deserialize(deserializer)?;
        parse_duration(&text).map_err(de::Error::custom)
    }
}

impl SerializeAs<Duration> for DurationText {
    fn serialize_as<S>(source: &Duration, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&format_duration(*source))
    }
}
