//! What all requests of callers are checked for.

use poem::Body;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// The longest request body, in bytes.
const BODY_LIMIT: usize = 64 * 1024;

/// The longest deadline of a request.
pub(super) const DEADLINE_LIMIT: Duration = Duration::from_mins(1);

/// Reads a JSON body; an error says what is wrong and where.
pub(super) async fn read_body<T>(body: Body) -> Result<T, String>
where
    T: DeserializeOwned,
{
    let bytes = body.into_bytes_limit(BODY_LIMIT).await.map_err(|e| e.to_string())?;
    serde_json::from_slice(&bytes).map_err(|e| e.to_string())
}

/// Checks how long a caller waits; an error says what is allowed.
pub(super) fn check_deadline(time_left: Duration) -> Result<Duration, String> {
    if !time_left.is_zero() && time_left <= DEADLINE_LIMIT {
        return Ok(time_left);
    }
    let limit = DEADLINE_LIMIT.as_millis();
    Err(format!("deadline_ms: use a number from 1 to {limit}"))
}
