//! Connections to backend servers through another node: bytes, ends, refusals, bounds.

mod fixture;

use bytes::Bytes;
use edge::app::App;
use edge::link;
use edge::socket::Socket;
use edge::tunnel::{Error, Frame, Hello, PATH, Refusal, Reply, Tunnel, WINDOW};
use fixture::site;
use futures::{SinkExt, StreamExt};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use settings::log::Drops;
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy, split};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_tungstenite::{WebSocketStream, accept_async, client_async};

/// Time in which a cancelled request must have ended at its backend server.
const CANCEL_TIME: Duration = Duration::from_millis(500);
/// Kernel buffer of the backend server's sockets, so that they hide little of what a tunnel holds.
const SERVER_BUFFER: usize = 16 << 10;

/// A node that serves tunnels, and a backend server.
struct Fixture {
    app: Arc<App>,
    address: SocketAddrV4,
    server: TcpListener,
}

/// An address that nothing else uses: a loopback address of its own, and a port below the ephemeral ones.
fn address() -> SocketAddrV4 {
    static COUNT: AtomicU32 = AtomicU32::new(1);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id() & 0x7fff;
    SocketAddrV4::new(Ipv4Addr::from(0x7f80_0000 | process << 8 | count), 7400)
}

impl Fixture {
    async fn start() -> Self {
        let address = address();
        let mut site = site();
        site.link_address = address;
        let app = Arc::new(App::new(site, Drops::default()).unwrap());
        link::listen(Arc::clone(&app)).await.unwrap();
        let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let socket = SockRef::from(&server);
        socket.set_recv_buffer_size(SERVER_BUFFER).unwrap();
        socket.set_send_buffer_size(SERVER_BUFFER).unwrap();
        let fixture = Self {
            app,
            address,
            server,
        };
        fixture.list("i-1", fixture.server.local_addr().unwrap());
        fixture
    }

    fn list(&self, id: &str, address: SocketAddr) {
        let entry = format!(
            r#"{{"service":"s","address":"{address}","zone":"a","version":"v1","slots":4,
            "state":"ready","coldRemainingMs":0,"born":1}}"#
        );
        let listing = platform::parse_listing(id, entry.as_bytes()).unwrap();
        self.app.state().pool.upsert(Instant::now(), listing);
    }

    async fn try_open(&self, server: &str) -> Result<Tunnel, Error> {
        Tunnel::open(self.address, "n-2", server, Duration::from_secs(1)).await
    }

    /// Opens a WebSocket connection to the node.
    async fn connect_raw(&self, path: &str) -> WebSocketStream<TcpStream> {
        let stream = TcpStream::connect(self.address).await.unwrap();
        let url = format!("ws://{}{path}", self.address);
        client_async(url, stream).await.unwrap().0
    }

    /// Opens a tunnel; returns the backend server's side too.
    async fn open(&self) -> (Tunnel, TcpStream) {
        let tunnel = self.try_open("i-1").await.unwrap();
        (tunnel, self.server.accept().await.unwrap().0)
    }
}

fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|index| (index % 251) as u8).collect()
}

/// Names tests of bodies that a backend server sends back: none may be shortened, reordered or stuck.
macro_rules! bodies {
    ($($name:ident: $length:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (tunnel, mut server) = Fixture::start().await.open().await;
            let echo = tokio::spawn(async move {
                let (mut reader, mut writer) = server.split();
                copy(&mut reader, &mut writer).await.unwrap();
            });
            let (mut reader, mut writer) = split(tunnel);
            let body = pattern($length);
            let sent = body.clone();
            tokio::spawn(async move {
                writer.write_all(&sent).await.unwrap();
                writer.shutdown().await.unwrap();
            });
            let mut received = Vec::new();
            let reading = reader.read_to_end(&mut received);
            timeout(Duration::from_secs(20), reading).await.unwrap().unwrap();
            assert!(received == body, "{} of {} bytes", received.len(), body.len());
            echo.await.unwrap();
        }
    )*};
}

