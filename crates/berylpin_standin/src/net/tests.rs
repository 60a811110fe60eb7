use super::*;
use tokio::net::TcpSocket;
use tokio::time::timeout;

/// Timeout of an expected echo.
const ECHO_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a connection is observed to count as silent.
const SILENCE_WINDOW: Duration = Duration::from_millis(100);

async fn echo(listener: TcpListener) {
    while let Ok((mut tcp, _)) = listener.accept().await {
        tokio::spawn(async move {
            let (mut rx, mut tx) = tcp.split();
            let _ = tokio::io::copy(&mut rx, &mut tx).await;
        });
    }
}

/// Starts a proxy in zone 1, at a host that no client uses, in front of an echo server.
async fn start(net: &Arc<Net>, max_connections: usize) -> Proxy {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(echo(listener));
    let target = ProxyTarget { zone: Zone(1), address, max_connections, count_bytes: true };
    Proxy::start(net.clone(), 200, target).await.unwrap()
}

async fn connect(zone: Zone, proxy: &Proxy) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind((zone.address(1), 0).into()).unwrap();
    socket.connect(proxy.address()).await.unwrap()
}

async fn send_byte(tcp: &mut TcpStream) {
    tcp.write_all(b"x").await.unwrap();
}

/// Returns whether a byte arrives within a duration.
async fn receives_byte(tcp: &mut TcpStream, duration: Duration) -> bool {
    timeout(duration, tcp.read_u8()).await.is_ok_and(|byte| byte.is_ok())
}

#[tokio::test]
async fn a_cut_delays_bytes_until_it_is_healed() {
    let net = Net::new(Duration::ZERO);
    let proxy = start(&net, 10).await;
    let mut cut_client = connect(Zone(0), &proxy).await;
    let mut other_client = connect(Zone(2), &proxy).await;
    net.set_cut(Zone(1), Zone(0), true);
    send_byte(&mut cut_client).await;
    send_byte(&mut other_client).await;
    assert!(!receives_byte(&mut cut_client, SILENCE_WINDOW).await);
    assert!(receives_byte(&mut other_client, ECHO_TIMEOUT).await);
    net.set_cut(Zone(0), Zone(1), false);
    assert!(receives_byte(&mut cut_client, ECHO_TIMEOUT).await);
    assert_eq!(net.control_bytes(), 4);
}

#[tokio::test]
async fn a_one_way_cut_leaves_the_reverse_path_open() {
    let net = Net::new(Duration::ZERO);
    let proxy = start(&net, 10).await;
    let mut cut_client = connect(Zone(0), &proxy).await;
    send_byte(&mut cut_client).await;
    assert!(receives_byte(&mut cut_client, ECHO_TIMEOUT).await);
    net.set_one_way_cut(Zone(1), Zone(0), true);
    send_byte(&mut cut_client).await;
    assert!(!receives_byte(&mut cut_client, SILENCE_WINDOW).await);
    assert_eq!(net.control_bytes(), 3, "the byte is forwarded but its echo is not");
    net.set_one_way_cut(Zone(1), Zone(0), false);
    assert!(receives_byte(&mut cut_client, ECHO_TIMEOUT).await);
}

#[tokio::test]
async fn silent_connections_stay_silent_and_new_ones_work() {
    let net = Net::new(Duration::ZERO);
    let proxy = start(&net, 10).await;
    let mut old = connect(Zone(0), &proxy).await;
    send_byte(&mut old).await;
    assert!(receives_byte(&mut old, ECHO_TIMEOUT).await);
    net.silence_connections();
    send_byte(&mut old).await;
    assert!(!receives_byte(&mut old, SILENCE_WINDOW).await);
    let mut new = connect(Zone(0), &proxy).await;
    send_byte(&mut new).await;
    assert!(receives_byte(&mut new, ECHO_TIMEOUT).await);
}

#[tokio::test]
async fn connections_beyond_the_limit_are_closed() {
    let net = Net::new(Duration::ZERO);
    let proxy = start(&net, 1).await;
    let mut first = connect(Zone(0), &proxy).await;
    send_byte(&mut first).await;
    assert!(receives_byte(&mut first, ECHO_TIMEOUT).await);
    let mut second = connect(Zone(0), &proxy).await;
    let closed = timeout(ECHO_TIMEOUT, second.read_u8()).await.unwrap();
    assert!(closed.is_err());
}

#[tokio::test]
async fn only_bytes_between_data_centres_are_delayed() {
    let delay = Duration::from_millis(30);
    let net = Net::new(delay);
    let proxy = start(&net, 10).await;
    for (zone, min_latency) in [(Zone(1), Duration::ZERO), (Zone(0), delay * 2)] {
        let mut tcp = connect(zone, &proxy).await;
        let start = Instant::now();
        send_byte(&mut tcp).await;
        assert!(receives_byte(&mut tcp, ECHO_TIMEOUT).await);
        assert!(start.elapsed() >= min_latency);
    }
}
