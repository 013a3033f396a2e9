use dogwoodlb_timeline::Stamp;
use dogwoodlb_types::id;
use serde::{Deserialize, Serialize};

/// The most membership updates in one frame.
///
/// An update takes at most 76 bytes and the rest of a frame at most 180, so a frame with
/// names of full length still fits into a datagram.
pub const MAX_UPDATES: usize = 12;

/// A message between two nodes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Frame {
    /// Asks a node whether it is alive.
    Ping(Header),
    /// Answers a ping, or reports to the sender of a ping request that the target answered.
    Ack(Header),
    /// Asks a node to ping another one.
    PingReq {
        /// The sender and what it reports.
        header: Header,
        /// The VM to ping.
        target: id::Vm,
    },
    /// Asks a node which manifest it holds; sent while the table can't be read.
    Query {
        /// The VM that asks.
        vm: id::Vm,
        /// Pairs the report with the question.
        sequence: u32,
    },
    /// Answers a question about the manifest.
    Report(Report),
    /// Proposes a manifest before its commit.
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

/// What every datagram frame carries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// The VM that sent the frame.
    pub vm: id::Vm,
    /// The run of its process.
    pub incarnation: id::Incarnation,
    /// Pairs an answer with its ping.
    pub sequence: u32,
    /// What the sender knows about the manifest.
    pub status: Status,
    /// News about members, at most [`MAX_UPDATES`].
    pub updates: Vec<Update>,
}

/// The sender's clock and the revision that it holds, for operators to see.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Status {
    /// The stamp of the sender's hybrid logical clock.
    pub stamp: Stamp,
    /// The revision of the manifest that the sender holds.
    pub revision: id::Revision,
}

/// What one node says about a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Update {
    /// The member.
    pub vm: id::Vm,
    /// Its state.
    pub state: State,
    /// The run of the member's process that the statement is about.
    pub incarnation: id::Incarnation,
}

/// The state of a member.
///
/// Of two statements about the same incarnation, the one with the higher state prevails.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// The member answers.
    Alive,
    /// The member did not answer a probe and has not refuted the suspicion yet.
    Suspect,
    /// The member is shutting down.
    Leaving,
    /// The member has left, or did not refute a suspicion in time.
    Dead,
}

/// The most open proposals in a [`Report`]; a node promises no more.
pub const MAX_PENDING: usize = 4;

/// What a node knows about the manifest; see docs/design.md, section 4.5.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// The VM that reports.
    pub vm: id::Vm,
    /// The number of the question.
    pub sequence: u32,
    /// The revision that the VM holds, 0 for none.
    pub revision: id::Revision,
    /// The operation that committed this revision.
    pub operation: Option<id::Operation>,
    /// The proposals without a known outcome, at most [`MAX_PENDING`].
    pub pending: Vec<id::Operation>,
    /// Whether no promise from before a restart can be open.
    pub settled: bool,
}

/// A manifest that a node is about to commit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// The id of the commit.
    pub operation: id::Operation,
    /// The operator who commits.
    pub operator: id::Operator,
    /// The revision that the proposal replaces.
    pub base: id::Revision,
    /// The version of the pointer row that the commit is conditional on.
    pub row_version: u64,
    /// The text of the manifest.
    pub text: String,
}

/// The answer to a [`Proposal`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The operation that was proposed.
    pub operation: id::Operation,
    /// What the node says to it.
    pub vote: Vote,
}

/// What a node says to a [`Proposal`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Vote {
    /// The node confirms the base revision to nobody until the table shows the outcome.
    Promised,
    /// The node knows too many proposals without an outcome.
    Busy,
    /// The manifest is not valid for this node's program.
    Invalid,
    /// The row that the commit depends on has changed already; this is the newest revision.
    Stale(id::Revision),
    /// The node has not read the table since it started.
    Unready,
}
