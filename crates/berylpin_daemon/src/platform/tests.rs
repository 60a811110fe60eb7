use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// A name with characters of a URL changed or deleted another object.
#[tokio::test]
async fn calls_for_one_object_encode_its_name() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let platform = Platform::new(listener.local_addr().unwrap(), IpAddr::from([127, 0, 0, 1]));
    let calls = async {
        let name = "services/a/../b?c#d%&e";
        platform.put(name, Condition::New, String::new()).await.unwrap();
        platform.delete(name, Condition::Version(3)).await.unwrap();
        platform.list_documents(name).await.unwrap();
    };
    let server = async {
        let mut request_lines = Vec::new();
        for body in [r#"{"version":1}"#, r#"{"version":2}"#, r#"{"revision":2,"objects":[]}"#] {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buf = vec![0; 4096];
            let read = stream.read(&mut buf).await.unwrap();
            let text = String::from_utf8_lossy(&buf[..read]).into_owned();
            request_lines.push(text.lines().next().unwrap_or_default().to_owned());
            let head = format!("content-length: {}\r\nconnection: close\r\n\r\n", body.len());
            let answer = format!("HTTP/1.1 200 OK\r\n{head}{body}");
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
        request_lines
    };
    let ((), request_lines) = tokio::join!(calls, server);
    let encoded = "services/a%2F..%2Fb%3Fc%23d%25%26e";
    assert_eq!(request_lines[0], format!("PUT /v1/objects/{encoded} HTTP/1.1"));
    assert_eq!(request_lines[1], format!("DELETE /v1/objects/{encoded} HTTP/1.1"));
    let prefix = encoded.replace('/', "%2F");
    assert_eq!(request_lines[2], format!("GET /v1/objects?prefix={prefix} HTTP/1.1"));
}
