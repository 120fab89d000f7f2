//! What happens on the connections of a worker that is cut off while its runs go on.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use {
    anyhow::Result,
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    tokio::{
        io::{AsyncWriteExt, copy, sink},
        net::{TcpListener, TcpSocket, TcpStream},
        sync::{Notify, watch},
        task::{JoinHandle, JoinSet},
        time::timeout,
    },
};

use super::{ApiCall, Reply, Shared, respond};

/// Accept queue of a listener.
const BACKLOG: u32 = 1_024;

/// Time after which a connection to a local listener counts as not accepted.
const CONNECT_TIME: Duration = Duration::from_millis(50);

/// What callers of a worker meet. Of the connections that are open when it changes, those that it breaks are broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Link {
    /// Requests are carried out and answered.
    #[default]
    Open,
    /// Nothing listens at the address.
    Refuse,
    /// Connections are accepted and reset.
    Reset,
    /// Connections are accepted and closed.
    Close,
    /// Connections are accepted, and requests neither take effect nor get a response.
    Silent,
    /// Requests take effect without a response.
    LostAnswers,
    /// Every second connection is silent.
    HalfSilent,
    /// Every second connection is reset.
    HalfReset,
    /// The accept queue is full, so that attempts to connect get no response.
    Full,
    /// The host has lost power and is back: a request that waits on a connection from before gets no response, and a new
    /// one resets it. New connections are served.
    Renewed,
}

/// What happens on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Serve,
    Silence,
    LoseAnswers,
    /// Requests get no response, and a new one resets the connection.
    Stale,
    Reset,
    Close,
}

impl Link {
    /// Returns what happens on the connection that was accepted as the `number`-th, with the link `accepted`.
    fn fate(self, number: u64, accepted: Self) -> Fate {
        let is_odd = number % 2 == 1;
        match self {
            Self::Renewed if accepted != Self::Renewed => Fate::Stale,
            Self::Renewed => Fate::Serve,
            Self::Open => Fate::Serve,
            Self::Reset => Fate::Reset,
            Self::Refuse | Self::Full | Self::Close => Fate::Close,
            Self::Silent => Fate::Silence,
            Self::LostAnswers => Fate::LoseAnswers,
            Self::HalfSilent if is_odd => Fate::Silence,
            Self::HalfReset if is_odd => Fate::Reset,
            Self::HalfSilent | Self::HalfReset => Fate::Serve,
        }
    }

    const fn listens(self) -> bool {
        !matches!(self, Self::Refuse | Self::Full)
    }
}

/// Serves calls on a free port of 127.0.0.1 as `link` has it, until the returned task is aborted, which also closes the
/// connections.
pub(super) async fn serve<F>(
    link: watch::Receiver<Link>,
    handler: impl Fn(ApiCall) -> F + Clone + Send + Sync + 'static,
) -> Result<(SocketAddr, JoinHandle<()>)>
where
    F: Future<Output = Reply> + Send + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let serving = async move {
        if let Err(error) = run(address, listener, link, handler).await {
            log::error!("event=listener_failed peer=platform address={address} error=\"{error}\"");
        }
    };
    Ok((address, tokio::spawn(serving)))
}

async fn run<F>(
    address: SocketAddr,
    mut listener: TcpListener,
    mut link: watch::Receiver<Link>,
    handler: impl Fn(ApiCall) -> F + Clone + Send + Sync + 'static,
) -> io::Result<()>
where
    F: Future<Output = Reply> + Send + 'static,
{
    let mut connections = JoinSet::new();
    let mut accepted = 0;
    loop {
        while link.borrow_and_update().listens() {
            tokio::select! {
                stream = listener.accept() => {
                    accepted += 1;
                    let (stream, _) = stream?;
                    connections.spawn(serve_connection(stream, accepted, link.clone(), handler.clone()));
                    while connections.try_join_next().is_some() {}
                }
                changed = link.changed() => if changed.is_err() { return Ok(()) },
            }
        }
        drop(listener);
        connections.shutdown().await;
        listener = reopened(address, &mut link).await?;
    }
}

/// Refuses connections, or lets them wait, until `link` listens again.
async fn reopened(
    address: SocketAddr,
    link: &mut watch::Receiver<Link>,
) -> io::Result<TcpListener> {
    let bind = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        io::Result::Ok(socket)
    };
    // A socket that is bound and does not listen keeps the port.
    let socket = bind()?;
    let is_full = *link.borrow() == Link::Full;
    if !is_full {
        let _closed = link.wait_for(|link| link.listens()).await;
        return socket.listen(BACKLOG);
    }
    let full = socket.listen(1)?;
    let mut waiting = Vec::new();
    while let Ok(Ok(stream)) = timeout(CONNECT_TIME, TcpStream::connect(address)).await {
        waiting.push(stream);
    }
    let _closed = link.wait_for(|link| link.listens()).await;
    drop((full, waiting));
    bind()?.listen(BACKLOG)
}

async fn serve_connection<F>(
    stream: TcpStream,
    number: u64,
    mut link: watch::Receiver<Link>,
    handler: impl Fn(ApiCall) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Reply> + Send + 'static,
{
    let (calls, accepted) = (link.clone(), *link.borrow());
    let stale = Arc::new(Notify::new());
    let is_stale = stale.clone();
    let handler = move |call| {
        let (link, handler, stale) = (calls.clone(), handler.clone(), stale.clone());
        let fate = move || link.borrow().fate(number, accepted);
        async move {
            match fate() {
                Fate::Silence => return None,
                Fate::Stale => {
                    stale.notify_one();
                    return None;
                }
                Fate::Serve | Fate::LoseAnswers | Fate::Reset | Fate::Close => {}
            }
            let reply = handler(call).await;
            reply.filter(|_| fate() == Fate::Serve)
        }
    };
    let service = service_fn(move |request| respond(Shared::default(), handler.clone(), request));
    let mut connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let breaks = |link: &Link| matches!(link.fate(number, accepted), Fate::Reset | Fate::Close);
    let broken = tokio::select! {
        biased;
        () = is_stale.notified() => Fate::Reset,
        link = link.wait_for(breaks) => {
            link.map_or(Fate::Close, |link| link.fate(number, accepted))
        }
        served = &mut connection => {
            if let Err(error) = served {
                log::debug!("event=connection_ended peer=platform error=\"{error}\"");
            }
            return;
        }
    };
    let mut stream = connection.into_parts().io.into_inner();
    let ended = match broken {
        Fate::Reset => stream.set_zero_linger(),
        // Bytes that are not read would reset the connection.
        _ => match stream.shutdown().await {
            Ok(()) => copy(&mut stream, &mut sink()).await.map(|_| ()),
            error => error,
        },
    };
    if let Err(error) = ended {
        log::debug!("event=connection_ended peer=platform error=\"{error}\"");
    }
}
