//! The administration API of running daemons, also while the platform fails.

mod members;

use berylpin_daemon::{Daemon, DaemonSettings, SystemClock, discard_log};
use berylpin_standin::platform::PlatformFaults;
use berylpin_wire::admin::{
    Accepted, Conflict, Document, DrainBody, EDITOR, InForce, MemberList, NotStored, Rejected,
};
use berylpin_wire::platform::SERVICE_PREFIX;
use members::{Fleet, TOKEN, document, wait_until};
use reqwest::{Method, Response, StatusCode};
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;

const SERVICE: &str = "quota-desk-01";

async fn send(
    fleet: &Fleet,
    method: Method,
    path: &str,
    base_version: Option<u64>,
    body: String,
) -> Response {
    let url = format!("http://{}{path}", fleet.daemons[0].settings().admin_address);
    let request = reqwest::Client::new().request(method, url).bearer_auth(TOKEN);
    let request = match base_version {
        Some(version) => request.header("if-match", version),
        None => request.header("if-none-match", "*"),
    };
    request.header(EDITOR, "ayşe".as_bytes()).body(body).send().await.unwrap()
}

async fn put(fleet: &Fleet, base_version: Option<u64>, text: &str) -> Response {
    send(fleet, Method::PUT, &format!("/v1/documents/{SERVICE}"), base_version, text.to_owned())
        .await
}

async fn get<T>(fleet: &Fleet, path: &str) -> T
where
    T: DeserializeOwned,
{
    send(fleet, Method::GET, path, None, String::new()).await.json().await.unwrap()
}

/// Returns the version of an accepted change.
async fn accepted_version(response: Response) -> u64 {
    assert_eq!(response.status(), StatusCode::OK);
    response.json::<Accepted>().await.unwrap().version
}

