//! Parsers of external input: they never panic, and formatted values parse back to the same value.

use larkwick::kernel::config::Record;
use larkwick::kernel::object::ObjectKey;
use larkwick::kernel::prompt_segments::{SEGMENTS_MAX, SegmentId};
use larkwick::kernel::stream::{EventId, GenerationId, TokenAction, TokenCursor};
use larkwick::kernel::ticket::Ticket;
use larkwick::platform::ingress::decode_head;
use larkwick::tool::check::parse_objects;
use proptest::prelude::*;
use uuid::Uuid;

const NAME: &str = "[a-z0-9._-]{1,20}";

proptest! {
    #[test]
    fn ticket_any_text_does_not_panic(text in ".{0,80}") {
        let _ = text.parse::<Ticket>();
    }

    #[test]
    fn ticket_round_trip(instance in NAME, incarnation: u128, epoch: u64) {
        let ticket = Ticket { instance, incarnation: Uuid::from_u128(incarnation), epoch };
        prop_assert_eq!(ticket.to_string().parse::<Ticket>(), Ok(ticket));
    }

    #[test]
    fn event_id_any_text_does_not_panic(text in ".{0,80}") {
        let _ = text.parse::<EventId>();
    }

    #[test]
    fn event_id_round_trip(endpoint in NAME, incarnation: u128, number: u64, index: u32) {
        let generation = GenerationId { endpoint, incarnation: Uuid::from_u128(incarnation), number };
        let id = EventId { generation, index };
        prop_assert_eq!(id.to_string().parse::<EventId>(), Ok(id));
    }

    #[test]
    fn object_key_any_text_does_not_panic(text in ".{0,40}") {
        let _ = ObjectKey::try_from(text);
    }

    #[test]
    fn objects_any_text_does_not_panic(text in "[\\[\\]{}\",:a-z0-9/* \n]{0,200}") {
        let _ = parse_objects("any", &text);
    }

    #[test]
    fn objects_any_field_values_error_has_line_and_message(kind in "[a-z_]{0,12}", name in ".{0,12}", number: i64) {
        let object = serde_json::json!({"objects": [
            {"kind": kind, "name": name, "region": number, "hall": name, "work": {"equals": number}}]});
        if let Err(error) = parse_objects("any", &object.to_string()) {
            prop_assert!(error.line >= 1);
            prop_assert!(!error.message.is_empty());
        }
    }

    #[test]
    fn record_any_json_does_not_panic(text in "[\\[\\]{}\",:a-z0-9_-]{0,120}") {
        let _ = serde_json::from_str::<Record>(&text);
    }

    #[test]
    fn cursor_any_order_delivers_each_index_once(indices in proptest::collection::vec(0_u32..20, 0..200)) {
        let mut cursor = TokenCursor::starting_at(0);
        let delivered: Vec<u32> = indices
            .into_iter()
            .filter(|index| cursor.accept(*index) == TokenAction::Deliver)
            .collect();
        let expected: Vec<u32> = (0..cursor.next_index()).collect();
        prop_assert_eq!(delivered, expected);
    }
}

fn shared_segments(prompts: &[&str]) -> Vec<SegmentId> {
    let request = http::Request::builder().uri("/chat/1").header("host", "h");
    let request = request.header("larkwick-request-id", "r");
    let request = prompts.iter().fold(request, |request, prompt| {
        request.header("larkwick-prompt-prefix", *prompt)
    });
    let (parts, ()) = request.body(()).expect("a request").into_parts();
    decode_head(&parts).expect("a head").shared_segments
}

#[test]
fn prompt_segments_all_but_the_last_shared() {
    let ids = |ids: &[u64]| ids.iter().copied().map(SegmentId).collect::<Vec<_>>();
    assert_eq!(shared_segments(&[]), []);
    assert_eq!(shared_segments(&["ab:1"]), []);
    assert_eq!(
        shared_segments(&["ab:1, 00AB:1,c:2,d:3"]),
        ids(&[0xab, 0xc])
    );
    assert_eq!(
        shared_segments(&["ab:1,c:2", "d:3,e:4"]),
        ids(&[0xab, 0xc, 0xd])
    );
    assert_eq!(shared_segments(&["ab:1,c:2,"]), ids(&[0xab]));
}

/// What cannot be read is told apart all the same, so that no caller can hide a segment.
#[test]
fn prompt_segments_unreadable_not_left_out() {
    let strange = shared_segments(&["prompt one:5,ab,prompt one:7,,c:2"]);
    assert_eq!(strange.len(), 2, "{strange:?}");
    assert_eq!(strange[1], SegmentId(0xab));
    assert_eq!(strange, shared_segments(&["prompt one:5", "ab:9", "d:1"]));
}

#[test]
fn prompt_segments_too_many_rest_counts_as_one() {
    let many = |first: usize, count: usize| {
        let ids = first..first + count;
        let ids: Vec<String> = ids.map(|id| format!("{id:x}:1")).collect();
        shared_segments(&[&ids.join(",")])
    };
    let one = many(1_000, 10_000);
    let other = many(100_000, SEGMENTS_MAX + 1);
    assert_eq!(one.len(), SEGMENTS_MAX);
    assert_eq!(one.last(), other.last());
    assert_ne!(one[0], other[0]);
    assert_eq!(many(1, SEGMENTS_MAX).len(), SEGMENTS_MAX - 1);
}
