//! Bodies of the control stream.
//!
//! Each body is an envelope with a format number and a checksum around an encoded batch. What this
//! program does not know completely is an error: a field that an older program ignored would make
//! its state differ from that of its peers. See docs/notes/log.md.
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

/// Format that this program writes, and the highest that it reads.
pub const FORMAT: u32 = 1;

/// Why a body cannot be read.
#[derive(Debug, Display, Error, From)]
pub enum DecodeError {
    /// The bytes are not a message of the schema.
    #[display("malformed message")]
    Malformed(prost::DecodeError),
    /// The content is not what the writer wrote.
    #[display("checksum mismatch")]
    Checksum,
    /// A newer program wrote it.
    #[display("unknown format {format}")]
    #[from(skip)]
    Format {
        /// Number of the format.
        format: u32,
    },
    /// A field or record that the schema does not have.
    #[display("unknown field or record")]
    Unknown,
    /// A required field is missing, or its value is out of range.
    #[display("invalid value of {field}")]
    #[from(skip)]
    Invalid {
        /// Name of the field.
        field: &'static str,
    },
    /// An address is not one.
    #[display("invalid address")]
    Address(AddrParseError),
    /// A result code has no such number.
    #[display("unknown result code")]
    Code(UnknownCode),
}

/// Encodes a batch.
#[must_use]
pub fn encode(batch: &Batch) -> Bytes {
    seal(&proto::Batch::from(batch))
}

/// Decodes a batch.
///
/// # Errors
///
/// Fails if the body is damaged, or holds anything that this program does not know.
pub fn decode(body: &[u8]) -> Result<Batch, DecodeError> {
    let batch: proto::Batch = open(body)?;
    if batch.entries.len() > MAX_BATCH_ENTRIES {
        return Err(DecodeError::Invalid { field: "entries" });
    }
    batch.try_into()
}

/// Encodes the content of a snapshot.
#[must_use]
pub fn encode_image(image: &StateImage) -> Bytes {
    seal(&proto::Image::from(image))
}

/// Decodes the content of a snapshot.
///
/// # Errors
///
/// Fails as [`decode`] does.
pub fn decode_image(body: &[u8]) -> Result<StateImage, DecodeError> {
    open::<proto::Image>(body)?.try_into()
}

/// Returns the bytes that an entry adds to the body of a batch.
#[must_use]
pub fn entry_size(entry: &Entry) -> usize {
    let size = proto::Entry::from(entry).encoded_len();
    // The key of the field takes one byte.
    1 + prost::length_delimiter_len(size) + size
}

fn seal(message: &impl Message) -> Bytes {
    let content = message.encode_to_vec();
    let checksum = xxh3_64(&content);
    proto::Envelope { format: FORMAT, checksum, content }.encode_to_vec().into()
}

fn open<M: Message + Default>(body: &[u8]) -> Result<M, DecodeError> {
    let proto::Envelope { format, checksum, content } = decode_exact(body)?;
    if xxh3_64(&content) != checksum {
        return Err(DecodeError::Checksum);
    }
    if format != FORMAT {
        return Err(DecodeError::Format { format });
    }
    decode_exact(&content)
}

/// Decodes a message and refuses unknown fields, which prost would skip.
fn decode_exact<M: Message + Default>(bytes: &[u8]) -> Result<M, DecodeError> {
    let message = M::decode(bytes)?;
    if message.encoded_len() != bytes.len() {
        return Err(DecodeError::Unknown);
    }
    Ok(message)
}

/// Returns the value of a field that must be there.
fn required<T>(value: Option<T>, field: &'static str) -> Result<T, DecodeError> {
    value.ok_or(DecodeError::Invalid { field })
}

/// Converts each element of a list.
fn convert<T, U: TryFrom<T, Error = DecodeError>>(list: Vec<T>) -> Result<Vec<U>, DecodeError> {
    list.into_iter().map(U::try_from).collect()
}
