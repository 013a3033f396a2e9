use dogwoodlb_timeline::Stamp;
use dogwoodlb_types::id;
use serde::{Deserialize, Serialize};

/// Maximum number of membership updates in one frame.
///
/// An update takes at most 76 bytes and the rest of a frame at most 180, so a frame with names
/// of maximum length still fits into a datagram.
pub const MAX_UPDATES: usize = 12;

/// A message between two nodes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Frame {
    /// Probes whether a node is alive.
    Ping(Header),
    /// Acknowledges a ping, or a ping request whose target acknowledged.
    Ack(Header),
    /// Requests an indirect ping of another node.
    PingReq {
        /// The header with the sender's state.
        header: Header,
        /// The VM to ping.
        target: id::Vm,
    },
    /// Asks a node which manifest it holds; sent while the table can't be read.
    Query {
        /// The VM that sends the query.
        vm: id::Vm,
        /// Correlates the report with the query.
        sequence: u32,
    },
    /// Answers a manifest query.
    Report(Report),
    /// Proposes a manifest before it is committed.
    Propose(Proposal),
    /// Answers a proposal.
    Answer(Answer),
}

impl Frame {
    /// Returns whether the frame travels as a datagram.
    pub const fn is_datagram(&self) -> bool {
        !matches!(self, Self::Propose(_) | Self::Answer(_))
    }

    /// Returns the header of a membership frame.
    pub const fn header(&self) -> Option<&Header> {
        match self {
            Self::Ping(header) | Self::Ack(header) | Self::PingReq { header, .. } => Some(header),
            _ => None,
        }
    }
}

/// The header of membership frames.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// The VM that sent the frame.
    pub vm: id::Vm,
    /// The incarnation of its process.
    pub incarnation: id::Incarnation,
    /// Correlates an acknowledgement with its ping.
    pub sequence: u32,
    /// The sender's clock and manifest revision.
    pub status: Status,
    /// Membership updates, at most [`MAX_UPDATES`].
    pub updates: Vec<Update>,
}

/// The sender's clock and the manifest revision that it holds, which is shown to operators.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Status {
    /// The stamp of the sender's hybrid logical clock.
    pub stamp: Stamp,
    /// The revision of the manifest that the sender holds.
    pub revision: id::Revision,
}

/// A claim of one node about the state of a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Update {
    /// The member.
    pub vm: id::Vm,
    /// Its state.
    pub state: State,
    /// The incarnation of the member's process to which the claim applies.
    pub incarnation: id::Incarnation,
}

/// The state of a member.
///
/// Of two claims about the same incarnation, the one with the higher state takes precedence.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe and has not refuted the suspicion yet.
    Suspect,
    /// The member is shutting down.
    Leaving,
    /// The member has left, or did not refute a suspicion in time.
    Dead,
}

/// Maximum number of pending proposals in a [`Report`]; a node doesn't promise more.
pub const MAX_PENDING: usize = 4;

/// A node's knowledge about the manifest; see docs/design.md, section 4.5.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// The VM that reports.
    pub vm: id::Vm,
    /// The sequence number of the query.
    pub sequence: u32,
    /// The revision that the VM holds, 0 for none.
    pub revision: id::Revision,
    /// The operation that committed this revision.
    pub operation: Option<id::Operation>,
    /// The promised proposals without a known outcome, at most [`MAX_PENDING`].
    pub pending: Vec<id::Operation>,
    /// Whether no promise from before a restart can still be pending.
    pub settled: bool,
}

/// A manifest that a node intends to commit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// The id of the commit.
    pub operation: id::Operation,
    /// The operator who commits.
    pub operator: id::Operator,
    /// The revision that the proposal replaces.
    pub base: id::Revision,
    /// The version of the `manifest/current` row on which the commit is conditional.
    pub row_version: u64,
    /// The text of the manifest.
    pub text: String,
}

/// The answer to a [`Proposal`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The operation that was proposed.
    pub operation: id::Operation,
    /// The node's vote.
    pub vote: Vote,
}

/// A node's vote on a [`Proposal`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Vote {
    /// The node promises not to confirm the base revision until the table shows the outcome.
    Promised,
    /// The node has too many pending proposals.
    Busy,
    /// The manifest is invalid for this node's version of the program.
    Invalid,
    /// The row on which the commit is conditional has already changed; this is the newest
    /// revision.
    Stale(id::Revision),
    /// The node has not read the table since it started.
    Unready,
}
