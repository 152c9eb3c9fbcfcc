use super::*;
use std::net::{Ipv4Addr, TcpListener};

/// Returns a connection, and a blocking socket as its other end.
fn pair() -> (Connection, std::net::TcpStream) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let other = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().unwrap();
    stream.set_nonblocking(true).unwrap();
    (Connection::new(TcpStream::from_std(stream)), other)
}

/// Reads until this number of bytes has arrived.
fn fill(connection: &mut Connection, bytes: usize) -> io::Result<usize> {
    let mut total = 0;
    while total < bytes {
        total += connection.fill()?;
    }
    Ok(total)
}

#[test]
fn a_request_is_returned_only_once_all_its_bytes_have_arrived() {
    let (mut connection, mut other) = pair();
    let text = b"POST /do HTTP/1.1\r\nContent-Length: 4\r\n\r\nbodyGET /status HTTP/1.1\r\n\r\n";
    for (n, byte) in text.iter().enumerate() {
        other.write_all(&[*byte]).unwrap();
        fill(&mut connection, 1).unwrap();
        let complete = connection.take_request().unwrap();
        match n {
            43 => {
                let r = complete.expect("the first request is complete");
                assert_eq!(
                    (&*r.method, &*r.path, &*r.body),
                    ("POST", "/do", &b"body"[..])
                );
            }
            _ if n == text.len() - 1 => {
                let r = complete.expect("the second request is complete");
                assert_eq!((&*r.method, &*r.path), ("GET", "/status"));
            }
            _ => assert!(complete.is_none(), "request complete at byte {n}"),
        }
    }
}

#[test]
fn a_response_reports_whether_the_connection_closes() {
    let (mut connection, mut other) = pair();
    let text = b"HTTP/1.1 421 No\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}";
    other.write_all(text).unwrap();
    fill(&mut connection, text.len()).unwrap();
    let response = connection
        .take_response()
        .unwrap()
        .expect("the response is complete");
    assert_eq!(
        (response.status, &*response.body, response.close),
        (421, &b"{}"[..], true)
    );
    drop(other);
    assert!(
        connection.fill().is_err(),
        "the peer has closed the connection"
    );
}

#[test]
fn a_malformed_request_is_an_error() {
    for text in [
        "nonsense\r\n\r\n",
        "POST /do HTTP/1.1\r\nContent-Length: many\r\n\r\n",
    ] {
        let (mut connection, mut other) = pair();
        other.write_all(text.as_bytes()).unwrap();
        fill(&mut connection, text.len()).unwrap();
        assert!(connection.take_request().is_err(), "{text}");
    }
}
