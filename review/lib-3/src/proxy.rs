//! A proxy before a worker that shortens its lists: a worker returns at most 500 ends at a time, and the project's stand-in
//! returns all of them. Everything else passes unchanged.

use std::net::SocketAddr;

use {
    serde_json::Value,
    tokio::{
        io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
    },
};

/// Maximum number of ends in a list (PROTOCOL.md, "Running tasks").
const MAX_ENDS: usize = 500;

/// Starts a proxy on a free port of 127.0.0.1, and returns its address.
pub async fn start(worker: SocketAddr) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(async move {
                if let Ok(server) = TcpStream::connect(worker).await {
                    relay(client, server).await;
                }
            });
        }
    });
    Ok(address)
}

async fn relay(client: TcpStream, server: TcpStream) {
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    let requests = forward_requests(client_in, server_out);
    let responses = forward_responses(server_in, client_out);
    // Both connections end with either of them.
    tokio::select! {
        _ = requests => {}
        _ = responses => {}
    }
}

async fn forward_requests(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> std::io::Result<()> {
    tokio::io::copy(&mut from, &mut to).await?;
    Ok(())
}

async fn forward_responses(from: OwnedReadHalf, mut to: OwnedWriteHalf) -> Option<()> {
    let mut from = BufReader::new(from);
    loop {
        let (mut head, mut length, mut chunked) = (String::new(), 0, false);
        loop {
            let mut line = String::new();
            if from.read_line(&mut line).await.ok()? == 0 {
                return None;
            }
            let lower = line.to_ascii_lowercase();
            if let Some(value) = lower.strip_prefix("content-length:") {
                length = value.trim().parse().ok()?;
            } else if lower.starts_with("transfer-encoding:") {
                chunked = true;
            } else if line == "\r\n" {
                break;
            } else {
                head.push_str(&line);
            }
        }
        let mut body = Vec::new();
        if chunked {
            read_chunks(&mut from, &mut body).await?;
        } else {
            body.resize(length, 0);
            from.read_exact(&mut body).await.ok()?;
        }
        shorten(&mut body);
        to.write_all(format!("{head}content-length: {}\r\n\r\n", body.len()).as_bytes()).await.ok()?;
        to.write_all(&body).await.ok()?;
    }
}

async fn read_chunks(from: &mut BufReader<OwnedReadHalf>, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut size = String::new();
        from.read_line(&mut size).await.ok()?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        from.read_exact(&mut chunk).await.ok()?;
        chunk.truncate(size);
        body.extend(chunk);
        if size == 0 {
            return Some(());
        }
    }
}

fn shorten(body: &mut Vec<u8>) {
    let Ok(mut value) = serde_json::from_slice::<Value>(body) else { return };
    let Some(ended) = value.get_mut("ended").and_then(Value::as_array_mut) else { return };
    if ended.len() > MAX_ENDS {
        ended.truncate(MAX_ENDS);
        *body = value.to_string().into_bytes();
    }
}
