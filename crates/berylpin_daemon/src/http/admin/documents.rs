//! What operators do with documents.

use super::change::{Change, Changed, apply};
use super::{AdminState, problem, refusal, stopped};
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

/// The longest name of an editor, in bytes.
const EDITOR_LIMIT: usize = 128;

/// Answers `GET /v1/documents`.
#[handler]
pub(super) async fn list_documents(state: Data<&AdminState>) -> Response {
    let look = |controller: &Controller| {
        let revisions = controller.documents();
        DocumentList {
            revision: revisions.revision(),
            documents: revisions.iter().map(summary).collect(),
        }
    };
    match state.control.inspect(look).await {
        Some(list) => json(StatusCode::OK, &list),
        None => stopped(),
    }
}

/// Answers `GET /v1/documents/{name}`.
#[handler]
pub(super) async fn get_document(
    state: Data<&AdminState>,
    Path(name): Path<String>,
) -> poem::Result<Response> {
    Ok(json(StatusCode::OK, &known_document(&state, &name).await?))
}

/// Answers `PUT /v1/documents/{name}`.
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
        return Ok(reject(e));
    }
    let editor = editor(headers);
    let change = Change { kind: EditKind::Put, name, condition, text, editor };
    Ok(respond(apply(&state.platform, &change).await, &change))
}

/// Answers `DELETE /v1/documents/{name}`.
#[handler]
pub(super) async fn delete_document(
    state: Data<&AdminState>,
    Path(name): Path<String>,
    headers: &HeaderMap,
) -> poem::Result<Response> {
    let condition = condition(headers)?;
    if condition == Condition::New {
        let message = "a deletion needs `If-Match` with the version of the document";
        return Err(refusal(StatusCode::BAD_REQUEST, message));
    }
    let (text, editor) = (String::new(), editor(headers));
    let change = Change { kind: EditKind::Delete, name, condition, text, editor };
    Ok(respond(apply(&state.platform, &change).await, &change))
}

/// Answers `POST /v1/check`.
#[handler]
pub(super) async fn check_document(body: Body) -> poem::Result<Response> {
    Ok(match ServiceSettings::parse(&read_text(body).await?) {
        Ok(_) => json(StatusCode::OK, &Rejected { problems: Vec::new() }),
        Err(e) => reject(e),
    })
}

/// Answers `POST /v1/drain`: edits the document and keeps the rest of its text.
#[handler]
pub(super) async fn drain_replica(
    state: Data<&AdminState>,
    headers: &HeaderMap,
    body: Body,
) -> poem::Result<Response> {
    let body = read_text(body).await?;
    let DrainBody { service, address, drain } =
        serde_json::from_str(&body).map_err(|e| refusal(StatusCode::BAD_REQUEST, e.to_string()))?;
    let document = known_document(&state, &service).await?;
    let text = set_drain(&document.text, address, drain).ok_or_else(|| {
        refusal(StatusCode::NOT_FOUND, format!("`{service}` has no replica at {address}"))
    })?;
    if text == document.text {
        let (name, version) = (document.name, document.version);
        return Ok(json(StatusCode::OK, &Accepted { name, version }));
    }
    let (condition, editor) = (Condition::Version(document.version), editor(headers));
    let change = Change { kind: EditKind::Put, name: service, condition, text, editor };
    Ok(respond(apply(&state.platform, &change).await, &change))
}

async fn known_document(state: &AdminState, name: &str) -> poem::Result<Document> {
    let wanted = name.to_owned();
    let look = move |controller: &Controller| {
        controller.documents().get(&wanted).map(|entry| Document {
            name: entry.name.to_string(),
            version: entry.version,
            editor: entry.editor.to_string(),
            text: entry.text.to_string(),
        })
    };
    let found = state.control.inspect(look).await.ok_or_else(|| Error::from_response(stopped()))?;
    found.ok_or_else(|| refusal(StatusCode::NOT_FOUND, format!("no document is named `{name}`")))
}

fn summary(entry: &VersionedDocument) -> DocumentSummary {
    let settings = ServiceSettings::parse(&entry.text).ok();
    DocumentSummary {
        name: entry.name.to_string(),
        group: settings.as_ref().map_or_else(String::new, |s| s.group.clone()),
        version: entry.version,
        editor: entry.editor.to_string(),
        shards: settings.map_or(0, |s| s.shards.len() as u32),
    }
}

async fn read_text(body: Body) -> poem::Result<String> {
    let bytes = body
        .into_bytes_limit(MAX_DOCUMENT_BYTES)
        .await
        .map_err(|e| refusal(StatusCode::PAYLOAD_TOO_LARGE, e.to_string()))?;
    String::from_utf8(bytes.into())
        .map_err(|_| refusal(StatusCode::BAD_REQUEST, "the body is not UTF-8"))
}

/// Reads what a change is based on.
fn condition(headers: &HeaderMap) -> poem::Result<Condition> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    match (text("if-match"), text("if-none-match")) {
        (Some(version), None) => version.trim_matches('"').parse().map(Condition::Version).ok(),
        (None, Some("*")) => Some(Condition::New),
        _ => None,
    }
    .ok_or_else(|| {
        let message = "a change needs `If-Match` with the version that it is based on, or \
                       `If-None-Match: *` for a new document";
        refusal(StatusCode::PRECONDITION_REQUIRED, message)
    })
}

fn editor(headers: &HeaderMap) -> String {
    let text = headers.get(EDITOR).and_then(|value| value.to_str().ok());
    text.filter(|text| text.len() <= EDITOR_LIMIT).unwrap_or("unknown").to_owned()
}

fn reject(e: DocumentError) -> Response {
    let problems = e.problems.into_iter().map(|problem| DocumentProblem {
        line: problem.line,
        key: problem.key,
        problem: problem.problem,
    });
    json(StatusCode::UNPROCESSABLE_ENTITY, &Rejected { problems: problems.collect() })
}

fn respond(changed: Changed, change: &Change) -> Response {
    match changed {
        Changed::Accepted(version) => {
            json(StatusCode::OK, &Accepted { name: change.name.clone(), version })
        }
        Changed::Conflict(current) => json(StatusCode::PRECONDITION_FAILED, &Conflict { current }),
        Changed::Missing => {
            let message = format!("no document is named `{}`", change.name);
            problem(StatusCode::NOT_FOUND, message)
        }
        Changed::NotStored { may_be_stored } => {
            let name = &change.name;
            let message = if may_be_stored {
                format!(
                    "the platform did not confirm the change; get `{name}` before you repeat it"
                )
            } else {
                "the platform cannot be reached and nothing was stored; try again later".to_owned()
            };
            let body = NotStored { may_be_stored, message };
            json(StatusCode::SERVICE_UNAVAILABLE, &body)
        }
    }
}
