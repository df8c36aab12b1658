//! One version's turn at a request: finds a backend server, sends, and retries before the first chunk.

use crate::Error;
use crate::app::App;
use crate::dispatch::{Ask, Assembly, Candidate, Permit};
use crate::fleet::Server;
use backend::{Chat, Chunk, Engine, Ran};
use contract::BackendId;
use futures::StreamExt;
use futures::stream::BoxStream;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Backend servers that one request may be sent to for one version.
const MAX_ATTEMPTS: usize = 3;

/// What a leg needs to know of its request.
#[derive(Clone, Copy)]
pub struct Leg<'a> {
    /// Tables of the node.
    pub app: &'a Arc<App>,
    /// The request.
    pub ask: &'a Ask,
    /// The version whose turn it is.
    pub candidate: &'a Candidate,
    /// Customer who asks.
    pub customer: &'a str,
    /// Name of the request.
    pub request_id: &'a str,
    /// Priority at the engine.
    pub priority: u8,
    /// Longest answer in tokens.
    pub max_tokens: u64,
    /// When the answer is no longer of use.
    pub deadline: Instant,
    /// Time that the request had in all.
    pub limit: Duration,
}

/// A stream that has given its first chunk.
pub struct Open {
    /// Keeps the place at the backend server.
    pub permit: Permit,
    /// First chunk.
    pub first: Chunk,
    /// Chunks after the first.
    pub rest: BoxStream<'static, Result<Chunk, backend::Error>>,
}

impl Leg<'_> {
    /// Opens a stream, trying other backend servers while nothing has been delivered.
    pub async fn open(&self) -> Result<Open, Error> {
        let mut tried = Vec::new();
        let mut last = None;
        while tried.len() < MAX_ATTEMPTS {
            let Some((server, permit)) = self.place(&tried) else {
                break;
            };
            tried.push(server.id.clone());
            match self.attempt(server, permit).await {
                Ok(open) => return Ok(open),
                Err(
                    error @ Error::Backend {
                        source: backend::Error::Rejected { .. },
                    },
                ) => return Err(error),
                Err(error @ Error::Backend { .. }) => last = Some(error),
                Err(error) => return Err(error),
            }
        }
        Err(last.unwrap_or_else(|| Error::Capacity(self.candidate.served())))
    }

    /// Opens a stream and reads it to its end, starting again elsewhere when it breaks.
    pub async fn collect(&self) -> Result<Assembly, Error> {
        let mut last = None;
        for _ in 0..MAX_ATTEMPTS {
            match self.read(self.open().await?).await {
                Ok(assembly) => return Ok(assembly),
                Err(error @ Error::Backend { .. }) => last = Some(error),
                Err(error) => return Err(error),
            }
        }
        Err(last.unwrap_or_else(|| Error::Capacity(self.candidate.served())))
    }

    async fn read(&self, open: Open) -> Result<Assembly, Error> {
        let Open {
            permit,
            first,
            mut rest,
            ..
        } = open;
        let mut assembly = Assembly::default();
        let failed = |source| Error::Backend { source };
        assembly.add(&first).map_err(failed)?;
        while let Some(chunk) = self.in_time(rest.next()).await? {
            assembly.add(&chunk.map_err(failed)?).map_err(failed)?;
        }
        drop(permit);
        Ok(assembly)
    }

    fn place(&self, tried: &[BackendId]) -> Option<(Server, Permit)> {
        let config = self.app.config();
        let Candidate {
            model,
            version,
            spec,
        } = self.candidate;
        let mut servers: Vec<_> = self
            .app
            .fleet
            .servers()
            .iter()
            .filter(|one| one.runs(model, version))
            .filter(|one| !one.leaving && !config.zone_out(&one.zone))
            .filter(|one| !tried.contains(&one.id))
            .cloned()
            .collect();
        servers.sort_by_key(|one| self.app.load.at(&one.id));
        servers.into_iter().find_map(|server| {
            let permit = crate::dispatch::Load::enter(&self.app.load, &server.id, spec.slots)?;
            Some((server, permit))
        })
    }

    async fn attempt(&self, server: Server, permit: Permit) -> Result<Open, Error> {
        self.check()?;
        let chat = Chat {
            body: self
                .ask
                .engine_body(&self.candidate.served(), self.priority, self.max_tokens),
            request_id: self.request_id.to_owned(),
            customer: self.customer.to_owned(),
            fence: 0,
        };
        let failed = |source| Error::Backend { source };
        let engine = Engine::new(&self.app.pool);
        let call = engine.chat(&server.id, chat);
        let mut rest = self.in_time(call).await?.map_err(failed)?.boxed();
        let first = self
            .in_time(rest.next())
            .await?
            .unwrap_or(Err(backend::Error::Truncated))
            .map_err(failed)?;
        Ok(Open {
            permit,
            first,
            rest,
        })
    }

    /// The last look before bytes leave.
    fn check(&self) -> Result<(), Error> {
        let now = Instant::now();
        self.app.replica.may_start(now).map_err(|_| Error::Stale)?;
        let config = self.app.config();
        let Candidate { model, version, .. } = self.candidate;
        if config.withdrawn(model, version) {
            return Err(Error::Withdrawn(self.candidate.served()));
        }
        if now >= self.deadline {
            return Err(self.late(Ran::No));
        }
        Ok(())
    }

    async fn in_time<T>(&self, work: impl Future<Output = T>) -> Result<T, Error> {
        timeout_at(self.deadline.into(), work)
            .await
            .map_err(|_| self.late(Ran::Unknown))
    }

    fn late(&self, ran: Ran) -> Error {
        Error::Deadline {
            limit: self.limit,
            ran,
        }
    }
}
