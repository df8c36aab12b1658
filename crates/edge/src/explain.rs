//! Explains where a request would go now, without sending it.

use crate::app::App;
use crate::body::Body;
use http_body_util::{BodyExt, Limited};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use route::cascade::Sizes;
use route::explain::{self, Reply};
use route::pool::{Query, name_hash};
use serde::Serialize;
use std::error::Error as StdError;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Path of the endpoint, on the address for metrics.
pub const PATH: &str = "/explain";
/// Largest description of a request, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Longest time in which a description has to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a placement isn't explained.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("the description can't be read: {0}")]
    Body(Box<dyn StdError + Send + Sync>),
    #[error("the description did not arrive in time")]
    Late,
    #[error("not a valid description: {0}")]
    Json(#[from] serde_json::Error),
    #[error("a size is negative or not finite")]
    Size,
    #[error("no route takes this host and path")]
    NoRoute,
    #[error("the route names no model {0}")]
    NoModel(String),
    #[error("the node has no configuration yet")]
    Unconfigured,
}

impl Error {
    fn status(&self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Unconfigured => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// Body of an error response.
#[derive(Debug, Serialize)]
struct Problem {
    error: String,
}

/// Responds to the description of a request with its placement.
pub async fn serve<B>(app: &App, request: Request<B>) -> Response<Body>
where
    B: hyper::body::Body,
    B::Error: Into<Box<dyn StdError + Send + Sync>>,
{
    let reply = read(request)
        .await
        .and_then(|description| answer(app, &description));
    let (status, json) = match reply {
        Ok(reply) => (StatusCode::OK, serde_json::to_vec(&reply)),
        Err(error) => {
            log::debug!(event = 1765; "a placement isn't explained: {error}");
            let problem = Problem {
                error: error.to_string(),
            };
            (error.status(), serde_json::to_vec(&problem))
        }
    };
    let Ok(json) = json else {
        let mut response = Response::new(Body::full(""));
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        return response;
    };
    let mut response = Response::new(Body::full(json));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

async fn read<B>(request: Request<B>) -> Result<explain::Request, Error>
where
    B: hyper::body::Body,
    B::Error: Into<Box<dyn StdError + Send + Sync>>,
{
    let reading = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
    let body = timeout(BODY_TIMEOUT, reading)
        .await
        .map_err(|_| Error::Late)?;
    let body = body.map_err(Error::Body)?;
    Ok(serde_json::from_slice(&body.to_bytes())?)
}

fn answer(app: &App, description: &explain::Request) -> Result<Reply, Error> {
    let now = Instant::now();
    let work = description.work().ok_or(Error::Size)?;
    let state = app.state();
    if !state.configured() {
        return Err(Error::Unconfigured);
    }
    let routes = &state.routes;
    let route = routes.route(&description.host, &description.path);
    let route = route.map_err(|_| Error::NoRoute)?;
    let sizes = Sizes::new(&route.models, &[]);
    let model = description.model.as_deref().or(sizes.smallest());
    if let Some(model) = model.filter(|model| sizes.position(model).is_none()) {
        return Err(Error::NoModel(model.to_owned()));
    }
    let explain = |service: &str| {
        let query = Query {
            service,
            model: model.map(|model| (model, sizes.relative_time(model))),
            model_hash: model.map_or(0, name_hash),
            work: &work,
            zone: &app.site.zone,
            tried: &[],
            draw: 0,
        };
        state.explain(now, &query)
    };
    let services = route.services.iter();
    Ok(Reply {
        node: app.site.node.clone(),
        route: route.name.clone(),
        revision: routes.config().revision,
        list_age_ms: state.list_age(now).as_millis() as u64,
        model: model.map(str::to_owned),
        services: services
            .map(|share| (share.weight, explain(&share.service)))
            .collect(),
    })
}
