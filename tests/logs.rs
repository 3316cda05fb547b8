//! Tests of `larkwick logs`: the summary of request outcomes, the timeline of one request,
//! availability changes, and the requests sent to rate-limited endpoints.

use std::process::{Command, Output};

use larkwick::tool::log_availability::AvailabilityChanges;
use larkwick::tool::logs::{LogLine, Summary, read_lines};
use serde_json::json;

fn log_line(timestamp_ms: u64, payload: &str, fields: &serde_json::Value) -> String {
    json!({"timestamp": timestamp_ms, "level": "info", "payload": payload, "kv": fields, "logger": "larkwickd", "tid": 1}).to_string()
}

fn call_ended(request_id: &str, outcome: &str, reason: &str, took_ms: u64) -> String {
    let fields = json!({
        "request_id": request_id, "route": "r-1", "outcome": outcome, "last_reason": reason, "took_ms": took_ms.to_string(),
    });
    log_line(10, "call ended", &fields)
}

fn summarize(lines: &[String]) -> Summary {
    let mut summary = Summary::default();
    let text = lines.join("\n");
    let skipped = read_lines("log", text.as_bytes(), false, |line: LogLine| {
        summary.record_line(&line);
    });
    assert_eq!(skipped.expect("valid lines"), 0);
    summary
}

/// Runs the command-line tool.
fn run_tool(arguments: &[&str]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_larkwick"))
        .args(arguments)
        .output();
    output.expect("the tool runs")
}

#[test]
fn summary_requests_grouped_by_route_outcome_and_cause() {
    let summary = summarize(&[
        call_ended("a", "answered 200", "", 40),
        call_ended("b", "answered 200", "", 60),
        call_ended(
            "c",
            "EndpointLost",
            "10.1.2.3:80 did not answer in time",
            400,
        ),
        call_ended(
            "d",
            "EndpointLost",
            "10.9.2.3:80 did not answer in time",
            500,
        ),
        call_ended("e", "EndpointRefused", "endpoint refused: 503", 3),
        log_line(
            11,
            "call refused",
            &json!({"request_id": "f", "kind": "NotFound", "why": "no route", "took_ms": "0"}),
        ),
    ]);
    let rows = summary.rows();
    let counts: Vec<_> = rows
        .iter()
        .map(|row| (row.key.cause.as_str(), row.requests))
        .collect();
    assert!(
        counts.contains(&("# did not answer in time", 2)),
        "{counts:?}"
    );
    assert!(counts.contains(&("endpoint refused: 503", 1)), "{counts:?}");
    assert!(counts.contains(&("no route", 1)), "{counts:?}");
    assert_eq!(rows.len(), 4);
    let answered = rows.iter().find(|row| row.key.outcome == "answered 200");
    assert_eq!(answered.expect("a row").requests, 2);
}

#[test]
fn summary_generation_without_end_counted_as_open() {
    let placed = |id: &str| log_line(1, "generation placed", &json!({"request_id": id}));
    let ended =
        json!({"request_id": "b", "route": "r", "outcome": "whole", "why": "", "took_ms": "9"});
    let summary = summarize(&[
        placed("a"),
        placed("b"),
        log_line(2, "generation ended", &ended),
    ]);
    assert_eq!(summary.open_generations(), 1);
}

/// Guards against a number of unfinished generations that is too low without a word about it.
#[test]
fn summary_generations_above_the_tracked_maximum_reported() {
    let placed = |number| log_line(1, "generation placed", &json!({"request_id": number}));
    let lines: Vec<String> = (0..200_002)
        .map(|number| placed(number.to_string()))
        .collect();
    let summary = summarize(&lines);
    assert_eq!(summary.open_generations(), 200_000);
    let text = summary.to_string();
    assert!(
        text.contains("2  further generations not followed"),
        "{text}"
    );
}

#[test]
fn summary_lines_dropped_by_instance_reported() {
    let dropped = log_line(
        5,
        "log lines left out",
        &json!({"kind": "call ended", "left_out": "12"}),
    );
    let text = summarize(&[dropped]).to_string();
    assert!(
        text.contains("12  lines left out by the instances"),
        "{text}"
    );
}

#[test]
fn summary_many_distinct_outcomes_rows_bounded() {
    let calls = (0..2_000).map(|number| call_ended("x", &format!("outcome-{number}"), "", 1));
    let summary = summarize(&calls.collect::<Vec<_>>());
    assert_eq!(summary.rows().len(), 500);
    assert!(summary.to_string().contains("1500  ends of further kinds"));
}

