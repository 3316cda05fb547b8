//! Pages that pass between instances in parts.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use larkwick::gateway::chunked_pages::{
    CHUNK_MAX_BYTES, CHUNK_TIMEOUT, EncodedPage, PageError, collect_chunks,
};

/// Text that a compressor makes little smaller, as names drawn at random are.
fn page() -> Vec<String> {
    (0..20_000)
        .map(|number: u64| format!("{:x}", number.wrapping_mul(0x9E37_79B9_7F4A_7C15)))
        .collect()
}

/// Parts that come one after the other with a pause.
fn paced(
    page: &EncodedPage,
    pause: Duration,
) -> impl futures::Stream<Item = Result<Bytes, std::io::Error>> + Unpin {
    let parts = futures::stream::iter(page.chunks());
    Box::pin(parts.then(move |part| async move {
        tokio::time::sleep(pause).await;
        Ok(part)
    }))
}

#[tokio::test(start_paused = true)]
async fn collect_slow_link_read_to_its_end() {
    let page = EncodedPage::encode(&page()).expect("encoded");
    let pause = CHUNK_TIMEOUT / 2;
    let begun = tokio::time::Instant::now();
    let bytes = collect_chunks(paced(&page, pause), CHUNK_TIMEOUT).await;
    // Far longer than any limit on the whole call.
    assert!(begun.elapsed() > CHUNK_TIMEOUT * 4, "{:?}", begun.elapsed());
    let read = EncodedPage {
        compressed: true,
        bytes: bytes.expect("whole"),
    };
    assert_eq!(read, page);
    assert_eq!(read.decode::<Vec<String>>().expect("decoded"), self::page());
}

#[tokio::test(start_paused = true)]
async fn collect_silent_link_given_up() {
    let page = EncodedPage::encode(&page()).expect("encoded");
    let parts = paced(&page, Duration::ZERO).take(2);
    let parts = parts.chain(futures::stream::pending());
    let begun = tokio::time::Instant::now();
    let read = collect_chunks(parts, CHUNK_TIMEOUT).await;
    assert!(matches!(read, Err(PageError::TimedOut(_))), "{read:?}");
    assert_eq!(begun.elapsed(), CHUNK_TIMEOUT);
}

#[tokio::test]
async fn collect_link_breaks_said_so() {
    let parts = futures::stream::iter([
        Ok(Bytes::from_static(b"[1,")),
        Err(std::io::Error::other("reset")),
    ]);
    let read = collect_chunks(parts, CHUNK_TIMEOUT).await;
    assert!(matches!(read, Err(PageError::Aborted(_))), "{read:?}");
}

#[test]
fn encode_small_page_left_as_it_is() {
    let page = EncodedPage::encode(&["one", "two"]).expect("encoded");
    assert!(!page.compressed);
    assert_eq!(page.bytes, r#"["one","two"]"#);
    assert_eq!(page.chunks().count(), 1);
}

#[test]
fn encode_large_page_compressed_in_parts_of_bounded_size() {
    let page = EncodedPage::encode(&page()).expect("encoded");
    assert!(page.compressed);
    assert!(page.chunks().count() > 1);
    assert!(page.chunks().all(|part| part.len() <= CHUNK_MAX_BYTES));
    assert_eq!(
        page.chunks().map(|part| part.len()).sum::<usize>(),
        page.bytes.len()
    );
}

#[test]
fn decode_spoilt_page_refused() {
    let mut page = EncodedPage::encode(&page()).expect("encoded");
    page.bytes = page.bytes.slice(..page.bytes.len() / 2);
    let read = page.decode::<Vec<String>>();
    assert!(matches!(read, Err(PageError::Malformed(_))));
}
