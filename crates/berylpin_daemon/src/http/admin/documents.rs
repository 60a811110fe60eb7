//! Handlers of document requests.

use super::change::{Change, ChangeOutcome, apply};
use super::{AdminState, problem_error, problem_response, stopping_response};
use crate::http::reply::json;
use crate::platform::Condition;
use berylpin_core::config::{DocumentError, MAX_DOCUMENT_BYTES, ServiceSettings, set_drain};
use berylpin_core::control::{Controller, EditKind, VersionedDocument};
use berylpin_wire::admin::{
    Accepted, Conflict, Document, DocumentList, DocumentProblem, DocumentSummary, DrainBody,
    EDITOR, NotStored, Rejected,
};
use poem::http::{HeaderMap, StatusCode};
use poem::web::{Data, Path};
use poem::{Body, Error, Response, handler};

/// Maximum length of an editor's name, in bytes.
const MAX_EDITOR_BYTES: usize = 128;

/// Handles `GET /v1/documents`.
#[handler]
pub(super) async fn list_documents(state: Data<&AdminState>) -> Response {
    let list = |controller: &Controller| {
        let documents = controller.documents();
        DocumentList {
            revision: documents.revision(),
            documents: documents.iter().map(summary).collect(),
        }
    };
    match state.control.inspect(list).await {
        Some(list) => json(StatusCode::OK, &list),
        None => stopping_response(),
    }
}

/// Handles `GET /v1/documents/{name}`.
#[handler]
pub(super) async fn get_document(
    state: Data<&AdminState>,
    Path(name): Path<String>,
) -> poem::Result<Response> {
    Ok(json(StatusCode::OK, &current_document(&state, &name).await?))
}

/// Handles `PUT /v1/documents/{name}`.
#[handler]
pub(super) async fn put_document(
    state: Data<&AdminState>,
    Path(name): Path<String>,
    headers: &HeaderMap,
    body: Body,
) -> poem::Result<Response> {
    let text = read_text(body).await?;
    let condition = condition(headers)?;
    if let Err(e) = ServiceSettings::parse_named(&name, &text) {
        return Ok(rejected_response(e));
    }
    let editor = editor(headers);
    let change = Change { kind: EditKind::Put, name, condition, text, editor };
    Ok(change_response(apply(&state.platform, &change).await, &change))
}

/// Handles `DELETE /v1/documents/{name}`.
#[handler]
pub(super) async fn delete_document(
    state: Data<&AdminState>,
    Path(name): Path<String>,
    headers: &HeaderMap,
) -> poem::Result<Response> {
    let condition = condition(headers)?;
    if condition == Condition::New {
        let message = "a deletion needs `If-Match` with the version of the document";
        return Err(problem_error(StatusCode::BAD_REQUEST, message));
    }
    // No document has such a name, and its URL at the platform would mean another object.
    if matches!(&*name, "." | "..") {
        return Err(problem_error(StatusCode::NOT_FOUND, format!("no document is named `{name}`")));
    }
    let (text, editor) = (String::new(), editor(headers));
    let change = Change { kind: EditKind::Delete, name, condition, text, editor };
    Ok(change_response(apply(&state.platform, &change).await, &change))
}

/// Handles `POST /v1/check`.
#[handler]
pub(super) async fn check_document(body: Body) -> poem::Result<Response> {
    Ok(match ServiceSettings::parse(&read_text(body).await?) {
        Ok(_) => json(StatusCode::OK, &Rejected { problems: Vec::new() }),
        Err(e) => rejected_response(e),
    })
}

/// Handles `POST /v1/drain`; keeps the rest of the document's text.
#[handler]
pub(super) async fn drain_replica(
    state: Data<&AdminState>,
    headers: &HeaderMap,
    body: Body,
) -> poem::Result<Response> {
    let body = read_text(body).await?;
    let DrainBody { service, address, drain } = serde_json::from_str(&body)
        .map_err(|e| problem_error(StatusCode::BAD_REQUEST, e.to_string()))?;
    let document = current_document(&state, &service).await?;
    let text = set_drain(&document.text, address, drain).ok_or_else(|| {
        problem_error(StatusCode::NOT_FOUND, format!("`{service}` has no replica at {address}"))
    })?;
    if text == document.text {
        let (name, version) = (document.name, document.version);
        return Ok(json(StatusCode::OK, &Accepted { name, version }));
    }
    let (condition, editor) = (Condition::Version(document.version), editor(headers));
    let change = Change { kind: EditKind::Put, name: service, condition, text, editor };
    Ok(change_response(apply(&state.platform, &change).await, &change))
}

