//! Tests of the frame codec: frames in arbitrary chunks, malformed input and the length limit.

use bytes::BytesMut;
use googletest::prelude::*;
use proptest::prelude::*;
use rillgap_core::id::{AttemptId, CallId, Incarnation, NodeId};
use rillgap_core::message::{CallMessage, PeerMessage};
use rillgap_mesh::error::LinkError;
use rillgap_mesh::frame::{FrameDecoder, FrameEncoder, MAX_FRAME_LENGTH};
use tokio_util::codec::Decoder;

fn answer_body(sequence: u32, chunk: Vec<u8>) -> PeerMessage {
    let call = CallId {
        node: NodeId(1),
        incarnation: Incarnation(2),
        sequence: 3,
    };
    PeerMessage::Call(CallMessage::AnswerBody {
        attempt: AttemptId { call, number: 0 },
        sequence,
        chunk,
    })
}

/// Decodes bytes in chunks of `piece` bytes and returns the messages before the first error.
fn decode_in_pieces(bytes: &[u8], piece: usize) -> Vec<PeerMessage> {
    let mut decoder = FrameDecoder::default();
    let mut buffer = BytesMut::new();
    let mut messages = Vec::new();
    for part in bytes.chunks(piece) {
        buffer.extend_from_slice(part);
        loop {
            match decoder.decode(&mut buffer) {
                Ok(Some(message)) => messages.push(message),
                Ok(None) => break,
                Err(_) => return messages,
            }
        }
    }
    messages
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn messages_are_decoded_from_chunks_of_any_size(
        chunks in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..300), 1..8),
        piece in 1_usize..64,
    ) {
        let mut encoder = FrameEncoder::default();
        let sent: Vec<_> = (0..).zip(chunks).map(|(sequence, chunk)| answer_body(sequence, chunk)).collect();
        let mut stream = Vec::new();
        for message in &sent {
            stream.extend_from_slice(&encoder.encode(message).expect("the message fits"));
        }
        prop_assert_eq!(decode_in_pieces(&stream, piece), sent);
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..2048), piece in 1_usize..64) {
        decode_in_pieces(&bytes, piece);
    }

    #[test]
    fn arbitrary_payloads_never_panic(payload in proptest::collection::vec(any::<u8>(), 0..512)) {
        let length = u32::try_from(payload.len()).expect("short");
        let mut stream = length.to_be_bytes().to_vec();
        stream.extend_from_slice(&payload);
        decode_in_pieces(&stream, stream.len());
    }
}

#[gtest]
fn an_empty_frame_and_an_unknown_kind_are_refused() {
    for frame in [&[0, 0, 0, 0][..], &[0, 0, 0, 2, 9, 0]] {
        let result = FrameDecoder::default().decode(&mut BytesMut::from(frame));
        expect_that!(result, err(matches_pattern!(LinkError::FrameMalformed)));
    }
}

#[gtest]
fn a_length_over_the_limit_is_refused_before_its_bytes_arrive() {
    let length = u32::try_from(MAX_FRAME_LENGTH + 1).expect("fits");
    let mut buffer = BytesMut::from(&length.to_be_bytes()[..]);
    let result = FrameDecoder::default().decode(&mut buffer);
    expect_that!(
        result,
        err(matches_pattern!(LinkError::FrameTooLong { .. }))
    );
    expect_that!(buffer.capacity(), lt(MAX_FRAME_LENGTH));
}

#[gtest]
fn a_message_over_the_limit_is_not_sent() {
    // The chunk contains all byte values, because `bitcode` compresses sequences of small values.
    let chunk = (0..=u8::MAX).cycle().take(MAX_FRAME_LENGTH + 1).collect();
    let result = FrameEncoder::default().encode(&answer_body(0, chunk));
    expect_that!(
        result.map(|frame| frame.len()),
        err(matches_pattern!(LinkError::FrameTooLong { .. }))
    );
}
