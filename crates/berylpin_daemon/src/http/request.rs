//! Limits and parsing that all requests of callers share.

use poem::Body;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Maximum deadline of a request, from its arrival.
pub(super) const MAX_DEADLINE: Duration = Duration::from_mins(1);

/// Reads and parses a JSON body; the error text describes the problem and its position.
pub(super) async fn read_body<T>(body: Body) -> Result<T, String>
where
    T: DeserializeOwned,
{
    let bytes = body.into_bytes_limit(MAX_BODY_BYTES).await.map_err(|e| e.to_string())?;
    serde_json::from_slice(&bytes).map_err(|e| e.to_string())
}

/// Checks the time that a caller allows for a request; the error text states the valid range.
pub(super) fn check_deadline(time_left: Duration) -> Result<Duration, String> {
    if !time_left.is_zero() && time_left <= MAX_DEADLINE {
        return Ok(time_left);
    }
    let max_ms = MAX_DEADLINE.as_millis();
    Err(format!("deadline_ms: use a number from 1 to {max_ms}"))
}
