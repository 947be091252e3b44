//! The command line.

use clap::{Args, Parser, Subcommand};
use hyper::Method;
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use sumacbend::policy::Policy;
use sumacbend::runtime::{self, HttpClient, HttpRequest};
use sumacbend::settings::Settings;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// A cluster scheduler: places jobs' tasks on rented machines toward the images
/// they need, under limits, guarantees and priorities.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller until it is killed.
    Serve(Files),
    /// Check the settings and the policy script, and print what they say.
    Check(Files),
    /// Submit, show or cancel a job.
    #[command(subcommand)]
    Job(JobCommand),
}

#[derive(Args)]
struct Files {
    /// The settings file (TOML) that the platform hands over.
    #[arg(long)]
    config: PathBuf,
    /// A Lua script returning a table of the operators' own settings.
    #[arg(long)]
    policy: Option<PathBuf>,
}

#[derive(Subcommand)]
enum JobCommand {
    /// Submit the job described by a JSON file.
    Submit {
        #[command(flatten)]
        server: Server,
        file: PathBuf,
    },
    /// Show the state of a job.
    Show {
        #[command(flatten)]
        server: Server,
        id: String,
    },
    /// Cancel a job.
    Cancel {
        #[command(flatten)]
        server: Server,
        id: String,
    },
}

#[derive(Args)]
struct Server {
    /// Address of a controller, as its `serve_on` setting gives it.
    #[arg(long)]
    server: SocketAddr,
}

fn main() -> ExitCode {
    let outcome = match Cli::parse().command {
        Command::Serve(files) => serve(&files),
        Command::Check(files) => check(&files),
        Command::Job(command) => job(command),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sumacbend: {error}");
            ExitCode::FAILURE
        }
    }
}

fn level() -> Result<LevelFilter, String> {
    match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => Ok(LevelFilter::ERROR),
        Ok("info") | Err(_) => Ok(LevelFilter::INFO),
        Ok("debug") => Ok(LevelFilter::DEBUG),
        Ok(other) => Err(format!("LOG_LEVEL is `{other}`, not error, info or debug")),
    }
}

fn load(files: &Files) -> Result<(Settings, Policy), Box<dyn Error>> {
    Ok((Settings::load(&files.config)?, Policy::load(files.policy.as_deref())?))
}

fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

fn serve(files: &Files) -> Result<(), Box<dyn Error>> {
    let level = level()?;
    // The HTTP library tells of every connection that idles out.
    let targets = Targets::new()
        .with_default(level)
        .with_target("poem", LevelFilter::WARN.min(level));
    tracing_subscriber::registry()
        .with(
            tracing_subscriber::fmt::layer()
                .with_writer(std::io::stderr)
                .with_ansi(false),
        )
        .with(targets)
        .init();
    let (settings, policy) = load(files)?;
    for warning in settings.warnings() {
        tracing::warn!("{warning}");
    }
    runtime()?.block_on(runtime::serve(settings, policy))?;
    Ok(())
}

fn check(files: &Files) -> Result<(), Box<dyn Error>> {
    let (settings, policy) = load(files)?;
    let params = &settings.params;
    println!(
        "node {} in {}, serving on {}",
        settings.node, settings.zone, settings.listen
    );
    println!(
        "{} other controllers, {} teams, zones {}",
        settings.peers.len(),
        params.teams.len(),
        params.zones.join(", ")
    );
    for warning in settings.warnings() {
        println!("warning: {warning}");
    }
    for (name, value) in policy.entries() {
        println!("policy {name} = {value}");
    }
    Ok(())
}

fn job(command: JobCommand) -> Result<(), Box<dyn Error>> {
    let (server, method, path, body) = match command {
        JobCommand::Submit { server, file } => (
            server.server,
            Method::POST,
            "/v1/jobs".to_string(),
            std::fs::read(file)?,
        ),
        JobCommand::Show { server, id } => (server.server, Method::GET, format!("/v1/jobs/{id}"), Vec::new()),
        JobCommand::Cancel { server, id } => (server.server, Method::POST, format!("/v1/jobs/{id}/abort"), Vec::new()),
    };
    let client = HttpClient::default();
    let request = HttpRequest {
        method,
        path,
        body: body.into(),
        timeout: Duration::from_secs(5),
    };
    let response = runtime()?
        .block_on(client.send(server, request))
        .map_err(|error| format!("no answer from {server}: {error}"))?;
    let (status, body) = (response.status, response.body);
    println!("{}", String::from_utf8_lossy(&body));
    if (200..300).contains(&status) {
        Ok(())
    } else {
        Err(format!("refused with status {status}").into())
    }
}
