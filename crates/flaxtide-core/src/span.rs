//! Parsing and formatting of time spans in settings, such as `1300ms` or `30s`.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer};

/// Parses a span such as `67ms` or `30s`. Fractions such as `1.3s` are refused.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(flaxtide_core::parse_span("1300ms"), Ok(Duration::from_millis(1300)));
/// assert!(flaxtide_core::parse_span("soon").unwrap_err().contains("such as"));
/// ```
///
/// # Errors
///
/// Returns a message with a remedy if the text isn't a span.
pub fn parse_span(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text)
        .map_err(|cause| format!("`{text}` is no time span ({cause}); write one such as `1300ms`, `30s` or `5m`"))
}

/// Formats a span, in whole milliseconds, so that [`parse_span`] parses it.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(flaxtide_core::format_span(Duration::from_millis(1300)), "1300ms");
/// assert_eq!(flaxtide_core::format_span(Duration::from_secs(30)), "30s");
/// ```
#[must_use]
pub fn format_span(span: Duration) -> String {
    let millis = span.as_millis();
    if millis >= 1000 && millis.is_multiple_of(1000) {
        format!("{}s", millis / 1000)
    } else {
        format!("{millis}ms")
    }
}

/// Deserializes a span from its text, for serde's `deserialize_with`.
///
/// # Errors
///
/// Returns the message of [`parse_span`].
pub fn deserialize_span<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    parse_span(&text).map_err(serde::de::Error::custom)
}

/// Returns the first line of a parser's message, without a leading `error: `.
///
/// ```
/// assert_eq!(flaxtide_core::message_line("error: bad\n--> 3"), "bad");
/// ```
#[must_use]
pub fn message_line(message: &str) -> String {
    let line = message.lines().next().unwrap_or_default();
    line.strip_prefix("error: ").unwrap_or(line).to_owned()
}

/// Serialization of an optional span in a settings node, for serde's `with`.
pub(crate) mod optional {
    use super::*;

    /// Serializes the span as text, or as none if absent.
    pub(crate) fn serialize<S: Serializer>(
        span: &Option<Duration>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match span {
            Some(span) => serializer.serialize_str(&format_span(*span)),
            None => serializer.serialize_none(),
        }
    }

    /// Deserializes the span from text.
    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Duration>, D::Error> {
        let text: Option<String> = Option::deserialize(deserializer)?;
        text.map(|text| parse_span(&text).map_err(serde::de::Error::custom))
            .transpose()
    }
}
