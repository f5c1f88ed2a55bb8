//! Reading of HTTP/1.1 messages, as far as the cases need it.

use tokio::io::{AsyncRead, AsyncReadExt};

/// Returns the value of a header. Names are compared without regard to case.
pub fn header<'h>(head: &'h str, name: &str) -> Option<&'h str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then_some(value.trim())
    })
}

/// FNV-1a hash of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest(pub u64);

impl Default for Digest {
    fn default() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl Digest {
    pub fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// A connection to read from, with the bytes that were read ahead.
pub struct Input<R> {
    pub read: R,
    pub buf: Vec<u8>,
}

/// Length and digest of a body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BodySum {
    pub bytes: u64,
    pub digest: Digest,
}

impl<R> Input<R>
where
    R: AsyncRead + Unpin,
{
    async fn fill(&mut self) -> Option<()> {
        self.buf.reserve(64 * 1024);
        match self.read.read_buf(&mut self.buf).await {
            Ok(read) if read > 0 => Some(()),
            _ => None,
        }
    }

    /// Reads a head with its blank line; `None` if the connection ends before.
    pub async fn head(&mut self) -> Option<String> {
        loop {
            let end = self.buf.windows(4).position(|bytes| bytes == b"\r\n\r\n");
            if let Some(end) = end {
                let head: Vec<u8> = self.buf.drain(..end + 4).collect();
                return Some(String::from_utf8_lossy(&head).into_owned());
            }
            self.fill().await?;
        }
    }

    /// Reads the body that `head` announces; `None` if the connection ends before the end of the body. `sum` then
    /// holds what has arrived.
    pub async fn body(&mut self, head: &str, sum: &mut BodySum) -> Option<()> {
        let chunked = header(head, "transfer-encoding").is_some();
        if !chunked {
            let length = header(head, "content-length").and_then(|text| text.parse().ok());
            return self.exactly(length.unwrap_or(0), sum).await;
        }
        loop {
            let line = self.line().await?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = u64::from_str_radix(size, 16).ok()?;
            if size == 0 {
                while !self.line().await?.is_empty() {}
                return Some(());
            }
            self.exactly(size, sum).await?;
            self.line().await?;
        }
    }

    async fn line(&mut self) -> Option<String> {
        loop {
            let end = self.buf.windows(2).position(|bytes| bytes == b"\r\n");
            if let Some(end) = end {
                let line: Vec<u8> = self.buf.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill().await?;
        }
    }

    /// Returns the next bytes of a body of which `left` are missing; `None` if the connection ends.
    pub async fn part(&mut self, left: u64) -> Option<Vec<u8>> {
        if self.buf.is_empty() {
            self.fill().await?;
        }
        let taken = self
            .buf
            .len()
            .min(usize::try_from(left).unwrap_or(usize::MAX));
        Some(self.buf.drain(..taken).collect())
    }

    /// Reads this many bytes of a body; `None` if the connection ends before.
    pub async fn exactly(&mut self, mut left: u64, sum: &mut BodySum) -> Option<()> {
        while left > 0 {
            let part = self.part(left).await?;
            sum.digest.add(&part);
            sum.bytes += part.len() as u64;
            left -= part.len() as u64;
        }
        Some(())
    }
}

/// Returns the request lines among these bytes.
pub fn request_lines(bytes: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(bytes);
    let lines = text
        .lines()
        .filter_map(|line| line.strip_suffix(" HTTP/1.1"));
    lines.map(str::to_owned).collect()
}
