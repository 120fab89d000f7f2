//! Encoding of the record bodies of the control stream.
//!
//! Each body is an envelope that holds a format version, a checksum and an encoded batch. Unknown
//! fields are errors: if an older program ignored a field, its state would diverge from that of its
//! peers. See docs/notes/log.md.
//!
//! ```
//! use {
//!     coriandertack_core::{keys::Incarnation, record::{Batch, Entry, Record}},
//!     coriandertack_log::codec,
//! };
//!
//! let entry = Entry { actor: "system".into(), at_ms: 1, record: Record::Leave };
//! let batch = Batch { author: Incarnation(7), seq: 2, entries: vec![entry] };
//! let body = codec::encode(&batch);
//! assert_eq!(codec::decode(&body).unwrap(), batch);
//! assert!(codec::decode(&body[1..]).is_err());
//! ```

mod image;
mod record;

use std::net::AddrParseError;

use {
    bytes::Bytes,
    coriandertack_core::{
        code::UnknownCode,
        keys::MAX_BATCH_ENTRIES,
        record::{Batch, Entry},
        state::StateImage,
    },
    derive_more::{Display, Error, From},
    prost::Message,
    xxhash_rust::xxh3::xxh3_64,
};

use crate::proto;

/// Format version that this program writes, and the only one that it reads.
pub const FORMAT_VERSION: u32 = 1;

/// Error of decoding a body.
#[derive(Debug, Display, Error, From)]
pub enum DecodeError {
    /// The bytes are not a valid protobuf message of the schema.
    #[display("malformed message")]
    Malformed(prost::DecodeError),
    /// The content does not match its checksum.
    #[display("checksum mismatch")]
    Checksum,
    /// The body has another format version, as a newer program would write.
    #[display("unknown format {format}")]
    #[from(skip)]
    Format {
        /// Format version of the body.
        format: u32,
    },
    /// The body holds a field, record kind or enum value that is not in the schema.
    #[display("unknown field or record")]
    Unknown,
    /// A required field is missing or its value is out of range.
    #[display("invalid value of {field}")]
    #[from(skip)]
    Invalid {
        /// Name of the field.
        field: &'static str,
    },
    /// A socket address cannot be parsed.
    #[display("invalid address")]
    Address(AddrParseError),
    /// A number is not that of a result code.
    #[display("unknown result code")]
    Code(UnknownCode),
}

/// Encodes a batch as the body of a record.
#[must_use]
pub fn encode(batch: &Batch) -> Bytes {
    encode_envelope(&proto::Batch::from(batch))
}

/// Decodes a batch from the body of a record.
///
/// # Errors
///
/// Fails if the body is corrupt, holds more than [`MAX_BATCH_ENTRIES`] entries, or holds anything
/// that is not in this program's schema.
pub fn decode(body: &[u8]) -> Result<Batch, DecodeError> {
    let batch: proto::Batch = decode_envelope(body)?;
    if batch.entries.len() > MAX_BATCH_ENTRIES {
        return Err(DecodeError::Invalid { field: "entries" });
    }
    batch.try_into()
}

/// Encodes a state image as the content of a snapshot.
#[must_use]
pub fn encode_image(image: &StateImage) -> Bytes {
    encode_envelope(&proto::Image::from(image))
}

/// Decodes a state image from the content of a snapshot.
///
/// # Errors
///
/// Fails if the content is corrupt or holds anything that is not in this program's schema.
pub fn decode_image(body: &[u8]) -> Result<StateImage, DecodeError> {
    decode_envelope::<proto::Image>(body)?.try_into()
}

/// Returns the number of bytes that an entry adds to the encoded batch.
#[must_use]
pub fn entry_size(entry: &Entry) -> usize {
    let size = proto::Entry::from(entry).encoded_len();
    // The tag of the field takes one byte.
    1 + prost::length_delimiter_len(size) + size
}

fn encode_envelope(message: &impl Message) -> Bytes {
    let content = message.encode_to_vec();
    let checksum = xxh3_64(&content);
    proto::Envelope { format: FORMAT_VERSION, checksum, content }.encode_to_vec().into()
}

fn decode_envelope<M: Message + Default>(body: &[u8]) -> Result<M, DecodeError> {
    let proto::Envelope { format, checksum, content } = decode_exact(body)?;
    if xxh3_64(&content) != checksum {
        return Err(DecodeError::Checksum);
    }
    if format != FORMAT_VERSION {
        return Err(DecodeError::Format { format });
    }
    decode_exact(&content)
}

/// Decodes a message and rejects unknown fields, which prost skips silently.
fn decode_exact<M: Message + Default>(bytes: &[u8]) -> Result<M, DecodeError> {
    let message = M::decode(bytes)?;
    if message.encoded_len() != bytes.len() {
        return Err(DecodeError::Unknown);
    }
    Ok(message)
}

/// Returns the value of a required field.
fn required<T>(value: Option<T>, field: &'static str) -> Result<T, DecodeError> {
    value.ok_or(DecodeError::Invalid { field })
}

/// Converts each element of a list, failing at the first one that is invalid.
fn convert_all<T, U: TryFrom<T, Error = DecodeError>>(list: Vec<T>) -> Result<Vec<U>, DecodeError> {
    list.into_iter().map(U::try_from).collect()
}
