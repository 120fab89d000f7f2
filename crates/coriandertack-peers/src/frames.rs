//! Length-delimited frames over a TCP connection.

use {
    anyhow::{Context, Result, bail},
    bytes::Bytes,
    futures::{SinkExt, StreamExt},
    prost::Message,
    tokio::net::TcpStream,
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};

use crate::proto::{Frame, frame::Body};

/// Maximum size of a frame: a call with a body of 1 MiB, plus 64 KiB for its other fields.
const MAX_FRAME_BYTES: usize = (1 << 20) + (1 << 16);

/// A TCP connection split into length-delimited frames.
pub type FrameStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Sets up a TCP connection to carry frames.
pub fn framed(stream: TcpStream) -> Result<FrameStream> {
    // Requests are small and awaited. Nagle's algorithm would delay each by up to 40 ms.
    stream.set_nodelay(true).context("cannot set TCP_NODELAY")?;
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    Ok(Framed::new(stream, codec))
}

/// Sends a frame and flushes the connection.
pub async fn send(frames: &mut FrameStream, id: u64, body: Body) -> Result<()> {
    frames.send(encode(id, body)).await.context("cannot send a frame")
}

/// Flushes the frames that have been fed to the sink.
pub async fn flush(frames: &mut FrameStream) -> Result<()> {
    SinkExt::<Bytes>::flush(frames).await.context("cannot flush frames")
}

/// Encodes a frame.
pub fn encode(id: u64, body: Body) -> Bytes {
    Frame { id, body: Some(body) }.encode_to_vec().into()
}

/// Receives a frame, or `None` if the peer has closed the connection.
pub async fn receive(frames: &mut FrameStream) -> Result<Option<(u64, Body)>> {
    match frames.next().await {
        Some(bytes) => decode(&bytes.context("cannot read a frame")?).map(Some),
        None => Ok(None),
    }
}

/// Decodes a frame.
pub fn decode(bytes: &[u8]) -> Result<(u64, Body)> {
    let frame = Frame::decode(bytes).context("malformed frame")?;
    match frame.body {
        Some(body) => Ok((frame.id, body)),
        None => bail!("frame without a body"),
    }
}