/// Waits until all daemons apply the change that created a document's version, which is also the
/// revision of that change.
async fn wait_in_force(fleet: &Fleet, version: u64) {
    wait_until("the revision is in force at all daemons", async || {
        let body: InForce = get(fleet, &format!("/v1/revision/{version}")).await;
        body.behind.is_empty() && body.in_force.len() == fleet.daemons.len()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn valid_changes_come_into_force_and_invalid_ones_are_rejected() {
    let fleet = Fleet::start(3).await;
    let version = accepted_version(put(&fleet, None, &document(SERVICE, 2)).await).await;
    wait_in_force(&fleet, version).await;

    let response = put(&fleet, Some(version + 7), &document(SERVICE, 3)).await;
    assert_eq!(response.status(), StatusCode::PRECONDITION_FAILED);
    let current = response.json::<Conflict>().await.unwrap().current.unwrap();
    assert_eq!((current.version, current.text), (version, document(SERVICE, 2)));

    let response = put(&fleet, Some(version), "service = 7\ncolour = 1\n").await;
    assert_eq!(response.status(), StatusCode::UNPROCESSABLE_ENTITY);
    let rejected: Rejected = response.json().await.unwrap();
    assert!(rejected.problems.iter().any(|p| p.line == Some(2) && p.key == "colour"));

    let address = "127.0.0.1:2".parse().unwrap();
    let body = DrainBody { service: SERVICE.to_owned(), address, drain: true };
    let body = serde_json::to_string(&body).unwrap();
    let version = accepted_version(send(&fleet, Method::POST, "/v1/drain", None, body).await).await;
    wait_in_force(&fleet, version).await;
    let drained: Document = get(&fleet, &format!("/v1/documents/{SERVICE}")).await;
    assert_eq!(drained.text.matches("drain = true").count(), 1);

    let path = format!("/v1/documents/{SERVICE}");
    let response = send(&fleet, Method::DELETE, &path, Some(version), String::new()).await;
    wait_in_force(&fleet, accepted_version(response).await).await;
    let response = send(&fleet, Method::GET, &path, None, String::new()).await;
    assert_eq!(response.status(), StatusCode::NOT_FOUND);
    fleet.stop().await;
}

/// A name with characters of a URL reached the platform without encoding and meant another document,
/// which was deleted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_deletion_of_an_odd_name_deletes_no_other_document() {
    let fleet = Fleet::start(1).await;
    let version = accepted_version(put(&fleet, None, &document(SERVICE, 2)).await).await;
    wait_in_force(&fleet, version).await;
    for odd in [format!("x%2F..%2F{SERVICE}"), format!("{SERVICE}%3Fx"), format!("{SERVICE}%23x")] {
        let path = format!("/v1/documents/{odd}");
        let response = send(&fleet, Method::DELETE, &path, Some(version), String::new()).await;
        assert!(response.status().is_client_error(), "{odd}: {}", response.status());
        let kept: Document = get(&fleet, &format!("/v1/documents/{SERVICE}")).await;
        assert_eq!(kept.version, version, "{odd}");
    }
    let path = format!("/v1/documents/{SERVICE}");
    let response = send(&fleet, Method::DELETE, &path, Some(version), String::new()).await;
    assert_eq!(response.status(), StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_are_reported_as_stored_or_not_while_the_platform_fails() {
    let fleet = Fleet::start(2).await;
    let replies_lost = PlatformFaults { lose_answers: true, ..PlatformFaults::default() };
    fleet.platform.set_faults(replies_lost);
    let version = accepted_version(put(&fleet, None, &document(SERVICE, 2)).await).await;
    assert_eq!(fleet.platform.objects(SERVICE_PREFIX).objects[0].version, version);

    let down = PlatformFaults { down: true, ..PlatformFaults::default() };
    fleet.platform.set_faults(down);
    let response = put(&fleet, Some(version), &document(SERVICE, 3)).await;
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(!response.json::<NotStored>().await.unwrap().may_be_stored);

    fleet.platform.set_faults(PlatformFaults::default());
    let next = accepted_version(put(&fleet, Some(version), &document(SERVICE, 3)).await).await;
    wait_in_force(&fleet, next).await;
    // A stale read does not revert the revision in force.
    let stale = PlatformFaults { stale: true, ..PlatformFaults::default() };
    fleet.platform.set_faults(stale);
    tokio::time::sleep(Duration::from_secs(1)).await;
    wait_in_force(&fleet, next).await;
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_without_the_token_are_rejected() {
    let fleet = Fleet::start(1).await;
    let admin = fleet.daemons[0].settings().admin_address;
    let client = reqwest::Client::new();
    for path in ["status", "documents", "members", "revision/1", "routing/x", "nothing"] {
        let url = format!("http://{admin}/v1/{path}");
        let without_token = client.get(&url).send().await.unwrap().status();
        let wrong_token =
            client.get(&url).bearer_auth("wrong-token-0000").send().await.unwrap().status();
        assert_eq!([without_token, wrong_token], [StatusCode::UNAUTHORIZED; 2], "{path}");
    }
    let live = client.get(format!("http://{admin}/live")).send().await.unwrap();
    assert_eq!(live.status(), StatusCode::OK);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemon_with_another_fleet_key_does_not_join() {
    let fleet = Fleet::start_with_keys(3, |index| {
        if index == 2 { "another-fleet-key" } else { "the-fleet-key-0000" }
    })
    .await;
    let alive = async || {
        let list: MemberList = get(&fleet, "/v1/members").await;
        let alive = list.members.into_iter().filter(|member| member.state == "alive");
        alive.map(|member| member.name).collect::<Vec<_>>()
    };
    wait_until("the two daemons with the same key are members", async || alive().await.len() == 2)
        .await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(alive().await, ["entry-0", "entry-1"]);
    fleet.stop().await;
}

#[tokio::test]
async fn start_fails_and_names_an_address_in_use() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let settings = DaemonSettings::builder()
        .name("entry-0")
        .data_centre("palermo-1")
        .region("palermo")
        .caller_address("127.0.0.1:0".parse().unwrap())
        .peer_address("127.0.0.1:0".parse().unwrap())
        .admin_address(address)
        .platform(address)
        .admin_token(TOKEN)
        .fleet_key("the-fleet-key-0000")
        .build()
        .unwrap();
    let result = Daemon::start(settings, Arc::new(SystemClock), discard_log());
    let Err(error) = result else { panic!("the daemon started") };
    assert!(error.to_string().starts_with(&format!("admin_address {address}: ")), "{error}");
}
