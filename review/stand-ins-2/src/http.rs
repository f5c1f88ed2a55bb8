//! Reads HTTP/1.1 heads and bodies as received.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt};

/// A head: its first line and its header lines.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub lines: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut lines = self.lines.iter();
        let line = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        line.map(|(_, value)| value.as_str())
    }

    /// The second word of the first line: the target of a request, the status of a response.
    pub fn second_word(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some()
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }
}

/// Reads more bytes; an error at the end of the stream.
pub async fn fill<R>(stream: &mut R, buf: &mut Vec<u8>) -> io::Result<()>
where
    R: AsyncRead + Unpin,
{
    match stream.read_buf(buf).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}

/// Reads a head and removes it from `buf`.
pub async fn read_head<R>(stream: &mut R, buf: &mut Vec<u8>) -> io::Result<Head>
where
    R: AsyncRead + Unpin,
{
    let end = loop {
        match buf.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            Some(at) => break at + 4,
            None => fill(stream, buf).await?,
        }
    };
    let text = String::from_utf8_lossy(&buf[..end]).into_owned();
    buf.drain(..end);
    let mut lines = text.split("\r\n").filter(|line| !line.is_empty());
    let first = lines.next().unwrap_or_default().to_owned();
    let lines = lines.filter_map(|line| line.split_once(':'));
    let lines = lines.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
    Ok(Head {
        first,
        lines: lines.collect(),
    })
}

/// Reads exactly this many bytes and removes them from `buf`.
pub async fn read_exactly<R>(stream: &mut R, buf: &mut Vec<u8>, len: usize) -> io::Result<Vec<u8>>
where
    R: AsyncRead + Unpin,
{
    while buf.len() < len {
        fill(stream, buf).await?;
    }
    let rest = buf.split_off(len);
    Ok(std::mem::replace(buf, rest))
}

/// Reads a chunked body up to its end.
pub async fn read_chunks<R>(stream: &mut R, buf: &mut Vec<u8>) -> io::Result<Vec<u8>>
where
    R: AsyncRead + Unpin,
{
    let mut body = Vec::new();
    loop {
        let end = loop {
            match buf.windows(2).position(|bytes| bytes == b"\r\n") {
                Some(at) => break at,
                None => fill(stream, buf).await?,
            }
        };
        let line = read_exactly(stream, buf, end + 2).await?;
        let size = String::from_utf8_lossy(&line[..end]).into_owned();
        let size = size.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
        let chunk = read_exactly(stream, buf, size + 2).await?;
        body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return Ok(body);
        }
    }
}

/// Reads up to the orderly end of the connection.
pub async fn read_to_end<R>(stream: &mut R, buf: &mut Vec<u8>) -> io::Result<Vec<u8>>
where
    R: AsyncRead + Unpin,
{
    loop {
        match fill(stream, buf).await {
            Ok(()) => {}
            Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => return Ok(std::mem::take(buf)),
            Err(e) => return Err(e),
        }
    }
}
