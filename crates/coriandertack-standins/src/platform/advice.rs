//! The service for advice. It allows every worker.

use std::net::SocketAddr;

use {
    anyhow::Result,
    serde_json::{Value, json},
    tokio::task::JoinHandle,
};

use super::{Call, json, serve};

/// The service.
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
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// Fails if no address is free.
    pub async fn start() -> Result<Self> {
        let answer = |call: Call| async move {
            let question: Value = serde_json::from_slice(&call.body).ok()?;
            let workers = question.get("workers")?.as_array()?;
            let rows: Vec<Value> = workers.iter().map(|id| json!([id, "ticket"])).collect();
            json(200, &json!({ "eligible": rows, "validity-ms": 2_000 }))
        };
        let (address, task) = serve(answer).await?;
        Ok(Self { address, task })
    }

    /// Returns the address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}
