//! HTTP calls to a controller.

use super::args::NodeArgs;
use super::error::{CommandError, with_subject};
use burlusher::http::{Client, ClientResponse};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
const TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before a request that was refused for now is repeated.
const BUSY_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Maximum number of times that a request is repeated that was refused for now.
const MAX_BUSY_RETRIES: u32 = 120;

/// Sends one request and returns the body of the response as text. A status other than 2xx is an
/// error.
pub fn call(
    node: &NodeArgs,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<String, CommandError> {
    body_text(node, &send(node, method, path, body)?)
}

/// Like `call`, but repeats the request for some minutes while the controller refuses it for now.
pub fn call_when_ready(
    node: &NodeArgs,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<String, CommandError> {
    let mut response = send(node, method, path, body)?;
    let mut retries = 0;
    while response.status == 503 && retries < MAX_BUSY_RETRIES {
        std::thread::sleep(BUSY_RETRY_DELAY);
        retries += 1;
        response = send(node, method, path, body)?;
    }
    body_text(node, &response)
}

fn send(
    node: &NodeArgs,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<ClientResponse, CommandError> {
    let mut client = Client::new(node.node, CONNECT_TIMEOUT);
    let response = client.call(method, path, body, TIMEOUT);
    Ok(response.map_err(with_subject(node.node))?)
}

/// Returns the body of a response as text; a status other than 2xx is an error.
fn body_text(node: &NodeArgs, response: &ClientResponse) -> Result<String, CommandError> {
    let text = String::from_utf8_lossy(&response.body).into_owned();
    if response.status < 300 {
        Ok(text)
    } else {
        let error = format!("{} {text}", response.status);
        Err(with_subject(node.node)(error).into())
    }
}
