//! Names of the keys in the state service.

use crate::wire::Entry;

/// Names of the keys of a shard.
///
/// Keys below `live/` are watched by every controller, and kept few: they hold what
/// every controller must hear of. The rest, below `kept/`, is read only by a leader
/// taking over, or one key at a time. The names are stored data and must not change,
/// so some differ from the names used in the code.
#[derive(Clone, Debug)]
pub struct Keys {
    shard: String,
}

impl Keys {
    /// Names of the keys of this shard.
    pub fn new(shard: &str) -> Keys {
        Keys { shard: shard.into() }
    }

    /// Prefix of the watched keys.
    pub fn watched(&self) -> String {
        format!("live/{}/", self.shard)
    }

    /// The leader's claim, a [`LeaderValue`](super::LeaderValue). Written by the controller
    /// that claims the shard, and attached to its lease: it is gone when the lease ends.
    pub fn leader(&self) -> String {
        format!("live/{}/owner", self.shard)
    }

    /// The highest term so far. Written together with every claim; it outlives the claim,
    /// so that terms, which are the fencing tokens of workers, never repeat.
    pub fn term(&self) -> String {
        format!("live/{}/term", self.shard)
    }

    /// The cloud's [`Catalogue`](crate::wire::Catalogue) of machine types. Written by the
    /// leader when it changes, so that submissions can be decided on while the cloud is out
    /// of reach.
    pub fn catalogue(&self) -> String {
        format!("live/{}/catalogue", self.shard)
    }

    /// Prefix of the keys of jobs.
    pub fn jobs(&self) -> String {
        format!("live/{}/job/", self.shard)
    }

    /// A job that is unfinished or not cleaned up yet, a [`JobKey`](super::JobKey). Created
    /// by the controller that accepts the job, changed by the one that cancels it or by the
    /// leader when it is done, and removed by the leader once all else of it is cleaned up.
    pub fn job(&self, id: &str) -> String {
        format!("live/{}/job/{id}", self.shard)
    }

    /// Prefix of the keys that say how jobs ended.
    pub fn ends(&self) -> String {
        format!("kept/{}/end/", self.shard)
    }

    /// How a job ended, an [`EndValue`](super::EndValue). Created by the leader when the job
    /// is done, or by the controller that cancels it, and kept for good: users may ask at any
    /// later time.
    pub fn end(&self, id: &str) -> String {
        format!("kept/{}/end/{id}", self.shard)
    }

    /// Prefix of the keys of attempts.
    pub fn task_chunks(&self) -> String {
        format!("kept/{}/firing/", self.shard)
    }

    /// The attempts at a chunk of a job's tasks, a
    /// [`ChunkValue`](crate::pipeline::ChunkValue). Written by the leader before a start
    /// command may be sent, and removed by it after the job's end.
    pub fn task_chunk(&self, id: &str, chunk: u32) -> String {
        format!("kept/{}/firing/{id}/{chunk}", self.shard)
    }

    /// Prefix of the keys of machine groups.
    pub fn machine_groups(&self) -> String {
        format!("kept/{}/roster/", self.shard)
    }

    /// The machines of a group, a [`GroupValue`](crate::fleet::GroupValue). Written by the
    /// leader as machines come and go.
    pub fn machine_group(&self, group: &str) -> String {
        format!("kept/{}/roster/{group}", self.shard)
    }

    /// Prefix of the keys of machine requests.
    pub fn machine_requests(&self) -> String {
        format!("kept/{}/hire/", self.shard)
    }

    /// A request for machines, a
    /// [`MachineRequestRecord`](crate::fleet::MachineRequestRecord). Written by the leader
    /// before the request is sent, so that a successor learns of the machines, and removed
    /// by it afterwards.
    pub fn machine_request(&self, request: &str) -> String {
        format!("kept/{}/hire/{request}", self.shard)
    }
}

/// The part of an entry's key after a prefix.
pub fn strip_key_prefix<'a>(entry: &'a Entry, prefix: &str) -> &'a str {
    entry.key.strip_prefix(prefix).unwrap_or(&entry.key)
}
