//! Tests of commands against a node that sends scripted replies.

use std::future::pending;

use argh::FromArgs;
use googletest::prelude::*;
use rillgap_cli::arguments::Arguments;
use rillgap_cli::error::CommandError;
use rillgap_core::code::ResultCode;
use rillgap_core::id::{BackEndName, ChangeId, NodeName, PolicyVersion, ServiceName, ZoneName};
use rillgap_core::operator::{ChangeState, MemberStatus, OperatorReply, OperatorRequest};
use rillgap_core::policy::{BackEndState, Policy, ServicePolicy};
use rillgap_operator::handle::OperatorHandle;
use rillgap_operator::service;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Reaction of the node to one request.
enum Reaction {
    Reply(OperatorReply),
    LoseAnswer,
}

/// Starts a node that reacts to requests as `script` says; its task returns the requests.
async fn node(script: Vec<Reaction>) -> (String, JoinHandle<Vec<OperatorRequest>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (handle, mut calls) = OperatorHandle::channel(1);
    tokio::spawn(service::serve(listener, handle, pending()));
    let node = tokio::spawn(async move {
        let mut requests = Vec::new();
        let mut unanswered = Vec::new();
        for step in script {
            let call = calls.recv().await.unwrap();
            requests.push(call.request);
            match step {
                Reaction::Reply(reply) => drop(call.reply.send(reply)),
                // The reply channel stays open: dropping it would end the call at once.
                Reaction::LoseAnswer => unanswered.push(call.reply),
            }
        }
        requests
    });
    (address, node)
}

async fn run(
    address: &str,
    args: &[&str],
) -> (std::result::Result<ResultCode, CommandError>, String) {
    let args = [&["--node", address, "--timeout", "1"], args].concat();
    let arguments = Arguments::from_args(&["rillgapctl"], &args).unwrap();
    let mut output = Vec::new();
    let result = rillgap_cli::run(arguments, &mut output).await;
    (result, String::from_utf8(output).unwrap())
}

fn accepted_change(version: u64) -> OperatorReply {
    OperatorReply::Change {
        version: PolicyVersion(version),
        state: ChangeState::Accepted,
    }
}

fn pending_change(version: u64) -> OperatorReply {
    OperatorReply::Change {
        version: PolicyVersion(version),
        state: ChangeState::Pending {
            missing: 1,
            nodes: vec![NodeName::new("node-takst-2")],
        },
    }
}

fn change_id_of(request: &OperatorRequest) -> Option<ChangeId> {
    match request {
        OperatorRequest::ApplyPolicy { change, .. }
        | OperatorRequest::SetBackEndState { change, .. }
        | OperatorRequest::GetChange { change } => Some(*change),
        _ => None,
    }
}

fn policy_with_slots(slots: u16) -> Policy {
    Policy {
        version: PolicyVersion(4),
        services: vec![ServicePolicy {
            name: ServiceName::new("takst"),
            slots,
            connections: 110,
            queue_millis: 50,
        }],
        ..Policy::default()
    }
}

fn policy_file(name: &str, policy: &Policy) -> String {
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let text = rillgap_cli::policy_file::write(policy).unwrap();
    std::fs::write(&file, text).unwrap();
    file.to_str().unwrap().to_owned()
}

#[gtest]
#[tokio::test]
async fn change_with_lost_answer_is_retried_with_the_same_identifier() {
    let (address, node) = node(vec![
        Reaction::LoseAnswer,
        Reaction::Reply(accepted_change(5)),
    ])
    .await;

    let (result, output) = run(&address, &["back-end", "drain", "takst-1"]).await;

    expect_that!(result, ok(eq(&ResultCode::Ok)));
    expect_that!(output, contains_substring("accepted: version 5"));
    let requests = node.await.unwrap();
    expect_that!(change_id_of(&requests[0]), eq(change_id_of(&requests[1])));
    expect_that!(
        requests[0],
        matches_pattern!(OperatorRequest::SetBackEndState {
            back_end: eq(&BackEndName::new("takst-1")),
            state: eq(&BackEndState::Leaving),
            ..
        })
    );
}

#[gtest]
#[tokio::test]
async fn pending_change_lists_missing_nodes_and_returns_change_pending() {
    // More replies than the command polls in one second.
    let replies = (0..20).map(|_| Reaction::Reply(pending_change(6)));
    let (address, _node) = node(replies.collect()).await;

    let (result, output) = run(&address, &["back-end", "restore", "takst-1", "--wait", "1"]).await;

    expect_that!(result, ok(eq(&ResultCode::ChangePending)));
    expect_that!(output, contains_substring("missing node-takst-2"));
}

#[gtest]
#[tokio::test]
async fn change_is_queried_until_it_is_accepted() {
    let (address, _node) = node(vec![
        Reaction::Reply(pending_change(6)),
        Reaction::Reply(accepted_change(6)),
    ])
    .await;
    let id = "01890a5d-ac96-774b-bcce-b302099a8057";

    let (result, output) = run(&address, &["--output", "json", "change", id]).await;

    expect_that!(result, ok(eq(&ResultCode::Ok)));
    let value: serde_json::Value = serde_json::from_str(&output).unwrap();
    expect_that!(value["state"], eq("accepted"));
    expect_that!(value["change"], eq(id));
}

#[gtest]
#[tokio::test]
async fn plan_prints_the_differences() {
    let (address, _node) = node(vec![Reaction::Reply(OperatorReply::Policy(
        policy_with_slots(21),
    ))])
    .await;
    let file = policy_file("plan.toml", &policy_with_slots(24));

    let (result, output) = run(&address, &["policy", "plan", &file]).await;

    expect_that!(result, ok(eq(&ResultCode::Ok)));
    expect_that!(
        output,
        eq("~ service[takst].slots: 21 -> 24\n1 differences against version 4\n")
    );
}

#[gtest]
#[tokio::test]
async fn version_conflict_is_not_retried() {
    let (address, node) = node(vec![Reaction::Reply(OperatorReply::Failed {
        code: ResultCode::VersionConflict,
        version: PolicyVersion(9),
        detail: "version 9 is in force".to_owned(),
    })])
    .await;
    let file = policy_file("conflict.toml", &policy_with_slots(24));

    let (result, _) = run(
        &address,
        &["policy", "apply", &file, "--expect-version", "8"],
    )
    .await;

    expect_that!(result.unwrap_err().code(), eq(ResultCode::VersionConflict));
    expect_that!(node.await.unwrap(), len(eq(1)));
}

#[gtest]
#[tokio::test]
async fn status_lists_members() {
    let (address, _node) = node(vec![Reaction::Reply(OperatorReply::Status {
        policy: PolicyVersion(4),
        view: rillgap_core::id::ViewVersion(2),
        serving: true,
        members: vec![MemberStatus {
            node: NodeName::new("node-takst-1"),
            zone: ZoneName::new("hall-a"),
            reachable: true,
            policy: PolicyVersion(4),
        }],
    })])
    .await;

    let (result, output) = run(&address, &["status"]).await;

    expect_that!(result, ok(eq(&ResultCode::Ok)));
    expect_that!(
        output,
        contains_substring("node-takst-1  zone hall-a  reachable")
    );
}
