//! Answers a call of a plain service.

use crate::Error;
use crate::app::App;
use crate::dispatch::Load;
use crate::fleet::Server;
use backend::{Call, Reply, Service};
use contract::BackendId;
use std::sync::Arc;
use std::time::Duration;

/// Backend servers that one repeatable call may be sent to.
const MAX_ATTEMPTS: usize = 3;

/// A call as the caller sent it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Plain service.
    pub service: String,
    /// The call.
    pub call: Call,
}

/// Answers a call of a customer.
pub async fn service(app: &Arc<App>, customer: &str, mut request: Request) -> Result<Reply, Error> {
    let _stay = app.enter()?;
    let config = app.config();
    let contract = config.contract(customer).ok_or(Error::Unauthenticated)?;
    let spec = config.service(&request.service).ok_or(Error::NotFound)?;
    if !contract.services.contains(&request.service) {
        return Err(Error::Forbidden(request.service));
    }
    request.call.customer = customer.to_owned();
    request.call.request_id = app.request_id();
    let limit = Duration::from_millis(spec.timeout_ms);
    if repeatable(spec, &request.call) {
        return repeat(app, &request, spec.slots, limit).await;
    }
    if request.call.idempotency_key.is_none() {
        return Err(Error::KeyMissing);
    }
    let (server, _permit) = place(app, &request.service, spec.slots, &[])
        .ok_or_else(|| Error::Capacity(request.service.clone()))?;
    Service::new(&app.pool)
        .call(&server.id, request.call, limit)
        .await
        .map_err(|source| Error::Backend { source })
}

async fn repeat(
    app: &Arc<App>,
    request: &Request,
    slots: u32,
    limit: Duration,
) -> Result<Reply, Error> {
    let mut tried = Vec::new();
    let mut last = None;
    while tried.len() < MAX_ATTEMPTS {
        let Some((server, _permit)) = place(app, &request.service, slots, &tried) else {
            break;
        };
        tried.push(server.id.clone());
        let client = Service::new(&app.pool);
        match client.call(&server.id, request.call.clone(), limit).await {
            Ok(reply) => return Ok(reply),
            Err(source) => last = Some(Error::Backend { source }),
        }
    }
    Err(last.unwrap_or_else(|| Error::Capacity(request.service.clone())))
}

fn place(
    app: &Arc<App>,
    service: &str,
    slots: u32,
    tried: &[BackendId],
) -> Option<(Server, crate::dispatch::Permit)> {
    let config = app.config();
    let mut servers: Vec<_> = app
        .fleet
        .servers()
        .iter()
        .filter(|one| one.serves(service))
        .filter(|one| !one.leaving && !config.zone_out(&one.zone))
        .filter(|one| !tried.contains(&one.id))
        .cloned()
        .collect();
    servers.sort_by_key(|one| app.load.at(&one.id));
    servers.into_iter().find_map(|server| {
        let permit = Load::enter(&app.load, &server.id, slots)?;
        Some((server, permit))
    })
}

fn repeatable(spec: &contract::Service, call: &Call) -> bool {
    spec.routes
        .iter()
        .filter(|route| route.method.eq_ignore_ascii_case(&call.method))
        .filter(|route| call.path.starts_with(&route.prefix))
        .max_by_key(|route| route.prefix.len())
        .is_some_and(|route| route.repeatable)
}
