use super::super::connections::new_client;
use super::*;
use berylpin_core::arena::{Arena, Slab};
use berylpin_core::config::ServiceSettings;
use berylpin_core::control::{Member, Topology};
use berylpin_core::ids::{Key, MemberId, MemberTag, Snapshot};
use berylpin_core::rank::Rank;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const REPLY: &str = r#"{"request":"0000000000000007","shard":"s","snapshot":5,"serves":{"oldest":4,"newest":5},"rows":[]}"#;

fn http_response(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{headers}\r\n{body}")
}

async fn read_request(tcp: &mut TcpStream) {
    let mut buf = [0; 4096];
    let mut read = 0;
    while !buf[..read].windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        read += tcp.read(&mut buf[read..]).await.expect("the client sends a request");
    }
}

/// Sends the replies to the requests on one connection, then reads a further request and closes the
/// connection without a reply.
async fn serve(listener: TcpListener, replies: Vec<String>) {
    let (mut tcp, _) = listener.accept().await.expect("the client connects");
    for reply in replies {
        read_request(&mut tcp).await;
        tcp.write_all(reply.as_bytes()).await.expect("the client keeps the connection open");
    }
    read_request(&mut tcp).await;
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    (listener, address)
}

async fn send_request(client: &Client, address: SocketAddr) -> CallResult {
    send_lookup(client.post(format!("http://{address}/")).timeout(Duration::from_secs(5)))
        .await
        .result
}

fn failure(result: &CallResult) -> Option<(Verdict, FailReason)> {
    match result {
        CallResult::Failed { verdict, reason } => Some((*verdict, *reason)),
        CallResult::Rows { .. } => None,
    }
}

#[tokio::test]
async fn only_documented_refusals_and_failed_connects_count_as_not_run() {
    let refused = |headers| http_response("503 Unavailable", headers, "");
    let cases = [
        (http_response("200 OK", "", REPLY), None),
        (http_response("410 Gone", "", ""), Some((Verdict::NotRun, FailReason::SnapshotGone))),
        (refused("x-not-run: 1\r\n"), Some((Verdict::NotRun, FailReason::Overloaded))),
        (
            refused("x-not-run: 1\r\nx-draining: 1\r\n"),
            Some((Verdict::NotRun, FailReason::Draining)),
        ),
        (refused(""), Some((Verdict::MayHaveRun, FailReason::UpstreamError))),
        (refused("x-draining: 1\r\n"), Some((Verdict::MayHaveRun, FailReason::UpstreamError))),
        (
            http_response("500 Error", "x-not-run: 1\r\n", ""),
            Some((Verdict::MayHaveRun, FailReason::UpstreamError)),
        ),
        (
            http_response("307 Redirect", "location: /\r\n", ""),
            Some((Verdict::MayHaveRun, FailReason::UpstreamError)),
        ),
        (
            http_response("101 Switch", "x-not-run: 1\r\n", REPLY),
            Some((Verdict::MayHaveRun, FailReason::UpstreamError)),
        ),
        (
            http_response("600 Odd", "x-not-run: 1\r\n", REPLY),
            Some((Verdict::MayHaveRun, FailReason::UpstreamError)),
        ),
        (
            http_response("000 Odd", "x-not-run: 1\r\n", REPLY),
            Some((Verdict::MayHaveRun, FailReason::Connection)),
        ),
        (http_response("200 OK", "", "{}"), Some((Verdict::MayHaveRun, FailReason::BadReply))),
    ];
    for (reply, expected) in cases {
        let (listener, address) = listen().await;
        let server = tokio::spawn(serve(listener, vec![reply.clone()]));
        let client = new_client(address, address.ip()).expect("the client can be created");
        assert_eq!(failure(&send_request(&client, address).await), expected, "{reply}");
        server.abort();
    }
    let (listener, address) = listen().await;
    drop(listener);
    let client = new_client(address, address.ip()).expect("the client can be created");
    let expected = Some((Verdict::NotRun, FailReason::Connection));
    assert_eq!(failure(&send_request(&client, address).await), expected);
}

#[tokio::test]
async fn request_on_a_pooled_connection_that_fails_may_have_run() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(serve(listener, vec![http_response("200 OK", "", REPLY)]));
    let client = new_client(address, address.ip()).expect("the client can be created");
    let CallResult::Rows { request, snapshot, .. } = send_request(&client, address).await else {
        panic!("expected rows for the first request");
    };
    assert_eq!((request, snapshot), (QueryTag(7), Snapshot(5)));
    let expected = Some((Verdict::MayHaveRun, FailReason::Connection));
    assert_eq!(failure(&send_request(&client, address).await), expected);
    server.await.expect("one connection carried both requests");
}

