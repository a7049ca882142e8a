//! Tests of explanations of requests from logs.

use googletest::prelude::*;
use rillgap_cli::explain::{Explainer, Explanation};

/// Log lines of three nodes with the prefixes of a log collector.
///
/// `a1` fails because its call `a1.b2` is shed at `fares-1`; `c3` is refused at the entry; the
/// caller of `d4` disconnects; `e5` has a record of the back end's node, but none of its end.
const LOG: &str = r#"
  31.1000 entry-1 {"level":"INFO","message":"mesh: peer","peer":"fares-2","is_up":false,"cause":"link closed","time":100.0,"uptime":9.0}
  20.0000 entry-1 {"level":"INFO","message":"store: dependency","is_up":true,"time":80.0,"uptime":1.0}
  31.2000 fares-1 {"code":41,"elapsed_micros":0,"level":"INFO","limit":36,"message":"inbound: no answer","queued":89,"reason":"shed","request":"a1.b2","running":36,"time":100.3,"uptime":9.3}
  31.2001 books-1 {"code":41,"level":"INFO","message":"outbound: answered","request":"a1.b2","status":503,"peer":"fares-1","attempts":1,"elapsed_micros":2100,"configuration":7,"time":100.301,"uptime":9.3}
  31.2010 entry-1 {"code":0,"level":"INFO","message":"outbound: answered","request":"a1","status":500,"peer":"books-1","attempts":1,"elapsed_micros":52000,"configuration":7,"time":100.31,"uptime":9.3}
not a record
  31.3000 entry-1 {"code":40,"level":"INFO","message":"outbound: answered","request":"c3","status":503,"peer":"","attempts":0,"elapsed_micros":0,"configuration":7,"time":100.4,"uptime":9.4}
  31.4000 entry-1 {"level":"INFO","message":"outbound: caller gone","request":"d4","time":100.5,"uptime":9.5}
  31.4000 fares-1 {"code":71,"elapsed_micros":480,"level":"INFO","limit":36,"message":"inbound: no answer","queued":0,"request":"e5","running":3,"time":100.5,"uptime":9.5}
"#;

fn explain(request: &str) -> Explanation {
    let mut explainer = Explainer::new(request);
    explainer.read("", LOG.as_bytes()).expect("log is readable");
    explainer.explain()
}

fn sentences(request: &str) -> Vec<String> {
    explain(request).verdict.because
}

#[gtest]
fn failed_request_is_traced_to_the_full_queue_of_its_call() {
    let because = sentences("a1");
    expect_that!(because.len(), eq(3));
    expect_that!(
        because[0],
        contains_substring("entry-1 answered 500 (answer of the back end)")
    );
    expect_that!(
        because[1],
        contains_substring("a1.b2: books-1 answered 503 (code 41")
    );
    expect_that!(
        because[2],
        contains_substring("36 running, 89 queued, limit 36")
    );
}

#[gtest]
fn configuration_is_described_with_its_age_and_a_store_restore() {
    let log = concat!(
        r#"n-1 {"message":"configuration: in force","version":7,"source":"store","time":90.0,"level":"INFO"}"#,
        "\n",
        r#"n-1 {"message":"outbound: answered","request":"x","status":404,"code":16,"configuration":7,"time":92.5,"level":"INFO"}"#,
        "\n",
        r#"n-1 {"message":"store: back from a copy","before":1,"epoch":2,"configuration":7,"time":93.0,"level":"WARN"}"#,
        "\n",
        r#"n-1 {"message":"outbound: answered","request":"y","status":404,"code":16,"configuration":7,"time":93.5,"level":"INFO"}"#,
    );
    let describe = |request: &str| {
        let mut explainer = Explainer::new(request);
        explainer.read("", log.as_bytes()).expect("log is readable");
        explainer.explain().configuration
    };
    let before = "decided by configuration 7, in force there for 2.5 s";
    expect_that!(describe("x"), some(eq(before)));
    let after = "decided by configuration 7, in force there for 3.5 s; the store was \
                 restored from a backup 0.5 s earlier and may have lost this configuration";
    expect_that!(describe("y"), some(eq(after)));
}

#[gtest]
fn failed_call_is_found_from_the_callee_record_alone() {
    let log: String = LOG
        .lines()
        .filter(|line| !line.contains("books-1 {"))
        .map(|line| format!("{line}\n"))
        .collect();
    let mut explainer = Explainer::new("a1");
    explainer.read("", log.as_bytes()).expect("log is readable");
    let because = explainer.explain().verdict.because;
    expect_that!(because[0], contains_substring("entry-1 answered 500"));
    // `because[1]` says that the end of the call was not logged.
    expect_that!(
        because[2],
        contains_substring("a1.b2: fares-1 did not serve it (code 41")
    );
}

#[gtest]
fn path_is_ordered_by_time_and_node_events_are_limited_to_its_nodes_and_time() {
    let explanation = explain("a1");
    let nodes: Vec<&str> = explanation
        .path
        .iter()
        .map(|record| record.node.as_str())
        .collect();
    expect_that!(
        nodes,
        elements_are![eq(&"fares-1"), eq(&"books-1"), eq(&"entry-1")]
    );
    let node_events: Vec<&str> = explanation
        .node_events
        .iter()
        .map(|record| record.message.as_str())
        .collect();
    expect_that!(node_events, elements_are![eq(&"mesh: peer")]);
}

#[gtest]
fn refusal_at_the_entry_is_explained_by_one_record() {
    let verdict = explain("c3").verdict;
    expect_that!(verdict.status, some(eq(503)));
    expect_that!(
        verdict.because,
        elements_are![contains_substring("code 40, overloaded")]
    );
}

#[gtest]
fn request_without_an_answer_is_explained() {
    expect_that!(
        sentences("d4"),
        elements_are![contains_substring("caller disconnected")]
    );
    let unfinished = sentences("e5");
    expect_that!(
        unfinished[0],
        contains_substring("no log record of its end")
    );
    expect_that!(
        unfinished[1],
        contains_substring("fares-1 did not serve it (code 71")
    );
    expect_that!(
        sentences("none"),
        elements_are![contains_substring("not sampled")]
    );
}

#[gtest]
fn path_of_a_call_includes_its_parent_request() {
    let requests: Vec<_> = explain("a1.b2")
        .path
        .into_iter()
        .filter_map(|record| record.request)
        .collect();
    expect_that!(requests, contains(eq("a1")));
    // `a1` is not a call of `a`: no separator follows the prefix.
    expect_that!(explain("a").path, is_empty());
}

#[gtest]
fn node_comes_from_the_prefix_of_the_line_or_from_the_file() {
    let mut explainer = Explainer::new("x");
    let line = r#"{"message":"outbound: caller gone","request":"x","time":1.0}"#;
    explainer
        .read("from-file", line.as_bytes())
        .expect("log is readable");
    let prefixed = format!("2026-12-02 from-prefix {line}");
    explainer
        .read("from-file", prefixed.as_bytes())
        .expect("log is readable");
    let nodes: Vec<String> = explainer
        .explain()
        .path
        .into_iter()
        .map(|record| record.node)
        .collect();
    expect_that!(nodes, elements_are![eq("from-file"), eq("from-prefix")]);
}

#[gtest]
fn malformed_lines_are_ignored() {
    let mut explainer = Explainer::new("x");
    let log: &[u8] =
        b"{\n{}\n{\"message\":7}\n\xff\xfe{\"message\":\"m\"}\n{\"message\":\"m\",\"time\":\"x\"}";
    explainer.read("n", log).expect("log is readable");
    expect_that!(explainer.explain().path, is_empty());
}
