//! Parsers of external input: they never panic, and formatted values parse back to the same value.

use larkwick::kernel::config::Record;
use larkwick::kernel::object::ObjectKey;
use larkwick::kernel::stream::{EventId, GenerationId, TokenAction, TokenCursor};
use larkwick::kernel::ticket::Ticket;
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