#[tokio::test]
async fn connections_use_the_local_address_as_source() {
    let (listener, address) = listen().await;
    let client = new_client(address, "127.0.0.9".parse().expect("the address is valid"))
        .expect("the client can be created");
    let accepted =
        tokio::spawn(async move { listener.accept().await.expect("the client connects").1 });
    let request = tokio::spawn(async move { send_request(&client, address).await });
    assert_eq!(accepted.await.expect("the connection is accepted").ip().to_string(), "127.0.0.9");
    request.abort();
}

fn view(address: SocketAddr, slots: u16, connections: u16) -> View {
    let text = format!(
        "service = \"t\"\n[[shard]]\nname = \"s\"\n[[shard.replica]]\naddress = \"{address}\"\n\
         data_centre = \"d\"\nslots = {slots}\nconnections = {connections}\n"
    );
    let settings = ServiceSettings::parse(&text).expect("the document is valid");
    let topology = Topology::default().with_documents(&[Arc::new(settings)]);
    let mut members = Arena::default();
    members.push(Member {
        tag: MemberTag::of(["own"]),
        name: "own".to_owned(),
        data_centre: "d".to_owned(),
        peer_address: "127.0.0.1:1".parse().expect("the address is valid"),
        live: true,
        leaving: false,
    });
    View::new(1, MemberId::from_index(0), members, Arc::new(topology))
}

fn call(key: CallKey) -> Call {
    Call {
        key,
        replica: ReplicaId::from_index(0),
        request: QueryTag(7),
        snapshot: Snapshot(5),
        rank: Rank::Urgent,
        time_left: Duration::from_secs(5),
        body: bytes::Bytes::new(),
    }
}

#[tokio::test]
async fn reconnect_closes_a_silent_connection_and_the_next_call_opens_a_new_one() {
    let (listener, address) = listen().await;
    let view = view(address, 1, 2);
    let (mailbox, mut rx) = Mailbox::new();
    let mut upstreams = Upstreams::new(mailbox);
    upstreams.apply_view(&view);
    let mut keys = Slab::default();
    let first = keys.insert(());
    upstreams.call(&view, call(first));
    let (mut silent, _) = listener.accept().await.expect("the client connects");
    read_request(&mut silent).await;
    upstreams.reconnect(ReplicaId::from_index(0), Some(first));
    let Some(Mail::CallEnded(key, result)) = rx.recv().await else {
        panic!("expected the end of the call")
    };
    assert_eq!(key, first);
    assert_eq!(failure(&result), Some((Verdict::MayHaveRun, FailReason::Connection)));
    assert_eq!(silent.read(&mut [0]).await.expect("the connection closes without an error"), 0);

    let server = tokio::spawn(serve(listener, vec![http_response("200 OK", "", REPLY)]));
    upstreams.call(&view, call(keys.insert(())));
    let Some(Mail::CallEnded(_, result)) = rx.recv().await else {
        panic!("expected the end of the call")
    };
    assert_eq!(failure(&result), None);
    server.abort();
}

#[tokio::test]
async fn sockets_never_exceed_the_connection_limit_of_the_replica() {
    let (listener, address) = listen().await;
    let view = view(address, 2, 3);
    let (mailbox, mut rx) = Mailbox::new();
    let mut upstreams = Upstreams::new(mailbox);
    upstreams.apply_view(&view);
    let replica = ReplicaId::from_index(0);
    let mut keys = Slab::default();
    for _ in 0..3 {
        upstreams.probe(&view, Probe { replica });
        upstreams.abort(&view, replica, QueryTag(1));
        upstreams.call(&view, call(keys.insert(())));
    }
    // One probe and two calls get a connection; the other requests end without network traffic.
    for _ in 0..3 {
        match rx.recv().await {
            Some(Mail::CallEnded(_, result)) => {
                assert_eq!(
                    failure(&result),
                    Some((Verdict::NotRun, FailReason::Overloaded)),
                    "only the call without a connection ends"
                );
            }
            Some(Mail::ProbeEnded(_, result)) => assert_eq!(result, ProbeResult::Failed),
            _ => panic!("expected the end of a call or a probe"),
        }
    }
    let mut accepted = Vec::new();
    for _ in 0..3 {
        accepted.push(listener.accept().await.expect("the client connects"));
    }
    let fourth = tokio::time::timeout(Duration::from_millis(50), listener.accept()).await;
    assert!(fourth.is_err(), "a fourth connection was opened");
}
