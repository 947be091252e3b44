//! `sumacbend job`: submits, shows and cancels jobs through the HTTP interface for users.

use super::arguments::JobCommand;
use super::async_runtime;
use super::error::CliError;
use hyper::Method;
use std::net::SocketAddr;
use std::time::Duration;
use sumacbend::runtime::{HttpClient, HttpRequest};

/// How long to wait for the head of the response, and again for its body.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Sends the request to the controller and prints the body of the response. Fails if the
/// controller refuses the request.
pub fn run(command: JobCommand) -> Result<(), CliError> {
    let (server, request) = into_request(command)?;
    let client = HttpClient::default();
    let response = async_runtime()?
        .block_on(client.send(server, request))
        .map_err(|source| CliError::NoAnswer { server, source })?;
    println!("{}", String::from_utf8_lossy(&response.body));
    if response.is_success() {
        Ok(())
    } else {
        Err(CliError::Refused {
            status: response.status,
        })
    }
}

fn into_request(command: JobCommand) -> Result<(SocketAddr, HttpRequest), CliError> {
    let (server, method, path, body) = match command {
        JobCommand::Submit { target, file } => {
            let body = std::fs::read(&file).map_err(|source| CliError::ReadJob { path: file, source })?;
            (target.server, Method::POST, "/v1/jobs".into(), body)
        }
        JobCommand::Show { target, id } => (target.server, Method::GET, format!("/v1/jobs/{id}"), Vec::new()),
        JobCommand::Cancel { target, id } => (target.server, Method::POST, format!("/v1/jobs/{id}/abort"), Vec::new()),
    };
    let request = HttpRequest {
        method,
        path,
        body: body.into(),
        timeout: TIMEOUT,
    };
    Ok((server, request))
}
