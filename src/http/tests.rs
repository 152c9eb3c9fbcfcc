use super::*;

fn server(most: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        serve(
            listener,
            most,
            Arc::new(|r: Request| Some(Answer::new(200, r.body))),
        )
    });
    addr
}

fn raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut s = TcpStream::connect(addr).unwrap();
    s.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let _ = s.write_all(bytes);
    let _ = s.shutdown(std::net::Shutdown::Write);
    let mut out = Vec::new();
    let _ = s.read_to_end(&mut out);
    String::from_utf8_lossy(&out).into_owned()
}

#[test]
fn broken_requests_are_refused_and_others_are_still_served() {
    let addr = server(3);
    assert!(raw(addr, b"nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
    let big = b"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n";
    let answer = raw(addr, big);
    assert!(answer.starts_with("HTTP/1.1 413") && answer.contains("Connection: close"));
    let minus = b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n";
    assert!(raw(addr, minus).starts_with("HTTP/1.1 400"));
    let chunked = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    assert!(raw(addr, chunked).starts_with("HTTP/1.1 501"));
    let long = [b"GET /".as_slice(), &[b'a'; 10_000]].concat();
    assert!(raw(addr, &long).starts_with("HTTP/1.1 431"));
    assert_eq!(raw(addr, b"GET / HTTP/1.1\r\nContent-Le"), "");

    let SocketAddr::V4(v4) = addr else { panic!() };
    let mut client = Client::new(v4, Duration::from_secs(1));
    for n in 0..3 {
        let body = format!("call {n}").into_bytes();
        let answer = client.call("POST", "/", &body, Duration::from_secs(5), false);
        assert_eq!(answer, Ok((200, body)));
    }
}

#[test]
fn connections_over_the_bound_are_told_to_come_back() {
    let addr = server(1);
    let held = TcpStream::connect(addr).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    let answer = raw(addr, b"GET / HTTP/1.1\r\n\r\n");
    assert!(
        answer.is_empty() || answer.contains("Retry-After"),
        "{answer}"
    );
    drop(held);
}
