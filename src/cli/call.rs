//! HTTP calls to a controller.

use super::args::NodeArgs;
use super::error::{CommandError, with_subject};
use burlusher::http::Client;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
const TIMEOUT: Duration = Duration::from_secs(10);

/// Sends one request and returns the body of the response as text. A status other than 2xx is an
/// error.
pub fn call(
    node: &NodeArgs,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<String, CommandError> {
    let mut client = Client::new(node.node, CONNECT_TIMEOUT);
    let response = client
        .call(method, path, body, TIMEOUT)
        .map_err(with_subject(node.node))?;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    if response.status < 300 {
        Ok(text)
    } else {
        let error = format!("{} {text}", response.status);
        Err(with_subject(node.node)(error).into())
    }
}