/// Returns the document in force at this daemon.
async fn current_document(state: &AdminState, name: &str) -> poem::Result<Document> {
    let key = name.to_owned();
    let read_document = move |controller: &Controller| {
        controller.documents().get(&key).map(|document| Document {
            name: document.name.to_string(),
            version: document.version,
            editor: document.editor.to_string(),
            text: document.text.to_string(),
        })
    };
    let found = state
        .control
        .inspect(read_document)
        .await
        .ok_or_else(|| Error::from_response(stopping_response()))?;
    found.ok_or_else(|| {
        problem_error(StatusCode::NOT_FOUND, format!("no document is named `{name}`"))
    })
}

fn summary(document: &VersionedDocument) -> DocumentSummary {
    let settings = ServiceSettings::parse(&document.text).ok();
    DocumentSummary {
        name: document.name.to_string(),
        group: settings.as_ref().map_or_else(String::new, |s| s.group.clone()),
        version: document.version,
        editor: document.editor.to_string(),
        shards: settings.map_or(0, |s| s.shards.len() as u32),
    }
}

async fn read_text(body: Body) -> poem::Result<String> {
    let bytes = body
        .into_bytes_limit(MAX_DOCUMENT_BYTES)
        .await
        .map_err(|e| problem_error(StatusCode::PAYLOAD_TOO_LARGE, e.to_string()))?;
    String::from_utf8(bytes.into())
        .map_err(|_| problem_error(StatusCode::BAD_REQUEST, "the body is not UTF-8"))
}

/// Reads the condition of a change from its headers.
fn condition(headers: &HeaderMap) -> poem::Result<Condition> {
    let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    match (header("if-match"), header("if-none-match")) {
        (Some(version), None) => version.trim_matches('"').parse().map(Condition::Version).ok(),
        (None, Some("*")) => Some(Condition::New),
        _ => None,
    }
    .ok_or_else(|| {
        let message = "a change needs `If-Match` with the version that it is based on, or \
                       `If-None-Match: *` for a new document";
        problem_error(StatusCode::PRECONDITION_REQUIRED, message)
    })
}

/// Returns the editor, or `unknown` if the header is missing or too long.
fn editor(headers: &HeaderMap) -> String {
    let text = headers.get(EDITOR).and_then(|value| value.to_str().ok());
    text.filter(|text| text.len() <= MAX_EDITOR_BYTES).unwrap_or("unknown").to_owned()
}

fn rejected_response(e: DocumentError) -> Response {
    let problems = e.problems.into_iter().map(|problem| DocumentProblem {
        line: problem.line,
        key: problem.key,
        problem: problem.problem,
    });
    json(StatusCode::UNPROCESSABLE_ENTITY, &Rejected { problems: problems.collect() })
}

fn change_response(outcome: ChangeOutcome, change: &Change) -> Response {
    match outcome {
        ChangeOutcome::Accepted(version) => {
            json(StatusCode::OK, &Accepted { name: change.name.clone(), version })
        }
        ChangeOutcome::Conflict(current) => {
            json(StatusCode::PRECONDITION_FAILED, &Conflict { current })
        }
        ChangeOutcome::Missing => {
            let message = format!("no document is named `{}`", change.name);
            problem_response(StatusCode::NOT_FOUND, message)
        }
        ChangeOutcome::NotStored { may_be_stored } => {
            let name = &change.name;
            let message = if may_be_stored {
                format!(
                    "the platform did not confirm the change; read `{name}` before sending \
                     the change again"
                )
            } else {
                "the platform is unreachable and nothing was stored; try again later".to_owned()
            };
            let body = NotStored { may_be_stored, message };
            json(StatusCode::SERVICE_UNAVAILABLE, &body)
        }
    }
}
