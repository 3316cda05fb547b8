//! Transfer of pages between instances in chunks; large pages are compressed.
//!
//! The timeout applies to each chunk, not to the whole page. A timeout for the whole page would
//! have to assume a link speed, and on a slower link every transfer would be aborted and restarted
//! forever.

use std::io::{Read, Write};
use std::time::Duration;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use futures::{Stream, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum time between two chunks of a page. A chunk takes 13 ms at 10 Mbit/s, the slowest link of
/// the users' sites; the margin is for instances that run several times slower than usual.
pub const CHUNK_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a chunk in bytes.
pub const CHUNK_MAX_BYTES: usize = 16 << 10;
/// Smaller pages are not compressed: setting up a compressor costs more than it saves.
const COMPRESS_MIN_BYTES: usize = 4 << 10;
/// Maximum size of a decompressed page in bytes. The largest allowed configuration has 4 MB.
const PAGE_MAX_BYTES: u64 = 64 << 20;

/// A page encoded for transfer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedPage {
    /// Whether the JSON text is compressed with DEFLATE.
    pub compressed: bool,
    /// The JSON text, compressed or not.
    pub bytes: Bytes,
}

/// Errors when transferring or decoding a page.
#[derive(Debug, thiserror::Error)]
pub enum PageError {
    /// No chunk arrived within the timeout.
    #[error("page transfer timed out: no chunk within {} ms", .0.as_millis())]
    TimedOut(Duration),
    /// The connection failed during the transfer.
    #[error("page transfer aborted: {0}")]
    Aborted(String),
    /// The page could not be encoded or decoded.
    #[error("malformed page: {0}")]
    Malformed(String),
}

impl EncodedPage {
    /// Encodes a page, compressed if it has at least 4 KiB.
    ///
    /// # Errors
    /// The value cannot be represented as JSON.
    pub fn encode(value: &impl Serialize) -> Result<Self, PageError> {
        let malformed = |reason: String| PageError::Malformed(reason);
        let text = serde_json::to_vec(value).map_err(|error| malformed(error.to_string()))?;
        if text.len() < COMPRESS_MIN_BYTES {
            return Ok(Self {
                compressed: false,
                bytes: text.into(),
            });
        }
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let written = encoder.write_all(&text).and_then(|()| encoder.finish());
        let bytes = written.map_err(|error| malformed(error.to_string()))?;
        Ok(Self {
            compressed: true,
            bytes: bytes.into(),
        })
    }

    /// Decodes a page.
    ///
    /// # Errors
    /// The bytes are malformed or do not match the type.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, PageError> {
        let malformed = |reason: String| PageError::Malformed(reason);
        if !self.compressed {
            return serde_json::from_slice(&self.bytes)
                .map_err(|error| malformed(error.to_string()));
        }
        let mut text = Vec::new();
        let mut decoder = DeflateDecoder::new(&self.bytes[..]).take(PAGE_MAX_BYTES);
        decoder
            .read_to_end(&mut text)
            .map_err(|error| malformed(error.to_string()))?;
        serde_json::from_slice(&text).map_err(|error| malformed(error.to_string()))
    }

    /// Returns the bytes in chunks; an empty page has one empty chunk.
    pub fn chunks(&self) -> impl Iterator<Item = Bytes> + use<> {
        let bytes = self.bytes.clone();
        let count = bytes.len().div_ceil(CHUNK_MAX_BYTES).max(1);
        (0..count).map(move |number| {
            let begin = number * CHUNK_MAX_BYTES;
            let end = (begin + CHUNK_MAX_BYTES).min(bytes.len());
            bytes.slice(begin..end)
        })
    }
}

/// Collects a stream of chunks into one buffer.
///
/// # Errors
/// The stream failed, or no chunk arrived within `chunk_timeout`.
pub async fn collect_chunks<E: std::fmt::Display>(
    mut chunks: impl Stream<Item = Result<Bytes, E>> + Unpin,
    chunk_timeout: Duration,
) -> Result<Bytes, PageError> {
    let mut page = Vec::new();
    loop {
        let chunk = tokio::time::timeout(chunk_timeout, chunks.next()).await;
        match chunk {
            Err(_) => return Err(PageError::TimedOut(chunk_timeout)),
            Ok(None) => return Ok(page.into()),
            Ok(Some(Ok(chunk))) => page.extend_from_slice(&chunk),
            Ok(Some(Err(error))) => return Err(PageError::Aborted(error.to_string())),
        }
    }
}
