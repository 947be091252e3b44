//! What a controller asks its runtime to do.

use crate::peers::{Answer, Message};
use crate::store::StoreRequest;
use crate::wire::{Catalogue, DirectCommands, MachineList, MachineNames, MachineRequest};

/// One thing to do, as [`super::Controller::step`] returns it.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Answer a user, a worker or a health check.
    Answer {
        /// That of the input.
        request: u64,
        /// The answer.
        answer: Answer,
    },
    /// Send a request to the state service.
    Store {
        /// For the reply.
        call: u64,
        /// The request.
        request: StoreRequest,
    },
    /// Send a request to the cloud.
    Cloud {
        /// For the reply.
        call: u64,
        /// The request.
        request: CloudRequest,
    },
    /// Send direct commands to a worker.
    Worker {
        /// For the reply.
        call: u64,
        /// Where the worker listens.
        address: String,
        /// The commands.
        commands: DirectCommands,
    },
    /// Send a message to another controller.
    Peer {
        /// The receiver.
        node: String,
        /// The message.
        message: Message,
    },
}

/// A request to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudRequest {
    /// Which machine types there are.
    Catalogue,
    /// Provision machines.
    RequestMachines(MachineRequest),
    /// Delete machines.
    Delete(MachineNames),
    /// A page of the machines that exist.
    List {
        /// The last machine of the page before, or nothing.
        after: String,
    },
}

/// The outcome of a request to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudReply {
    /// The machine types.
    Catalogue(Catalogue),
    /// These machines were provisioned.
    Provisioned(MachineNames),
    /// No machine of this kind is to be had now.
    NoCapacity,
    /// The machines were deleted.
    Deleted,
    /// A page of the machines that exist.
    Listed(MachineList),
    /// Refused for good: asking the same again gives the same.
    Malformed,
    /// Not executed.
    Unavailable,
    /// No answer: perhaps executed, perhaps later.
    Unanswered,
}
