//! Length-delimited frames on a TCP connection.

use {
    anyhow::{Context, Result, bail},
    bytes::Bytes,
    futures::{SinkExt, StreamExt},
    prost::Message,
    tokio::net::TcpStream,
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};

use crate::proto::{Frame, frame::Body};

/// The largest frame: a call with a body of 1 MiB and its headers.
const MAX_FRAME_BYTES: usize = (1 << 20) + (1 << 16);

/// A connection that carries frames.
pub type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// Wraps a connection.
pub fn wrap(stream: TcpStream) -> Result<Frames> {
    // Requests are small and waited for; delaying them to fill packets costs up to 40 ms each.
    stream.set_nodelay(true).context("cannot set TCP_NODELAY")?;
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    Ok(Framed::new(stream, codec))
}

/// Sends a frame.
pub async fn send(frames: &mut Frames, id: u64, body: Body) -> Result<()> {
    frames.send(encode(id, body)).await.context("cannot send a frame")
}

/// Sends what has been fed.
pub async fn flush(frames: &mut Frames) -> Result<()> {
    SinkExt::<Bytes>::flush(frames).await.context("cannot send frames")
}

/// Encodes a frame.
pub fn encode(id: u64, body: Body) -> Bytes {
    Frame { id, body: Some(body) }.encode_to_vec().into()
}

/// Receives a frame, or nothing at the end of the connection.
pub async fn receive(frames: &mut Frames) -> Result<Option<(u64, Body)>> {
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
        None => bail!("empty frame"),
    }
}
