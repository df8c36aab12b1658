//! Bodies of the answers.

use super::run::Job;
use crate::serve::unix_ms;
use futures::Stream;
use serde_json::{Value, json};

/// The whole answer after the time that its tokens take.
pub(super) async fn whole(job: Job, id: &str) -> Value {
    let tokens: Vec<String> = job.answer.tokens().collect();
    let spread = job.inter_token * u32::try_from(tokens.len().saturating_sub(1)).unwrap_or(0);
    tokio::time::sleep(job.first_token + spread).await;
    let body = json!({
        "id": id,
        "object": "chat.completion",
        "created": unix_ms() / 1000,
        "model": job.answer.served,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": tokens.concat() },
            "finish_reason": "stop",
        }],
        "usage": usage(&job, tokens.len()),
    });
    job.complete();
    body
}

/// The answer as server-sent events.
pub(super) fn events(job: Job, id: String, include_usage: bool) -> impl Stream<Item = String> {
    rocket::response::stream::stream! {
        tokio::time::sleep(job.first_token).await;
        let tokens: Vec<String> = job.answer.tokens().collect();
        let count = tokens.len();
        for (index, token) in tokens.into_iter().enumerate() {
            // The shortest sleep takes a tick of the timer.
            if index > 0 && !job.inter_token.is_zero() {
                tokio::time::sleep(job.inter_token).await;
            }
            yield event(&chunk(&job, &id, json!({ "content": token }), None));
        }
        yield event(&chunk(&job, &id, json!({}), Some("stop")));
        if include_usage {
            let mut last = chunk(&job, &id, json!({}), None);
            last["choices"] = json!([]);
            last["usage"] = usage(&job, count);
            yield event(&last);
        }
        job.complete();
        yield "data: [DONE]\n\n".to_owned();
    }
}

fn event(chunk: &Value) -> String {
    format!("data: {chunk}\n\n")
}

fn chunk(job: &Job, id: &str, delta: Value, finish: Option<&str>) -> Value {
    json!({
        "id": id,
        "object": "chat.completion.chunk",
        "created": unix_ms() / 1000,
        "model": job.answer.served,
        "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
    })
}

fn usage(job: &Job, completion_tokens: usize) -> Value {
    json!({
        "prompt_tokens": job.prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": job.prompt_tokens + completion_tokens,
    })
}
