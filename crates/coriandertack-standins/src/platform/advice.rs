//! A stand-in for the advice service, which declares every worker eligible.

use std::net::SocketAddr;

use {
    anyhow::Result,
    serde_json::{Value, json},
    tokio::task::JoinHandle,
};

use super::{ApiCall, json_reply, serve};

/// A running advice service, which stops when the handle is dropped.
#[derive(Debug)]
pub struct Advice {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Advice {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Advice {
    /// Starts the service on a free port of 127.0.0.1.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start() -> Result<Self> {
        let handler = |call: ApiCall| async move {
            let request: Value = serde_json::from_slice(&call.body).ok()?;
            let workers = request.get("workers")?.as_array()?;
            let rows: Vec<Value> = workers.iter().map(|id| json!([id, "ticket"])).collect();
            json_reply(200, &json!({ "eligible": rows, "validity-ms": 2_000 }))
        };
        let (address, task) = serve(handler).await?;
        Ok(Self { address, task })
    }

    /// Returns the address that the service listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}
