use super::*;
use tokio::net::TcpSocket;
use tokio::time::timeout;

/// How long an echo may take.
const ECHO_TIMEOUT: Duration = Duration::from_secs(10);

/// How long nothing may arrive for a connection to count as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(100);

async fn echo(listener: TcpListener) {
    while let Ok((mut tcp, _)) = listener.accept().await {
        tokio::spawn(async move {
            let (mut rx, mut tx) = tcp.split();
            let _ = tokio::io::copy(&mut rx, &mut tx).await;
        });
    }
}

/// Starts a proxy in zone 1 in front of an echo server.
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

async fn send(tcp: &mut TcpStream) {
    tcp.write_all(b"x").await.unwrap();
}

/// Returns whether a byte comes back within a time.
async fn receives_byte(tcp: &mut TcpStream, duration: Duration) -> bool {
    timeout(duration, tcp.read_u8()).await.is_ok_and(|byte| byte.is_ok())
}

#[tokio::test]
async fn a_cut_holds_bytes_back_until_it_heals() {
    let net = Net::new(Duration::ZERO);
    let proxy = start(&net, 10).await;
    let mut near = connect(Zone(0), &proxy).await;
    let mut other = connect(Zone(2), &proxy).await;
    net.set_cut(Zone(1), Zone(0), true);
    send(&mut near).await;
    send(&mut other).await;
    assert!(!receives_byte(&mut near, SILENCE_TIMEOUT).await);
    assert!(receives_byte(&mut other, ECHO_TIMEOUT).await);
    net.set_cut(Zone(0), Zone(1), false);
    assert!(receives_byte(&mut near, ECHO_TIMEOUT).await);
    assert_eq!(net.control_bytes(), 4);
}

#[tokio::test]
async fn a_cut_of_one_way_leaves_the_way_back_open() {
    let net = Net::new(Duration::ZERO);
    let proxy = start(&net, 10).await;
    let mut near = connect(Zone(0), &proxy).await;
    send(&mut near).await;
    assert!(receives_byte(&mut near, ECHO_TIMEOUT).await);
    net.set_one_way_cut(Zone(1), Zone(0), true);
    send(&mut near).await;
    assert!(!receives_byte(&mut near, SILENCE_TIMEOUT).await);
    assert_eq!(net.control_bytes(), 3, "the byte arrived and its echo is held back");
    net.set_one_way_cut(Zone(1), Zone(0), false);
    assert!(receives_byte(&mut near, ECHO_TIMEOUT).await);
}

#[tokio::test]
async fn silent_connections_stay_silent_and_new_ones_work() {
    let net = Net::new(Duration::ZERO);
    let proxy = start(&net, 10).await;
    let mut old = connect(Zone(0), &proxy).await;
    send(&mut old).await;
    assert!(receives_byte(&mut old, ECHO_TIMEOUT).await);
    net.silence_connections();
    send(&mut old).await;
    assert!(!receives_byte(&mut old, SILENCE_TIMEOUT).await);
    let mut new = connect(Zone(0), &proxy).await;
    send(&mut new).await;
    assert!(receives_byte(&mut new, ECHO_TIMEOUT).await);
}

#[tokio::test]
async fn connections_beyond_the_limit_are_closed() {
    let net = Net::new(Duration::ZERO);
    let proxy = start(&net, 1).await;
    let mut first = connect(Zone(0), &proxy).await;
    send(&mut first).await;
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
    for (zone, least) in [(Zone(1), Duration::ZERO), (Zone(0), delay * 2)] {
        let mut tcp = connect(zone, &proxy).await;
        let start = Instant::now();
        send(&mut tcp).await;
        assert!(receives_byte(&mut tcp, ECHO_TIMEOUT).await);
        assert!(start.elapsed() >= least);
    }
}
