//! Decoding of the platform's records with altered fields: missing, of another type, unknown or
//! malformed. Decoding must not panic, and an invalid entry must not yield an endpoint.

use larkwick::platform::{endpoint_entries, engine, operator_config};
use proptest::prelude::*;
use serde_json::{Value, json};

fn entry() -> Value {
    json!({
        "service": "app", "addr": "10.0.0.1:80", "zone": "h1", "version": "v1", "slots": 6, "state": "ready",
        "cold-left-ms": 0, "seq": 4, "born": 1_700_000_000_000_u64,
    })
}

fn configuration() -> Value {
    json!({
        "version": 7,
        "routes": [{
            "name": "r", "host": "h", "path-prefix": "/a/", "kind": "stream", "timeout-ms": 6_000, "goal-ms": 1_500,
            "priority": 0, "service": "llm", "max-attempts": 1, "public": false, "sticky": true, "resumable": false,
            "gap_aim_ms": 180,
        }],
        "services": [{
            "name": "llm", "health-path": "/healthz", "max-conns": 582, "cold-start-s": 1.0, "cold-per-s": 27.0,
            "engine": {
                "slots": 24, "kv-capacity": 21_873, "token-kv-bytes": 327_680, "link-mbps": 47_000.0, "moves": true,
                "stride": 4, "handle-s": 5.0,
            },
        }],
        "limits": {"max-header-bytes": 16_384, "max-body-bytes": 4_194_304, "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000},
        "tenants": [{"name": "t", "api-keys": ["k"], "priority": 1}],
    })
}

fn report() -> Value {
    json!({
        "state": "ready", "queued": 1, "runs": [["a", 1_000, 12, 5]], "leaves_ms": null, "born": 1_700_000_000_000_u64,
    })
}

/// Generates replacement values of all JSON types.
fn any_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        ".{0,12}".prop_map(Value::from),
        Just(json!([])),
        Just(json!({"a": 1})),
    ]
}

/// Returns the JSON pointers of all fields, including nested ones.
fn paths(value: &Value, prefix: &str) -> Vec<String> {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(fields) => fields
            .iter()
            .map(|(name, child)| (format!("{prefix}/{name}"), child))
            .collect(),
        Value::Array(items) => (0..)
            .zip(items)
            .map(|(index, child)| (format!("{prefix}/{index}"), child))
            .collect(),
        _ => Vec::new(),
    };
    let mut all = Vec::new();
    for (path, child) in children {
        all.extend(paths(child, &path));
        all.push(path);
    }
    all
}

proptest! {
    #[test]
    fn decode_any_field_altered_no_panic(index in any::<prop::sample::Index>(), altered in any_value()) {
        for record in [entry(), configuration(), report()] {
            let paths = paths(&record, "");
            let mut changed = record.clone();
            let path: &String = index.get(&paths);
            *changed.pointer_mut(path).expect("a field") = altered.clone();
            let text = changed.to_string();
            let _ = endpoint_entries::decode("i-1", text.as_bytes());
            let _ = operator_config::decode(text.as_bytes());
            let _ = engine::decode_report(text.as_bytes());
        }
    }

    #[test]
    fn decode_any_bytes_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(endpoint_entries::decode("i-1", &bytes).is_err());
        prop_assert!(operator_config::decode(&bytes).is_err());
        let _ = engine::decode_report(&bytes);
    }

    #[test]
    fn decode_unknown_field_changes_nothing(name in "[a-z]{3,9}-[0-9]", value in any_value()) {
        let mut extended = entry();
        extended[&name] = value;
        let known = endpoint_entries::decode("i-1", entry().to_string().as_bytes());
        prop_assert_eq!(endpoint_entries::decode("i-1", extended.to_string().as_bytes()), known);
    }
}

/// A time too large for `Duration` crashed the instance that decoded it.
#[test]
fn decode_configuration_time_out_of_range_no_panic() {
    for path in [
        "/routes/0/gap_aim_ms",
        "/services/0/engine/handle-s",
        "/services/0/cold-start-s",
    ] {
        let mut oversized = configuration();
        *oversized.pointer_mut(path).expect("a field") = json!(1.084_001_887_699_931_6e268);
        assert!(
            operator_config::decode(oversized.to_string().as_bytes()).is_ok(),
            "{path}"
        );
    }
}

#[test]
fn decode_entry_required_field_missing_no_endpoint() {
    for name in ["service", "addr", "zone", "slots", "state"] {
        let mut reduced = entry();
        reduced.as_object_mut().expect("an object").remove(name);
        let decoded = endpoint_entries::decode("i-1", reduced.to_string().as_bytes());
        assert!(decoded.is_err(), "{name}");
    }
}

#[test]
fn decode_entry_field_of_another_type_no_endpoint() {
    let replacements = [
        ("service", json!(1)),
        ("addr", json!("nowhere")),
        ("zone", json!(null)),
        ("slots", json!(-1)),
        ("state", json!("resting")),
        ("state", json!(["ready"])),
        ("cold-left-ms", json!("soon")),
        ("born", json!(1.5)),
        ("born", json!("1700000000000")),
        ("born", json!(null)),
    ];
    for (name, value) in replacements {
        let mut altered_entry = entry();
        altered_entry[name] = value.clone();
        let decoded = endpoint_entries::decode("i-1", altered_entry.to_string().as_bytes());
        assert!(decoded.is_err(), "{name} {value}");
    }
}

#[test]
fn decode_entry_start_time_is_part_of_id() {
    let decoded =
        endpoint_entries::decode("i-1", entry().to_string().as_bytes()).expect("an entry");
    assert_eq!(decoded.id, "i-1@1700000000000");
    assert_eq!(decoded.listed_id, "i-1");
    let mut without_start = entry();
    without_start
        .as_object_mut()
        .expect("an object")
        .remove("born");
    let decoded =
        endpoint_entries::decode("i-1", without_start.to_string().as_bytes()).expect("an entry");
    assert_eq!(decoded.id, "i-1");
}

/// Guards against a connection that is given up because a header named in `Connection` contains
/// the word.
#[test]
fn response_head_connection_options_close_only_as_a_whole_option() {
    let closes = |value: &str| {
        let response = http::Response::builder().header("connection", value);
        let (parts, ()) = response.body(()).expect("a response").into_parts();
        engine::decode_response_head(&parts).closes
    };
    assert!(closes("close"));
    assert!(closes("x-trace, Close"));
    assert!(!closes("keep-alive, x-closed-by"));
}
