//! Encoding and decoding of the frames between nodes.

use std::sync::Arc;

use bytes::BytesMut;
use googletest::prelude::*;
use rillgap_core::code::ResultCode;
use rillgap_forward::configuration::Configuration;
use rillgap_forward::id::Sequence;
use rillgap_forward::message::{
    ForwardResponse, ForwardResult, ForwardedAnswer, ForwardedRequest, Hello, LinkMessage, Load,
    NodeRecord, ServiceAdmissionLevel, Status, Timing, level_of,
};
use rillgap_forward::rate_limit::lease::{Vote, VoteRequest};
use rillgap_forward::rate_limit::ownership::TenantHash;
use rillgap_forward::store_epoch::StoreEpoch;
use rillgap_forward::watch_relay::ContactReport;
use rillgap_sidecar::link::{Frame, FrameDecoder, FrameEncoder, FrameError};

fn messages() -> Vec<LinkMessage> {
    let node = NodeRecord {
        name: "n".to_owned(),
        address: ([127, 0, 0, 1], 7).into(),
        zone: "z".to_owned(),
        service: "s".to_owned(),
    };
    vec![
        LinkMessage::Hello(Hello {
            protocol: 1,
            node,
            incarnation: 9,
            status: Status::default(),
            configuration_version: 3,
            store_epoch: Some(StoreEpoch(2)),
        }),
        LinkMessage::Request {
            sequence: Sequence(5),
            request: Arc::new(ForwardedRequest {
                request_id: "id".to_owned(),
                method: "POST".to_owned(),
                target: "/x".to_owned(),
                fields: b"A: b\r\n".to_vec(),
                body: vec![0, 1, 2],
                caller_service: "c".to_owned(),
                service: "s".to_owned(),
                route: "r".to_owned(),
                is_idempotent: true,
                tenant: Some("t".to_owned()),
                level: level_of(2, "id"),
                is_call: false,
                is_retry: false,
                remaining_micros: 1,
                queue_limit_micros: 2,
                answer_grace_micros: 1_000_000,
                remembered_rate_limit: None,
            }),
        },
        LinkMessage::Cancel(Sequence(6)),
        LinkMessage::Response(ForwardResponse {
            sequence: Sequence(5),
            load: Load::default(),
            downstream_levels: vec![ServiceAdmissionLevel {
                service: "s".to_owned(),
                level: level_of(1, "id"),
            }],
            has_failed_call: true,
            timing: Timing::default(),
            result: ForwardResult::Answered(ForwardedAnswer {
                status: 200,
                fields: Vec::new(),
                body: vec![7; 100_000],
            }),
        }),
        LinkMessage::Response(ForwardResponse {
            sequence: Sequence(7),
            load: Load::default(),
            downstream_levels: vec![ServiceAdmissionLevel {
                service: "s".to_owned(),
                level: level_of(1, "id"),
            }],
            has_failed_call: true,
            timing: Timing::default(),
            result: ForwardResult::Unknown {
                code: ResultCode::AnswerLost,
            },
        }),
        LinkMessage::Status(Status::default()),
        LinkMessage::Ping,
        LinkMessage::StoreEpoch(StoreEpoch(4)),
        LinkMessage::Follow(true),
        LinkMessage::Follow(false),
        LinkMessage::StoreContact(ContactReport {
            sent_at_micros: 7,
            age_micros: Some(1_200),
        }),
        LinkMessage::StoreContact(ContactReport {
            sent_at_micros: 8,
            age_micros: None,
        }),
        LinkMessage::VoteRequest(VoteRequest {
            number: 5,
            answered: 4,
            is_candidate: true,
            lost: vec![1, 2],
            wanted: vec![TenantHash::of("t")],
        }),
        LinkMessage::Vote(Vote {
            number: 5,
            is_granted: true,
            is_abstaining: false,
            held: Vec::new(),
            not_lost: vec![2],
            uncontested_millis: 100,
        }),
        LinkMessage::AnswerOverdue(Sequence(9)),
        LinkMessage::Pong,
        LinkMessage::ConfigurationOffer(8),
        LinkMessage::ConfigurationQuery(9),
        LinkMessage::Configuration(Arc::new(Configuration::default())),
    ]
}

#[gtest]
fn every_message_is_decoded_unchanged_when_received_byte_by_byte() {
    let mut bytes = BytesMut::new();
    let mut encoder = FrameEncoder::default();
    for message in messages() {
        encoder.encode(&message, &mut bytes).expect("a frame");
    }
    let mut decoder = FrameDecoder::default();
    let mut input = BytesMut::new();
    let mut decoded = Vec::new();
    for byte in bytes {
        input.extend_from_slice(&[byte]);
        decoded.extend(decoder.decode(&mut input).expect("a valid frame"));
    }
    let expected: Vec<Frame> = messages().into_iter().map(Frame::Message).collect();
    expect_that!(decoded, eq(&expected));
}

#[gtest]
fn malformed_frames_are_refused_and_never_panic() {
    let too_long = [0xff, 0xff, 0xff, 0xff, 0];
    let mut input = BytesMut::from(&too_long[..]);
    let error = FrameDecoder::default().decode(&mut input);
    expect_that!(error, err(eq(&FrameError::TooLong)));
    for kind in 0..=255_u8 {
        for length in 1..12_u32 {
            let mut input = BytesMut::new();
            input.extend_from_slice(&length.to_be_bytes());
            input.extend_from_slice(&[kind]);
            input.resize(4 + length as usize, kind);
            // Some of these bytes happen to be valid messages; none may cause a panic.
            let _ = FrameDecoder::default().decode(&mut input);
        }
    }
}