bodies! {
    an_empty_body_arrives: 0;
    a_short_body_arrives_whole: 5;
    a_body_of_one_window_arrives_whole: WINDOW;
    a_large_body_arrives_whole: (8 << 20) + 1;
}

const HEAD: &[u8] = b"POST / HTTP/1.1\r\n\r\n";

/// How a backend server ends a connection.
enum End {
    /// It reads the request, answers and closes.
    Regular,
    /// It reads the request, begins to answer and resets the connection.
    Reset,
    /// It answers and closes its side without having read the request.
    Unread,
}

/// Sends a request of this many bytes and reads the answer until its end.
async fn request(length: usize, end: End) -> io::Result<usize> {
    let (tunnel, mut server) = Fixture::start().await.open().await;
    let (mut reader, mut writer) = split(Socket::new(tunnel, length).unwrap());
    let request = [HEAD, &pattern(length)].concat();
    let mut read = vec![0; request.len()];
    tokio::spawn(async move { writer.write_all(&request).await });
    let reads = !matches!(end, End::Unread);
    tokio::spawn(async move {
        if reads {
            server.read_exact(&mut read).await.unwrap();
        }
        server.write_all(b"answer").await.unwrap();
        match end {
            End::Reset => {
                // The answer's bytes have arrived by then, as those of a stream in progress.
                sleep(Duration::from_millis(100)).await;
                SockRef::from(&server)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
            }
            End::Regular | End::Unread => server.shutdown().await.unwrap(),
        }
        if !reads {
            // A socket that is closed with unread bytes would reset the connection.
            sleep(Duration::from_secs(5)).await;
        }
    });
    let mut answer = Vec::new();
    let reading = reader.read_to_end(&mut answer);
    timeout(Duration::from_secs(4), reading).await.unwrap()
}

/// Names tests of ends: an answer without a length looks complete exactly if it is.
macro_rules! ends {
    ($($name:ident: $length:expr, $end:expr => $expected:pat,)*) => {$(
        #[tokio::test]
        async fn $name() {
            let result = request($length, $end).await.map_err(|error| error.kind());
            assert!(matches!(result, $expected), "{result:?}");
        }
    )*};
}

ends! {
    a_regular_end_is_the_end: 100_000, End::Regular => Ok(6),
    a_reset_is_an_error: 100_000, End::Reset => Err(ErrorKind::ConnectionReset),
    an_end_with_an_unread_request_is_an_error: 4 << 20, End::Unread => Err(ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset),
}

/// Opens a tunnel to a serving side that the test plays.
async fn open_raw() -> (Tunnel, WebSocketStream<TcpStream>) {
    let address = address();
    let listener = TcpListener::bind(address).await.unwrap();
    let opening =
        tokio::spawn(
            async move { Tunnel::open(address, "n-2", "i-1", Duration::from_secs(1)).await },
        );
    let (stream, _) = listener.accept().await.unwrap();
    let mut link = accept_async(stream).await.unwrap();
    let hello = Hello::decode(&link.next().await.unwrap().unwrap()).unwrap();
    assert_eq!((hello.server.as_str(), hello.node.as_str()), ("i-1", "n-2"));
    link.send(Reply::Connected.encode().unwrap()).await.unwrap();
    (opening.await.unwrap().unwrap(), link)
}

/// Names tests of what the opener reads after the frames of a serving node that then goes away.
macro_rules! serving_ends {
    ($($name:ident: $frames:expr => $expected:pat,)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (mut tunnel, mut link) = open_raw().await;
            tunnel.write_all(b"12345").await.unwrap();
            tokio::spawn(async move {
                for frame in $frames {
                    link.send(frame.encode()).await.unwrap();
                }
                // Unread bytes would reset the connection.
                let _ = link.next().await;
            });
            let result = tunnel.read_to_end(&mut Vec::new()).await.map_err(|error| error.kind());
            assert!(matches!(result, $expected), "{result:?}");
        }
    )*};
}

