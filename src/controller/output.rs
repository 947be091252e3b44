//! The outputs of the controller state machine, which its runtime carries out.

use crate::peers::{Answer, Message};
use crate::store::StoreRequest;
use crate::wire::{Catalogue, DirectCommands, MachineList, MachineNames, MachineRequest};

/// One action for the runtime to carry out, as returned by [`super::Controller::step`].
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Answer a user, a worker or a health check.
    Answer {
        /// The number of the request, from the [`super::Input`] that this answers.
        request: u64,
        /// The HTTP answer.
        answer: Answer,
    },
    /// Send a request to the state service.
    Store {
        /// Identifies the call; the reply carries the same id.
        call: u64,
        /// What to read or write.
        request: StoreRequest,
    },
    /// Send a request to the cloud.
    Cloud {
        /// Identifies the call; the reply carries the same id.
        call: u64,
        /// The operation to request.
        request: CloudRequest,
    },
    /// Send direct commands to a worker.
    Worker {
        /// Identifies the call; the reply carries the same id.
        call: u64,
        /// The network address at which the worker accepts direct commands.
        address: String,
        /// The commands to execute and the fencing token they are issued under.
        commands: DirectCommands,
    },
    /// Send a message to another controller.
    Peer {
        /// The name of the receiving controller.
        node: String,
        /// The message to encode and send.
        message: Message,
    },
}

/// A request to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudRequest {
    /// Read the catalogue of machine types.
    Catalogue,
    /// Provision machines of one type.
    RequestMachines(MachineRequest),
    /// Delete machines by name.
    Delete(MachineNames),
    /// Read one page of the list of existing machines.
    List {
        /// The last machine of the previous page; empty for the first page.
        after: String,
    },
}

/// The outcome of a request to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudReply {
    /// The catalogue of machine types.
    Catalogue(Catalogue),
    /// The names of the machines that were provisioned.
    Provisioned(MachineNames),
    /// The cloud has no capacity for the requested machine type at present.
    NoCapacity,
    /// The machines were deleted.
    Deleted,
    /// One page of the list of existing machines.
    Listed(MachineList),
    /// Rejected as invalid: repeating the request would fail again.
    Malformed,
    /// Not executed; the request may be repeated.
    Unavailable,
    /// No answer: the request may have been executed or may still be executed.
    Unanswered,
}
