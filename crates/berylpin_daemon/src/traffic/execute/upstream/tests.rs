use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const REPLY: &str = r#"{"request":"0000000000000007","shard":"s","result":"x"}"#;

/// Runs a call whose upstream replies with a status line and headers.
async fn call_with_reply(status_line: &str, headers: &str) -> CallResult {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let length = REPLY.len();
    let reply = format!("{status_line}\r\ncontent-length: {length}\r\n{headers}\r\n{REPLY}");
    let server = tokio::spawn(async move {
        let (mut tcp, _) = listener.accept().await.expect("the client connects");
        let read = tcp.read(&mut [0; 4096]).await.expect("the client sends a request");
        assert!(read > 0, "the client keeps the connection open");
        tcp.write_all(reply.as_bytes()).await.expect("the client waits for the reply");
        // Keeps the connection open until the client closes it.
        let _ = tcp.read(&mut [0; 1]).await;
    });
    let (mailbox, _rx) = Mailbox::new();
    let client = ExecutionClient::new(mailbox).client.expect("the client can be created");
    let result = run_call(client.post(format!("http://{address}/"))).await;
    server.abort();
    result
}

/// An execution may not run twice, so a reply with an odd status must not count as not run.
#[tokio::test]
async fn only_a_documented_refusal_counts_as_not_run() {
    let cases = [
        ("HTTP/1.1 503 X", "x-not-run: 1\r\n", Verdict::NotRun),
        ("HTTP/1.1 503 X", "", Verdict::MayHaveRun),
        ("HTTP/1.1 000 X", "x-not-run: 1\r\n", Verdict::MayHaveRun),
        ("HTTP/1.1 101 X", "x-not-run: 1\r\n", Verdict::MayHaveRun),
        ("HTTP/1.1 600 X", "x-not-run: 1\r\n", Verdict::MayHaveRun),
        ("HTTP/1.1 2OO X", "x-not-run: 1\r\n", Verdict::MayHaveRun),
        ("HTTP/1.1 307 X", "location: /\r\n", Verdict::MayHaveRun),
    ];
    for (status_line, headers, expected) in cases {
        let CallResult::Failed { verdict, .. } = call_with_reply(status_line, headers).await else {
            panic!("{status_line} is no reply");
        };
        assert_eq!(verdict, expected, "{status_line} {headers}");
    }
    let replied = call_with_reply("HTTP/1.1 200", "").await;
    assert!(matches!(replied, CallResult::Replied { .. }), "{replied:?}");
}
