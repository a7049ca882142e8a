//! HTTP/1.1 messages on a byte stream: framing, limits and the fields that are passed on.

use bytes::BytesMut;
use googletest::prelude::*;
use rillgap_http::h1::{
    BodyDecoder, BodyProgress, Connection, Framing, HeadLimits, HeadScan, MessageError,
    RequestHead, ResponseHead, decode_request, decode_response,
};

const LIMITS: HeadLimits = HeadLimits { max_bytes: 1_024 };

fn request(text: &str) -> std::result::Result<Option<RequestHead>, MessageError> {
    let mut input = BytesMut::from(text.as_bytes());
    decode_request(&mut input, LIMITS, |_, _| true)
}

fn response(text: &str) -> std::result::Result<Option<ResponseHead>, MessageError> {
    let mut input = BytesMut::from(text.as_bytes());
    decode_response(&mut input, LIMITS, false, |_, _| true)
}

/// Decodes a body that arrives byte by byte.
fn body(framing: Framing, text: &str) -> (std::result::Result<BodyProgress, MessageError>, String) {
    let mut decoder = BodyDecoder::new(framing);
    let mut output = Vec::new();
    let mut input = BytesMut::new();
    let mut progress = decoder.decode(&mut input, &mut output);
    for byte in text.bytes() {
        if !matches!(progress, Ok(BodyProgress::Partial)) {
            break;
        }
        input.extend_from_slice(&[byte]);
        progress = decoder.decode(&mut input, &mut output);
    }
    (progress, String::from_utf8_lossy(&output).into_owned())
}

#[gtest]
fn head_is_decoded_once_complete_and_the_rest_stays_in_the_buffer() {
    let mut input = BytesMut::from("GET /a HTTP/1.1\r\nHost: h\r\n");
    let partial = decode_request(&mut input, LIMITS, |_, _| true);
    expect_that!(partial.map(|head| head.is_none()), ok(eq(true)));
    input.extend_from_slice(b"\r\nGET /b");
    let head = decode_request(&mut input, LIMITS, |_, _| true);
    let head = head.ok().flatten().expect("a head");
    expect_that!(head.target, eq("/a"));
    expect_that!(head.host, eq("h"));
    expect_that!(&input[..], eq(b"GET /b"));
}

#[gtest]
fn hop_by_hop_fields_are_not_passed_on() {
    let text = "GET / HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n\
                Keep-Alive: timeout=5\r\nTE: trailers\r\nUpgrade: x\r\nX-End: 2\r\n\r\n";
    let head = request(text).ok().flatten().expect("a head");
    let fields = String::from_utf8_lossy(head.fields.as_bytes()).into_owned();
    expect_that!(fields, eq("Host: h\r\nX-End: 2\r\n"));
}

#[gtest]
fn contradictory_lengths_are_refused() {
    let cases = [
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: 3, 3\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    ];
    for fields in cases {
        let head = request(&format!("POST / HTTP/1.1\r\nHost: h\r\n{fields}\r\n"));
        expect_that!(
            head.err(),
            some(eq(MessageError::MalformedLength)),
            "{fields}"
        );
    }
}

#[gtest]
fn long_heads_are_refused_before_their_end() {
    let text = format!("GET / HTTP/1.1\r\nX: {}", "x".repeat(2_000));
    expect_that!(request(&text).err(), some(eq(MessageError::HeadTooLong)));
}

#[gtest]
fn garbage_is_refused() {
    expect_that!(
        request("\x16\x03\x01 nonsense\r\n\r\n").err(),
        some(anything())
    );
    expect_that!(response("HTTQ/1.1 200 OK\r\n\r\n").err(), some(anything()));
}

#[gtest]
fn version_and_connection_field_decide_whether_the_connection_stays_open() {
    let cases = [
        ("HTTP/1.1", "", Connection::KeepAlive),
        ("HTTP/1.1", "Connection: close\r\n", Connection::Close),
        ("HTTP/1.0", "", Connection::Close),
        (
            "HTTP/1.0",
            "Connection: keep-alive\r\n",
            Connection::KeepAlive,
        ),
    ];
    for (version, field, expected) in cases {
        let head = request(&format!("GET / {version}\r\nHost: h\r\n{field}\r\n"));
        let connection = head.ok().flatten().map(|head| head.connection);
        expect_that!(connection, some(eq(expected)), "{version} {field}");
    }
}

#[gtest]
fn response_without_a_length_ends_with_its_connection() {
    let head = response("HTTP/1.1 200 OK\r\n\r\n")
        .ok()
        .flatten()
        .expect("a head");
    expect_that!(head.framing, eq(Framing::UntilClose));
    expect_that!(head.connection, eq(Connection::Close));
    expect_that!(
        BodyDecoder::new(head.framing).is_complete_at_close(),
        eq(true)
    );
    let with_length = BodyDecoder::new(Framing::Length(4));
    expect_that!(with_length.is_complete_at_close(), eq(false));
    let chunked = BodyDecoder::new(Framing::Chunked);
    expect_that!(chunked.is_complete_at_close(), eq(false));
}

#[gtest]
fn responses_with_status_204_or_304_have_no_body() {
    for status in [204, 304] {
        let text = format!("HTTP/1.1 {status} X\r\nContent-Length: 9\r\n\r\n");
        let head = response(&text).ok().flatten().expect("a head");
        expect_that!(head.framing, eq(Framing::None));
    }
}

#[gtest]
fn chunks_are_joined_and_trailers_skipped() {
    let (progress, text) = body(
        Framing::Chunked,
        "4;name=value\r\nabcd\r\nA\r\n0123456789\r\n0\r\nX-Trailer: 1\r\n\r\n",
    );
    expect_that!(progress, ok(eq(BodyProgress::Complete)));
    expect_that!(text, eq("abcd0123456789"));
}

#[gtest]
fn malformed_chunks_are_refused() {
    for text in ["zz\r\n", "3\r\nabcd\r\n", "-1\r\n"] {
        let (progress, _) = body(Framing::Chunked, text);
        expect_that!(progress, err(eq(MessageError::MalformedChunk)), "{text:?}");
    }
}

#[gtest]
fn bytes_after_a_body_with_length_stay_in_the_buffer() {
    let mut input = BytesMut::from("abcdNEXT");
    let mut output = Vec::new();
    let progress = BodyDecoder::new(Framing::Length(4)).decode(&mut input, &mut output);
    expect_that!(progress, ok(eq(BodyProgress::Complete)));
    expect_that!(&output[..], eq(b"abcd"));
    expect_that!(&input[..], eq(b"NEXT"));
}

#[gtest]
fn head_that_arrives_byte_by_byte_is_decoded_rarely_and_as_soon_as_it_is_complete() {
    for end in ["\r\n\r\n", "\n\n", "\n\r\n"] {
        let head = format!("GET /{} HTTP/1.1{end}", "x".repeat(5_000));
        let mut scan = HeadScan::default();
        let due = (1..=head.len()).filter(|length| scan.is_due(&head.as_bytes()[..*length]));
        let due: Vec<usize> = due.collect();
        expect_that!(due.len(), lt(20));
        expect_that!(due.last(), some(eq(&head.len())));
    }
}
