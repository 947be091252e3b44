//! Names of the keys in the state service.

use crate::wire::Entry;

/// Builds the names of the keys of a shard.
///
/// The keys below `live/` are watched by every controller, so their number is kept small:
/// they hold only the state that every controller must know. The other keys, below `kept/`,
/// are read one at a time or by a new leader that takes over. The names are part of the
/// stored data and must not change, so some of them differ from the terms in the code.
#[derive(Clone, Debug)]
pub struct Keys {
    shard: String,
}

impl Keys {
    /// Returns the builder for the shard with this name.
    pub fn new(shard: &str) -> Keys {
        Keys { shard: shard.into() }
    }

    /// The prefix of the watched keys, which every controller holds in its watch cache.
    pub fn watched(&self) -> String {
        format!("live/{}/", self.shard)
    }

    /// The key of the leader's claim, a [`LeaderValue`](super::LeaderValue). Written by the
    /// controller that claims the shard and attached to its lease, so that the state service
    /// removes it when the lease expires.
    pub fn leader(&self) -> String {
        format!("live/{}/owner", self.shard)
    }

    /// The key of the last fencing token reserved so far, a [`TermValue`](super::TermValue).
    /// Written together with every claim. It is not attached to the lease, so that the tokens,
    /// which workers check, are never reused.
    pub fn term(&self) -> String {
        format!("live/{}/term", self.shard)
    }

    /// The key of the cloud's [`Catalogue`](crate::wire::Catalogue) of machine types. Written by
    /// the leader when the catalogue changes, so that submissions can be accepted or refused
    /// while the cloud is unreachable.
    pub fn catalogue(&self) -> String {
        format!("live/{}/catalogue", self.shard)
    }

    /// The prefix of the keys of members.
    pub fn members(&self) -> String {
        format!("live/{}/member/", self.shard)
    }

    /// The key of a member, a [`MemberValue`](super::MemberValue). Written by the controller of this
    /// name and attached to its membership lease, so that the state service removes it when the
    /// lease expires.
    pub fn member(&self, node: &str) -> String {
        format!("live/{}/member/{node}", self.shard)
    }

    /// The prefix of the keys of jobs.
    pub fn jobs(&self) -> String {
        format!("live/{}/job/", self.shard)
    }

    /// The key of a job that is unfinished or not cleaned up yet, a [`JobKey`](super::JobKey).
    /// Created by the controller that accepts the job, updated by the controller that cancels
    /// it or by the leader when it is done, and removed by the leader after all other keys of
    /// the job have been cleaned up.
    pub fn job(&self, id: &str) -> String {
        format!("live/{}/job/{id}", self.shard)
    }

    /// The prefix of the end keys, which store how jobs ended.
    pub fn ends(&self) -> String {
        format!("kept/{}/end/", self.shard)
    }

    /// The end key of a job, an [`EndValue`](super::EndValue). Created by the leader when the
    /// job is done, or by the controller that cancels it, and never removed, since users may
    /// ask for the job's state at any later time.
    pub fn end(&self, id: &str) -> String {
        format!("kept/{}/end/{id}", self.shard)
    }

    /// The prefix of the keys of task chunks.
    pub fn task_chunks(&self) -> String {
        format!("kept/{}/firing/", self.shard)
    }

    /// The key of a chunk of a job's tasks with their attempts, a
    /// [`ChunkValue`](crate::pipeline::ChunkValue). Written by the leader before it sends a
    /// start command, and removed by it after the job has ended.
    pub fn task_chunk(&self, id: &str, chunk: u32) -> String {
        format!("kept/{}/firing/{id}/{chunk}", self.shard)
    }

    /// The prefix of the keys of machine groups.
    pub fn machine_groups(&self) -> String {
        format!("kept/{}/roster/", self.shard)
    }

    /// The key of the machines of a group, a [`GroupValue`](crate::fleet::GroupValue). Written
    /// by the leader when machines are added to the group or removed from it.
    pub fn machine_group(&self, group: &str) -> String {
        format!("kept/{}/roster/{group}", self.shard)
    }

    /// The prefix of the keys of machine requests.
    pub fn machine_requests(&self) -> String {
        format!("kept/{}/hire/", self.shard)
    }

    /// The key of a request for machines, a
    /// [`MachineRequestRecord`](crate::fleet::MachineRequestRecord). Written by the leader
    /// before it sends the request to the cloud, so that a new leader knows of the machines,
    /// and removed by it afterwards.
    pub fn machine_request(&self, request: &str) -> String {
        format!("kept/{}/hire/{request}", self.shard)
    }

    /// The key of the newest machine request, a
    /// [`NewestMachineRequest`](crate::fleet::NewestMachineRequest). Written by the leader together
    /// with the keys of new requests and conditional on its version, so that a copy of that
    /// transaction conflicts, also after these keys were removed. It is never removed.
    pub fn newest_machine_request(&self) -> String {
        format!("kept/{}/hire/newest", self.shard)
    }
}

/// Returns the part of an entry's key after the prefix, or the whole key if it does not have
/// the prefix.
pub fn strip_key_prefix<'a>(entry: &'a Entry, prefix: &str) -> &'a str {
    entry.key.strip_prefix(prefix).unwrap_or(&entry.key)
}
