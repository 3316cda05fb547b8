//! The tool reads the logs of instances: a summary of how requests ended, and one request's life.

use std::process::{Command, Output};

use larkwick::tool::logs::{LogLine, Summary, read_lines};
use serde_json::json;

fn line(at_ms: u64, payload: &str, fields: &serde_json::Value) -> String {
    json!({"timestamp": at_ms, "level": "info", "payload": payload, "kv": fields, "logger": "larkwickd", "tid": 1}).to_string()
}

fn call(request: &str, outcome: &str, reason: &str, took_ms: u64) -> String {
    let fields = json!({
        "request_id": request, "route": "r-1", "outcome": outcome, "last_reason": reason, "took_ms": took_ms.to_string(),
    });
    line(10, "call ended", &fields)
}

fn summary_of(lines: &[String]) -> Summary {
    let mut summary = Summary::default();
    let text = lines.join("\n");
    let read = read_lines("log", text.as_bytes(), false, |line: LogLine| {
        summary.take(&line);
    });
    assert_eq!(read.expect("sound lines"), 0);
    summary
}

fn tool(arguments: &[&str]) -> Output {
    let tool = Command::new(env!("CARGO_BIN_EXE_larkwick"))
        .args(arguments)
        .output();
    tool.expect("the tool runs")
}

#[test]
fn summary_ends_counted_by_route_outcome_and_cause() {
    let summary = summary_of(&[
        call("a", "answered 200", "", 40),
        call("b", "answered 200", "", 60),
        call(
            "c",
            "EndpointLost",
            "10.1.2.3:80 did not answer in time",
            400,
        ),
        call(
            "d",
            "EndpointLost",
            "10.9.2.3:80 did not answer in time",
            500,
        ),
        call("e", "EndpointRefused", "endpoint refused: 503", 3),
        line(
            11,
            "call refused",
            &json!({"request_id": "f", "kind": "NotFound", "why": "no route", "took_ms": "0"}),
        ),
    ]);
    let rows = summary.rows();
    let counts: Vec<_> = rows
        .iter()
        .map(|row| (row.ending.cause.as_str(), row.requests))
        .collect();
    assert!(
        counts.contains(&("# did not answer in time", 2)),
        "{counts:?}"
    );
    assert!(counts.contains(&("endpoint refused: 503", 1)), "{counts:?}");
    assert!(counts.contains(&("no route", 1)), "{counts:?}");
    assert_eq!(rows.len(), 4);
    let answered = rows.iter().find(|row| row.ending.outcome == "answered 200");
    assert_eq!(answered.expect("a row").requests, 2);
}

#[test]
fn summary_generation_without_an_end_counted_as_open() {
    let placed = |id: &str| line(1, "generation placed", &json!({"request_id": id}));
    let ended =
        json!({"request_id": "b", "route": "r", "outcome": "whole", "why": "", "took_ms": "9"});
    let summary = summary_of(&[
        placed("a"),
        placed("b"),
        line(2, "generation ended", &ended),
    ]);
    assert_eq!(summary.open(), 1);
}

#[test]
fn summary_lines_left_out_by_an_instance_told() {
    let left_out = line(
        5,
        "log lines left out",
        &json!({"kind": "call ended", "left_out": "12"}),
    );
    let text = summary_of(&[left_out]).to_string();
    assert!(
        text.contains("12  lines left out by the instances"),
        "{text}"
    );
}

#[test]
fn summary_endless_kinds_of_ends_bounded() {
    let calls = (0..2_000).map(|number| call("x", &format!("outcome-{number}"), "", 1));
    let summary = summary_of(&calls.collect::<Vec<_>>());
    assert_eq!(summary.rows().len(), 500);
    assert!(summary.to_string().contains("1500  ends of further kinds"));
}

#[test]
fn logs_summary_damaged_line_named_or_skipped() {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("n1.log");
    std::fs::write(
        &path,
        format!("{}\nnot a line\n", call("a", "answered 200", "", 4)),
    )
    .expect("written");
    let path = path.to_str().expect("a name");
    let refused = tool(&["logs", "summary", path]);
    assert!(!refused.status.success());
    let said = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(
        said.contains("n1.log line 2:") && said.contains("--skip-damaged"),
        "{said}"
    );
    let skipped = tool(&["logs", "summary", path, "--skip-damaged"]);
    assert!(skipped.status.success());
    assert!(String::from_utf8_lossy(&skipped.stderr).contains("1 damaged lines left out"));
    assert!(String::from_utf8_lossy(&skipped.stdout).contains("r-1  answered 200"));
}

#[test]
fn logs_request_lines_of_several_files_in_order_of_time() {
    let folder = tempfile::tempdir().expect("folder");
    let write = |name: &str, lines: &[String]| {
        let path = folder.path().join(name);
        std::fs::write(&path, lines.join("\n")).expect("written");
        path.to_str().expect("a name").to_owned()
    };
    let of = |id: &str| json!({"request_id": id, "endpoint": "i-1"});
    let first = write(
        "n1.log",
        &[
            line(120, "generation placed", &of("a")),
            line(121, "generation placed", &of("b")),
        ],
    );
    let second = write("n2.log", &[line(100, "call refused", &of("a"))]);
    let told = tool(&["logs", "request", "a", &first, &second]);
    let text = String::from_utf8_lossy(&told.stdout).into_owned();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert!(
        lines[0].contains("0 ms  n2.log  call refused  endpoint=i-1"),
        "{text}"
    );
    assert!(
        lines[1].contains("20 ms  n1.log  generation placed"),
        "{text}"
    );
    assert!(!tool(&["logs", "request", "none", &first]).status.success());
}
