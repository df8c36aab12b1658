//! Chat completions, compatible with the OpenAI API.

use super::{Caller, Failure, body};
use crate::app::App;
use crate::dispatch::{self, Answer, Receipt};
use rocket::data::Data;
use rocket::http::ContentType;
use rocket::request::Request;
use rocket::response::stream::ByteStream;
use rocket::response::{Responder, Response, Result};
use rocket::{State, request};
use std::io::Cursor;
use std::sync::Arc;

/// Header of the session token, in requests and responses.
pub(super) const SESSION: &str = "X-Sardinebank-Session";

/// Request header that asks for an explanation of the selected plan.
const EXPLAIN: &str = "X-Sardinebank-Explain";

/// Session token of a request, if it has one.
pub(super) struct Token<'r>(Option<&'r str>);

/// Response to a chat request, with its headers.
pub(super) struct Reply(Answer);

#[rocket::async_trait]
impl<'r> request::FromRequest<'r> for Token<'r> {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> request::Outcome<Self, Self::Error> {
        request::Outcome::Success(Self(request.headers().get_one(SESSION)))
    }
}

/// `POST /v1/chat/completions`.
#[rocket::post("/v1/chat/completions", data = "<data>")]
pub(super) async fn chat(
    app: &State<Arc<App>>,
    caller: Caller,
    token: Token<'_>,
    data: Data<'_>,
) -> std::result::Result<Reply, Failure> {
    let limit = app.settings.body_limit_bytes as usize;
    let bytes = body::read(data, limit, app.settings.header_timeout).await?;
    let request = dispatch::Request::parse(&bytes)?;
    let answer = dispatch::chat(app, &caller.customer, request, token.0).await?;
    Ok(Reply(answer))
}

impl<'r> Responder<'r, 'r> for Reply {
    fn respond_to(self, request: &'r Request<'_>) -> Result<'r> {
        match self.0 {
            Answer::Whole {
                body,
                receipt,
                session,
                explanation,
            } => {
                let mut response = Response::build();
                response
                    .header(ContentType::JSON)
                    .sized_body(body.len(), Cursor::new(body));
                let explanation = wants_explanation(request).then(|| explanation.to_string());
                add_headers(&mut response, &receipt, &session, explanation);
                response.raw_header("X-Sardinebank-Cost-Micros", receipt.cost_micros.to_string());
                response.ok()
            }
            Answer::Stream(answer) => stream(*answer, request),
        }
    }
}

fn stream<'r>(answer: dispatch::Stream, request: &'r Request<'_>) -> Result<'r> {
    let receipt = answer.receipt.clone();
    let session = answer.session.clone();
    let explanation = wants_explanation(request).then(|| answer.explanation.to_string());
    let events = ByteStream::from(answer.events()).respond_to(request)?;
    let mut response = Response::build_from(events);
    response
        .header(ContentType::EventStream)
        .raw_header("Cache-Control", "no-cache");
    add_headers(&mut response, &receipt, &session, explanation);
    response.ok()
}

fn wants_explanation(request: &Request<'_>) -> bool {
    request.headers().contains(EXPLAIN)
}

fn add_headers(
    response: &mut rocket::response::Builder<'_>,
    receipt: &Receipt,
    session: &str,
    explanation: Option<String>,
) {
    if let Some(explanation) = explanation {
        response.raw_header("X-Sardinebank-Why", explanation);
    }
    response
        .raw_header("X-Request-Id", receipt.request_id.clone())
        .raw_header("X-Sardinebank-Model", receipt.model.clone())
        .raw_header("X-Sardinebank-Version", receipt.version.clone())
        .raw_header(SESSION, session.to_owned());
}
