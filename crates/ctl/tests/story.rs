//! `sardinectl story` shows the cause of a failed request from its id and the logs of real nodes.

use standin::Error;
use standin::site::{Settings, Site, WorkerFault};
use std::process::Command;

/// Each case: how a request fails, and the texts that the output must contain in this order.
macro_rules! stories {
    ($($name:ident: $failure:ident => [$($expected:literal),*];)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() -> Result<(), Error> {
            let site = Site::start(settings()).await?;
            let request = concat!("story-", stringify!($name));
            failure::$failure(&site, request).await?;
            let output = run_story(&site, request).await?;
            let mut rest = output.as_str();
            $(
                let at = rest.find($expected);
                assert!(at.is_some(), "{:?} is missing after:\n{output}", $expected);
                rest = &rest[at.unwrap_or(0)..];
            )*
            assert!(!rest.is_empty() && !output.contains("key-1"));
            Ok(())
        }
    )*};
}

stories! {
    refused_though_servers_are_listed: refused =>
        ["received", "backend server selected", "not run, status 503", "all attempts of the route are used", "refused: nothing can serve it now"];
    unknown_outcome_of_a_request_that_may_not_be_retried: unknown =>
        ["received", "backend server selected", "no response arrived", "refused: no backend server gave a whole answer"];
    late_stream: late =>
        ["received", "backend server selected", "answered", "backend server selected", "attempt failed: timed out", "stream ended"];
}

fn settings() -> Settings {
    Settings {
        models: 2,
        ..Settings::default()
    }
}

/// Output of `sardinectl story` for a request. Waits before, so that the node has written its last
/// line.
async fn run_story(site: &Site, request: &str) -> Result<String, Error> {
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    let path = site.nodes[0].log_path();
    let output = Command::new(env!("CARGO_BIN_EXE_sardinectl"))
        .args(["story", request])
        .arg(path)
        .output()?;
    assert!(output.status.success(), "{output:?}");
    Ok(String::from_utf8_lossy(&output.stdout).into_owned())
}

/// Makes a request fail, one function for each of the failures in `stories!`.
mod failure {
    use super::*;

    fn send(site: &Site, request: &str, path: &str) -> reqwest::RequestBuilder {
        reqwest::Client::new()
            .post(format!("http://{}{path}", site.nodes[0].requests()))
            .header("host", "shop.example")
            .header("request-id", request)
            .header("deadline-ms", "5000")
            .header("key", "key-1")
    }

    pub async fn refused(site: &Site, request: &str) -> Result<(), Error> {
        site.desks
            .iter()
            .for_each(|worker| worker.set_fault(WorkerFault::Full));
        send(site, request, "/once/a").send().await?;
        Ok(())
    }

    pub async fn unknown(site: &Site, request: &str) -> Result<(), Error> {
        site.desks
            .iter()
            .for_each(|worker| worker.set_fault(WorkerFault::Reset));
        send(site, request, "/once/a").send().await?;
        Ok(())
    }

    pub async fn late(site: &Site, request: &str) -> Result<(), Error> {
        site.models
            .iter()
            .for_each(|worker| worker.set_fault(WorkerFault::Stall(2)));
        let stream = send(site, request, "/stream/a")
            .header("accept", "text/event-stream")
            .header("model", "*")
            .header("token-count", "100,50");
        let response = stream.send().await?;
        site.models
            .iter()
            .for_each(|worker| worker.set_fault(WorkerFault::None));
        response.bytes().await?;
        Ok(())
    }
}