serving_ends! {
    a_node_that_goes_away_is_no_end: [Frame::Data(b"answer".to_vec().into())] => Err(ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset),
    an_end_before_the_request_was_taken_is_an_error: [Frame::End(4)] => Err(ErrorKind::ConnectionAborted),
    an_end_after_the_request_was_taken_is_the_end: [Frame::Data(b"a".to_vec().into()), Frame::End(5)] => Ok(1),
}

#[tokio::test]
async fn a_write_fails_only_after_the_answer_was_read() {
    let (tunnel, mut link) = open_raw().await;
    tokio::spawn(async move {
        for frame in [Frame::Data(b"answer".to_vec().into()), Frame::End(0)] {
            link.send(frame.encode()).await.unwrap();
        }
        while let Some(Ok(_)) = link.next().await {}
    });
    let (mut reader, mut writer) = split(tunnel);
    let writing = tokio::spawn(async move { writer.write_all(&[0; 2 * WINDOW]).await });
    sleep(Duration::from_millis(200)).await;
    assert!(!writing.is_finished(), "the write has failed");
    let mut answer = [0; 6];
    reader.read_exact(&mut answer).await.unwrap();
    let written = timeout(Duration::from_secs(1), writing).await.unwrap();
    assert_eq!(written.unwrap().unwrap_err().kind(), ErrorKind::BrokenPipe);
}

/// The HTTP library writes head and body in one call, and ends its side with the connection.
#[tokio::test]
async fn a_request_of_the_http_library_is_answered_whole() {
    let (tunnel, mut server) = Fixture::start().await.open().await;
    let body = pattern(1 << 20);
    let expected = body.clone();
    let serving = tokio::spawn(async move {
        let mut received = Vec::new();
        while !received.ends_with(&expected) {
            assert!(
                server.read_buf(&mut received).await.unwrap() > 0,
                "ended early"
            );
        }
        let head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
        server.write_all(head).await.unwrap();
        server.write_all(&expected).await.unwrap();
    });
    let socket = Socket::new(tunnel, body.len()).unwrap();
    let connected = http1::handshake(TokioIo::new(socket)).await;
    let (mut sender, connection) = connected.unwrap();
    tokio::spawn(connection);
    let request = Request::post("/").body(Full::new(Bytes::from(body.clone())));
    let response = sender.send_request(request.unwrap()).await.unwrap();
    let answer = response.into_body().collect().await.unwrap().to_bytes();
    assert!(answer == body, "{} bytes", answer.len());
    serving.await.unwrap();
}

/// Names tests of openers that leave: the backend server must notice in time.
macro_rules! departures {
    ($($name:ident: $written:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let fixture = Fixture::start().await;
            let (mut tunnel, mut server) = fixture.open().await;
            assert_eq!(fixture.app.tunnels.count(), 1);
            // A body that doesn't fit waits for a backend server that doesn't read.
            let body = pattern($written);
            let _ = timeout(Duration::from_millis(300), tunnel.write_all(&body)).await;
            drop(tunnel);
            // The node notices before a blocked backend server reads on.
            sleep(CANCEL_TIME / 2).await;
            assert_eq!(fixture.app.tunnels.count(), 0);
            let mut received = Vec::new();
            let closed = timeout(CANCEL_TIME / 2, server.read_to_end(&mut received));
            assert!(closed.await.is_ok(), "the connection is open");
        }
    )*};
}

departures! {
    an_opener_that_leaves_ends_an_idle_connection: 0;
    an_opener_that_leaves_ends_a_connection_in_use: 5;
    an_opener_that_leaves_ends_a_blocked_connection: 4 << 20;
}

/// Names tests of refusals: each has its type, and nothing is connected.
macro_rules! refusals {
    ($($name:ident: $server:expr, $prepare:expr => $expected:pat,)*) => {$(
        #[tokio::test]
        async fn $name() {
            let fixture = Fixture::start().await;
            // Held for as long as the tunnel is asked for.
            let prepare = $prepare;
            let _prepared = prepare(&fixture);
            let result = fixture.try_open($server).await;
            assert!(matches!(result, Err(Error::Refused($expected))), "{result:?}");
            let connected = timeout(Duration::from_millis(100), fixture.server.accept());
            assert!(connected.await.is_err(), "the backend server was connected");
        }
    )*};
}

