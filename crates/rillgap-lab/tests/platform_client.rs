//! The platform's client against the stand-in of the platform.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{machine, serve_platform, until};
use googletest::prelude::*;
use rillgap_core::id::NodeName;
use rillgap_core::store::{Machine, ModifyIndex, StoreKey, StoreObject, StoreReply, StoreRequest};
use rillgap_lab::serve::platform::FaultChange;
use rillgap_platform::PlatformClient;

const ABSENT: ModifyIndex = ModifyIndex(0);

fn key() -> StoreKey {
    StoreKey("rillgap/policy".to_owned())
}

fn read(after: Option<ModifyIndex>) -> StoreRequest {
    StoreRequest::Read { key: key(), after }
}

fn write(expected: ModifyIndex, value: &[u8]) -> StoreRequest {
    StoreRequest::CompareAndSet {
        key: key(),
        expected,
        value: value.to_vec(),
    }
}

fn object(index: ModifyIndex, value: &[u8]) -> StoreReply {
    StoreReply::Object(StoreObject {
        index,
        value: Some(value.to_vec()),
    })
}

fn client(address: SocketAddr) -> PlatformClient {
    PlatformClient::new([address])
}

async fn written(client: &PlatformClient, expected: ModifyIndex, value: &[u8]) -> ModifyIndex {
    match client.execute(write(expected, value)).await {
        StoreReply::Written(index) => index,
        other => panic!("not written: {other:?}"),
    }
}

#[gtest]
#[tokio::test]
async fn an_absent_object_reads_as_index_zero() {
    let (address, _platform) = serve_platform(Duration::ZERO, &[]).await;
    let absent = StoreReply::Object(StoreObject {
        index: ABSENT,
        value: None,
    });
    expect_that!(client(address).execute(read(None)).await, eq(&absent));
}

#[gtest]
#[tokio::test]
async fn a_written_object_reads_back_with_the_index_of_its_write() {
    let (address, _platform) = serve_platform(Duration::ZERO, &[]).await;
    let client = client(address);
    let value: Vec<u8> = (0..=255).collect();
    let index = written(&client, ABSENT, &value).await;
    expect_that!(client.execute(read(None)).await, eq(&object(index, &value)));
}

#[gtest]
#[tokio::test]
async fn a_put_with_an_old_index_conflicts_and_changes_nothing() {
    let (address, _platform) = serve_platform(Duration::ZERO, &[]).await;
    let client = client(address);
    let first = written(&client, ABSENT, b"first").await;
    let second = written(&client, first, b"second").await;
    expect_that!(
        client.execute(write(first, b"third")).await,
        eq(&StoreReply::Conflict)
    );
    expect_that!(
        client.execute(write(ABSENT, b"third")).await,
        eq(&StoreReply::Conflict)
    );
    expect_that!(
        client.execute(read(None)).await,
        eq(&object(second, b"second"))
    );
}

#[gtest]
#[tokio::test]
async fn a_lost_answer_fails_and_the_write_is_sent_only_once() {
    let (address, platform) = serve_platform(Duration::ZERO, &[]).await;
    let client = client(address);
    let first = written(&client, ABSENT, b"first").await;
    platform.set_faults(&FaultChange {
        lost_write_answers: Some(1),
        ..FaultChange::default()
    });
    let writes_before = platform.statistics().writes;
    expect_that!(
        client.execute(write(first, b"second")).await,
        eq(&StoreReply::Failed)
    );
    expect_that!(platform.statistics().writes, eq(writes_before + 1));
    let StoreReply::Object(read_back) = client.execute(read(None)).await else {
        panic!("no object");
    };
    expect_that!(read_back.value, some(eq(&b"second".to_vec())));
}

#[gtest]
#[tokio::test]
async fn a_blocking_query_waits_for_the_next_write() {
    let (address, platform) = serve_platform(Duration::ZERO, &[]).await;
    let client = client(address);
    let first = written(&client, ABSENT, b"first").await;
    let watcher = client.clone();
    let watch = tokio::spawn(async move { watcher.execute(read(Some(first))).await });
    until(|| platform.statistics().waiting == 1).await;
    let second = written(&client, first, b"second").await;
    expect_that!(
        watch.await.expect("the watch ends"),
        eq(&object(second, b"second"))
    );
    expect_that!(platform.statistics().waiting, eq(0));
}

#[gtest]
#[tokio::test]
async fn a_blocking_query_waits_for_the_creation_of_an_absent_object() {
    let (address, platform) = serve_platform(Duration::ZERO, &[]).await;
    let client = client(address);
    let watcher = client.clone();
    let watch = tokio::spawn(async move { watcher.execute(read(Some(ABSENT))).await });
    until(|| platform.statistics().waiting == 1).await;
    let index = written(&client, ABSENT, b"first").await;
    expect_that!(
        watch.await.expect("the watch ends"),
        eq(&object(index, b"first"))
    );
}

#[gtest]
#[tokio::test]
async fn reads_and_writes_fail_while_the_platform_is_down_and_recover() {
    let (address, platform) = serve_platform(Duration::ZERO, &[]).await;
    let client = client(address);
    let down = |down| FaultChange {
        down: Some(down),
        ..FaultChange::default()
    };
    platform.set_faults(&down(true));
    expect_that!(client.execute(read(None)).await, eq(&StoreReply::Failed));
    expect_that!(
        client.execute(write(ABSENT, b"first")).await,
        eq(&StoreReply::Failed)
    );
    platform.set_faults(&down(false));
    written(&client, ABSENT, b"first").await;
}

#[gtest]
#[tokio::test]
async fn a_read_is_tried_at_the_next_endpoint() {
    let (down, platform) = serve_platform(Duration::ZERO, &[]).await;
    platform.set_faults(&FaultChange {
        down: Some(true),
        ..FaultChange::default()
    });
    let (up, _platform) = serve_platform(Duration::ZERO, &["node-takst-1"]).await;
    let client = PlatformClient::new([down, up]);
    let reply = client.execute(StoreRequest::Machines { after: None }).await;
    expect_that!(
        reply,
        matches_pattern!(StoreReply::Machines {
            machines: len(eq(1)),
            ..
        })
    );
}

fn machine_list(index: u64, leaving: bool) -> StoreReply {
    StoreReply::Machines {
        index: ModifyIndex(index),
        machines: vec![Machine {
            node: NodeName::new("node-takst-1"),
            leaving,
        }],
    }
}

#[gtest]
#[tokio::test]
async fn a_changed_machine_list_is_not_seen_before_its_lag() {
    let lag = Duration::from_secs(3600);
    let (address, platform) = serve_platform(lag, &["node-takst-1"]).await;
    platform.set_machines(vec![machine("node-takst-1", true)]);
    let reply = client(address)
        .execute(StoreRequest::Machines { after: None })
        .await;
    expect_that!(reply, eq(&machine_list(1, false)));
}

#[gtest]
#[tokio::test]
async fn a_blocking_query_sees_a_changed_machine_list_after_its_lag() {
    let lag = Duration::from_millis(20);
    let (address, platform) = serve_platform(lag, &["node-takst-1"]).await;
    let client = client(address);
    platform.set_machines(vec![machine("node-takst-1", true)]);
    let after = Some(ModifyIndex(1));
    let reply = client.execute(StoreRequest::Machines { after }).await;
    expect_that!(reply, eq(&machine_list(2, true)));
}
