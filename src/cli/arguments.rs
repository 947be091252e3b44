//! The commands of the program and their arguments.

use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A cluster scheduler: places the tasks of jobs on rented machines, preferably where the
/// images that they need are, and observes limits, guarantees and priorities.
#[derive(Parser)]
#[command(name = "sumacbend", version, about)]
pub struct Arguments {
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands of the program.
#[derive(Subcommand)]
pub enum Command {
    /// Run a controller until it is killed.
    Serve(Files),
    /// Check the settings and the policy script, and print a summary.
    Check(Files),
    /// Submit, show or cancel a job.
    #[command(subcommand)]
    Job(JobCommand),
}

/// The files that a controller is configured with.
#[derive(Args)]
pub struct Files {
    /// The settings file (TOML) that the platform provides.
    #[arg(long)]
    pub config: PathBuf,
    /// A Lua script that returns a table of policy values.
    #[arg(long)]
    pub policy: Option<PathBuf>,
}

/// Operations on a job.
#[derive(Subcommand)]
pub enum JobCommand {
    /// Submit the job described by a JSON file.
    Submit {
        #[command(flatten)]
        target: Target,
        /// The JSON file that describes the job.
        file: PathBuf,
    },
    /// Show the state of a job.
    Show {
        #[command(flatten)]
        target: Target,
        /// ID of the job.
        id: String,
    },
    /// Cancel a job.
    Cancel {
        #[command(flatten)]
        target: Target,
        /// ID of the job.
        id: String,
    },
}

/// The controller to which the request is sent.
#[derive(Args)]
pub struct Target {
    /// Address of a controller, as in its `serve_on` setting.
    #[arg(long)]
    pub server: SocketAddr,
}