refusals! {
    an_unknown_server_is_refused: "i-2", |_: &Fixture| () => Refusal::UnknownServer,
    a_server_that_has_ended_is_refused: "i-3",
        |node: &Fixture| node.list("i-3", address().into()) => Refusal::ConnectionRefused,
    a_tunnel_too_many_is_refused: "i-1",
        |node: &Fixture| (0..256).map(|_| node.app.tunnels.track()).collect::<Vec<_>>() =>
        Refusal::TooMany,
    a_server_that_leaves_gets_nothing_through_a_node_that_knows_it: "i-1",
        |node: &Fixture| node.app.state().pool.record_leaving("i-1", 1) => Refusal::Unwanted,
    a_server_that_paused_a_node_gets_nothing_through_it: "i-1",
        |node: &Fixture| {
            let pause = Duration::from_secs(5);
            node.app.state().pool.record_pause(Instant::now(), "i-1", 1, pause);
        } => Refusal::Unwanted,
    a_stopping_node_refuses: "i-1", |node: &Fixture| node.app.state().draining = true => Refusal::Stopping,
}

/// A node without requests of its own learns only from tunnels that it has lost its path. A failure here reports
/// sound backend servers as ended to the opener.
#[tokio::test]
async fn a_node_without_a_path_says_nothing_of_backend_servers() {
    let fixture = Fixture::start().await;
    for id in ["i-2", "i-3"] {
        fixture.list(id, address().into());
    }
    let first = fixture.try_open("i-2").await;
    let refused = matches!(first, Err(Error::Refused(Refusal::ConnectionRefused)));
    assert!(refused, "{first:?}");
    let second = fixture.try_open("i-3").await;
    let refused = matches!(second, Err(Error::Refused(Refusal::NoPath)));
    assert!(refused, "{second:?}");
    assert_eq!(fixture.app.state().reach.failed_count(), 2);
}

#[tokio::test]
async fn an_opener_that_gives_no_credit_is_sent_one_window() {
    let fixture = Fixture::start().await;
    let mut link = fixture.connect_raw(PATH).await;
    let hello = Hello {
        server: "i-1".to_owned(),
        node: "n-2".to_owned(),
    };
    link.send(hello.encode().unwrap()).await.unwrap();
    let reply = link.next().await.unwrap().unwrap();
    assert_eq!(Reply::decode(&reply), Some(Reply::Connected));
    let (mut server, _) = fixture.server.accept().await.unwrap();
    tokio::spawn(async move { server.write_all(&pattern(1 << 20)).await });
    let mut received = 0;
    while let Ok(message) = timeout(Duration::from_millis(300), link.next()).await {
        let Some(Frame::Data(bytes)) = Frame::decode(message.unwrap().unwrap()) else {
            panic!("no data");
        };
        received += bytes.len();
        assert!(received <= WINDOW, "{received} bytes");
    }
    assert_eq!(received, WINDOW);
}

#[tokio::test]
async fn a_server_that_does_not_read_bounds_what_is_under_way() {
    let (mut tunnel, _server) = Fixture::start().await.open().await;
    let mut accepted = 0;
    while let Ok(count) = timeout(Duration::from_millis(300), tunnel.write(&[0; 16 << 10])).await {
        accepted += count.unwrap();
        // A window, and the kernel's buffers of the connection to the backend server.
        assert!(accepted <= WINDOW + (256 << 10), "{accepted} bytes");
    }
}

/// Unread bytes end a TCP connection after its user timeout (2 s) if its buffers are full.
#[tokio::test]
async fn a_pause_of_the_reader_does_not_end_a_tunnel() {
    let (mut tunnel, mut server) = Fixture::start().await.open().await;
    let body = pattern(4 << 20);
    let sent = body.clone();
    tokio::spawn(async move { server.write_all(&sent).await });
    sleep(Duration::from_secs(4)).await;
    let mut received = Vec::new();
    tunnel.read_to_end(&mut received).await.unwrap();
    assert!(received == body, "{} bytes", received.len());
}
