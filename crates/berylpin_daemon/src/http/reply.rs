//! Responses of the front ends.

use berylpin_core::verdict::Verdict;
use berylpin_wire::caller::RefusalBody;
use poem::Response;
use poem::http::StatusCode;
use serde::Serialize;

/// Builds a JSON response.
pub(super) fn json<T>(status: StatusCode, body: &T) -> Response
where
    T: Serialize,
{
    match serde_json::to_vec(body) {
        Ok(bytes) => {
            Response::builder().status(status).content_type("application/json").body(bytes)
        }
        Err(_) => Response::builder().status(StatusCode::INTERNAL_SERVER_ERROR).finish(),
    }
}

/// Builds the response to a refused request.
pub(super) fn refuse(
    status: StatusCode,
    verdict: Verdict,
    reason: &str,
    message: String,
) -> Response {
    json(status, &RefusalBody { verdict, reason: reason.to_owned(), message })
}
