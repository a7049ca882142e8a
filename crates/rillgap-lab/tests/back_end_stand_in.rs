//! The stand-in back end: slots, shedding, cancellation, deadlines, own calls, long downloads.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{back_end_settings, get, serve_back_end, until};
use googletest::prelude::*;
use http::{Response, StatusCode};
use rillgap_http::names;
use rillgap_lab::answer::{BODY_DIGEST_HEADER, CALLER_ID_HEADER, ShortAnswer, digest};

/// Service time that no test waits for.
const ENDLESS: Duration = Duration::from_secs(3600);

/// Health report of a back end that serves.
const SERVING: &[u8] = br#"{"state":"serving"}"#;

fn header<'a>(response: &'a Response<Bytes>, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

fn short_answer(response: &Response<Bytes>) -> ShortAnswer {
    serde_json::from_slice(response.body()).expect("a short answer")
}

#[gtest]
#[tokio::test]
async fn an_answer_names_its_caller_and_carries_its_digest() {
    let (address, _back_end) = serve_back_end(back_end_settings()).await;
    let response = get(address, "/fares/zone", &[(CALLER_ID_HEADER, "caller-7")]).await;
    expect_that!(response.status(), eq(StatusCode::OK));
    expect_that!(header(&response, CALLER_ID_HEADER), some(eq("caller-7")));
    expect_that!(
        header(&response, BODY_DIGEST_HEADER),
        some(eq(digest(response.body()).as_str()))
    );
    expect_that!(short_answer(&response).caller, eq("caller-7"));
}

#[gtest]
#[tokio::test]
async fn a_request_beyond_slots_and_queue_is_shed_before_it_runs() {
    let mut settings = back_end_settings();
    settings.service_time = ENDLESS;
    let (address, back_end) = serve_back_end(settings).await;
    for _ in 0..3 {
        tokio::spawn(async move { get(address, "/fares/zone", &[]).await });
    }
    until(|| back_end.counters().running == 2 && back_end.counters().queued == 1).await;
    let response = get(address, "/fares/zone", &[]).await;
    expect_that!(response.status(), eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(header(&response, names::NOT_RUN), some(eq("true")));
    expect_that!(header(&response, "retry-after"), some(anything()));
    expect_that!(back_end.counters().started, eq(2));
}

#[gtest]
#[tokio::test]
async fn a_caller_that_goes_away_frees_its_slot() {
    let mut settings = back_end_settings();
    settings.service_time = ENDLESS;
    let (address, back_end) = serve_back_end(settings).await;
    let call = tokio::spawn(async move { get(address, "/fares/zone", &[]).await });
    until(|| back_end.counters().running == 1).await;
    call.abort();
    until(|| back_end.counters().running == 0).await;
    expect_that!(back_end.counters().cancelled, eq(1));
}

#[gtest]
#[tokio::test]
async fn a_deadline_stops_the_work_and_a_queued_request_does_not_run() {
    let mut settings = back_end_settings();
    settings.service_time = ENDLESS;
    settings.slots = 1;
    let (address, back_end) = serve_back_end(settings).await;
    let running = get(address, "/fares/zone", &[(names::TIMEOUT, "20m")]).await;
    expect_that!(running.status(), eq(StatusCode::GATEWAY_TIMEOUT));
    expect_that!(header(&running, names::NOT_RUN), none());
    tokio::spawn(async move { get(address, "/fares/zone", &[]).await });
    until(|| back_end.counters().running == 1).await;
    let queued = get(address, "/fares/zone", &[(names::TIMEOUT, "20000u")]).await;
    expect_that!(queued.status(), eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(header(&queued, names::NOT_RUN), some(eq("true")));
    expect_that!(back_end.counters().started, eq(2));
}

#[gtest]
#[tokio::test]
async fn executions_are_counted_by_key() {
    let (address, back_end) = serve_back_end(back_end_settings()).await;
    for key in ["first", "second", "first"] {
        get(address, "/bookings", &[(names::IDEMPOTENCY_KEY, key)]).await;
    }
    let executions = back_end.executions();
    expect_that!(executions.keys, eq(2));
    expect_that!(executions.highest, eq(2));
    expect_that!(executions.repeated.get("first"), some(eq(&2)));
}

#[gtest]
#[tokio::test]
async fn own_calls_go_to_the_node_and_are_checked() {
    let (fares, _fares_back_end) = serve_back_end(back_end_settings()).await;
    let mut settings = back_end_settings();
    settings.name = "bestilling-1".to_owned();
    settings.node = Some(fares);
    settings.calls = vec!["takst:/fares/zone".parse().expect("a call")];
    let (address, _back_end) = serve_back_end(settings).await;
    let response = get(address, "/bookings", &[(CALLER_ID_HEADER, "caller-7")]).await;
    expect_that!(response.status(), eq(StatusCode::OK));
    let answer = short_answer(&response);
    expect_that!(answer.downstream, len(eq(1)));
    expect_that!(answer.downstream[0].detail, eq("takst-1"));
}

#[gtest]
#[tokio::test]
async fn a_long_download_is_whole_and_holds_its_slot_until_its_end() {
    let (address, back_end) = serve_back_end(back_end_settings()).await;
    let response = get(
        address,
        "/bulk/scan?bytes=100000",
        &[(CALLER_ID_HEADER, "caller-7")],
    )
    .await;
    expect_that!(response.body().len(), eq(100_000));
    expect_that!(
        header(&response, BODY_DIGEST_HEADER),
        some(eq(digest(response.body()).as_str()))
    );
    until(|| back_end.counters().running == 0).await;
    expect_that!(back_end.counters().completed, eq(1));
}

#[gtest]
#[tokio::test]
async fn reports_lag_behind_the_announcement_of_leaving() {
    let mut settings = back_end_settings();
    settings.report_lag = ENDLESS;
    let (address, back_end) = serve_back_end(settings).await;
    expect_that!(get(address, "/health", &[]).await.body(), eq(SERVING));
    back_end.set_leaving(true);
    expect_that!(get(address, "/health", &[]).await.body(), eq(SERVING));
    let response = get(address, "/fares/zone", &[]).await;
    expect_that!(header(&response, names::LEAVING), some(eq("1")));
    expect_that!(back_end.counters().started_while_leaving, eq(1));
}