#[test]
fn logs_summary_damaged_line_reported_or_skipped() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let path = dir.path().join("n1.log");
    std::fs::write(
        &path,
        format!("{}\nnot a line\n", call_ended("a", "answered 200", "", 4)),
    )
    .expect("log written");
    let path = path.to_str().expect("UTF-8 path");
    let failed = run_tool(&["logs", "summary", path]);
    assert!(!failed.status.success());
    let message = String::from_utf8_lossy(&failed.stderr).into_owned();
    assert!(
        message.contains("n1.log line 2:") && message.contains("--skip-damaged"),
        "{message}"
    );
    let skipping = run_tool(&["logs", "summary", path, "--skip-damaged"]);
    assert!(skipping.status.success());
    assert!(String::from_utf8_lossy(&skipping.stderr).contains("1 damaged lines left out"));
    assert!(String::from_utf8_lossy(&skipping.stdout).contains("r-1  answered 200"));
}

#[test]
fn logs_request_lines_of_several_files_ordered_by_time() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let write = |name: &str, lines: &[String]| {
        let path = dir.path().join(name);
        std::fs::write(&path, lines.join("\n")).expect("log written");
        path.to_str().expect("UTF-8 path").to_owned()
    };
    let fields = |id: &str| json!({"request_id": id, "endpoint": "i-1"});
    let first = write(
        "n1.log",
        &[
            log_line(120, "generation placed", &fields("a")),
            log_line(121, "generation placed", &fields("b")),
        ],
    );
    let second = write("n2.log", &[log_line(100, "call refused", &fields("a"))]);
    let output = run_tool(&["logs", "request", "a", &first, &second]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
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
    assert!(
        !run_tool(&["logs", "request", "none", &first])
            .status
            .success()
    );
}

/// A hall is evacuated twice, and both instances log each change. The tool must merge the lines
/// into one change each and report which instance logged it first and which last.
#[test]
fn places_hall_evacuated_twice_first_and_last_instance_reported() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let hall_change = |timestamp_ms, payload| {
        log_line(
            timestamp_ms,
            payload,
            &json!({"hall": "h1", "source": "store"}),
        )
    };
    let logs = [
        (
            "n1.log",
            [
                hall_change(1_000, "hall evacuated"),
                hall_change(5_000, "hall taken back"),
                hall_change(9_000, "hall evacuated"),
            ],
        ),
        (
            "n2.log",
            [
                hall_change(1_400, "hall evacuated"),
                hall_change(4_900, "hall taken back"),
                hall_change(9_050, "hall evacuated"),
            ],
        ),
    ];
    let mut files = Vec::new();
    for (name, lines) in logs {
        let path = dir.path().join(name);
        std::fs::write(&path, lines.join("\n")).expect("log written");
        files.push(path.display().to_string());
    }
    let mut arguments = vec!["logs", "places", "--name", "h1"];
    arguments.extend(files.iter().map(String::as_str));
    let output = run_tool(&arguments);
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stdout).expect("text");
    let expected = "1000  h1  hall evacuated: first n1.log, last n2.log after 400 ms, 2 instances\n\
        4900  h1  hall taken back: first n2.log, last n1.log after 100 ms, 2 instances\n\
        9000  h1  hall evacuated: first n1.log, last n2.log after 50 ms, 2 instances\n";
    assert_eq!(text, expected);
}

#[test]
fn places_other_names_and_lines_ignored() {
    let mut availability = AvailabilityChanges::default();
    let lines = [
        log_line(1, "endpoint leaving", &json!({"endpoint": "e1"})),
        log_line(2, "endpoint joined", &json!({"endpoint": "e2"})),
        call_ended("a", "answered 200", "", 40),
    ];
    let text = lines.join("\n");
    let skipped = read_lines("log", text.as_bytes(), false, |line: LogLine| {
        availability.record_line("n1", &line);
    });
    assert_eq!(skipped.expect("valid lines"), 0);
    assert_eq!(availability.changes_of(None).len(), 2);
    let changes = availability.changes_of(Some("e1"));
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].event, "endpoint leaving");
}

/// Two instances send to one endpoint with a rate limit. The tool must add their requests up per
/// second.
#[test]
fn limits_requests_of_two_instances_summed_per_second() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let sent = |timestamp_ms, endpoint, limit| {
        let fields = json!({"endpoint": endpoint, "limit_per_s": limit});
        log_line(timestamp_ms, "sent to limited endpoint", &fields)
    };
    let logs = [
        (
            "n1.log",
            [sent(1_100, "e1", "2.5"), sent(2_000, "e1", "2.5")],
        ),
        ("n2.log", [sent(1_900, "e1", "2"), sent(1_950, "e2", "7")]),
    ];
    let mut files = Vec::new();
    for (name, lines) in logs {
        let path = dir.path().join(name);
        std::fs::write(&path, lines.join("\n")).expect("log written");
        files.push(path.display().to_string());
    }
    let mut arguments = vec!["logs", "limits", "--name", "e1"];
    arguments.extend(files.iter().map(String::as_str));
    let output = run_tool(&arguments);
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stdout).expect("text");
    let expected =
        "1  e1  limit 2/s, sent 2, 2 instances\n2  e1  limit 2.5/s, sent 1, 1 instances\n";
    assert_eq!(text, expected);
}
