//! Length-prefixed frames that contain messages encoded with `postcard`.

use std::io;

use bytes::{Bytes, BytesMut};
use error_stack::{Report, ResultExt};
use jackdaw_base::ErrorKind;
use quinn::RecvStream;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_util::codec::{Encoder, FramedRead, LengthDelimitedCodec};

/// Frames received on one stream.
pub(crate) type FrameReader = FramedRead<RecvStream, LengthDelimitedCodec>;

/// Returns the codec that all streams use.
fn frame_codec(limit_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(limit_bytes).new_codec()
}

/// Returns a reader of the frames of a stream; a frame over the limit is an error.
pub(crate) fn frame_reader(stream: RecvStream, limit_bytes: usize) -> FrameReader {
    FramedRead::new(stream, frame_codec(limit_bytes))
}

/// Encodes a message as one frame; fails with `TooLarge` if it exceeds the limit.
pub(crate) fn encode_frame<T: Serialize>(
    message: &T,
    limit_bytes: usize,
) -> Result<Bytes, Report<ErrorKind>> {
    let payload = postcard::to_stdvec(message).change_context(ErrorKind::ProtocolViolation)?;
    let length = payload.len();
    let mut frame = BytesMut::with_capacity(length + size_of::<u32>());
    frame_codec(limit_bytes)
        .encode(Bytes::from(payload), &mut frame)
        .change_context(ErrorKind::TooLarge)
        .attach_with(|| {
            format!("message of {length} bytes exceeds the limit of {limit_bytes} bytes")
        })?;
    Ok(frame.freeze())
}

/// Returns the encoded size of a frame with this payload, in bytes.
pub(crate) fn frame_length(payload: &[u8]) -> u64 {
    (payload.len() + size_of::<u32>()) as u64
}

/// Converts an error from reading a frame: a frame over the limit is a protocol violation by the
/// peer, any other error is of the given kind.
pub(crate) fn frame_error(error: io::Error, otherwise: ErrorKind) -> Report<ErrorKind> {
    let kind = match error.kind() {
        io::ErrorKind::InvalidData => ErrorKind::ProtocolViolation,
        _ => otherwise,
    };
    Report::new(error).change_context(kind)
}

/// Decodes the message in a frame; trailing bytes are an error.
pub(crate) fn decode_frame<T: DeserializeOwned>(payload: &[u8]) -> Result<T, Report<ErrorKind>> {
    let (message, rest) = decode_prefix(payload)?;
    if !rest.is_empty() {
        return Err(Report::new(ErrorKind::ProtocolViolation)
            .attach(format!("{} trailing bytes after the message", rest.len())));
    }
    Ok(message)
}

/// Decodes the message at the start of a frame; returns it with the trailing bytes.
pub(crate) fn decode_prefix<T: DeserializeOwned>(
    payload: &[u8],
) -> Result<(T, &[u8]), Report<ErrorKind>> {
    postcard::take_from_bytes(payload).change_context(ErrorKind::ProtocolViolation)
}
