//! Tests of calls from the client through the service to a simulated node.

use std::future::pending;
use std::time::Duration;

use googletest::prelude::*;
use rillgap_core::code::ResultCode;
use rillgap_core::id::{BackEndName, ChangeId, NodeName, PolicyVersion, ServiceName};
use rillgap_core::operator::{ChangeState, OperatorReply, OperatorRequest};
use rillgap_core::policy::{
    BackEndPolicy, BackEndState, Class, Policy, RoutePolicy, ServicePolicy,
};
use rillgap_operator::client::{Change, OperatorClient};
use rillgap_operator::error::OperatorError;
use rillgap_operator::handle::OperatorHandle;
use rillgap_operator::service;
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a service whose node answers one request with `reply`; the returned task yields that
/// request.
async fn start_node(
    reply: OperatorReply,
) -> (OperatorClient, tokio::task::JoinHandle<OperatorRequest>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (handle, mut calls) = OperatorHandle::channel(1);
    tokio::spawn(service::serve(listener, handle, pending()));
    let node = tokio::spawn(async move {
        let call = calls.recv().await.unwrap();
        call.reply.send(reply).unwrap();
        call.request
    });
    (OperatorClient::new(&address, TIMEOUT).unwrap(), node)
}

fn policy() -> Policy {
    Policy {
        version: PolicyVersion(7),
        services: vec![ServicePolicy {
            name: ServiceName::new("takst"),
            slots: 21,
            connections: 110,
            queue_millis: 50,
        }],
        routes: vec![RoutePolicy {
            service: ServiceName::new("takst"),
            method: "GET".to_owned(),
            path: "/fares".to_owned(),
            class: Class::Standard,
            repeatable: true,
            deadline_millis: 800,
        }],
        back_ends: vec![BackEndPolicy {
            name: BackEndName::new("takst-1"),
            service: ServiceName::new("takst"),
            node: NodeName::new("node-takst-1"),
            state: BackEndState::Leaving,
        }],
        ..Policy::default()
    }
}

#[gtest]
#[tokio::test]
async fn policy_survives_the_round_trip_to_and_from_the_wire_format() -> Result<()> {
    let (mut client, node) = start_node(OperatorReply::Change {
        version: PolicyVersion(8),
        state: ChangeState::Accepted,
    })
    .await;

    let change = client
        .apply_policy(policy(), Some(PolicyVersion(7)), ChangeId(5))
        .await
        .or_fail()?;

    verify_that!(
        change,
        eq(&Change {
            version: PolicyVersion(8),
            state: ChangeState::Accepted
        })
    )?;
    verify_that!(
        node.await.or_fail()?,
        eq(&OperatorRequest::ApplyPolicy {
            policy: policy(),
            expected: Some(PolicyVersion(7)),
            change: ChangeId(5),
        })
    )?;

    let (mut client, _node) = start_node(OperatorReply::Policy(policy())).await;
    verify_that!(client.get_policy().await, ok(eq(&policy())))
}

#[gtest]
#[tokio::test]
async fn pending_change_lists_the_missing_nodes() -> Result<()> {
    let state = ChangeState::Pending {
        // More nodes are missing than are named.
        missing: 40,
        nodes: vec![NodeName::new("node-takst-1")],
    };
    let (mut client, _node) = start_node(OperatorReply::Change {
        version: PolicyVersion(3),
        state: state.clone(),
    })
    .await;

    let change = client.get_change(ChangeId(9)).await.or_fail()?;

    verify_that!(change.state, eq(&state))
}

#[gtest]
#[tokio::test]
async fn every_result_code_reaches_the_client() -> Result<()> {
    for &code in ResultCode::ALL {
        let (mut client, _node) = start_node(OperatorReply::Failed {
            code,
            version: PolicyVersion(12),
            detail: "reason".to_owned(),
        })
        .await;

        let result = client.get_status().await;

        expect_that!(
            result,
            err(eq(&OperatorError::Failed {
                code,
                version: PolicyVersion(12),
                detail: "reason".to_owned()
            }))
        );
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn refused_connection_is_reported_as_unreachable() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    drop(listener);
    let mut client = OperatorClient::new(&address, TIMEOUT).or_fail()?;

    let error = client.stop_node().await.unwrap_err();

    verify_that!(error.code(), eq(ResultCode::OperatorUnreachable))
}
