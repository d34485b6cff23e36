//! Bodies are whole only if their framing says so, wherever a response is cut off.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;

use flaxtide_platform::read_whole_body;

/// The body of each response.
const BODY: &[u8] = b"right";

/// Returns the body that is read of a response, if it counts as whole.
fn read(response: &[u8]) -> Option<Vec<u8>> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let response = response.to_vec();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = vec![];
        while !request.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            request.extend(byte);
        }
        stream.write_all(&response).unwrap();
    });
    let body = attohttpc::get(url).send();
    let body = body.and_then(|response| read_whole_body(response, BODY.len())).ok();
    server.join().unwrap();
    body
}

// Guards against a response that is cut off, also in its head, counting as whole.
#[test]
fn a_framed_body_is_whole_only_with_its_last_byte() {
    let cases: [&[u8]; 3] = [
        b"HTTP/1.1 200 OK\r\nServer: a\r\nContent-Length: 5\r\n\r\nright",
        b"HTTP/1.0 200 OK\r\nContent-Length: 5\r\nServer: a\r\n\r\nright",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nri\r\n3\r\nght\r\n0\r\n\r\n",
    ];
    for whole in cases {
        assert_eq!(read(whole).as_deref(), Some(BODY));
        for count in 0..whole.len() {
            let cut = &whole[..count];
            assert_eq!(read(cut), None, "{:?}", String::from_utf8_lossy(cut));
        }
    }
}

// Guards against an end that is only implied counting as one that was stated.
#[test]
fn a_body_that_ends_with_its_connection_is_not_whole() {
    for version in ["1.0", "1.1"] {
        for body in ["", "right"] {
            let response = format!("HTTP/{version} 200 OK\r\nServer: a\r\n\r\n{body}");
            assert_eq!(read(response.as_bytes()), None, "{response:?}");
        }
    }
}

// Guards against responses that have no body counting as broken for their lack of a length.
#[test]
fn a_response_without_a_body_needs_no_length() {
    for status in ["204 No Content", "304 Not Modified"] {
        for length in ["", "Content-Length: 5\r\n"] {
            let response = format!("HTTP/1.1 {status}\r\n{length}\r\n");
            assert_eq!(read(response.as_bytes()), Some(vec![]), "{response:?}");
        }
    }
}

// Guards against a faulty server whose response takes all memory.
#[test]
fn a_body_that_is_too_long_is_an_error() {
    let cases: [&[u8]; 3] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nright!",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nright!\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nright!",
    ];
    for long in cases {
        assert_eq!(read(long), None, "{:?}", String::from_utf8_lossy(long));
    }
}
