//! The tool reads the logs of instances: a summary of how requests ended, and one request's life.

use std::process::{Command, Output};

use larkwick::tool::log_places::PlaceChanges;
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

/// Two instances hear of one hall twice; the tool tells who heard first and who last, each time.
#[test]
fn places_hall_emptied_twice_first_and_last_to_hear() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let hall = |at_ms, payload| line(at_ms, payload, &json!({"hall": "h1", "source": "store"}));
    let logs = [
        (
            "n1.log",
            [
                hall(1_000, "hall evacuated"),
                hall(5_000, "hall taken back"),
                hall(9_000, "hall evacuated"),
            ],
        ),
        (
            "n2.log",
            [
                hall(1_400, "hall evacuated"),
                hall(4_900, "hall taken back"),
                hall(9_050, "hall evacuated"),
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
    let output = tool(&arguments);
    assert!(output.status.success(), "{output:?}");
    let printed = String::from_utf8(output.stdout).expect("text");
    let expected = "1000  h1  hall evacuated: first n1.log, last n2.log after 400 ms, 2 instances\n\
        4900  h1  hall taken back: first n2.log, last n1.log after 100 ms, 2 instances\n\
        9000  h1  hall evacuated: first n1.log, last n2.log after 50 ms, 2 instances\n";
    assert_eq!(printed, expected);
}

#[test]
fn places_other_names_and_lines_left_out() {
    let mut places = PlaceChanges::default();
    let lines = [
        line(1, "endpoint leaving", &json!({"endpoint": "e1"})),
        line(2, "endpoint joined", &json!({"endpoint": "e2"})),
        call("a", "answered 200", "", 40),
    ];
    let text = lines.join("\n");
    let read = read_lines("log", text.as_bytes(), false, |line: LogLine| {
        places.take("n1", &line);
    });
    assert_eq!(read.expect("sound lines"), 0);
    assert_eq!(places.of(None).len(), 2);
    let only = places.of(Some("e1"));
    assert_eq!(only.len(), 1);
    assert_eq!(only[0].what, "endpoint leaving");
}

/// Two instances send to one endpoint that names a limit; the tool adds them up by second.
#[test]
fn limits_sends_of_two_instances_added_up_by_second() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let sent = |at_ms, endpoint, limit| {
        let fields = json!({"endpoint": endpoint, "limit_per_s": limit});
        line(at_ms, "sent to limited endpoint", &fields)
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
    let output = tool(&arguments);
    assert!(output.status.success(), "{output:?}");
    let printed = String::from_utf8(output.stdout).expect("text");
    let expected =
        "1  e1  limit 2/s, sent 2, 2 instances\n2  e1  limit 2.5/s, sent 1, 1 instances\n";
    assert_eq!(printed, expected);
}
