//! Counts the bytes that a stand-in exchanges with its clients.
//!
//! The count covers what TCP connections carry, including HTTP heads, without TCP and IP headers.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A counter of the bytes received and sent over all connections of a stand-in.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    bytes: Arc<AtomicU64>,
}

impl Traffic {
    /// Returns the number of bytes received and sent so far.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    fn add(&self, count: usize) {
        self.bytes.fetch_add(count as u64, Ordering::Relaxed);
    }

    /// Wraps a connection to count its bytes.
    pub(crate) fn wrap(&self, stream: TcpStream) -> CountedStream {
        CountedStream { stream, traffic: self.clone() }
    }
}

/// A TCP connection whose received and sent bytes are counted.
#[derive(Debug)]
pub(crate) struct CountedStream {
    stream: TcpStream,
    traffic: Traffic,
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.traffic.add(buffer.filled().len() - before);
        read
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(count)) = written {
            self.traffic.add(count);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
