//! Pages that pass between instances: large ones compressed, all in parts, and read for as long as parts keep coming.
//!
//! A time limit on a whole page has to guess how fast the link is: on a slow one the page is given up and begun anew for ever. Here only
//! silence ends a transfer.

use std::io::{Read, Write};
use std::time::Duration;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use futures::{Stream, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest time between two parts of a page. A part takes 13 ms at 10 Mbit/s, the narrowest link of the users' sites; the rest is for
/// instances that run several times slower than usual.
pub const SILENCE_MAX: Duration = Duration::from_millis(500);
/// Most bytes in one part.
pub const PART_MAX_BYTES: usize = 16 << 10;
/// Smaller pages go as they are: setting up a compressor costs more than their bytes.
const COMPRESS_MIN_BYTES: usize = 4 << 10;
/// A page that unpacks to more than this is not believed; the largest configuration allowed has 4 MB.
const PAGE_MAX_BYTES: u64 = 64 << 20;

/// A page as it travels.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedPage {
    /// Whether the bytes are compressed JSON text; else they are JSON text.
    pub compressed: bool,
    /// The page.
    pub bytes: Bytes,
}

/// Why a page was not read.
#[derive(Debug, thiserror::Error)]
pub enum PageFault {
    /// No part came for too long.
    #[error("no part of the page came for {} ms", .0.as_millis())]
    Silent(Duration),
    /// The transfer broke off.
    #[error("the transfer of the page broke off: {0}")]
    BrokenOff(String),
    /// The bytes are no page.
    #[error("the page cannot be read: {0}")]
    Malformed(String),
}

impl EncodedPage {
    /// Encodes a page, compressed where that is worth it.
    ///
    /// # Errors
    /// The value has no JSON form.
    pub fn encode(value: &impl Serialize) -> Result<Self, PageFault> {
        let malformed = |why: String| PageFault::Malformed(why);
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
    /// The bytes are no page, or one of another shape.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, PageFault> {
        let malformed = |why: String| PageFault::Malformed(why);
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

    /// The bytes in parts; one empty part for an empty page.
    pub fn parts(&self) -> impl Iterator<Item = Bytes> + use<> {
        let bytes = self.bytes.clone();
        let count = bytes.len().div_ceil(PART_MAX_BYTES).max(1);
        (0..count).map(move |number| {
            let begin = number * PART_MAX_BYTES;
            let end = (begin + PART_MAX_BYTES).min(bytes.len());
            bytes.slice(begin..end)
        })
    }
}

/// Reads parts to their end, for as long as none is silent for too long.
///
/// # Errors
/// The parts broke off, or were silent.
pub async fn collect<E: std::fmt::Display>(
    mut parts: impl Stream<Item = Result<Bytes, E>> + Unpin,
    silence_max: Duration,
) -> Result<Bytes, PageFault> {
    let mut whole = Vec::new();
    loop {
        let part = tokio::time::timeout(silence_max, parts.next()).await;
        match part {
            Err(_) => return Err(PageFault::Silent(silence_max)),
            Ok(None) => return Ok(whole.into()),
            Ok(Some(Ok(part))) => whole.extend_from_slice(&part),
            Ok(Some(Err(error))) => return Err(PageFault::BrokenOff(error.to_string())),
        }
    }
}
