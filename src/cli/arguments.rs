//! Commands and their arguments.

use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A cluster scheduler: places jobs' tasks on rented machines toward the images
/// they need, under limits, guarantees and priorities.
#[derive(Parser)]
#[command(name = "sumacbend", version, about)]
pub struct Arguments {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What this program can do.
#[derive(Subcommand)]
pub enum Command {
    /// Run a controller until it is killed.
    Serve(Files),
    /// Check the settings and the policy script, and print what they say.
    Check(Files),
    /// Submit, show or cancel a job.
    #[command(subcommand)]
    Job(JobCommand),
}

/// The files that a controller is configured with.
#[derive(Args)]
pub struct Files {
    /// The settings file (TOML) that the platform hands over.
    #[arg(long)]
    pub config: PathBuf,
    /// A Lua script returning a table of the operators' own settings.
    #[arg(long)]
    pub policy: Option<PathBuf>,
}

/// What can be done with a job.
#[derive(Subcommand)]
pub enum JobCommand {
    /// Submit the job described by a JSON file.
    Submit {
        #[command(flatten)]
        target: Target,
        file: PathBuf,
    },
    /// Show the state of a job.
    Show {
        #[command(flatten)]
        target: Target,
        id: String,
    },
    /// Cancel a job.
    Cancel {
        #[command(flatten)]
        target: Target,
        id: String,
    },
}

/// The controller that is asked.
#[derive(Args)]
pub struct Target {
    /// Address of a controller, as its `serve_on` setting gives it.
    #[arg(long)]
    pub server: SocketAddr,
}
