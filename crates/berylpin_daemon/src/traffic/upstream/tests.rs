use super::super::connections::new_client;
use super::*;
use berylpin_core::ids::Snapshot;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const REPLY: &str = r#"{"request":"0000000000000007","shard":"s","snapshot":5,"serves":{"oldest":4,"newest":5},"rows":[]}"#;

fn http(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{headers}\r\n{body}")
}

async fn read_request(tcp: &mut TcpStream) {
    let mut buf = [0; 4096];
    let mut read = 0;
    while !buf[..read].windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        read += tcp.read(&mut buf[read..]).await.expect("a request");
    }
}

/// Answers the requests on one connection with the given replies, then closes it on a further one.
async fn serve(listener: TcpListener, replies: Vec<String>) {
    let (mut tcp, _) = listener.accept().await.expect("a connection");
    for reply in replies {
        read_request(&mut tcp).await;
        tcp.write_all(reply.as_bytes()).await.expect("an open connection");
    }
    read_request(&mut tcp).await;
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

async fn ask(client: &Client, address: SocketAddr) -> CallResult {
    exchange(client.post(format!("http://{address}/")).timeout(Duration::from_secs(5))).await.result
}

fn verdict(result: &CallResult) -> Option<(Verdict, FailReason)> {
    match result {
        CallResult::Failed { verdict, reason } => Some((*verdict, *reason)),
        CallResult::Rows { .. } => None,
    }
}

#[tokio::test]
async fn only_documented_refusals_and_failed_connects_are_not_run() {
    let refused = |headers| http("503 Unavailable", headers, "");
    let cases = [
        (http("200 OK", "", REPLY), None),
        (http("410 Gone", "", ""), Some((Verdict::NotRun, FailReason::SnapshotGone))),
        (refused("x-not-run: 1\r\n"), Some((Verdict::NotRun, FailReason::Overloaded))),
        (
            refused("x-not-run: 1\r\nx-draining: 1\r\n"),
            Some((Verdict::NotRun, FailReason::Draining)),
        ),
        (refused(""), Some((Verdict::MayHaveRun, FailReason::UpstreamError))),
        (refused("x-draining: 1\r\n"), Some((Verdict::MayHaveRun, FailReason::UpstreamError))),
        (
            http("500 Error", "x-not-run: 1\r\n", ""),
            Some((Verdict::MayHaveRun, FailReason::UpstreamError)),
        ),
        (
            http("307 Redirect", "location: /\r\n", ""),
            Some((Verdict::MayHaveRun, FailReason::UpstreamError)),
        ),
        (http("200 OK", "", "{}"), Some((Verdict::MayHaveRun, FailReason::BadReply))),
    ];
    for (reply, wanted) in cases {
        let (listener, address) = listen().await;
        let server = tokio::spawn(serve(listener, vec![reply.clone()]));
        let client = new_client(address, address.ip()).expect("a client");
        assert_eq!(verdict(&ask(&client, address).await), wanted, "{reply}");
        server.abort();
    }
    let (listener, address) = listen().await;
    drop(listener);
    let client = new_client(address, address.ip()).expect("a client");
    let wanted = Some((Verdict::NotRun, FailReason::Connection));
    assert_eq!(verdict(&ask(&client, address).await), wanted);
}

#[tokio::test]
async fn pooled_connection_that_breaks_under_a_request_may_have_run_it() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(serve(listener, vec![http("200 OK", "", REPLY)]));
    let client = new_client(address, address.ip()).expect("a client");
    let CallResult::Rows { request, snapshot, .. } = ask(&client, address).await else {
        panic!("the first request has a result");
    };
    assert_eq!((request, snapshot), (QueryTag(7), Snapshot(5)));
    let wanted = Some((Verdict::MayHaveRun, FailReason::Connection));
    assert_eq!(verdict(&ask(&client, address).await), wanted);
    server.await.expect("one connection carried both requests");
}

#[tokio::test]
async fn connections_come_from_the_own_address() {
    let (listener, address) = listen().await;
    let client = new_client(address, "127.0.0.9".parse().expect("an address")).expect("a client");
    let accepted = tokio::spawn(async move { listener.accept().await.expect("a connection").1 });
    let asked = tokio::spawn(async move { ask(&client, address).await });
    assert_eq!(accepted.await.expect("a peer").ip().to_string(), "127.0.0.9");
    asked.abort();
}
