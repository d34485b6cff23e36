//! Reads response bodies whole.

use std::io::{self, Read};

use attohttpc::header::CONTENT_LENGTH;
use attohttpc::{Response, StatusCode};

/// Reads the whole body of a response to another method than `HEAD`, of at most `max_bytes`.
///
/// ```
/// use std::io::{Read, Write};
/// use std::net::TcpListener;
/// let listener = TcpListener::bind("127.0.0.1:0")?;
/// let url = format!("http://{}", listener.local_addr()?);
/// let server = std::thread::spawn(move || {
///     let (mut stream, _) = listener.accept()?;
///     stream.read(&mut [0; 4096])?;
///     stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
/// });
/// let response = attohttpc::get(url).send()?;
/// assert!(flaxtide_platform::read_whole_body(response, 1000).is_err());
/// # server.join().unwrap()?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
///
/// # Errors
///
/// Returns an error if the body is longer, or if the connection breaks or ends before the length
/// that the response states: `attohttpc` takes that for the end of the body.
pub fn read_whole_body(
    response: Response,
    max_bytes: usize,
) -> attohttpc::Result<Vec<u8>> {
    let stated = stated_length(&response);
    let (.., reader) = response.split();
    let mut body = vec![];
    // One byte more shows that the body is longer.
    reader.take(max_bytes as u64 + 1).read_to_end(&mut body)?;
    if body.len() > max_bytes {
        let message = format!("the response is longer than {max_bytes} bytes");
        return Err(io::Error::new(io::ErrorKind::InvalidData, message).into());
    }
    if stated.is_some_and(|length| length > body.len()) {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
    Ok(body)
}

/// Returns the length of the body that follows, if the response states it. A response without
/// a body may state the length that another one would have.
fn stated_length(response: &Response) -> Option<usize> {
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    if bodiless.contains(&response.status()) {
        return None;
    }
    let length = response.headers().get(CONTENT_LENGTH)?;
    length.to_str().ok()?.trim().parse().ok()
}
