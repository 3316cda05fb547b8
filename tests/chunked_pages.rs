//! Transfer of pages between instances in chunks.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use larkwick::gateway::chunked_pages::{
    CHUNK_MAX_BYTES, CHUNK_TIMEOUT, EncodedPage, PageError, collect_chunks,
};

/// Returns text that compresses poorly, like random names.
fn page() -> Vec<String> {
    (0..20_000)
        .map(|number: u64| format!("{:x}", number.wrapping_mul(0x9E37_79B9_7F4A_7C15)))
        .collect()
}

/// Returns a stream of the chunks of a page, with a pause before each one.
fn paced(
    page: &EncodedPage,
    pause: Duration,
) -> impl futures::Stream<Item = Result<Bytes, std::io::Error>> + Unpin {
    let chunks = futures::stream::iter(page.chunks());
    Box::pin(chunks.then(move |chunk| async move {
        tokio::time::sleep(pause).await;
        Ok(chunk)
    }))
}

#[tokio::test(start_paused = true)]
async fn collect_chunks_slow_link_completes() {
    let page = EncodedPage::encode(&page()).expect("encoded");
    let pause = CHUNK_TIMEOUT / 2;
    let started_at = tokio::time::Instant::now();
    let bytes = collect_chunks(paced(&page, pause), CHUNK_TIMEOUT).await;
    // Far longer than any timeout for the whole call.
    assert!(
        started_at.elapsed() > CHUNK_TIMEOUT * 4,
        "{:?}",
        started_at.elapsed()
    );
    let read = EncodedPage {
        compressed: true,
        bytes: bytes.expect("complete"),
    };
    assert_eq!(read, page);
    assert_eq!(read.decode::<Vec<String>>().expect("decoded"), self::page());
}

#[tokio::test(start_paused = true)]
async fn collect_chunks_stalled_link_times_out() {
    let page = EncodedPage::encode(&page()).expect("encoded");
    let chunks = paced(&page, Duration::ZERO).take(2);
    let chunks = chunks.chain(futures::stream::pending());
    let started_at = tokio::time::Instant::now();
    let read = collect_chunks(chunks, CHUNK_TIMEOUT).await;
    assert!(matches!(read, Err(PageError::TimedOut(_))), "{read:?}");
    assert_eq!(started_at.elapsed(), CHUNK_TIMEOUT);
}

#[tokio::test]
async fn collect_chunks_connection_fails_aborted() {
    let chunks = futures::stream::iter([
        Ok(Bytes::from_static(b"[1,")),
        Err(std::io::Error::other("reset")),
    ]);
    let read = collect_chunks(chunks, CHUNK_TIMEOUT).await;
    assert!(matches!(read, Err(PageError::Aborted(_))), "{read:?}");
}

#[test]
fn encode_small_page_not_compressed() {
    let page = EncodedPage::encode(&["one", "two"]).expect("encoded");
    assert!(!page.compressed);
    assert_eq!(page.bytes, r#"["one","two"]"#);
    assert_eq!(page.chunks().count(), 1);
}

#[test]
fn encode_large_page_compressed_in_chunks_of_bounded_size() {
    let page = EncodedPage::encode(&page()).expect("encoded");
    assert!(page.compressed);
    assert!(page.chunks().count() > 1);
    assert!(page.chunks().all(|chunk| chunk.len() <= CHUNK_MAX_BYTES));
    assert_eq!(
        page.chunks().map(|chunk| chunk.len()).sum::<usize>(),
        page.bytes.len()
    );
}

#[test]
fn decode_truncated_page_rejected() {
    let mut page = EncodedPage::encode(&page()).expect("encoded");
    page.bytes = page.bytes.slice(..page.bytes.len() / 2);
    let read = page.decode::<Vec<String>>();
    assert!(matches!(read, Err(PageError::Malformed(_))));
}
