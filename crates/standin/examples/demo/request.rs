//! The requests that the demo sends.

use crate::site::{CALLER_KEYS, Site};
use serde_json::{Value, json};
use standin::Error;
use std::time::{Duration, Instant};

/// A request and what came of it.
pub struct Done {
    pub customer: &'static str,
    pub task: &'static str,
    pub status: u16,
    pub model: String,
    pub version: String,
    pub cost_micros: Option<u64>,
    pub latency: Duration,
    pub ran: String,
    pub request_id: String,
    pub note: String,
}

/// What to ask for.
#[derive(Clone, Copy)]
struct Ask {
    customer: &'static str,
    task: &'static str,
    prompt: &'static str,
    stream: bool,
}

const ASKS: [Ask; 7] = [
    ask(
        "fraser-lyle-desk",
        "tag",
        "Enquiry: sprung floor, 9 by 12 metres, 14 June",
        false,
    ),
    ask(
        "fraser-lyle-desk",
        "answer",
        "Which floor fits a marquee of 10 by 15 metres?",
        true,
    ),
    ask(
        "fraser-lyle-proposals",
        "draft",
        "Venue layout for 180 guests, two floors",
        true,
    ),
    ask(
        "huaman-farms",
        "tag",
        "Lagoon nearly full at the Majes dairy",
        false,
    ),
    ask(
        "huaman-drivers",
        "answer",
        "Is the road to La Joya open to a 20 m3 tanker?",
        false,
    ),
    ask(
        "huaman-drivers",
        "large",
        "A model that this contract doesn't allow",
        false,
    ),
    ask(
        "huaman-plans",
        "draft",
        "Route plan for six tankers over two days",
        false,
    ),
];

const fn ask(
    customer: &'static str,
    task: &'static str,
    prompt: &'static str,
    stream: bool,
) -> Ask {
    Ask {
        customer,
        task,
        prompt,
        stream,
    }
}

/// Sends all requests, each to another node.
pub async fn send_all(site: &Site) -> Result<Vec<Done>, Error> {
    let mut results = Vec::new();
    for note in ["confirmed", "same key again"] {
        let mut done = confirm(site, results.len()).await?;
        done.note = format!("{note}{}", done.note);
        results.push(done);
    }
    for (index, ask) in ASKS.iter().enumerate() {
        let entry = &site.entries[index % site.entries.len()];
        results.push(complete(site, entry, *ask).await?);
    }
    Ok(results)
}

async fn complete(site: &Site, entry: &str, ask: Ask) -> Result<Done, Error> {
    let body = json!({
        "model": ask.task,
        "stream": ask.stream,
        "messages": [{ "role": "user", "content": ask.prompt }],
    });
    let began = Instant::now();
    let call = site.client.post(format!("{entry}/v1/chat/completions"));
    let response = call
        .bearer_auth(key(ask.customer))
        .json(&body)
        .send()
        .await?;
    let mut done = Done::begin(ask.customer, ask.task, &response);
    let text = response.text().await?;
    done.latency = began.elapsed();
    done.read(&text, ask.stream);
    Ok(done)
}

async fn confirm(site: &Site, number: usize) -> Result<Done, Error> {
    let entry = &site.entries[number % site.entries.len()];
    let began = Instant::now();
    let response = site
        .client
        .post(format!("{entry}/v1/services/reservations/bookings"))
        .bearer_auth(key("fraser-lyle-crews"))
        .header("idempotency-key", "demo-hire-1")
        .body("hire 77, 14 June")
        .send()
        .await?;
    let mut done = Done::begin("fraser-lyle-crews", "POST /bookings", &response);
    let text = response.text().await?;
    done.latency = began.elapsed();
    done.read(&text, false);
    Ok(done)
}

impl Done {
    fn begin(customer: &'static str, task: &'static str, response: &reqwest::Response) -> Self {
        let header = |name: &str| {
            let value = response.headers().get(name);
            let text = value.and_then(|value| value.to_str().ok());
            text.unwrap_or_default().to_owned()
        };
        Self {
            customer,
            task,
            status: response.status().as_u16(),
            model: header("x-sardinebank-model"),
            version: header("x-sardinebank-version"),
            cost_micros: None,
            latency: Duration::ZERO,
            ran: "yes".to_owned(),
            request_id: header("x-request-id"),
            note: String::new(),
        }
    }

    fn read(&mut self, text: &str, stream: bool) {
        let receipt = if stream { receipt(text) } else { whole(text) };
        if let Some(error) = receipt.get("error") {
            self.ran = error["ran"].as_str().unwrap_or("unknown").to_owned();
            let code = error["code"].as_str().unwrap_or("untyped");
            self.note = format!(" {code}").trim_start().to_owned();
            return;
        }
        self.cost_micros = receipt["cost_micros"].as_u64();
        if let Some(ran) = receipt["ran"].as_str() {
            ran.clone_into(&mut self.ran);
        }
        if stream {
            self.note = "streamed".to_owned();
        }
    }
}

/// The receipt of a whole answer, or its error.
fn whole(text: &str) -> Value {
    let body: Value = serde_json::from_str(text).unwrap_or_default();
    match body.get("error") {
        Some(_) => body,
        None => body["sardinebank"].clone(),
    }
}

/// The receipt in the comment at the end of a stream, or the error in one of its events.
fn receipt(text: &str) -> Value {
    let line = text.lines().find_map(|line| {
        line.strip_prefix(": sardinebank ").or_else(|| {
            line.strip_prefix("data: ")
                .filter(|data| data.starts_with("{\"error\""))
        })
    });
    serde_json::from_str(line.unwrap_or("{}")).unwrap_or_default()
}

fn key(customer: &str) -> &'static str {
    let found = CALLER_KEYS.iter().find(|(name, _)| *name == customer);
    found.map_or("", |(_, key)| key)
}
